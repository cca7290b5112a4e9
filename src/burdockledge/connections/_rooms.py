"""Decides which requests may hold memory, and for how long they wait."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Generic, TypeVar

from result import Err, Ok, Result

KeyT = TypeVar('KeyT')

# The tasks and objects of a call in flight, at a host and towards its server.
CALL_BYTES: Final = 27 * 1024
# The task and objects of a request that waits.
WAITING_BYTES: Final = 16 * 1024
# Bodies that are still to be received leave this part of the bound to requests
# which came as a whole. Requests get it whatever connections hold besides.
_KEPT_DIVISOR: Final = 4
# How long a request waits for room: its caller may try another host then.
_MAX_WAIT_SECONDS: Final = 1.0
_REVIEW_SECONDS: Final = 0.1
# While others wait, a body has to grow by this much within this time.
_PROGRESS_BYTES: Final = 8 * 1024
_STALL_SECONDS: Final = 0.5
# Callers that are refused return within these times.
_MIN_RETRY_SECONDS: Final = 0.5
_MAX_RETRY_SECONDS: Final = 10.0
# The room that came free is remembered for about this long.
_RATE_SECONDS: Final = 5.0


@dataclass(frozen=True, slots=True)
class RoomRefusal:
    """There is no room for a request, probably for this many seconds."""

    retry_after_seconds: float


@dataclass(eq=False, slots=True)
class Room(Generic[KeyT]):
    """
    What one request may hold until it is closed, in bytes.

    ``is_receiving``: whether parts of its body are still to come.
    ``progressed_at`` is when it last grew by much, in seconds of the clock.
    ``is_ending``: whether its connection is being closed for other requests.
    ``is_body_kept``: whether the body may be held longer than the request.
    """

    keeper: RoomKeeper[KeyT]
    key: KeyT
    size: int
    is_receiving: bool
    progressed_at: float
    is_ending: bool = False
    is_body_kept: bool = False
    _is_answered: bool = False
    _unmarked_bytes: int = 0

    @property
    def body_bytes(self) -> int:
        """The part that is not for the call itself."""
        return self.size if self._is_answered else self.size - CALL_BYTES

    def note_received(self, size: int) -> None:
        """Record that the body has grown."""
        self._unmarked_bytes += size
        if self._unmarked_bytes >= _PROGRESS_BYTES:
            self._unmarked_bytes = 0
            self.progressed_at = self.keeper.clock()

    def keep_body(self) -> Callable[[], None]:
        """Hold the body until the function that is returned is called."""
        self.is_body_kept = True
        return self._end_body

    def shrink(self, size: int) -> None:
        """Give back what is over a size."""
        if self.size > size:
            freed_bytes = self.size - size
            self.size = size
            self.keeper.give_back(freed_bytes)

    def close(self) -> None:
        """Give back everything, or all but the body if it is kept."""
        self.is_receiving = False
        body_bytes = self.body_bytes
        self._is_answered = True
        if self.is_body_kept:
            self.shrink(body_bytes)
        else:
            self.keeper.discard(self)

    def _end_body(self) -> None:
        self.is_body_kept = False
        if self._is_answered:
            self.keeper.discard(self)
        else:
            self.shrink(CALL_BYTES)


@dataclass(eq=False, slots=True)
class _Waiter(Generic[KeyT]):
    """A request that waits until it can hold ``size`` more bytes."""

    size: int
    is_whole: bool
    is_granted: asyncio.Future[bool]
    is_room_taken: bool = False


@dataclass(eq=False, slots=True)
class RoomKeeper(Generic[KeyT]):
    """
    The room that all requests of a process share.

    ``limit_bytes`` bounds it together with ``other_bytes``, what connections
    hold besides. ``close_stalled`` is called for a request whose body has to
    make room for others; the room is free once it has been closed.
    ``on_freed`` is called with the bytes that came free.

    Requests whose body has come as a whole go before those that are still to
    be received, which may take three quarters of the bound.
    """

    clock: Callable[[], float]
    limit_bytes: int
    other_bytes: Callable[[], int]
    close_stalled: Callable[[KeyT], None]
    on_freed: Callable[[int], None]
    taken_bytes: int = 0
    _rooms: dict[Room[KeyT], None] = field(default_factory=dict)
    _waiters: deque[_Waiter[KeyT]] = field(default_factory=deque)
    _freed_bytes: int = 0
    # Times, and the bytes that had come free until then.
    _freed_until: deque[tuple[float, int]] = field(default_factory=deque)
    _promised_until: float = 0
    _review_handle: asyncio.TimerHandle | None = None

    @property
    def body_bytes(self) -> int:
        """What the bodies of all requests hold."""
        return sum(room.body_bytes for room in self._rooms)

    @property
    def request_count(self) -> int:
        """The number of requests that hold room."""
        return len(self._rooms)

    @property
    def waiting_bytes(self) -> int:
        """What the requests hold that wait for room."""
        return len(self._waiters) * WAITING_BYTES

    def take_now(
        self, key: KeyT, body_bytes: int, *, is_whole: bool
    ) -> Room[KeyT] | None:
        """Return what ``take`` returns, None if it would have to wait."""
        size = CALL_BYTES + body_bytes
        if self._has_waiter_before(is_whole=is_whole):
            return None
        if not self._fits(size, is_whole=is_whole):
            return None
        self.taken_bytes += size
        return self._add(key, size, is_whole=is_whole)

    async def take(
        self, key: KeyT, body_bytes: int, *, is_whole: bool
    ) -> Result[Room[KeyT], RoomRefusal]:
        """
        Return room for a call and its body; wait a while if there is none.

        :param is_whole: whether the body has been received completely.
        """
        room = self.take_now(key, body_bytes, is_whole=is_whole)
        if room is not None:
            return Ok(room)
        size = CALL_BYTES + body_bytes
        refusal = await self._wait(size, is_whole=is_whole)
        if refusal is not None:
            return Err(refusal)
        return Ok(self._add(key, size, is_whole=is_whole))

    async def grow(
        self, room: Room[KeyT], size: int
    ) -> Result[None, RoomRefusal]:
        """
        Add room for a body of unknown length.

        Without room, all but the oldest of such bodies are refused: if they
        waited for each other, none of them would be completed.
        """
        if self._fits(size, is_whole=False, own_bytes=room.size):
            self.taken_bytes += size
        else:
            refusal = await self._wait_to_grow(room, size)
            if refusal is not None:
                return Err(refusal)
        room.size += size
        return Ok(None)

    def give_back(self, size: int) -> None:
        """Free bytes, and grant them to those that wait."""
        self.taken_bytes -= size
        self._freed_bytes += size
        self.on_freed(size)
        if self._waiters:
            self._grant()

    def discard(self, room: Room[KeyT]) -> None:
        """Free all that a request holds."""
        if room in self._rooms:
            self._rooms.pop(room)
            room.shrink(0)

    def _add(self, key: KeyT, size: int, *, is_whole: bool) -> Room[KeyT]:
        room = Room(self, key, size, not is_whole, self.clock())
        self._rooms[room] = None
        return room

    def _has_waiter_before(self, *, is_whole: bool) -> bool:
        """Return whether another request has to be granted room first."""
        if is_whole:
            return bool(self._waiters) and self._waiters[0].is_whole
        return bool(self._waiters)

    def _fits(self, size: int, *, is_whole: bool, own_bytes: int = 0) -> bool:
        if self.taken_bytes <= own_bytes:
            # A single request is served even if it exceeds the bound.
            return True
        return size <= self._free_bytes(is_whole=is_whole)

    def _free_bytes(self, *, is_whole: bool) -> int:
        kept = self.limit_bytes // _KEPT_DIVISOR
        bound = max(kept, self.limit_bytes - self.other_bytes())
        if not is_whole:
            bound = min(bound, self.limit_bytes - kept)
        return bound - self.taken_bytes

    async def _wait_to_grow(
        self, room: Room[KeyT], size: int
    ) -> RoomRefusal | None:
        oldest = next(
            (other for other in self._rooms if other.is_receiving), None
        )
        if room is oldest:
            return await self._wait(size, is_whole=True)
        return self._refuse(size)

    async def _wait(self, size: int, *, is_whole: bool) -> RoomRefusal | None:
        """Wait for room and take it; return a refusal if none comes free."""
        waiter: _Waiter[KeyT] = _Waiter(
            size, is_whole, asyncio.get_running_loop().create_future()
        )
        if not self._enqueue(waiter):
            return self._refuse(size)
        self._review()
        is_granted = False
        try:
            async with asyncio.timeout(_MAX_WAIT_SECONDS):
                is_granted = await waiter.is_granted
        except TimeoutError:
            is_granted = self._leave(waiter)
        except asyncio.CancelledError:
            if self._leave(waiter):
                self.give_back(size)
            raise
        return None if is_granted else self._refuse(size)

    def _enqueue(self, waiter: _Waiter[KeyT]) -> bool:
        """
        Add a waiter behind those of its kind; whole requests go first.

        :return: whether there is a place; a whole request takes the last one
            of the others.
        """
        max_bytes = self.limit_bytes // _KEPT_DIVISOR
        if self.waiting_bytes >= max_bytes:
            last = self._waiters[-1]
            if last.is_whole or not waiter.is_whole:
                return False
            self._waiters.pop()
            if not last.is_granted.done():
                last.is_granted.set_result(False)
        position = len(self._waiters)
        if waiter.is_whole:
            position = sum(1 for other in self._waiters if other.is_whole)
        self._waiters.insert(position, waiter)
        return True

    def _leave(self, waiter: _Waiter[KeyT]) -> bool:
        """Return whether a waiter has got its room, and wait no longer."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            return False
        return waiter.is_room_taken

    def _grant(self) -> None:
        while self._waiters:
            waiter = self._waiters[0]
            if not self._fits(waiter.size, is_whole=waiter.is_whole):
                return
            self._waiters.popleft()
            self.taken_bytes += waiter.size
            waiter.is_room_taken = True
            # If the wait was cancelled, its task gives the room back.
            if not waiter.is_granted.done():
                waiter.is_granted.set_result(True)

    def _review(self) -> None:
        """Grant what came free, and close what does not grow, repeatedly."""
        self._grant()
        if self._review_handle is not None:
            return
        self._note_freed(self.clock())
        if self._waiters:
            self._close_stalled()
            self._review_handle = asyncio.get_running_loop().call_later(
                _REVIEW_SECONDS, self._review_again
            )

    def _review_again(self) -> None:
        self._review_handle = None
        self._review()

    def _close_stalled(self) -> None:
        """Close bodies that do not grow, as far as others wait for room."""
        now = self.clock()
        missing = sum(waiter.size for waiter in self._waiters)
        missing -= max(0, self._free_bytes(is_whole=False))
        stalled = [
            room
            for room in self._rooms
            if room.is_receiving and now - room.progressed_at >= _STALL_SECONDS
        ]
        stalled.sort(
            key=lambda room: room.size * (now - room.progressed_at),
            reverse=True,
        )
        for room in stalled:
            if missing <= 0:
                return
            missing -= room.size
            if not room.is_ending:
                room.is_ending = True
                self.close_stalled(room.key)

    def _refuse(self, size: int) -> RoomRefusal:
        """
        Return when there may be room.

        Each refusal names a time behind those before it, so that callers do
        not all return at once.
        """
        now = self.clock()
        rate = max(
            self._freeing_rate(now), self.limit_bytes / _MAX_RETRY_SECONDS
        )
        self._promised_until = max(now, self._promised_until) + size / rate
        seconds = self._promised_until - now
        if seconds > _MAX_RETRY_SECONDS:
            self._promised_until = now + _MAX_RETRY_SECONDS
            seconds = _MAX_RETRY_SECONDS
        return RoomRefusal(max(_MIN_RETRY_SECONDS, seconds))

    def _note_freed(self, now: float) -> None:
        self._freed_until.append((now, self._freed_bytes))
        while self._freed_until[0][0] < now - _RATE_SECONDS:
            self._freed_until.popleft()

    def _freeing_rate(self, now: float) -> float:
        """Return the bytes a second that came free lately."""
        if not self._freed_until:
            return 0
        noted_at, freed_bytes = self._freed_until[0]
        seconds = max(_REVIEW_SECONDS, now - noted_at)
        return (self._freed_bytes - freed_bytes) / seconds


__all__ = ('CALL_BYTES', 'WAITING_BYTES', 'Room', 'RoomKeeper', 'RoomRefusal')
