"""Sends calls to backend servers over HTTP/1.1."""

from __future__ import annotations

import functools
import socket
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any, Final, NoReturn

import aiohttp
from aiohttp.http import HttpProcessingError
from result import Err, Ok, Result
from yarl import URL

from burdockledge.backends import BackendConnection
from burdockledge.platform import _names as names
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
    OversizedResponseError,
    SendFailure,
    ServerClient,
    ServerResponse,
)
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncIterator, Callable

    from aiohttp.connector import Connection
    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

_log = make_logger('servers')

# The users' servers accept a connection within a few milliseconds.
_CONNECT_SECONDS: Final = 0.4
# Connections that were idle for longer are not reused, as servers may close
# them.
_KEEPALIVE_SECONDS: Final = 3.0
# A connection breaks if sent bytes stay unacknowledged this long.
_TCP_USER_TIMEOUT_MS: Final = 1500
_VERSIONS: Final = (aiohttp.HttpVersion10, aiohttp.HttpVersion11)
_FIRST_STATUS: Final = 100
_SWITCHING_PROTOCOLS: Final = 101
_FIRST_FINAL_STATUS: Final = 200
_MULTIPLE_CHOICES: Final = 300
# Interim responses and late copies of others that one answer may follow.
_MAX_HEADS: Final = 16
# Heads, chunk sizes and trailers between two parts of a body.
_MAX_FRAMING_BYTES: Final = 1024 * 1024
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


class _ServerConnection(BackendConnection):
    """
    A client connection that accepts only the response to its request.

    aiohttp itself would accept two more things as a valid response: bytes
    that arrive while no request is pending, and a response to another request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a connection without a pending request."""
        super().__init__(loop=loop)
        self._awaits_response = False
        self._has_answered = False
        self._heads_left = 0
        self._body_bytes = 0
        self._framing_bytes = 0
        self.request_id: str | None = None

    def set_response_params(self, **params: Any) -> None:
        """Accept a response from now on."""
        self._awaits_response = True
        self._heads_left = _MAX_HEADS
        self._body_bytes = 0
        self._framing_bytes = 0
        super().set_response_params(**params)

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        """
        Return the response head and body; skip responses to other requests.

        After a skipped response, or a success without a seal, the connection
        is not reused.

        :raises HttpProcessingError: if too many responses come before the
            right one, one that can not be told from a late copy, or bytes
            that are no response of the protocol.
        """
        while True:
            message, payload = await super().read()
            self._heads_left -= 1
            if self._heads_left < 0:
                self._reject('Too many answers before the right one.')
            if not _is_of_protocol(message):
                self._reject('Answer is not of the protocol.')
            if message.code < _FIRST_FINAL_STATUS:
                return message, payload
            response_ids = set(message.headers.getall(names.REQUEST_ID, ()))
            if self._is_answer(response_ids):
                break
            _log.warning(
                'Answer to another request.',
                request=self.request_id,
                answered=sorted(response_ids),
            )
            self.force_close()
        self._has_answered = True
        if _is_success(message.code) and not message.headers.get(names.SEAL):
            self.force_close()
        payload.on_eof(self._on_response_end)
        return message, payload

    def _is_answer(self, response_ids: set[str]) -> bool:
        """
        Return whether a response with some ids answers the pending request.

        A response without an id is only accepted as the first one of a
        connection, which is not used again: on a later one, it could be a
        late copy of the response before.

        :raises HttpProcessingError: if it can not be told.
        """
        if not response_ids:
            if self._has_answered:
                self._reject('Answer lacks its id.')
            self.force_close()
            return True
        if self.request_id not in response_ids:
            return False
        if len(response_ids) > 1:
            self._reject('Answer has several ids.')
        return True

    def data_received(self, data: bytes) -> None:
        """Close the connection if bytes arrive without a pending request."""
        if data and not self._awaits_response:
            self.close()
            return
        super().data_received(data)
        self._limit_framing(len(data))

    def _limit_framing(self, size: int) -> None:
        """Close the connection if much arrives that is no part of a body."""
        payload = self._payload
        body_bytes = 0 if payload is None else payload.total_bytes
        if body_bytes != self._body_bytes:
            self._body_bytes = body_bytes
            self._framing_bytes = 0
            return
        self._framing_bytes += size
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            _log.warning('Answer has no end.', request=self.request_id)
            if self.transport is not None:
                self.transport.abort()

    def _reject(self, why: str) -> NoReturn:
        _log.warning(why, request=self.request_id)
        self.force_close()
        raise HttpProcessingError(message=why)

    def _on_response_end(self) -> None:
        self._awaits_response = False


class _WithheldError(Exception):
    """A call must not be sent, now that its connection is open."""


_SEND_ERRORS: Final = (_WithheldError, *_READ_ERRORS)
# Asked by the request of the same task, for which aiohttp has no parameter.
_obstacle: ContextVar[Callable[[], str | None]] = ContextVar('obstacle')


class _IdentifiedRequest(aiohttp.ClientRequest):
    """A request that passes its id to its connection."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """
        Send the request, and expect a response with the same id.

        :raises _WithheldError: if the call must not be sent any more.
        """
        obstacle = _obstacle.get()()
        if obstacle is not None:
            raise _WithheldError(obstacle)
        if isinstance(conn.protocol, _ServerConnection):
            conn.protocol.request_id = self.headers.get(names.REQUEST_ID)
        return await super().send(conn)


class _ServerConnector(aiohttp.TCPConnector):
    """Opens any number of connections of type ``_ServerConnection``."""

    def __init__(self, **options: Any) -> None:
        """Create a connector; the options are those of the base class."""
        super().__init__(limit=0, socket_factory=_create_socket, **options)
        self._factory: Any = functools.partial(
            _ServerConnection, loop=self._loop
        )


def _create_socket(address_info: Any) -> socket.socket:
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
        self.proves_not_run = (
            response.status == _MISDIRECTED_REQUEST
            or names.NOT_RUN in response.headers
        )
        self.has_seal = bool(response.headers.get(names.SEAL))
        self.call_rate_limit = call_rate_limit(
            response.headers.getall(names.CALL_RATE_LIMIT, ())
        )
        self.notice = server_notice(
            response.status,
            response.headers.getall(names.SERVER_LEAVING, ()),
            response.headers.getall(names.RETRY_AFTER, ()),
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

    async def read(self, max_bytes: int) -> bytes:
        """Return the whole body if it is not too long."""
        chunks: list[bytes] = []
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > max_bytes:
                raise OversizedResponseError
            chunks.append(chunk)
        return b''.join(chunks)

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
        self._session = aiohttp.ClientSession(
            connector=_ServerConnector(keepalive_timeout=_KEEPALIVE_SECONDS),
            request_class=_IdentifiedRequest,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=_CONNECT_SECONDS
            ),
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        )
        # Disables resending by aiohttp after a broken connection: the relay
        # decides whether a call may be repeated.
        self._session._retry_connection = False  # noqa: SLF001

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
                data=call.body or None,
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


def _is_of_protocol(message: RawResponseMessage) -> bool:
    """Return whether a head is one of HTTP/1, without a change of protocol."""
    return (
        message.version in _VERSIONS
        and message.code >= _FIRST_STATUS
        and message.code != _SWITCHING_PROTOCOLS
    )


def _is_success(status: int) -> bool:
    return _FIRST_FINAL_STATUS <= status < _MULTIPLE_CHOICES


def _failure_of(error: Exception) -> SendFailure:
    if isinstance(error, _WithheldError):
        return SendFailure.withheld
    if isinstance(error, _CONNECT_ERRORS):
        return SendFailure.not_connected
    if isinstance(error, aiohttp.ClientResponseError):
        return SendFailure.garbled
    return SendFailure.broken


__all__ = ('HttpServerClient',)
