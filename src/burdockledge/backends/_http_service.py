"""Client for plain services over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import aiohttp
from result import Err, Ok, Result

from burdockledge.backends._service import (
    CallFailure,
    ServiceCall,
    ServiceClient,
    ServiceReply,
)
from burdockledge.backends._sessions import REQUEST_ID_HEADER
from burdockledge.http_client import read_body

if TYPE_CHECKING:
    from aiohttp import ClientResponse, ClientSession

# A reply is held until it is complete.
_MAX_REPLY_BYTES: Final = 4 * 1024 * 1024
_UNAVAILABLE: Final = 503
_NOT_EXECUTED_HEADER: Final = 'X-Not-Executed'


class HttpServiceClient(ServiceClient):
    """
    Calls plain services over HTTP.

    Calls with an idempotency key use a new connection each, other calls a
    connection pool.
    """

    def __init__(
        self,
        pooled_session: ClientSession,
        unpooled_session: ClientSession,
        connect_timeout_seconds: float,
    ) -> None:
        """
        Create a client that shares two sessions with other clients.

        :param pooled_session: reuses connections.
        :param unpooled_session: closes each connection after one request.
        """
        self._pooled_session = pooled_session
        self._unpooled_session = unpooled_session
        self._connect_timeout_seconds = connect_timeout_seconds

    async def call(
        self,
        url: str,
        call: ServiceCall,
    ) -> Result[ServiceReply, CallFailure]:
        """Send one HTTP request and read the whole response."""
        session = (
            self._unpooled_session
            if call.idempotency_key
            else self._pooled_session
        )
        try:
            async with session.request(
                call.method,
                f'{url}{call.path}',
                data=call.body,
                headers=_request_headers(call),
                timeout=aiohttp.ClientTimeout(
                    total=call.timeout_seconds,
                    sock_connect=self._connect_timeout_seconds,
                ),
                allow_redirects=False,
            ) as response:
                return await _read_reply(response, call)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return Err(CallFailure.not_sent)
        except (aiohttp.ClientError, TimeoutError):
            return Err(CallFailure.in_doubt)


async def _read_reply(
    response: ClientResponse,
    call: ServiceCall,
) -> Result[ServiceReply, CallFailure]:
    response_id = response.headers.get(REQUEST_ID_HEADER)
    if response_id not in {None, call.request_id}:
        return Err(CallFailure.in_doubt)
    if (
        response.status == _UNAVAILABLE
        and _NOT_EXECUTED_HEADER in response.headers
    ):
        # On a connection in use before, a refusal without an id may be a late
        # copy of the one before.
        is_own = response_id is not None or call.idempotency_key
        return Err(CallFailure.refused if is_own else CallFailure.in_doubt)
    return Ok(
        ServiceReply(
            response.status,
            response.headers.get('Content-Type', 'application/json'),
            await read_body(response, _MAX_REPLY_BYTES),
        ),
    )


def _request_headers(call: ServiceCall) -> dict[str, str]:
    headers = {
        'Content-Type': call.content_type,
        REQUEST_ID_HEADER: call.request_id,
    }
    if call.idempotency_key:
        headers['Idempotency-Key'] = call.idempotency_key
    return headers


__all__ = ('HttpServiceClient',)
