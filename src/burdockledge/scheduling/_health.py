"""Judges the health of backend servers by the results of recent calls."""

from __future__ import annotations

import copy
import enum
from collections.abc import Collection
from dataclasses import dataclass, field, replace
from typing import Final

# The weight of a result halves in this time.
_HALF_LIFE_SECONDS: Final = 2.0
# Successes credited to every server in addition to those seen.
_PRIOR_SUCCESSES: Final = 4.0
_MIN_PAUSE_SECONDS: Final = 0.5
_MAX_PAUSE_SECONDS: Final = 4.0
# A server that other hosts can't reach is paused only once this many hosts
# report it.
_MIN_REPORTING_HOSTS: Final = 2
_REPORT_WINDOW_SECONDS: Final = 3.0


class CallResult(enum.IntEnum):
    """
    How a send of a call to a server ended.

    ``failed`` is a response with a server error, one that can't be read, or a
    success without the server's seal; ``unreachable`` covers failed
    connections, time-outs and responses that were cut off. A ``refused`` call
    provably did not run, an ``abandoned`` one was cancelled.
    """

    answered = 0
    failed = 1
    unreachable = 2
    refused = 3
    abandoned = 4


@dataclass(slots=True)
class _ServerHealth:
    """
    Decayed counts of results, and the state of the pause of one instance.

    ``unreachable_reports`` holds, by host, the time of its last report that
    the instance is unreachable.
    """

    successes: float = 0.0
    failures: float = 0.0
    decayed_at: float = 0.0
    pause_until: float = 0.0
    pause_seconds: float = 0.0
    unreachable_reports: dict[str, float] = field(default_factory=dict)


class HealthTracker:
    """
    Judges server instances by the results of this and the other hosts.

    An unreachable instance is paused, each time for twice as long, and
    tried again after the pause, until a call of this host is answered. A
    report of a single other host pauses nothing, as the fault may be in that
    host's own network link. Times are in seconds of the monotonic clock.
    """

    def __init__(self, own_host: str) -> None:
        """Create a tracker without results."""
        self._own_host = own_host
        self._servers: dict[str, _ServerHealth] = {}

    def snapshot(self) -> HealthTracker:
        """Return a copy on which queries change nothing here."""
        other = copy.copy(self)
        other.unshare()
        return other

    def unshare(self) -> None:
        """Stop sharing with another copy what queries may change."""
        self._servers = {
            instance_id: replace(server)
            for instance_id, server in self._servers.items()
        }

    def record(
        self, instance_id: str, result: CallResult, host: str, now: float
    ) -> None:
        """Record the result of a host's call to an instance."""
        if result is CallResult.refused or result is CallResult.abandoned:
            return
        server = self._servers.setdefault(
            instance_id, _ServerHealth(decayed_at=now)
        )
        _decay(server, now)
        if result is CallResult.answered:
            server.successes += 1
            if host == self._own_host:
                server.pause_seconds = 0.0
                server.pause_until = 0.0
            return
        server.failures += 1
        if result is CallResult.unreachable:
            self._record_unreachable(server, host, now)

    def is_paused(self, instance_id: str, now: float) -> bool:
        """Return whether new calls should go to other instances."""
        server = self._servers.get(instance_id)
        return server is not None and now < server.pause_until

    def failure_rate(self, instance_id: str, now: float) -> float:
        """Return the weighted share of recent calls that failed, 0 to 1."""
        server = self._servers.get(instance_id)
        if server is None:
            return 0.0
        _decay(server, now)
        return server.failures / (
            server.successes + server.failures + _PRIOR_SUCCESSES
        )

    def risk(self, instance_id: str, now: float) -> float | None:
        """Return the failure rate of an instance, None while it is paused."""
        server = self._servers.get(instance_id)
        if server is None:
            return 0.0
        if now < server.pause_until:
            return None
        # Nearly always; the decay of what doesn't fail isn't needed.
        return self.failure_rate(instance_id, now) if server.failures else 0.0

    def retain(self, instance_ids: Collection[str]) -> None:
        """Drop the results of all instances but these."""
        for instance_id in tuple(self._servers):
            if instance_id not in instance_ids:
                self._servers.pop(instance_id)

    def _record_unreachable(
        self, server: _ServerHealth, host: str, now: float
    ) -> None:
        server.unreachable_reports[host] = now
        recent = [
            reporting_host
            for reporting_host, seen_at in server.unreachable_reports.items()
            if now - seen_at < _REPORT_WINDOW_SECONDS
        ]
        if host != self._own_host and len(recent) < _MIN_REPORTING_HOSTS:
            return
        if now < server.pause_until:
            return
        doubled = max(_MIN_PAUSE_SECONDS, 2 * server.pause_seconds)
        server.pause_seconds = min(doubled, _MAX_PAUSE_SECONDS)
        server.pause_until = now + server.pause_seconds


def _decay(server: _ServerHealth, now: float) -> None:
    if now == server.decayed_at:
        return
    factor = 0.5 ** (max(0.0, now - server.decayed_at) / _HALF_LIFE_SECONDS)
    server.successes *= factor
    server.failures *= factor
    server.decayed_at = now


__all__ = ('CallResult', 'HealthTracker')
