"""The platform's host list in memory, with its lag."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from burdockledge.platform_api import (
    HostEntry,
    HostListClient,
    HostState,
    PlatformFailure,
)

if TYPE_CHECKING:
    from burdockledge.clock import Clock


class FakeHostList(HostListClient):
    """Shows entries only after the lag."""

    def __init__(self, clock: Clock, lag_seconds: float) -> None:
        """Create an empty list."""
        self._clock = clock
        self._lag = lag_seconds
        self._entries: list[tuple[float, HostEntry]] = []
        self.is_down = False

    def put(self, name: str, kind: str, state: HostState) -> None:
        """Change an entry; readers see it after the lag."""
        entry = HostEntry(name=name, kind=kind, address=name, state=state)
        self._entries.append((self._clock.monotonic() + self._lag, entry))

    async def read(self) -> Result[tuple[HostEntry, ...], PlatformFailure]:
        """Return the newest visible state of each host."""
        await asyncio.sleep(0)
        if self.is_down:
            return Err(PlatformFailure.unavailable)
        now = self._clock.monotonic()
        shown = {entry.name: entry for at, entry in self._entries if at <= now}
        return Ok(tuple(shown.values()))


__all__ = ('FakeHostList',)
