"""
Tracks the health of backend servers by the requests of this host.

A server that fails, or is slow in comparison to the others, is excluded; then
it is probed with single requests until it answers in time again.
"""

from __future__ import annotations

import enum
import statistics
from typing import TYPE_CHECKING, ClassVar, Final

from transitions import Machine

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockledge.clock import Clock
    from burdockledge.telemetry import TimeLine

_SMOOTHING_FACTOR: Final = 0.3
_SLOW_RATIO: Final = 2.5
_MIN_SLOW_SECONDS: Final = 0.05
_PROBE_INTERVAL_SECONDS: Final = 1
_FAILURES_TO_EXCLUDE: Final = 2


class HealthState(enum.Enum):
    """
    Whether this host uses a backend server.

    A server that is probing gets one request per probe interval.
    """

    healthy = 'healthy'
    excluded = 'excluded'
    probing = 'probing'


class ServerHealth:
    """
    The health of one backend server.

    ``first_token_seconds`` is the smoothed time to the first token, or None
    before the first sample. ``excluded_or_probed_at`` is the time of the last
    exclusion or probe, by the host's monotonic clock.
    """

    state: HealthState
    _machine: ClassVar[Machine] = Machine(
        model=None,
        states=HealthState,
        initial=HealthState.healthy,
        auto_transitions=False,
        transitions=[
            {'trigger': 'exclude', 'source': '*', 'dest': 'excluded'},
            {'trigger': 'probe', 'source': 'excluded', 'dest': 'probing'},
            {'trigger': 'restore', 'source': '*', 'dest': 'healthy'},
        ],
    )

    def __init__(self) -> None:
        """Start as healthy, without samples."""
        self.first_token_seconds: float | None = None
        self.consecutive_failures = 0
        self.excluded_or_probed_at = 0.0
        self._machine.add_model(self)

    def add_sample(self, seconds: float) -> None:
        """Add a time to the first token to the moving average."""
        if self.first_token_seconds is None:
            self.first_token_seconds = seconds
            return
        change = seconds - self.first_token_seconds
        self.first_token_seconds += _SMOOTHING_FACTOR * change


class HealthTracker:
    """The health of all backend servers that this host uses."""

    def __init__(self, clock: Clock, time_line: TimeLine) -> None:
        """Create a tracker without servers."""
        self._clock = clock
        self._time_line = time_line
        self._servers: dict[str, ServerHealth] = {}

    def usable(self, names: Iterable[str]) -> list[str]:
        """
        Return the servers that may be used, or all if none may be used.

        Returning a server that is not healthy counts as a probe: the server is
        left out of the results until the probe interval has passed.
        """
        candidates = list(names)
        return [
            name for name in candidates if self._is_usable(name)
        ] or candidates

    def record_first_token(self, name: str, seconds: float) -> None:
        """
        Record a time to the first token.

        A server that is slow in comparison to the others is excluded; one that
        was excluded or probed is healthy again if it is not slow.
        """
        health = self._health(name)
        health.add_sample(seconds)
        health.consecutive_failures = 0
        if self._is_slow(health, seconds):
            self._exclude(name, health, 'slow')
        elif health.state is not HealthState.healthy:
            health.first_token_seconds = seconds
            health.restore()  # type: ignore[attr-defined]
            self._time_line.record('server-restored', name)

    def record_failure(
        self, name: str, *, is_unreachable: bool = False
    ) -> None:
        """
        Record a broken stream or failed call.

        :param is_unreachable: whether the request could not be sent at all.
            Such a server is excluded after the first failure.
        """
        health = self._health(name)
        health.consecutive_failures += 1
        if (
            is_unreachable
            or health.consecutive_failures >= _FAILURES_TO_EXCLUDE
        ):
            self._exclude(name, health, 'failing')

    def record_overdue(self, name: str, seconds: float) -> None:
        """Record that a stream has had no first token for some seconds."""
        health = self._health(name)
        if self._is_slow(health, seconds):
            self._exclude(name, health, 'overdue')

    def hedge_delay_seconds(self, names: Iterable[str]) -> float:
        """
        Return how long to wait for a first token before a hedge is sent.

        This is the median time of the healthy ones among the servers times the
        slow ratio, but at least a fixed minimum.
        """
        median_seconds = self._median_first_token_seconds(
            self._health(name) for name in names
        )
        return max(_MIN_SLOW_SECONDS, median_seconds * _SLOW_RATIO)

    def _health(self, name: str) -> ServerHealth:
        health = self._servers.get(name)
        if health is None:
            health = ServerHealth()
            self._servers[name] = health
        return health

    def _is_usable(self, name: str) -> bool:
        health = self._health(name)
        if health.state is HealthState.healthy:
            return True
        elapsed_seconds = self._clock.monotonic() - health.excluded_or_probed_at
        if elapsed_seconds < _PROBE_INTERVAL_SECONDS:
            return False
        # A probe may end without a result; the next one is allowed after the
        # same interval.
        health.excluded_or_probed_at = self._clock.monotonic()
        if health.state is HealthState.excluded:
            health.probe()  # type: ignore[attr-defined]
        return True

    def _is_slow(self, health: ServerHealth, seconds: float) -> bool:
        median_seconds = self._median_first_token_seconds(
            other for other in self._servers.values() if other is not health
        )
        if not median_seconds:
            return False
        return seconds > max(_MIN_SLOW_SECONDS, median_seconds * _SLOW_RATIO)

    def _median_first_token_seconds(
        self, servers: Iterable[ServerHealth]
    ) -> float:
        samples = [
            health.first_token_seconds
            for health in servers
            if health.first_token_seconds is not None
            and health.state is HealthState.healthy
        ]
        return statistics.median(samples) if samples else 0.0

    def _exclude(self, name: str, health: ServerHealth, reason: str) -> None:
        health.excluded_or_probed_at = self._clock.monotonic()
        if health.state is HealthState.excluded:
            return
        health.exclude()  # type: ignore[attr-defined]
        self._time_line.record('server-excluded', name, detail=reason)


__all__ = ('HealthState', 'HealthTracker', 'ServerHealth')
