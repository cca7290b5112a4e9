"""The schedule by which one host at a time reads the store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from burdockledge.hashing import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

# Hosts of this and later ranks have the delay of this rank, plus jitter.
_MAX_RANK: Final = 3
_DELAY_PERIODS_PER_RANK: Final = 0.3
_MIN_RETRY_SECONDS: Final = 0.25
_MAX_RETRY_SECONDS: Final = 1.5
_MAX_DOUBLINGS: Final = 8
# Hosts that call the store for the same reason at the same time spread their
# calls so that it gets one in this time.
_CALL_SPACING_SECONDS: Final = 0.05


def turn_delay_seconds(host_count: int, jitter: float) -> float:
    """
    Return when a host takes its turn at calls that all hosts have to make.

    :param jitter: a random number from 0 to 1.
    """
    return host_count * _CALL_SPACING_SECONDS * jitter


class ReadSchedule:
    """
    Staggers the reads of the hosts without coordination.

    A host reads once the last known read is older than a limit that grows
    with the rank of the host. Normally only the first host reads: it shares
    its reads, so that the limits of the others are not reached. When its
    reads fail or do not arrive, the hosts of the next ranks read.
    """

    def __init__(self, period_seconds: float) -> None:
        """Let the host of the first rank read every ``period_seconds``."""
        self._period_seconds = period_seconds
        self._consecutive_failures = 0
        self._last_read_at = 0.0

    def set_period(self, period_seconds: float) -> None:
        """Set the period at which the host of the first rank reads."""
        self._period_seconds = period_seconds

    @property
    def consecutive_failures(self) -> int:
        """The number of failed reads of this host since its last success."""
        return self._consecutive_failures

    def record_read(self, succeeded: bool, now: float) -> None:
        """Record the result of a read by this host at the time ``now``."""
        self._consecutive_failures = (
            0 if succeeded else self._consecutive_failures + 1
        )
        self._last_read_at = now

    def due_at(
        self,
        own_host: str,
        hosts: Iterable[str],
        fresh_at: float,
        jitter: float,
    ) -> float:
        """
        Return the time at which this host should read next.

        After failed reads it is also at least an exponential backoff after
        the last one. Times are in seconds of the same monotonic clock.

        :param hosts: all hosts that read; ``own_host`` may be missing.
        :param fresh_at: the time of the last read by any host.
        :param jitter: a random number from 0 to 1.
        """
        own_rank = rank('reader', {own_host, *hosts}).index(own_host)
        rank_steps = own_rank if own_rank < _MAX_RANK else _MAX_RANK + jitter
        due_at = fresh_at + self._period_seconds * (
            1 + _DELAY_PERIODS_PER_RANK * rank_steps
        )
        if not self._consecutive_failures:
            return due_at
        return max(due_at, self._last_read_at + self.backoff_seconds(jitter))

    def backoff_seconds(self, jitter: float) -> float:
        """Return the least time between reads, 0 without failed ones."""
        if not self._consecutive_failures:
            return 0.0
        doublings = min(self._consecutive_failures - 1, _MAX_DOUBLINGS)
        seconds = _MIN_RETRY_SECONDS * math.pow(2, doublings)
        return min(seconds, _MAX_RETRY_SECONDS) * (1 + jitter / 2)

    def is_failing(self, fresh_at: float | None) -> bool:
        """Return whether no host has read since this one last failed."""
        is_fresh = fresh_at is not None and fresh_at > self._last_read_at
        return bool(self._consecutive_failures) and not is_fresh

    def end_backoff(self) -> None:
        """Let this host read when it is due, whatever failed before."""
        self._consecutive_failures = 0


__all__ = ('ReadSchedule', 'turn_delay_seconds')
