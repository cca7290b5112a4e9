"""Fair queueing between teams: bounded gap, no credit for idle time."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockledge.ordering import FairQueue, WaitingOffer
from burdockledge.wire import Offer


def make_waiting_offer(
    team: str, due_at: float = 1e9, weight: float = 1
) -> WaitingOffer:
    """Return a waiting offer of a team."""
    offer = Offer(b'r', 's', 0, team, weight, 0, 1)
    return WaitingOffer(offer, 'h', due_at, 0)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    costs=st.lists(st.integers(1, 50), min_size=60, max_size=120),
    weights=st.tuples(st.integers(1, 4), st.integers(1, 4)),
)
def test_service_gap_is_bounded(
    costs: list[int], weights: tuple[int, int]
) -> None:
    """
    Weighted service differs by at most twice the largest charge.

    Both teams have waiting offers all the time.
    """
    queue = FairQueue()
    teams = {'a': weights[0], 'b': weights[1]}
    for _ in costs:
        for team, weight in teams.items():
            queue.push(make_waiting_offer(team, weight=weight))
    served = dict.fromkeys(teams, 0.0)
    for cost in costs:
        popped = queue.pop(0)
        assert popped is not None
        team = popped.offer.team
        queue.charge(team, popped.offer.weight, cost)
        served[team] += cost / teams[team]
        assert abs(served['a'] - served['b']) <= 2 * max(costs)


def test_idle_time_earns_no_credit() -> None:
    """A team that was idle shares the turns with a team that was busy."""
    queue = FairQueue()
    for _ in range(200):
        queue.push(make_waiting_offer('busy'))
    for _ in range(100):
        popped = queue.pop(0)
        assert popped is not None
        queue.charge('busy', 1, 10)
    for _ in range(50):
        queue.push(make_waiting_offer('back'))
    served_teams: list[str] = []
    for _ in range(20):
        popped = queue.pop(0)
        assert popped is not None
        queue.charge(popped.offer.team, 1, 10)
        served_teams.append(popped.offer.team)
    assert served_teams.count('busy') >= 9


def test_earliest_due_offer_goes_first() -> None:
    """Offers of one team are served in the order of their due times."""
    queue = FairQueue()
    for due_at in (3.0, 1.0, 2.0):
        queue.push(make_waiting_offer('a', due_at))
    popped = [queue.pop(0) for _ in range(3)]
    assert [waiting.due_at for waiting in popped if waiting] == [1.0, 2.0, 3.0]


def test_late_offers_get_one_turn_in_four() -> None:
    """Late offers must not starve those that can still be in time."""
    queue = FairQueue()
    for _ in range(8):
        queue.push(make_waiting_offer('a', 1))
        queue.push(make_waiting_offer('a', 100))
    popped = [queue.pop(50) for _ in range(8)]
    late = [waiting for waiting in popped if waiting and waiting.due_at == 1]
    assert len(late) == 2


def test_withdrawn_offer_is_skipped() -> None:
    """A withdrawn offer is not returned and does not count in the size."""
    queue = FairQueue()
    withdrawn, kept = make_waiting_offer('a', 1), make_waiting_offer('a', 2)
    queue.push(withdrawn)
    queue.push(kept)
    queue.withdraw(withdrawn)
    assert queue.size == 1
    assert queue.pop(0) is kept
    assert queue.pop(0) is None
