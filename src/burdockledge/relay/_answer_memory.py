"""Bounds the memory of answers that a host holds until they are complete."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Final

from burdockledge.relay._ports import OversizedResponseError

if TYPE_CHECKING:
    from types import TracebackType

    from burdockledge.relay._ports import ServerResponse

# An answer that is not a stream is held until it is complete. The bound is
# that of the largest request bodies by default.
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
# Every call may hold this much of an answer at any time; most answers are
# smaller, so none of them waits for the large ones of others.
MAX_SMALL_BYTES: Final = 64 * 1024
# What all larger answers of a host together may hold: a tenth of the memory of
# the smallest hosts, and several of the largest answers.
MAX_LARGE_BYTES: Final = 4 * MAX_BODY_BYTES


_Waiter = tuple[int, 'asyncio.Future[None]']


class AnswerMemory:
    """
    The memory that the large answers of a host share.

    Calls that need more than is free wait, and their servers with them, in
    the order in which they asked.
    """

    def __init__(self, size: int = MAX_LARGE_BYTES) -> None:
        """Create a memory that is free, with room for one answer at least."""
        self._free = max(MAX_BODY_BYTES, min(MAX_LARGE_BYTES, size))
        self._waiters: deque[_Waiter] = deque()

    @property
    def free(self) -> int:
        """The bytes that no answer has taken."""
        return self._free

    async def take(self, size: int) -> None:
        """Wait until some bytes are free, and take them."""
        if not self._waiters and size <= self._free:
            self._free -= size
            return
        is_taken = asyncio.get_running_loop().create_future()
        waiter = (size, is_taken)
        self._waiters.append(waiter)
        try:
            await is_taken
        except asyncio.CancelledError:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                size = 0
            self.give_back(size)
            raise

    def give_back(self, size: int) -> None:
        """Free bytes that were taken."""
        self._free += size
        while self._waiters and self._waiters[0][0] <= self._free:
            taken_size, is_taken = self._waiters.popleft()
            self._free -= taken_size
            # A cancelled one gives them back as its task goes on.
            if not is_taken.done():
                is_taken.set_result(None)


class HeldAnswer:
    """What one answer holds, within a ``with`` block."""

    def __init__(self, memory: AnswerMemory) -> None:
        """Create an answer that holds nothing."""
        self._memory = memory
        self._taken = 0

    def __enter__(self) -> HeldAnswer:
        """Return this answer."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Give all back."""
        self.shrink(0)

    async def grow(self, size: int, max_size: int) -> None:
        """
        Hold some bytes, once there is memory for them.

        A large answer takes at once what it may need in the end: if answers
        waited for more while they hold some, all might wait for each other.
        """
        if size > MAX_SMALL_BYTES and not self._taken:
            await self._memory.take(max_size)
            self._taken = max_size

    def shrink(self, size: int) -> None:
        """Give back what is over the bytes that are still held."""
        kept = size if size > MAX_SMALL_BYTES else 0
        if self._taken > kept:
            self._memory.give_back(self._taken - kept)
            self._taken = kept


async def read_body(response: ServerResponse, held: HeldAnswer) -> bytes:
    """
    Return the whole body of a response.

    :raises IncompleteResponseError: if the body ends early.
    :raises OversizedResponseError: if it is longer than ``MAX_BODY_BYTES``;
        if the response says so itself, before any of it is read.
    """
    max_bytes = MAX_BODY_BYTES
    if response.length is not None:
        if response.length > max_bytes:
            raise OversizedResponseError
        max_bytes = response.length
    body = bytearray()
    async for chunk in response.chunks():
        size = len(body) + len(chunk)
        if size > max_bytes:
            raise OversizedResponseError
        await held.grow(size, max_bytes)
        body += chunk
    held.shrink(len(body))
    return bytes(body)


__all__ = (
    'MAX_BODY_BYTES',
    'MAX_LARGE_BYTES',
    'MAX_SMALL_BYTES',
    'AnswerMemory',
    'HeldAnswer',
    'read_body',
)
