"""
Client connections that a peer can not fill without an end.

Bodies are bounded by their readers. Everything else that a peer may send is
bounded here: heads, framing, and what no request waits for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, NoReturn

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError

from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator

    from aiohttp import ClientRequest, ClientTimeout
    from aiohttp.connector import Connection
    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader
    from aiohttp.tracing import Trace

_log = make_logger('http')

# What is taken from a socket at once, and what a body may have unread before
# its socket is no longer read.
READ_BYTES: Final = 32 * 1024
# Parsed at once: a head has 16 bytes or more, but takes over a kilobyte of
# memory.
_PARSE_BYTES: Final = 8 * 1024
_HEAD_END: Final = b'\r\n\r\n'
# Interim responses and late copies of others that one answer may follow.
_MAX_HEADS: Final = 16
# What the bodies of such copies may have in all.
_MAX_SKIPPED_BYTES: Final = 8 * 1024 * 1024
# Heads, chunk sizes and trailers between two parts of a body.
_MAX_FRAMING_BYTES: Final = 128 * 1024
# Requests that one connection carries, which bounds the ids that it keeps.
_MAX_REQUESTS: Final = 256
_VERSIONS: Final = (aiohttp.HttpVersion10, aiohttp.HttpVersion11)
# Valid statuses (RFC 9110, section 15).
_STATUSES: Final = range(100, 600)
_SWITCHING_PROTOCOLS: Final = 101
_FIRST_FINAL_STATUS: Final = 200


class BoundedConnection(ResponseHandler):
    """A connection that takes bytes only while a request is pending."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a connection without a pending request."""
        super().__init__(loop=loop)
        self._awaits_response = False
        self._heads_left = 0
        self._body_bytes = 0
        self._framing_bytes = 0
        # Hashes of the ids of all requests before.
        self._carried_ids: set[int] = set()
        self._skipped_bytes = 0
        self._is_head_read = False
        # The bytes before the next ones, as far as a head may end in them.
        self._last_bytes = b''
        # Named in log lines.
        self.request_id: str | None = None

    @property
    def request_count(self) -> int:
        """The number of requests with an id that the connection carried."""
        return len(self._carried_ids)

    @property
    def is_reused(self) -> bool:
        """Whether a request with an id came before the pending one."""
        return len(self._carried_ids) > 1

    def begin_request(self, request_id: str | None) -> bool:
        """
        Return whether the connection may carry a request.

        It carries no id twice: a late copy of an answer names the request,
        not the send, so it could pass for the answer to the later one.
        """
        if request_id is not None:
            hashed_id = hash(request_id)
            if (
                hashed_id in self._carried_ids
                or len(self._carried_ids) >= _MAX_REQUESTS
            ):
                return False
            self._carried_ids.add(hashed_id)
        self.request_id = request_id
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit what is read from the socket at once."""
        socket_transport: Any = transport
        socket_transport.max_size = READ_BYTES
        super().connection_made(transport)

    def set_response_params(self, **params: Any) -> None:
        """Accept a response from now on."""
        self._awaits_response = True
        self._heads_left = _MAX_HEADS
        self._body_bytes = 0
        self._framing_bytes = 0
        self._skipped_bytes = 0
        self._is_head_read = False
        self._last_bytes = b''
        super().set_response_params(**params)

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        """
        Return the next response head and its body.

        Responses that answer no pending request are skipped.

        :raises HttpProcessingError: if too many of them come before the final
            one, or bytes that are no response of the protocol.
        :raises aiohttp.ClientPayloadError: if one of them ends early.
        """
        while True:
            message, payload = await super().read()
            self._heads_left -= 1
            if self._heads_left < 0:
                self.reject('Too many answers before the right one.')
            if not _is_of_protocol(message):
                self.reject('Answer is not of the protocol.')
            if message.code < _FIRST_FINAL_STATUS:
                return message, payload
            if self.is_answer(message):
                break
            await self._skip_body(message, payload)
        self._is_head_read = True
        payload.on_eof(self._on_response_end)
        return message, payload

    def is_answer(self, message: RawResponseMessage) -> bool:
        """Return whether a final response answers the pending request."""
        return True

    def reject(self, why: str) -> NoReturn:
        """
        Close the connection after the pending request.

        :raises HttpProcessingError: always.
        """
        _log.warning(why, request=self.request_id)
        self.force_close()
        raise HttpProcessingError(message=why)

    def data_received(self, data: bytes) -> None:
        """
        Parse bytes; close the connection once they exceed a limit.

        A body whose framing is broken fails at once: aiohttp itself would let
        its reader wait without end.
        """
        if not data:
            # The parser goes on with what it has kept.
            super().data_received(data)
            return
        for piece in self._pieces(data):
            if not self._awaits_response:
                self.close()
            if self.transport is None or self.transport.is_closing():
                return
            super().data_received(piece)
            if self.exception() is not None:
                self._fail_body('The framing of the body is broken.')
            self._limit_framing(len(piece))

    def connection_lost(self, exc: BaseException | None) -> None:
        """
        Fail the body that is being read if the connection broke.

        aiohttp itself takes a body of unknown length for complete then.
        """
        if exc is not None:
            self._fail_body('The connection was reset.')
        super().connection_lost(exc)

    def _pieces(self, data: bytes) -> Iterator[bytes]:
        """
        Yield bytes in pieces that end with each head.

        If the parser fails, it drops the heads of the same piece: an answer
        would be lost with bytes that follow its end.
        """
        start = 0
        while start < len(data):
            piece = data[start : start + _PARSE_BYTES]
            if not self._is_head_read:
                position = (self._last_bytes + piece).find(_HEAD_END)
                if position >= 0:
                    position += len(_HEAD_END) - len(self._last_bytes)
                    piece = piece[:position]
                self._last_bytes = (self._last_bytes + piece)[
                    1 - len(_HEAD_END) :
                ]
            yield piece
            start += len(piece)

    async def _skip_body(
        self, message: RawResponseMessage, payload: StreamReader
    ) -> None:
        """Read a body away: a large unread one stops reading the socket."""
        if not (payload.is_eof() or _is_delimited(message)):
            self.reject('Answer to another request has no end.')
        async for chunk in payload.iter_any():
            self._skipped_bytes += len(chunk)
            if self._skipped_bytes > _MAX_SKIPPED_BYTES:
                self.reject('Too many bytes before the right answer.')

    def _fail_body(self, why: str) -> None:
        payload = self._payload
        if payload is None or payload.is_eof():
            return
        if payload.exception() is None:
            payload.set_exception(aiohttp.ClientPayloadError(why))
        self._parser = None

    def _limit_framing(self, size: int) -> None:
        """Close the connection if much arrives that is no part of a body."""
        payload = self._payload
        body_bytes = 0 if payload is None else payload.total_bytes
        if body_bytes == self._body_bytes:
            self._framing_bytes += size
        else:
            self._body_bytes = body_bytes
            self._framing_bytes = 0
        if (
            self._framing_bytes > _MAX_FRAMING_BYTES
            or len(self._buffer) > _MAX_HEADS
        ):
            _log.warning('Answer has no end.', request=self.request_id)
            if self.transport is not None:
                self.transport.abort()

    def _on_response_end(self) -> None:
        self._awaits_response = False


class BoundedConnector(aiohttp.TCPConnector):
    """
    Opens any number of connections of one kind.

    ``opened_count`` counts the connections, ``unsuitable_count`` those that
    were closed since they must not carry the request that was due.
    """

    def __init__(
        self,
        connection_type: type[BoundedConnection] = BoundedConnection,
        id_header: str | None = None,
        **options: Any,
    ) -> None:
        """
        Create a connector; the other options are those of the base class.

        :param id_header: the request header with the id of a request, None
            if requests have no ids.
        """
        super().__init__(limit=0, **options)
        self._connection_type = connection_type
        self._id_header = id_header
        self._factory: Any = self._create_protocol
        self.opened_count = 0
        self.unsuitable_count = 0

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        """Return a connection that has not carried the request before."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if not isinstance(protocol, BoundedConnection):
                return connection
            request_id = self._id_header and req.headers.get(self._id_header)
            if protocol.begin_request(request_id):
                return connection
            self.unsuitable_count += 1
            _log.debug(
                'Connection is not used again.',
                request=request_id,
                carried=protocol.request_count,
            )
            connection.close()

    def _create_protocol(self) -> BoundedConnection:
        self.opened_count += 1
        return self._connection_type(self._loop)


def _is_delimited(message: RawResponseMessage) -> bool:
    """Return whether a response itself tells where its body ends."""
    return message.chunked or 'Content-Length' in message.headers


def _is_of_protocol(message: RawResponseMessage) -> bool:
    """Return whether a head is one of HTTP/1, without a change of protocol."""
    return (
        message.version in _VERSIONS
        and message.code in _STATUSES
        and message.code != _SWITCHING_PROTOCOLS
    )


__all__ = ('READ_BYTES', 'BoundedConnection', 'BoundedConnector')
