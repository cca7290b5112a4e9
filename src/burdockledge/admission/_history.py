"""What a host learns of a service for the admission of its calls."""

from __future__ import annotations

import math
from typing import Final

from burdockledge.admission._counts import DecayingCounts

# Bursts last 2 to 9 s, and hardly change the share of two minutes.
_RECENT_SECONDS: Final = 3.0
_USUAL_SECONDS: Final = 120.0
# The share of a team is known from this many calls on.
_MIN_USUAL_CALLS: Final = 20.0
_MIN_TEAM_CALLS: Final = 4.0
# A team without calls before counts as one with half of an even share.
_MIN_EVEN_SHARE: Final = 0.5
# Fewer decisions on a kind say little about its share of refusals.
_MIN_DECISIONS: Final = 3.0
_SAMPLE_WEIGHT: Final = 0.1
# Refusals by servers are few, and each is certain.
_REFUSAL_WEIGHT: Final = 0.3
# Neutral prior: a queue as long as the slots.
_PRIOR_QUEUE_RATIO: Final = 2.0
_MAX_QUEUE_RATIO: Final = 8.0
_MIN_CORRECTION: Final = 0.25
_MAX_CORRECTION: Final = 4.0
# Shorter times are mostly that of the network.
_MIN_FORECAST_SECONDS: Final = 0.1


class ServiceHistory:
    """
    The recent calls of one service at this host.

    ``call_seconds`` is how long a call takes a slot, None before the first
    answer. ``queue_ratio`` is the number of calls for each slot from which a
    server refuses. Times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        """Start from neutral priors."""
        self.call_seconds: float | None = None
        self.queue_ratio = _PRIOR_QUEUE_RATIO
        # When a server last refused a call of this host for lack of room.
        self.refused_at = -math.inf
        self._corrections: dict[int, float] = {}
        self._run_corrections: dict[int, float] = {}
        self._recent_teams = DecayingCounts[str](_RECENT_SECONDS)
        self._usual_teams = DecayingCounts[str](_USUAL_SECONDS)
        self._decided = DecayingCounts[int](_RECENT_SECONDS)
        self._refused = DecayingCounts[int](_RECENT_SECONDS)

    def note_arrival(self, team: str, now: float) -> None:
        """Count a call of a team."""
        self._recent_teams.add(team, now)
        self._usual_teams.add(team, now)

    def note_decision(
        self, urgency: int, now: float, *, is_refused: bool
    ) -> None:
        """Count a call that was admitted or refused."""
        self._decided.add(urgency, now)
        if is_refused:
            self._refused.add(urgency, now)

    def note_answer(self, seconds: float, fill: float) -> None:
        """
        Learn from a complete answer.

        :param seconds: the time since the call was sent.
        :param fill: the calls per slot of the server when it was sent.
        """
        if self.call_seconds is None:
            self.call_seconds = seconds
        elif fill < 1:
            # A call that waited at the server took a slot for less time.
            self.call_seconds += _SAMPLE_WEIGHT * (seconds - self.call_seconds)
        if self.queue_ratio < fill <= _MAX_QUEUE_RATIO:
            self.queue_ratio += _SAMPLE_WEIGHT * (fill - self.queue_ratio)

    def note_server_refusal(self, fill: float, now: float) -> None:
        """
        Learn from a refusal by a server.

        Servers that refuse while they have free slots do so for other reasons.
        """
        if fill >= 1:
            self.refused_at = now
        if 1 <= fill < self.queue_ratio:
            self.queue_ratio += _REFUSAL_WEIGHT * (fill - self.queue_ratio)

    def note_first_event(
        self, urgency: int, forecast_seconds: float, seconds: float
    ) -> None:
        """Learn how far the forecast of a first event was off."""
        _learn_ratio(self._corrections, urgency, forecast_seconds, seconds)

    def note_run(
        self, urgency: int, forecast_seconds: float, seconds: float
    ) -> None:
        """Learn how far the forecast from first event to end was off."""
        _learn_ratio(self._run_corrections, urgency, forecast_seconds, seconds)

    def correction(self, urgency: int) -> float:
        """Return the ratio of actual to forecast waits, by urgency."""
        return self._corrections.get(urgency, 1.0)

    def run_correction(self, urgency: int) -> float:
        """
        Return the ratio of actual to forecast times from first event to end.

        Forecasts follow the size that callers ask for at most. Kinds of call
        with the same size differ in what they use of it.
        """
        return self._run_corrections.get(urgency, 1.0)

    def team_excess(self, team: str, now: float) -> float:
        """
        Return how much a team calls, in relation to the others.

        :return: a multiple of what is usual, 1 if that is not known.
        """
        recent, usual = self._recent_teams, self._usual_teams
        usual_total = usual.total(now)
        own = recent.count(team, now)
        others = recent.total(now) - own
        if usual_total < _MIN_USUAL_CALLS or min(own, others) < _MIN_TEAM_CALLS:
            return 1.0
        least = _MIN_EVEN_SHARE * usual_total / len(usual.known_keys())
        usual_own = max(usual.count(team, now), least)
        # A host gets few calls of a team: count only what isn't chance.
        certain = own - math.sqrt(own)
        return certain / others * (usual_total - usual_own) / usual_own

    def less_urgent_share(self, urgency: int, now: float) -> float:
        """Return the share of recent calls that are less urgent."""
        return sum(
            self._decided.share(other, now)
            for other in self._decided.known_keys()
            if other > urgency
        )

    def refused_share_of_more_urgent(self, urgency: int, now: float) -> float:
        """Return the largest share of refusals of a more urgent kind."""
        shares = [
            self._refused.count(other, now) / self._decided.count(other, now)
            for other in self._refused.known_keys()
            if other < urgency
            and self._decided.count(other, now) >= _MIN_DECISIONS
        ]
        return max(shares, default=0.0)


def _learn_ratio(
    ratios: dict[int, float],
    urgency: int,
    forecast_seconds: float,
    seconds: float,
) -> None:
    if forecast_seconds < _MIN_FORECAST_SECONDS:
        return
    ratio = min(
        _MAX_CORRECTION, max(_MIN_CORRECTION, seconds / forecast_seconds)
    )
    known = ratios.get(urgency, 1.0)
    ratios[urgency] = known + _SAMPLE_WEIGHT * (ratio - known)


__all__ = ('ServiceHistory',)
