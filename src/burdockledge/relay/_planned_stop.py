"""The planned exit of the process, and the calls that it may cut off."""

from __future__ import annotations

import asyncio
import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockledge.clock import Clock

# How long callers that find hosts through the directory may still call a
# stopping host. A later call is refused if it may outlast the host: it has
# not run yet, so its caller can safely send it elsewhere.
_DIRECTORY_DELAY_SECONDS: Final = 2.5
# The delay takes at most this share of the time until the exit, so that a
# short grace leaves time to refuse calls.
_MAX_DELAY_SHARE: Final = 0.5
STOPPING: Final = 'this host is stopping'


class PlannedStop:
    """
    The planned exit of the process, if there is one.

    Calls in flight get an answer before the exit. Deadlines are in seconds of
    the monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        """Plan no exit."""
        self._clock = clock
        self._refuse_from = math.inf
        self._exits_at = math.inf
        self._time_limits: set[asyncio.Timeout] = set()

    @property
    def is_over(self) -> bool:
        """Whether the time until the exit is over."""
        return self._clock.monotonic() >= self._exits_at

    def plan(self, delay_seconds: float) -> None:
        """
        Plan the exit after a delay.

        A later call can only bring the exit forward. It also corrects the
        time limits of calls for the time in which the machine was frozen.
        """
        delay_seconds = max(0.0, delay_seconds)
        now = self._clock.monotonic()
        if self._exits_at == math.inf:
            self._refuse_from = now + min(
                _DIRECTORY_DELAY_SECONDS, _MAX_DELAY_SHARE * delay_seconds
            )
        self._exits_at = min(self._exits_at, now + delay_seconds)
        delay_seconds = max(0.0, self._exits_at - now)
        latest = asyncio.get_running_loop().time() + delay_seconds
        for limit in self._time_limits:
            if not limit.expired():
                limit.reschedule(min(limit.when() or latest, latest))

    def would_cut_off(self, deadline: float) -> bool:
        """Return whether the exit may cut off a call that is sent now."""
        return (
            self._clock.monotonic() >= self._refuse_from
            and deadline > self._exits_at
        )

    def seconds_until(self, deadline: float) -> float:
        """Return the seconds until a deadline or the exit, if that is first."""
        now = self._clock.monotonic()
        return max(0.0, min(deadline, self._exits_at) - now)

    @asynccontextmanager
    async def time_limit(self, deadline: float) -> AsyncIterator[None]:
        """
        Limit the time of a block by a deadline and by the exit.

        :raises TimeoutError: if the block takes longer, also if the exit is
            planned within the block.
        """
        async with asyncio.timeout(self.seconds_until(deadline)) as limit:
            self._time_limits.add(limit)
            try:
                yield
            finally:
                self._time_limits.discard(limit)


__all__ = ('STOPPING', 'PlannedStop')
