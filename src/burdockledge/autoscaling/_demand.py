"""Estimates how many servers a service needs, from its calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.autoscaling._types import Demand
from burdockledge.scheduling import (
    HISTORY_SECONDS,
    PERIOD_SECONDS,
    ServiceDemand,
    Work,
    total_work,
)

if TYPE_CHECKING:
    from burdockledge.scheduling import ServiceTiming

# After the first call prefix caches are empty, so each shared prompt part is
# prefilled once. Servers that boot meanwhile have empty caches, too, and that
# work is gone before they help: it counts towards no size.
_WARM_UP_SECONDS: Final = 8.0
# Longer than a burst (2 to 9 s), which the mean must not follow.
_MEAN_SECONDS: Final = 20.0
# Just after the first call, the mean is over this time.
_MIN_MEAN_SECONDS: Final = 3.0
# The shortest bursts last 2 s.
_PEAK_SECONDS: Final = 2.0
_LATEST_SECONDS: Final = 1.0
# Pauses are learnt at few running calls. Their line is not followed further
# than this multiple of the pause of a single call.
_MAX_PAUSE_RATIO: Final = 4.0


@dataclass(frozen=True, slots=True)
class ServerRates:
    """
    The time that a full server takes for a token, in seconds.

    ``slots`` is how many calls it runs at a time.
    """

    prefill_seconds: float
    output_seconds: float
    slots: float

    @classmethod
    def learnt(cls, timing: ServiceTiming, slots: float) -> ServerRates:
        """Return the rates of an engine as the calls have shown them."""
        pause_seconds = min(
            timing.pause_seconds(round(slots)),
            _MAX_PAUSE_RATIO * timing.pause_seconds(1),
        )
        # The least unit of the estimate is one event, hence a large number.
        tokens = 1_000_000
        events_per_token = timing.expected_events(tokens) / tokens
        return cls(
            1 / timing.prefill_tokens_per_second,
            events_per_token * pause_seconds / slots,
            slots,
        )

    def servers(self, works: list[Work]) -> float:
        """Return how many servers the work of these periods keeps busy."""
        work = total_work(works)
        return self._servers(
            work.prefill_tokens, work.output_tokens, len(works)
        )

    def urgent_servers(self, works: list[Work]) -> float:
        """Return how many of them the urgent calls keep busy."""
        work = total_work(works)
        return self._servers(
            work.urgent_prefill_tokens, work.urgent_output_tokens, len(works)
        )

    def _servers(
        self, prefill_tokens: int, output_tokens: int, periods: int
    ) -> float:
        busy_seconds = (
            prefill_tokens * self.prefill_seconds
            + output_tokens * self.output_seconds
        )
        return busy_seconds / (max(1, periods) * PERIOD_SECONDS)


def estimate_demand(
    history: ServiceDemand, rates: ServerRates, running_calls: int, now: float
) -> Demand:
    """Return the demand of a service from the calls of the last minute."""
    if history.first_call_at is None:
        return Demand()
    traffic_seconds = max(0.0, now - history.first_call_at)
    warm_seconds = traffic_seconds - _WARM_UP_SECONDS
    if warm_seconds < _PEAK_SECONDS:
        return Demand(
            running=running_calls / rates.slots,
            traffic_seconds=traffic_seconds,
        )
    works = history.by_period(now, min(HISTORY_SECONDS, warm_seconds))
    mean_works = works[-_periods(_mean_seconds(warm_seconds)) :]
    width = min(len(works), _periods(_PEAK_SECONDS))
    return Demand(
        mean=rates.servers(mean_works),
        urgent=rates.urgent_servers(mean_works),
        peak=max(
            rates.servers(works[start : start + width])
            for start in range(len(works) - width + 1)
        ),
        latest=rates.servers(works[-_periods(_LATEST_SECONDS) :]),
        running=running_calls / rates.slots,
        traffic_seconds=traffic_seconds,
    )


def _mean_seconds(traffic_seconds: float) -> float:
    return min(_MEAN_SECONDS, max(_MIN_MEAN_SECONDS, traffic_seconds))


def _periods(seconds: float) -> int:
    return round(seconds / PERIOD_SECONDS)


__all__ = ('ServerRates', 'estimate_demand')
