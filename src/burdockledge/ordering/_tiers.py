"""Strict priority between tiers, with a guaranteed share for each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockledge.ordering._fair_queue import FairQueue

if TYPE_CHECKING:
    from burdockledge.ordering._waiting_offer import WaitingOffer

_WHOLE_SLOT = 1
# Sums of shares such as 0.1 may fall short of 1 by floating-point rounding.
_ROUNDING_TOLERANCE = 1e-9


class TierQueues:
    """
    The queues of all tiers of one backend server; tier 0 is the highest.

    ``size`` is the number of waiting offers. ``is_last_pop_by_share`` tells
    whether the offer popped last was chosen by its tier's guaranteed share.
    """

    def __init__(self) -> None:
        """Create no queues; a tier's queue is created on first use."""
        self._queues: dict[int, FairQueue] = {}
        self._shares: dict[int, float] = {}
        self._credits: dict[int, float] = {}
        self.size = 0
        self.is_last_pop_by_share = False

    def set_guaranteed_shares(self, shares: dict[int, float]) -> None:
        """Set the fraction of freed slots that each tier is guaranteed."""
        self._shares = shares

    def queue(self, tier: int) -> FairQueue:
        """Return the queue of a tier; create it if there is none."""
        queue = self._queues.get(tier)
        if queue is None:
            queue = FairQueue()
            self._queues[tier] = queue
            self._queues = dict(sorted(self._queues.items()))
        return queue

    def waiting_tiers(self) -> list[int]:
        """Return the tiers with waiting offers, the highest first."""
        return [tier for tier, queue in self._queues.items() if queue.size]

    def push(self, waiting: WaitingOffer) -> None:
        """Add an offer."""
        self.queue(waiting.offer.tier).push(waiting)
        self.size += 1

    def withdraw(self, waiting: WaitingOffer) -> None:
        """Withdraw an offer that waits."""
        self.queue(waiting.offer.tier).withdraw(waiting)
        self.size -= 1

    def pop(self, now: float) -> WaitingOffer | None:
        """
        Remove and return the next offer.

        While a tier waits behind a higher one, each freed slot adds the
        tier's share to its credit. A tier with a credit of one whole slot
        gets the slot ahead of higher tiers and starts again at no credit.
        """
        tiers = self.waiting_tiers()
        if not tiers:
            return None
        self.size -= 1
        chosen = self._choose_tier(tiers)
        self.is_last_pop_by_share = chosen != tiers[0]
        return self._queues[chosen].pop(now)

    def offers_ahead(self, tier: int, team: str) -> float:
        """
        Estimate how many offers are granted before a new one of a team.

        Fair queueing lets a team with few waiting offers pass teams with
        many.
        """
        in_higher_tiers = sum(
            queue.size for other, queue in self._queues.items() if other < tier
        )
        in_own_tier = self._offers_ahead_in_tier(tier, team)
        share = self._shares.get(tier, 0.0)
        by_priority = in_higher_tiers + in_own_tier
        if share <= 0:
            return by_priority
        return min(by_priority, in_own_tier / share)

    def _offers_ahead_in_tier(self, tier: int, team: str) -> float:
        queue = self.queue(tier)
        turns = (queue.team_size(team) + 1) * queue.waiting_team_count
        return min(queue.size, turns)

    def _choose_tier(self, tiers: list[int]) -> int:
        highest = tiers[0]
        chosen = highest
        for tier in tiers[1:]:
            credit = self._credits.get(tier, 0.0)
            credit += self._shares.get(tier, 0.0)
            self._credits[tier] = min(credit, _WHOLE_SLOT)
            if (
                credit + _ROUNDING_TOLERANCE >= _WHOLE_SLOT
                and chosen == highest
            ):
                chosen = tier
        if chosen != highest:
            self._credits[chosen] = 0.0
        return chosen


__all__ = ('TierQueues',)
