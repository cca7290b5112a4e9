"""The time for which a process holds a claim, and the duties done in it."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from burdockledge.duties._ports import (
    CallOutcome,
    Duty,
    FenceNumber,
    Lease,
    StoreRecord,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable, Mapping

    _Work = Callable[[], Coroutine[Any, Any, None]]
    Supervise = Callable[[_Work], asyncio.Task[Any]]

# Bounds of the time between two runs of a duty, whatever it asks for.
_MIN_RUN_SECONDS: Final = 0.02
_MAX_RUN_SECONDS: Final = 60.0
# How often a duty is told that the lease is valid again.
_INVALID_POLL_SECONDS: Final = 0.1
_CANCEL_RETRY_SECONDS: Final = 1.0


class LeaseOwner(ABC):
    """What a lease asks of the process that holds the claim."""

    @abstractmethod
    def is_valid(self, number: FenceNumber) -> bool:
        """Return whether a call with a number may be sent now."""

    @abstractmethod
    def records(self) -> Mapping[str, StoreRecord]:
        """Return the newest records of the topic."""

    @abstractmethod
    async def write(
        self, number: FenceNumber, key: str, content: bytes
    ) -> bool:
        """Write a record under the claim with a number."""

    @abstractmethod
    async def is_superseded(self, number: FenceNumber) -> bool:
        """Return whether the store shows a newer claim."""

    @abstractmethod
    def note_outcome(
        self, duty: str, number: FenceNumber, outcome: CallOutcome
    ) -> None:
        """Record how a call of a duty ended."""


class HeldLease(Lease):
    """The lease of one duty under one claim."""

    def __init__(
        self, owner: LeaseOwner, number: FenceNumber, duty: str
    ) -> None:
        """Create the lease of a duty."""
        self._owner = owner
        self._number = number
        self._duty = duty

    @property
    def fence_number(self) -> FenceNumber:
        """The number that all calls under this lease bear."""
        return self._number

    def is_valid(self) -> bool:
        """Return whether a call may be sent now; ask right before it."""
        return self._owner.is_valid(self._number)

    def records(self) -> Mapping[str, StoreRecord]:
        """Return the newest records of the topic, those of this host too."""
        return self._owner.records()

    async def write(self, key: str, content: bytes) -> bool:
        """Write a record while the lease holds."""
        return await self._owner.write(self._number, key, content)

    async def is_superseded(self) -> bool:
        """Return whether the store shows a newer claim of another host."""
        return await self._owner.is_superseded(self._number)

    def note_outcome(self, outcome: CallOutcome) -> None:
        """Record how a call ended; ``fenced`` ends the lease."""
        self._owner.note_outcome(self._duty, self._number, outcome)


class Term:
    """Runs the duties under one claim."""

    def __init__(self, number: FenceNumber, duties: Iterable[Duty]) -> None:
        """Create a term in which nothing runs yet."""
        self.number = number
        self._duties = tuple(duties)
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, owner: LeaseOwner, supervise: Supervise) -> None:
        """Run each duty in a task of its own."""
        for duty in self._duties:
            lease = HeldLease(owner, self.number, duty.name)
            self._tasks.add(supervise(partial(_run_forever, duty, lease)))

    async def stop(self) -> None:
        """End the runs and let the duties forget what held under the lease."""
        pending = self._tasks
        while pending:
            for task in pending:
                task.cancel()
            # A task may swallow a cancellation that coincides with a timeout
            # of its own, so cancel the remaining tasks again.
            _, pending = await asyncio.wait(
                pending, timeout=_CANCEL_RETRY_SECONDS
            )
        for duty in self._duties:
            duty.forget()


async def _run_forever(duty: Duty, lease: Lease) -> None:
    while True:
        if lease.is_valid():
            seconds = await duty.run(lease)
            seconds = min(max(seconds, _MIN_RUN_SECONDS), _MAX_RUN_SECONDS)
        else:
            seconds = _INVALID_POLL_SECONDS
        await asyncio.sleep(seconds)


__all__ = ('HeldLease', 'LeaseOwner', 'Term')
