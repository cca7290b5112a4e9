"""The server side of an HTTP connection whose holdings are counted."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, RequestPayloadError
from result import Err, Ok, Result

from burdockledge.connections._guard import GuardedTransport
from burdockledge.connections._holdings import CloseCause, HeldBytes
from burdockledge.connections._limits import UPLOAD_READ_BYTES
from burdockledge.connections._rooms import Room, RoomRefusal
from burdockledge.http_client import READ_BYTES

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from aiohttp.streams import StreamReader
    from aiohttp.web_server import Server

    from burdockledge.connections._guard import ConnectionGuard

# Parsed at once: the text of an error holds what could not be parsed. Also what
# is read from the socket at once before there is room for a body.
_PARSE_BYTES: Final = 8 * 1024
# What a body may have unread before its handler begins is twice this.
_UNADMITTED_BYTES: Final = 8 * 1024
# Of a body whose framing takes more than a quarter of its bytes; 2 KiB of
# one-byte chunks take about 1 ms.
_SMALL_PARSE_BYTES: Final = 2 * 1024
_HEAVY_FRAMING_DIVISOR: Final = 4
# Less framing is parsed at once anyway.
_MIN_HEAVY_FRAMING_BYTES: Final = 512
# Framing that a body may have beyond its own size. Chunks of five bytes or more
# never reach it, nor do bodies of up to 4,096 one-byte chunks.
_MAX_EXTRA_FRAMING_BYTES: Final = 16 * 1024
# The parser keeps the text of a head and its fields.
_HEAD_FACTOR: Final = 2
# A buffer that grows and shrinks may have twice the memory of its bytes.
_BACKLOG_FACTOR: Final = 2
# The objects of a request that waits for the ones before it.
_REQUEST_BYTES: Final = 4 * 1024
# Besides the transport's buffer, the handler holds the part of the response
# that fills it and what that was made from.
_WRITE_FACTOR: Final = 3
# Beyond this, a response waits for its caller.
_UNSENT_BYTES: Final = 16 * 1024
# While a caller reads a response slowly, the connection to the server holds
# what it has read ahead.
_READ_AHEAD_BYTES: Final = 4 * READ_BYTES
_REQUEST_TIMEOUT_RESPONSE: Final = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


class GuardedConnection(RequestHandler, GuardedTransport):
    """A connection of a caller, counted and bounded by a guard."""

    def __init__(
        self, server: Server, guard: ConnectionGuard, **options: Any
    ) -> None:
        """Create a connection; the other options are those of aiohttp."""
        super().__init__(server, read_bufsize=_UNADMITTED_BYTES, **options)
        self._guard = guard
        self._room: Room[GuardedTransport] | None = None
        self._backlog = bytearray()
        # Whether bytes came that are no request.
        self._is_broken = False
        self._head_bytes = 0
        self._last_payload: StreamReader = EMPTY_PAYLOAD
        self._framing_bytes = 0
        self._has_heavy_framing = False
        # Bytes of a response that waits until the caller has read what is
        # before it.
        self.response_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for the head of a request."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def awaits_caller(self) -> bool:
        """Whether it waits for a head or for the rest of a body."""
        return self.is_idle or (
            self._room is not None and self._room.is_receiving
        )

    @property
    def room_bytes(self) -> int:
        """What the request in progress holds for its body and its call."""
        return 0 if self._room is None else self._room.size

    @property
    def _awaits_request_head(self) -> bool:
        return not self._messages and self._current_request is None

    @property
    def _can_parse(self) -> bool:
        """Whether there is room for what the next bytes may contain."""
        return (
            not self._reading_paused
            and len(self._messages) < self._max_msg_queue_size
        )

    def measure(self) -> HeldBytes:
        """Return what the connection holds now."""
        waiting = len(self._messages)
        if self._waiter:
            # The connection was idle: the first message is taken at once.
            waiting -= 1
        requests = len(self._backlog) * _BACKLOG_FACTOR
        if waiting > 0:
            requests += waiting * _REQUEST_BYTES + sum(
                _unread_size(payload) for _, payload in self._messages
            )
        # Room for the body of the request in progress is counted apart.
        bodies = 0 if self._room else _unread_size(self._last_payload)
        transport = self.transport
        responses = self.response_bytes
        if transport is not None and self._paused:
            responses += transport.get_write_buffer_size() * _WRITE_FACTOR
            responses += _READ_AHEAD_BYTES
        heads = self._head_bytes * _HEAD_FACTOR
        return HeldBytes(heads, bodies, requests, responses)

    def holds_nothing(self) -> bool:
        """
        Return whether there is nothing to count, at little cost.

        A whole request that came at once is not counted if it is the only one:
        its handler takes it in the next turn.
        """
        if self._messages and (self._waiter is None or len(self._messages) > 1):
            return False
        if self._paused:
            return False
        if self._room is None and not self._last_payload.is_eof():
            return False
        return not (self._head_bytes or self.response_bytes or self._backlog)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, and limit what is read at once."""
        super().connection_made(transport)
        self._limit_read(_PARSE_BYTES)
        self._limit_buffers()
        self._guard.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop what the connection holds."""
        self._guard.discard(self)
        super().connection_lost(exc)
        self._drop_holdings()

    def data_received(self, data: bytes) -> None:
        """Parse bytes, as far as there is room and time for them."""
        is_postponed = self._backlog or self._has_heavy_framing
        if len(data) <= _PARSE_BYTES and not is_postponed:
            # Without bytes, the parser goes on with what it has kept.
            self._parse_piece(data)
        elif is_postponed and data:
            self._backlog += data
            self._pause_transport_reading()
            self._guard.postpone(self)
        else:
            self._parse_pieces(data)
        self._after_read()
        self._guard.note(self)

    def pause_writing(self) -> None:
        """Count what the caller does not read."""
        super().pause_writing()
        self._guard.note(self)

    def resume_writing(self) -> None:
        """Count what the caller has read no longer."""
        super().resume_writing()
        self._guard.note(self)

    def note_held(self) -> None:
        """Count what the handler of the request has changed."""
        if self.counted_bytes or not self.holds_nothing():
            self._guard.note(self)

    async def take_room(
        self, body_bytes: int, *, is_whole: bool
    ) -> Result[None, RoomRefusal]:
        """
        Hold room for the request in progress until ``close_room``.

        :param is_whole: whether its body has been received completely.
        """
        if self.take_room_now(body_bytes, is_whole=is_whole):
            return Ok(None)
        self._pause_transport_reading()
        try:
            taken = await self._guard.rooms.take(
                self, body_bytes, is_whole=is_whole
            )
        finally:
            if not (self._reading_paused or self._buffer_paused):
                self._resume_transport_reading()
        if isinstance(taken, Err):
            return Err(taken.err_value)
        self._hold(taken.ok_value)
        return Ok(None)

    def take_room_now(self, body_bytes: int, *, is_whole: bool) -> bool:
        """Hold room as ``take_room`` does, if there is no need to wait."""
        room = self._guard.rooms.take_now(self, body_bytes, is_whole=is_whole)
        if room is None:
            return False
        self._hold(room)
        return True

    def close_room(self) -> None:
        """Hold no room, as the request in progress is answered."""
        room = self._room
        if room is not None:
            room.close()
            self._room = None
            self._limit_read(_PARSE_BYTES)

    async def grow_room(self, size: int) -> Result[None, RoomRefusal]:
        """Hold this much for a body of unknown length."""
        if self._room is None:
            return Ok(None)
        return await self._guard.rooms.grow(self._room, size - self._room.size)

    def note_received(self, size: int) -> None:
        """Record that a part of the body in progress was read."""
        if self._room is not None:
            self._room.note_received(size)

    def end_receiving(self) -> None:
        """Record that the body in progress is whole."""
        if self._room is not None:
            self._room.is_receiving = False

    def keep_body(self) -> Callable[[], None] | None:
        """Hold the room of the body until a function is called."""
        return None if self._room is None else self._room.keep_body()

    def parse_next(self) -> bool:
        """Parse one postponed piece; return whether another can follow."""
        if self._force_close or self.transport is None:
            return False
        if not self._can_parse:
            return False
        size = _SMALL_PARSE_BYTES if self._has_heavy_framing else _PARSE_BYTES
        self._parse_piece(self._take_postponed(size))
        self._after_read()
        self._guard.note(self)
        if self._backlog:
            return self._can_parse
        if not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()
        return False

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on with postponed bytes before others are read."""
        super().resume_reading(resume_parser)
        if self._backlog:
            self._guard.postpone(self)

    def close_for(self, cause: CloseCause) -> None:
        """
        Close the connection at once, and drop what it holds.

        A request whose head or body is not whole gets 408: it has not run.
        """
        transport = self.transport
        if transport is None:
            return
        is_in_head = self._awaits_request_head and self._head_bytes
        is_in_body = self._room is not None and self._room.is_receiving
        if (is_in_head or is_in_body) and not self._paused:
            transport.write(_REQUEST_TIMEOUT_RESPONSE)
            self.force_close()
        else:
            transport.abort()
        self._backlog.clear()

    def _hold(self, room: Room[GuardedTransport]) -> None:
        self._room = room
        if room.is_receiving:
            self._limit_read(UPLOAD_READ_BYTES)
        if self.counted_bytes:
            self._guard.note(self)

    def _limit_buffers(self) -> None:
        """Limit what waits to be sent and, with TLS, what waits to be read."""
        transport: Any = self.transport
        transport.set_write_buffer_limits(_UNSENT_BYTES)
        if transport.get_extra_info('sslcontext') is not None:
            transport.set_read_buffer_limits(_PARSE_BYTES)

    def _limit_read(self, size: int) -> None:
        """Limit what is read from the socket at once."""
        transport: Any = self.transport
        if transport is not None:
            transport.max_size = size

    def _resume_reading_if_drained(self) -> None:
        super()._resume_reading_if_drained()
        if self._backlog and self._can_parse:
            self._guard.postpone(self)

    def _resume_transport_reading(self) -> None:
        if not self._backlog:
            super()._resume_transport_reading()

    def _after_read(self) -> None:
        """Do what follows each read."""

    def _limit_head(self) -> None:
        """Reject a head that is too large; called as it grows."""

    def _parse_pieces(self, data: bytes) -> None:
        for start in range(0, max(1, len(data)), _PARSE_BYTES):
            if self._is_broken:
                return
            if data and (self._has_heavy_framing or not self._can_parse):
                self._backlog += data[start:]
                self._pause_transport_reading()
                self._guard.postpone(self)
                return
            self._parse_piece(data[start : start + _PARSE_BYTES])

    def _parse_piece(self, piece: bytes) -> None:
        """Parse a piece; what follows bytes that are no request is dropped."""
        if self._is_broken:
            return
        body = self._last_payload
        body_before = body.total_bytes
        is_in_body = not body.is_eof()
        RequestHandler.data_received(self, piece)
        if self._messages and not isinstance(
            self._messages[-1][0], RawRequestMessage
        ):
            self._is_broken = True
            self._fail_body('the framing of the body is broken')
        if self._messages:
            self._head_bytes = 0
            self._last_payload = self._messages[-1][1]
        elif self._current_request is None and self._last_payload.is_eof():
            self._head_bytes += len(piece)
            self._limit_head()
        else:
            self._head_bytes = 0
        if is_in_body and body is self._last_payload:
            self._limit_framing(len(piece) - body.total_bytes + body_before)
        else:
            self._framing_bytes = 0
            self._has_heavy_framing = False

    def _limit_framing(self, framing_bytes: int) -> None:
        """Fail a body with much framing; slow down one with small chunks."""
        body = self._last_payload
        self._framing_bytes += framing_bytes
        self._has_heavy_framing = not body.is_eof() and (
            self._framing_bytes
            > _MIN_HEAVY_FRAMING_BYTES
            + (self._framing_bytes + body.total_bytes) // _HEAVY_FRAMING_DIVISOR
        )
        if self._framing_bytes > _MAX_EXTRA_FRAMING_BYTES + body.total_bytes:
            self._guard.note_close(CloseCause.framing, self.measure().total)
            self._is_broken = True
            self._backlog.clear()
            self._fail_body(CloseCause.framing.value)

    def _fail_body(self, why: str) -> None:
        """Fail a body that broke: its reader would wait for the idle time."""
        if not self._last_payload.is_eof():
            self._last_payload.set_exception(RequestPayloadError(why))
            self._last_payload.feed_eof()

    def _take_postponed(self, size: int) -> bytes:
        piece = bytes(self._backlog[:size])
        self._backlog = self._backlog[size:]
        return piece

    def _drop_holdings(self) -> None:
        """Free what a task of the connection would keep until it ends."""
        self._backlog.clear()
        self._last_payload = EMPTY_PAYLOAD
        self.response_bytes = 0


def _unread_size(payload: StreamReader) -> int:
    """Return the bytes of a body that nobody has read."""
    # The empty payload of requests without a body has no size.
    return getattr(payload, '_size', 0)


__all__ = ('GuardedConnection',)
