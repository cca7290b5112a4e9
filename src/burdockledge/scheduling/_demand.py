"""Counts what all calls of a service ask of its servers, by time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockledge.scheduling._call_start import CallStart

# Short enough for the demand of the last second.
PERIOD_SECONDS: Final = 0.5
# A minute of history, in which the largest burst is looked for.
HISTORY_SECONDS: Final = 60.0
_KEPT_PERIODS: Final = round(HISTORY_SECONDS / PERIOD_SECONDS) + 1
# Calls of these urgencies are served first when servers are lost.
_LEAST_URGENT: Final = 1


class Work(NamedTuple):
    """
    What calls ask of servers.

    The tokens are those to prefill, and the limits of output. Urgent calls
    are counted in both.
    """

    calls: int = 0
    prefill_tokens: int = 0
    output_tokens: int = 0
    urgent_prefill_tokens: int = 0
    urgent_output_tokens: int = 0


@dataclass(slots=True)
class _Period:
    """The work of the calls that were sent in one period."""

    number: int
    calls: int = 0
    prefill_tokens: int = 0
    output_tokens: int = 0
    urgent_prefill_tokens: int = 0
    urgent_output_tokens: int = 0

    def work(self) -> Work:
        """Return the work, to add it up."""
        return Work(
            self.calls,
            self.prefill_tokens,
            self.output_tokens,
            self.urgent_prefill_tokens,
            self.urgent_output_tokens,
        )


class ServiceDemand:
    """
    The work of the calls of a service in the last minute.

    Times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        """Create a history without calls."""
        self.first_call_at: float | None = None
        self._periods: deque[_Period] = deque(maxlen=_KEPT_PERIODS)

    def add(self, call: CallStart, now: float) -> None:
        """Count a call that any host sent to a server."""
        number = int(now / PERIOD_SECONDS)
        periods = self._periods
        if not periods or periods[-1].number < number:
            if self.first_call_at is None:
                self.first_call_at = now
            periods.append(_Period(number))
        period = periods[-1]
        period.calls += 1
        period.prefill_tokens += call.prefill_tokens
        period.output_tokens += call.max_output_tokens
        if call.urgency <= _LEAST_URGENT:
            period.urgent_prefill_tokens += call.prefill_tokens
            period.urgent_output_tokens += call.max_output_tokens

    def by_period(self, now: float, seconds: float) -> list[Work]:
        """
        Return the work of each whole period that ended lately, oldest first.

        :param seconds: how long ago the first one began, about.
        """
        end = int(now / PERIOD_SECONDS)
        count = min(_KEPT_PERIODS - 1, round(seconds / PERIOD_SECONDS))
        works = {period.number: period.work() for period in self._periods}
        idle = Work()
        return [works.get(number, idle) for number in range(end - count, end)]


def total_work(works: Iterable[Work]) -> Work:
    """Return the sum of the work of several periods."""
    return Work(*(sum(column) for column in zip(Work(), *works, strict=True)))


__all__ = (
    'HISTORY_SECONDS',
    'PERIOD_SECONDS',
    'ServiceDemand',
    'Work',
    'total_work',
)
