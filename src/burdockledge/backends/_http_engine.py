"""Client for engines that stream server-sent events over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import aiohttp

from burdockledge.backends._engine import (
    EndKind,
    EngineCall,
    EngineClient,
    StreamEnd,
    TokenChunk,
)
from burdockledge.backends._sessions import REQUEST_ID_HEADER
from burdockledge.backends._sse import SseSplitter
from burdockledge.http_client import read_body

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import ClientResponse, ClientSession

_OK: Final = 200
_UNAVAILABLE: Final = 503
_CLIENT_ERRORS: Final = range(400, 500)
_MAX_DETAIL_CHARACTERS: Final = 500
# An error that is longer is no answer.
_MAX_ERROR_BYTES: Final = 64 * 1024


class HttpEngineClient(EngineClient):
    """
    Calls engines over HTTP.

    At-most-once calls use a new connection each, other calls a connection
    pool. Nothing can replace an at-most-once call, so it has no read timeout.
    """

    def __init__(
        self,
        pooled_session: ClientSession,
        unpooled_session: ClientSession,
        connect_timeout_seconds: float,
        read_timeout_seconds: float,
    ) -> None:
        """
        Create a client that shares two sessions with other clients.

        :param pooled_session: reuses connections.
        :param unpooled_session: closes each connection after one request.
        :param read_timeout_seconds: longest pause between received bytes.
        """
        self._pooled_session = pooled_session
        self._unpooled_session = unpooled_session
        self._timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=connect_timeout_seconds,
            sock_read=read_timeout_seconds,
        )

    async def stream(
        self,
        url: str,
        call: EngineCall,
    ) -> AsyncIterator[TokenChunk | StreamEnd]:
        """Stream a generation with one HTTP request."""
        session = (
            self._unpooled_session
            if call.is_at_most_once
            else self._pooled_session
        )
        try:
            async with session.post(
                f'{url}{call.path}',
                data=_encode_body(call),
                headers={
                    'Content-Type': 'application/json',
                    REQUEST_ID_HEADER: call.request_id,
                },
                timeout=self._timeout_of(call),
                allow_redirects=False,
            ) as response:
                if response.status != _OK:
                    yield await _read_error(response, call)
                    return
                if response.headers.get(REQUEST_ID_HEADER) != call.request_id:
                    yield StreamEnd(EndKind.crossed)
                    return
                async for item in _read_events(response, call):
                    yield item
        except aiohttp.ClientConnectorError:
            yield StreamEnd(EndKind.not_sent)
        except TimeoutError:
            yield StreamEnd(EndKind.silent)
        except aiohttp.ClientError as error:
            yield StreamEnd(EndKind.interrupted, detail=str(error))

    def _timeout_of(self, call: EngineCall) -> aiohttp.ClientTimeout:
        if not call.is_at_most_once or call.remaining_seconds is None:
            return self._timeout
        return aiohttp.ClientTimeout(
            total=call.remaining_seconds,
            sock_connect=self._timeout.sock_connect,
        )


async def _read_events(
    response: ClientResponse,
    call: EngineCall,
) -> AsyncIterator[TokenChunk | StreamEnd]:
    splitter = SseSplitter(call.request_id)
    async for chunk in response.content.iter_any():
        events, tokens = splitter.feed(chunk)
        if tokens:
            yield TokenChunk(events, tokens)
        if splitter.is_done:
            yield StreamEnd(EndKind.done)
            return
        if splitter.is_corrupt:
            yield StreamEnd(EndKind.crossed)
            return
    yield StreamEnd(EndKind.interrupted, detail='no end of stream')


async def _read_error(response: ClientResponse, call: EngineCall) -> StreamEnd:
    # On a connection in use before, an error without an id may be a late copy
    # of the one before, and prove nothing of this call.
    response_id = response.headers.get(
        REQUEST_ID_HEADER, call.request_id if call.is_at_most_once else None
    )
    if response_id not in {None, call.request_id}:
        return StreamEnd(EndKind.crossed)
    body = await read_body(response, _MAX_ERROR_BYTES)
    detail = body.decode(errors='replace')[:_MAX_DETAIL_CHARACTERS]
    if response.status == _UNAVAILABLE and response_id is not None:
        return StreamEnd(EndKind.refused, response.status, detail)
    if response.status in _CLIENT_ERRORS:
        return StreamEnd(EndKind.rejected, response.status, detail)
    return StreamEnd(EndKind.interrupted, response.status, detail)


def _encode_body(call: EngineCall) -> bytes:
    engine_body = {
        **call.body,
        'stream': True,
        'priority': call.priority,
        'resume_from': call.resume_from,
        'deadline_ms': call.deadline_ms,
    }
    return json.dumps(engine_body, separators=(',', ':')).encode()


__all__ = ('HttpEngineClient',)
