"""Sends calls to backend servers over HTTP/1.1."""

from __future__ import annotations

import functools
import socket
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from result import Err, Ok, Result
from yarl import URL

from burdockledge.platform import _names as names
from burdockledge.platform._calls import answer_headers, outbound_headers
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
    import asyncio
    from collections.abc import AsyncIterator

    from aiohttp.connector import Connection
    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

_log = make_logger('servers')

# Servers of the users answer a new connection within some milliseconds.
_CONNECT_SECONDS: Final = 0.4
# Servers may close idle connections; none is used that was idle for longer.
_KEEP_SECONDS: Final = 3.0
# Bytes that a server does not acknowledge for so long break the connection.
_UNACKNOWLEDGED_MS: Final = 1500
_OK: Final = 200
_MISDIRECTED: Final = 421
# asyncio.TimeoutError is an OSError since Python 3.11.
_READ_ERRORS: Final = (aiohttp.ClientError, OSError)
_CONNECT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_AUTO_HEADERS: Final = (
    'Accept',
    'Accept-Encoding',
    'User-Agent',
    'Content-Type',
)


class _Protocol(ResponseHandler):
    """
    A client connection that answers only what was asked on it.

    Bytes that arrive while nothing is asked, an answer to another request,
    and a reset while a body of unknown length is read, would pass for an
    answer otherwise.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a connection on which nothing is asked."""
        super().__init__(loop=loop)
        self._is_asked = False
        self.request_id: str | None = None

    def set_response_params(self, **params: Any) -> None:
        """Expect an answer from now on."""
        self._is_asked = True
        super().set_response_params(**params)

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head of the answer; pass over those to other requests."""
        while True:
            message, payload = await super().read()
            answered = message.headers.get(names.REQUEST_ID)
            if answered is None or answered == self.request_id:
                break
            _log.warning(
                'Answer to another request.',
                request=self.request_id,
                answered=answered,
            )
            self.force_close()
        if message.code >= _OK:
            payload.on_eof(self._note_end)
        return message, payload

    def data_received(self, data: bytes) -> None:
        """Close the connection on bytes that no request asked for."""
        if data and not self._is_asked:
            self.close()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark a body that a reset cut, whatever its framing."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError('reset'))
            self._parser = None
        super().connection_lost(exc)

    def _note_end(self) -> None:
        self._is_asked = False


class _Request(aiohttp.ClientRequest):
    """A request that tells its connection which answer it expects."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Send the request."""
        if isinstance(conn.protocol, _Protocol):
            conn.protocol.request_id = self.headers.get(names.REQUEST_ID)
        return await super().send(conn)


class _Connector(aiohttp.TCPConnector):
    """Makes connections of the protocol above."""

    def __init__(self, **options: Any) -> None:
        """Create a connector without a limit of its own."""
        super().__init__(limit=0, socket_factory=_make_socket, **options)
        self._factory: Any = functools.partial(_Protocol, loop=self._loop)


def _make_socket(info: Any) -> socket.socket:
    family, kind, proto = info[:3]
    made = socket.socket(family=family, type=kind, proto=proto)
    made.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
    )
    return made


class _HttpAnswer(ServerResponse):
    """An answer whose body is read from its connection."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Take over a response whose head was read."""
        self._response = response
        self.status = response.status
        self.headers: Headers = answer_headers(response.raw_headers)
        self.proves_not_run = (
            response.status == _MISDIRECTED or names.NOT_RUN in response.headers
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except _READ_ERRORS as error:
            raise IncompleteResponseError from error

    async def read(self) -> bytes:
        """Return the whole body."""
        try:
            return await self._response.read()
        except _READ_ERRORS as error:
            raise IncompleteResponseError from error

    def close(self) -> None:
        """Drop the connection unless the whole answer was read."""
        if self._response.content.is_eof():
            self._response.release()
        else:
            self._response.close()


class HttpServerClient(ServerClient):
    """Keeps connections to the servers and sends calls on them."""

    def __init__(self) -> None:
        """Create a client; call it on a running loop."""
        self._session = aiohttp.ClientSession(
            connector=_Connector(keepalive_timeout=_KEEP_SECONDS),
            request_class=_Request,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=_CONNECT_SECONDS
            ),
            skip_auto_headers=_AUTO_HEADERS,
        )
        # A send whose connection breaks is for the relay to judge.
        self._session._retry_connection = False  # noqa: SLF001

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def send(
        self, outbound: OutboundCall
    ) -> Result[ServerResponse, SendFailure]:
        """Send a call and return the head of its answer."""
        call = outbound.call
        url = URL(
            f'http://{outbound.instance.address}{call.target}', encoded=True
        )
        try:
            response = await self._session.request(
                call.method,
                url,
                headers=outbound_headers(outbound),
                data=call.body or None,
                allow_redirects=False,
            )
        except _CONNECT_ERRORS:
            return Err(SendFailure.not_connected)
        except aiohttp.ClientResponseError:
            return Err(SendFailure.garbled)
        except _READ_ERRORS:
            return Err(SendFailure.broken)
        return Ok(_HttpAnswer(response))


__all__ = ('HttpServerClient',)
