"""
Weighted fair queueing between the teams of one tier.

Source: Sheng et al., "Fairness in Serving Large Language Models", 2024: the
virtual token counter. A team that returns after idle time starts at the least
counter of the waiting teams, so it gains no credit for that time. While two
teams both have waiting offers, their weighted service differs by at most
twice the largest charge.
"""

from __future__ import annotations

import heapq
from collections import deque
from itertools import count
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from burdockledge.ordering._waiting_offer import WaitingOffer

_LATE_TURN_INTERVAL: Final = 4
_PRUNE_INTERVAL_POPS: Final = 4096


class _TeamQueue:
    """
    The waiting offers of one team, earliest due first; late offers come last.

    ``counter`` is the tokens charged to the team, divided by its weight.
    ``size`` excludes withdrawn offers, which are removed lazily.
    """

    def __init__(self) -> None:
        self.counter = 0.0
        self.weight = 1.0
        self.size = 0
        self._on_time: list[tuple[float, int, WaitingOffer]] = []
        self._late: deque[WaitingOffer] = deque()
        self._sequence = count()
        self._pop_count = 0

    def push(self, waiting: WaitingOffer) -> None:
        self.weight = waiting.offer.weight
        heapq.heappush(
            self._on_time,
            (waiting.due_at, next(self._sequence), waiting),
        )
        self.size += 1

    def pop(self, now: float) -> WaitingOffer | None:
        """Remove and return the next offer; each fourth may be a late one."""
        self._move_late_offers(now)
        self._pop_count += 1
        is_late_turn = self._pop_count % _LATE_TURN_INTERVAL == 0
        if self._late and (is_late_turn or not self._on_time):
            return self._late.popleft()
        if self._on_time:
            return heapq.heappop(self._on_time)[2]
        return None

    def _move_late_offers(self, now: float) -> None:
        while self._on_time:
            due_at, _, waiting = self._on_time[0]
            if not waiting.is_withdrawn and due_at >= now:
                break
            heapq.heappop(self._on_time)
            if not waiting.is_withdrawn:
                self._late.append(waiting)
        while self._late and self._late[0].is_withdrawn:
            self._late.popleft()


class FairQueue:
    """
    The waiting offers of one tier, with a queue for each team.

    ``size`` is the number of offers, without those withdrawn.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._teams: dict[str, _TeamQueue] = {}
        self._counter_heap: list[tuple[float, int, str]] = []
        self._sequence = count()
        self._min_counter = 0.0
        self._pop_count = 0
        self._waiting_team_count = 0
        self.size = 0

    @property
    def waiting_team_count(self) -> int:
        """The number of teams with waiting offers."""
        return self._waiting_team_count

    def team_size(self, team: str) -> int:
        """Return the number of waiting offers of a team."""
        queue = self._teams.get(team)
        return 0 if queue is None else queue.size

    def counter(self, team: str) -> float:
        """Return a team's weighted service: charged tokens over its weight."""
        queue = self._teams.get(team)
        return self._min_counter if queue is None else queue.counter

    def push(self, waiting: WaitingOffer) -> None:
        """Add an offer."""
        team = waiting.offer.team
        queue = self._teams.get(team)
        if queue is None:
            queue = _TeamQueue()
            self._teams[team] = queue
        if queue.size == 0:
            queue.counter = max(queue.counter, self._least_counter())
            self._push_team(team, queue)
            self._waiting_team_count += 1
        queue.push(waiting)
        self.size += 1

    def withdraw(self, waiting: WaitingOffer) -> None:
        """Withdraw an offer that is in the queue; repeating has no effect."""
        if waiting.is_withdrawn:
            return
        waiting.is_withdrawn = True
        self._remove_one(self._teams[waiting.offer.team])

    def pop(self, now: float) -> WaitingOffer | None:
        """Remove and return the next offer of the team with least service."""
        team = self._least_served_team()
        if team is None:
            return None
        queue = self._teams[team]
        waiting = queue.pop(now)
        if waiting is None:
            raise RuntimeError('team queue has a size but no offer')
        self._min_counter = max(self._min_counter, queue.counter)
        self._remove_one(queue)
        self._prune_idle_teams()
        return waiting

    def charge(self, team: str, weight: float, tokens: float) -> None:
        """
        Add tokens to a team's counter, divided by its weight.

        A negative number corrects an earlier charge that was too high.
        """
        queue = self._teams.get(team)
        if queue is None:
            queue = _TeamQueue()
            queue.counter = self._min_counter
            self._teams[team] = queue
        queue.counter += tokens / weight
        # The heap corrects an entry that is too low when it reaches the top,
        # but it would find one that is too high only later.
        if tokens < 0 and queue.size:
            self._push_team(team, queue)

    def _remove_one(self, queue: _TeamQueue) -> None:
        queue.size -= 1
        self.size -= 1
        if queue.size == 0:
            self._waiting_team_count -= 1

    def _least_counter(self) -> float:
        team = self._least_served_team()
        if team is None:
            return self._min_counter
        return max(self._min_counter, self._teams[team].counter)

    def _least_served_team(self) -> str | None:
        """
        Return the waiting team with the least counter.

        Heap entries with an outdated counter are replaced or dropped.
        """
        while self._counter_heap:
            counter, _, team = self._counter_heap[0]
            queue = self._teams.get(team)
            if queue is None or queue.size == 0 or counter > queue.counter:
                heapq.heappop(self._counter_heap)
            elif counter < queue.counter:
                heapq.heapreplace(
                    self._counter_heap, self._heap_entry(team, queue)
                )
            else:
                return team
        return None

    def _heap_entry(
        self, team: str, queue: _TeamQueue
    ) -> tuple[float, int, str]:
        return (queue.counter, next(self._sequence), team)

    def _push_team(self, team: str, queue: _TeamQueue) -> None:
        heapq.heappush(self._counter_heap, self._heap_entry(team, queue))

    def _prune_idle_teams(self) -> None:
        """Drop idle teams whose counter is not above the least counter."""
        self._pop_count += 1
        if self._pop_count % _PRUNE_INTERVAL_POPS:
            return
        self._teams = {
            team: queue
            for team, queue in self._teams.items()
            if queue.size or queue.counter > self._min_counter
        }


__all__ = ('FairQueue',)
