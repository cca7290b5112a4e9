"""An in-memory fake of the platform's host list, with delayed updates."""

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
    """A host list whose changes become visible after a fixed lag."""

    def __init__(self, clock: Clock, lag_seconds: float) -> None:
        """Create an empty list."""
        self._clock = clock
        self._lag_seconds = lag_seconds
        self._entries: list[tuple[float, HostEntry]] = []
        self.is_down = False

    def put(self, name: str, kind: str, state: HostState) -> None:
        """Add or change an entry, which readers see after the lag."""
        entry = HostEntry(name=name, kind=kind, address=name, state=state)
        self._entries.append(
            (self._clock.monotonic() + self._lag_seconds, entry)
        )

    async def read(self) -> Result[tuple[HostEntry, ...], PlatformFailure]:
        """Return the latest visible entry of each host."""
        await asyncio.sleep(0)
        if self.is_down:
            return Err(PlatformFailure.unavailable)
        now = self._clock.monotonic()
        visible = {
            entry.name: entry
            for visible_at, entry in self._entries
            if visible_at <= now
        }
        return Ok(tuple(visible.values()))


__all__ = ('FakeHostList',)
