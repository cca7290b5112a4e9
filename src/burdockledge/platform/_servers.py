"""Sends calls to backend servers over HTTP/1.1."""

from __future__ import annotations

import socket
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from result import Err, Ok, Result
from yarl import URL

from burdockledge.http_client import (
    BoundedConnection,
    BoundedConnector,
    make_session,
)
from burdockledge.platform import _names as names
from burdockledge.platform._body_payload import body_payload
from burdockledge.platform._calls import (
    call_rate_limit,
    outbound_headers,
    response_headers,
    server_notice,
)
from burdockledge.relay import (
    Headers,
    IncompleteResponseError,
    OutboundCall,
    SendFailure,
    ServerClient,
    ServerResponse,
)
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping

    from aiohttp.connector import Connection
    from aiohttp.http import RawResponseMessage

_log = make_logger('servers')

# The users' servers accept a connection within a few milliseconds.
_CONNECT_SECONDS: Final = 0.4
# Connections that were idle for longer are not reused, as servers may close
# them.
_KEEPALIVE_SECONDS: Final = 3.0
# A connection breaks if sent bytes stay unacknowledged this long.
_TCP_USER_TIMEOUT_MS: Final = 1500
_FIRST_SUCCESS: Final = 200
_MULTIPLE_CHOICES: Final = 300
_MISDIRECTED_REQUEST: Final = 421
# asyncio.TimeoutError is an OSError since Python 3.11.
_READ_ERRORS: Final = (aiohttp.ClientError, OSError)
_CONNECT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
# aiohttp would add these to calls that lack them.
_SKIPPED_AUTO_HEADERS: Final = (
    'Accept',
    'Accept-Encoding',
    'User-Agent',
    'Content-Type',
)


class _ServerConnection(BoundedConnection):
    """A client connection that accepts only the response to its request."""

    def is_answer(self, message: RawResponseMessage) -> bool:
        """
        Return whether a response answers the pending request.

        After a response to another one, or a success without a seal, the
        connection is not reused. A response without an id is only accepted as
        the first one of a connection, which is not used again: on a later
        one, it could be a late copy of the response before.

        :raises HttpProcessingError: if it can not be told.
        """
        response_ids = set(message.headers.getall(names.REQUEST_ID, ()))
        if not response_ids:
            if self.is_reused:
                self.reject('Answer lacks its id.')
            self.force_close()
        elif self.request_id not in response_ids:
            _log.warning(
                'Answer to another request.',
                request=self.request_id,
                answered=sorted(response_ids),
            )
            self.force_close()
            return False
        elif len(response_ids) > 1:
            self.reject('Answer has several ids.')
        if _proves_not_run(message.code, message.headers):
            _log.info(
                'Server refuses a call.',
                request=self.request_id,
                status=message.code,
                carried=self.request_count,
            )
        if _is_success(message.code) and not message.headers.get(names.SEAL):
            self.force_close()
        return True


class _WithheldError(Exception):
    """A call must not be sent, now that its connection is open."""


_SEND_ERRORS: Final = (_WithheldError, *_READ_ERRORS)
# Asked by the request of the same task, for which aiohttp has no parameter.
_obstacle: ContextVar[Callable[[], str | None]] = ContextVar('obstacle')


class _GuardedRequest(aiohttp.ClientRequest):
    """A request that is not sent if it must not be any more."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """
        Send the request.

        :raises _WithheldError: if the call must not be sent any more.
        """
        obstacle = _obstacle.get()()
        if obstacle is not None:
            raise _WithheldError(obstacle)
        return await super().send(conn)


def create_socket(address_info: Any) -> socket.socket:
    """Create a socket that breaks if its peer acknowledges nothing."""
    family, kind, proto = address_info[:3]
    server_socket = socket.socket(family=family, type=kind, proto=proto)
    server_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
    )
    return server_socket


class _HttpServerResponse(ServerResponse):
    """The response of a server; its body is read from the connection."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Wrap a response whose head was read."""
        self._response = response
        self.status = response.status
        self.headers: Headers = response_headers(response.raw_headers)
        self.proves_not_run = _proves_not_run(response.status, response.headers)
        self.has_seal = any(
            text
            for name, text in self.headers
            if name.lower() == names.SEAL.lower()
        )
        self.call_rate_limit = call_rate_limit(
            response.headers.getall(names.CALL_RATE_LIMIT, ())
        )
        self.notice = server_notice(
            response.status,
            response.headers.getall(names.SERVER_LEAVING, ()),
            response.headers.getall(names.RETRY_AFTER, ()),
        )
        # Answers without a body may name the length that it would have.
        self.length = (
            None if response.content.at_eof() else response.content_length
        )
        self.is_delimited = (
            'Content-Length' in response.headers
            or 'chunked'
            in response.headers.get('Transfer-Encoding', '').lower()
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except _READ_ERRORS as error:
            raise IncompleteResponseError from error

    def close(self) -> None:
        """Close the connection unless the response was read completely."""
        if self._response.content.is_eof():
            self._response.release()
        else:
            self._response.close()


class HttpServerClient(ServerClient):
    """Sends calls to backend servers over pooled connections."""

    def __init__(self) -> None:
        """Create a client; requires a running event loop."""
        self._connector = BoundedConnector(
            _ServerConnection,
            id_header=names.REQUEST_ID,
            keepalive_timeout=_KEEPALIVE_SECONDS,
            socket_factory=create_socket,
        )
        self._session = make_session(
            self._connector,
            request_class=_GuardedRequest,
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=_CONNECT_SECONDS
            ),
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        )

    @property
    def opened_connections(self) -> int:
        """The number of connections that were opened."""
        return self._connector.opened_count

    @property
    def unsuitable_connections(self) -> int:
        """The number of idle connections closed as they had carried a call."""
        return self._connector.unsuitable_count

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def send(
        self, outbound: OutboundCall
    ) -> Result[ServerResponse, SendFailure]:
        """Send a call and return the head of its response."""
        call = outbound.call
        url = URL(
            f'http://{outbound.instance.address}{call.target}', encoded=True
        )
        _obstacle.set(outbound.obstacle)
        try:
            response = await self._session.request(
                call.method,
                url,
                headers=outbound_headers(outbound),
                data=body_payload(call.body),
                allow_redirects=False,
            )
        except _SEND_ERRORS as error:
            failure = _failure_of(error)
            _log.debug(
                'No answer.',
                request=call.request_id,
                server=outbound.instance.server_id,
                why=failure.value,
                error=repr(error),
            )
            return Err(failure)
        return Ok(_HttpServerResponse(response))


def _proves_not_run(status: int, headers: Mapping[str, str]) -> bool:
    return status == _MISDIRECTED_REQUEST or names.NOT_RUN in headers


def _is_success(status: int) -> bool:
    return _FIRST_SUCCESS <= status < _MULTIPLE_CHOICES


def _failure_of(error: Exception) -> SendFailure:
    if isinstance(error, _WithheldError):
        return SendFailure.withheld
    if isinstance(error, _CONNECT_ERRORS):
        return SendFailure.not_connected
    if isinstance(error, aiohttp.ClientResponseError):
        return SendFailure.garbled
    return SendFailure.broken


__all__ = ('HttpServerClient', 'create_socket')
