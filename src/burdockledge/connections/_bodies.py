"""Receives the bodies of requests within the room that they are granted."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING, Final, cast

from aiohttp.web_protocol import RequestPayloadError
from result import Err, Ok, Result

from burdockledge.connections._limits import UPLOAD_READ_BYTES
from burdockledge.connections._rooms import RoomRefusal

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

    from burdockledge.connections._protocol import GuardedConnection

Body = bytes | bytearray
# Called with the bytes of a body that have been received.
_Grow = Callable[[int], Awaitable[Result[None, RoomRefusal]]]

# Room that a body of unknown length has at least beyond what was received.
_UNREAD_BYTES: Final = 3 * UPLOAD_READ_BYTES


class BodyFailure(enum.Enum):
    """Why a body was not received."""

    too_large = 'the body is too large'
    stopped = 'the body stopped'
    broken = 'the body is broken'


async def receive_body(
    request: BaseRequest,
    max_bytes: int,
    idle_seconds: float | None = None,
    factor: int = 1,
) -> Result[Body, BodyFailure | RoomRefusal]:
    """
    Return the whole body of a request, once there is room for its call.

    The room is held until the handler of the request calls ``close_room`` of
    its connection, unless the body is given up before.

    :param max_bytes: the largest body that is allowed.
    :param idle_seconds: the time limit between two parts of the body.
    :param factor: how many bytes are held for each byte of the body.
    """
    connection = cast('GuardedConnection', request.protocol)
    content = request.content
    whole = _take_whole(request, connection, max_bytes, factor)
    if whole is not None:
        return Ok(whole)
    length = _body_length(request)
    if (length or 0) > max_bytes:
        return Err(BodyFailure.too_large)
    is_whole = content.is_eof()
    taken = await connection.take_room(
        _first_bytes(length, is_whole=is_whole) * factor, is_whole=is_whole
    )
    if isinstance(taken, Err):
        return Err(taken.err_value)
    if not request.body_exists:
        return Ok(b'')
    content.set_read_chunk_size(UPLOAD_READ_BYTES)
    receiver = _Receiver(request, connection, max_bytes, idle_seconds)
    if length is None:
        return await receiver.receive(partial(_grow, connection, factor))
    return await receiver.receive(_keep_size)


def _take_whole(
    request: BaseRequest,
    connection: GuardedConnection,
    max_bytes: int,
    factor: int,
) -> bytes | None:
    """Return a body that has come as a whole, if there is room at once."""
    content = request.content
    if not content.is_eof() or content.exception() is not None:
        return None
    size = content.total_bytes if request.body_exists else 0
    if size > max_bytes:
        return None
    if not connection.take_room_now(size * factor, is_whole=True):
        return None
    return content.read_nowait() if size else b''


def _body_length(request: BaseRequest) -> int | None:
    """Return the bytes that a body will have, None if that is not known."""
    if not request.body_exists:
        return 0
    if request.content.is_eof():
        return request.content.total_bytes
    if 'Content-Encoding' in request.headers:
        # Its length may be that of a compressed body.
        return None
    return request.content_length


def _first_bytes(length: int | None, *, is_whole: bool) -> int:
    """Return the room that a body needs before it is received."""
    if length is None:
        return _UNREAD_BYTES
    # A buffer that grows has up to an eighth more than its bytes.
    return length if is_whole else length + length // 8


async def _keep_size(received: int) -> Result[None, RoomRefusal]:
    """Add no room: the whole body has some."""
    return Ok(None)


async def _grow(
    connection: GuardedConnection, factor: int, received: int
) -> Result[None, RoomRefusal]:
    """Add room for a body of unknown length as it becomes scarce."""
    needed = (received + _UNREAD_BYTES) * factor
    if needed <= connection.room_bytes:
        return Ok(None)
    return await connection.grow_room(needed)


def _joined(body: Body, part: bytes) -> Body:
    """Return a body with another part, in its buffer if it has one."""
    if not body:
        return part
    if isinstance(body, bytes):
        body = bytearray(body)
    body += part
    return body


class _Receiver:
    """Receives one body."""

    def __init__(
        self,
        request: BaseRequest,
        connection: GuardedConnection,
        max_bytes: int,
        idle_seconds: float | None,
    ) -> None:
        self._content = request.content
        self._connection = connection
        self._max_bytes = max_bytes
        self._idle_seconds = idle_seconds

    async def receive(
        self, grow: _Grow
    ) -> Result[Body, BodyFailure | RoomRefusal]:
        """
        Return the body; its parts are joined as they come.

        :param grow: adds room as the body grows.
        """
        body: Body = b''
        while True:
            received = await self._receive_part()
            if isinstance(received, Err):
                return received
            body = _joined(body, received.ok_value)
            if len(body) > self._max_bytes:
                return Err(BodyFailure.too_large)
            if self._content.at_eof():
                self._connection.end_receiving()
                return Ok(body)
            self._connection.note_received(len(received.ok_value))
            grown = await grow(len(body))
            if isinstance(grown, Err):
                return grown

    async def _receive_part(self) -> Result[bytes, BodyFailure]:
        """Return the next bytes of the body, empty at its end."""
        try:
            async with asyncio.timeout(self._idle_seconds):
                return Ok(await self._content.readany())
        except TimeoutError:
            return Err(BodyFailure.stopped)
        except RequestPayloadError:
            return Err(BodyFailure.broken)


__all__ = ('Body', 'BodyFailure', 'receive_body')
