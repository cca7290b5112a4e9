"""The slot scheduler: tiers, shares, refusals, leases and yields."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from burdockledge.ordering import LEASE_SECONDS, SlotScheduler
from burdockledge.wire import Grant, Offer, Refusal, Release, Yield


def make_offer(number: int, tier: int = 0, budget_ms: int = 10**9) -> Offer:
    """Return an offer with a number as its request id."""
    return Offer(number.to_bytes(16), 's', tier, f't{tier}', 1, budget_ms, 10)


def granted_numbers(messages: list) -> list[int]:
    """Return the numbers of the offers that were granted."""
    return [
        int.from_bytes(outgoing.message.request)
        for outgoing in messages
        if isinstance(outgoing.message, Grant)
    ]


def release_slot(scheduler: SlotScheduler, number: int, now: float = 1) -> list:
    """Release a slot with 10 served tokens."""
    release = Release(number.to_bytes(16), 's', 10)
    return scheduler.release(release, 'h', now)


def test_grants_do_not_exceed_the_slots() -> None:
    """Offers beyond the slots wait for a release."""
    scheduler = SlotScheduler('s', 1, 10)
    assert granted_numbers(scheduler.offer(make_offer(1), 'h', 0)) == [1]
    assert granted_numbers(scheduler.offer(make_offer(2), 'h', 0)) == []
    assert granted_numbers(release_slot(scheduler, 1)) == [2]


def test_higher_tier_goes_first() -> None:
    """An offer of tier 0 passes an earlier one of tier 2."""
    scheduler = SlotScheduler('s', 1, 10)
    scheduler.offer(make_offer(1), 'h', 0)
    scheduler.offer(make_offer(2, tier=2), 'h', 0)
    scheduler.offer(make_offer(3, tier=0), 'h', 0)
    assert granted_numbers(release_slot(scheduler, 1)) == [3]


def test_lowest_tier_gets_its_guaranteed_share() -> None:
    """A tier with a share of 0.1 gets one slot in ten from a busy tier 0."""
    scheduler = SlotScheduler('s', 1, 1000)
    scheduler.tiers.set_guaranteed_shares({2: 0.1})
    scheduler.offer(make_offer(999), 'h', 0)
    for number in range(1, 101):
        scheduler.offer(make_offer(number), 'h', 0)
        scheduler.offer(make_offer(number + 200, tier=2), 'h', 0)
    granted_order: list[int] = []
    running = 999
    for _ in range(100):
        (running,) = granted_numbers(release_slot(scheduler, running))
        granted_order.append(running)
    assert sum(number > 200 for number in granted_order) == 10


def test_full_queue_refuses_newest_offer_of_lowest_tier() -> None:
    """An offer displaces one of a lower tier, but not of its own tier."""
    scheduler = SlotScheduler('s', 1, 2)
    scheduler.offer(make_offer(1), 'h', 0)
    scheduler.offer(make_offer(2, tier=2), 'h', 0)
    scheduler.offer(make_offer(3, tier=2), 'h', 0)
    (outgoing,) = scheduler.offer(make_offer(4, tier=0), 'h', 0)
    assert isinstance(outgoing.message, Refusal)
    assert outgoing.message.request == make_offer(3).request
    (outgoing,) = scheduler.offer(make_offer(5, tier=2), 'h', 0)
    assert outgoing.message.request == make_offer(5).request


def test_offer_that_would_be_late_is_refused() -> None:
    """An offer is refused if its expected wait exceeds its wait budget."""
    scheduler = SlotScheduler('s', 1, 100)
    for number in range(10):
        scheduler.offer(make_offer(number), 'h', number * 10)
        release_slot(scheduler, number, number * 10 + 10)
    scheduler.offer(make_offer(50), 'h', 200)
    scheduler.offer(make_offer(51), 'h', 200)
    (outgoing,) = scheduler.offer(make_offer(52, budget_ms=500), 'h', 200)
    assert isinstance(outgoing.message, Refusal)
    assert outgoing.message.retry_after_ms > 0


@pytest.mark.parametrize('now', [0.0, LEASE_SECONDS + 1.0])
def test_unrenewed_slot_is_granted_to_another(now: float) -> None:
    """After the lease, the slot goes to the offer of another host."""
    scheduler = SlotScheduler('s', 1, 10)
    scheduler.offer(make_offer(1), 'h', 0)
    scheduler.offer(make_offer(2), 'other', 1)
    expected_grants = [2] if now else []
    scheduler.offer(make_offer(2), 'other', now)
    assert granted_numbers(scheduler.expire(now)) == expected_grants


def test_grant_is_repeated_for_a_repeated_offer() -> None:
    """The first grant may have been lost; the offer still takes one slot."""
    scheduler = SlotScheduler('s', 1, 10)
    scheduler.offer(make_offer(1), 'h', 0)
    assert granted_numbers(scheduler.offer(make_offer(1), 'h', 1)) == [1]
    assert scheduler.running_count == 1


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 3)), max_size=80))
def test_no_slot_is_free_while_an_offer_waits(
    steps: list[tuple[int, int]],
) -> None:
    """Releases, offers and lost hosts in any order keep all slots in use."""
    scheduler = SlotScheduler('s', 3, 1000)
    for now, (number, action) in enumerate(steps):
        if action == 0:
            release_slot(scheduler, number, now)
        elif action == 1:
            scheduler.drop_host('other', now)
        else:
            host = 'h' if action == 2 else 'other'
            scheduler.offer(make_offer(number, tier=number % 3), host, now)
        assert scheduler.running_count <= 3
        assert scheduler.running_count == 3 or scheduler.waiting_count == 0
        assert scheduler.tiers.size == scheduler.waiting_count


def make_resumable_offer(number: int, tier: int) -> Offer:
    """Return an offer whose request may be asked to yield."""
    return replace(make_offer(number, tier), resumable=True)


def yield_numbers(messages: list) -> list[int]:
    """Return the numbers of the requests that are asked to yield."""
    return [
        int.from_bytes(outgoing.message.request)
        for outgoing in messages
        if isinstance(outgoing.message, Yield)
    ]


def test_newest_request_of_lowest_tier_yields_first() -> None:
    """One slot is asked back for each waiting offer of the highest tier."""
    scheduler = SlotScheduler('s', 3, 10)
    scheduler.offer(make_resumable_offer(1, 2), 'h', 0)
    scheduler.offer(make_resumable_offer(2, 3), 'h', 1)
    scheduler.offer(make_resumable_offer(3, 3), 'h', 2)
    assert yield_numbers(scheduler.offer(make_offer(4), 'h', 3)) == [3]
    assert yield_numbers(scheduler.offer(make_offer(5), 'h', 3)) == [2]


@pytest.mark.parametrize(
    ('running', 'waiting'),
    [
        (make_resumable_offer(1, 0), make_offer(2, 2)),
        (make_resumable_offer(1, 0), make_offer(2, 0)),
        (make_offer(1, 2), make_offer(2, 0)),
    ],
)
def test_request_is_not_asked_to_yield(running: Offer, waiting: Offer) -> None:
    """
    A request yields only to a higher tier, and only if it is resumable.

    The cases are a waiting offer of a lower tier, one of the same tier, and a
    running request that is not resumable.
    """
    scheduler = SlotScheduler('s', 1, 10)
    scheduler.offer(running, 'h', 0)
    assert yield_numbers(scheduler.offer(waiting, 'h', 1)) == []


def test_slot_granted_by_share_is_not_asked_back() -> None:
    """Asking it back would leave the tier without its guaranteed share."""
    scheduler = SlotScheduler('s', 1, 10)
    scheduler.tiers.set_guaranteed_shares({2: 1.0})
    scheduler.offer(make_offer(9), 'h', 0)
    scheduler.offer(make_resumable_offer(1, 2), 'h', 0)
    scheduler.offer(make_offer(2), 'h', 0)
    assert granted_numbers(release_slot(scheduler, 9)) == [1]
    assert yield_numbers(scheduler.offer(make_offer(3), 'h', 1)) == []
