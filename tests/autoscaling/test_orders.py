"""Orders of servers under loads and failures, in virtual time."""

from __future__ import annotations

from collections.abc import MutableMapping
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from burdockledge.autoscaling import Demand, Pool, ServerKind
from burdockledge.calls import AutoscaleConfiguration
from burdockledge.duties import CallOutcome
from tests.autoscaling.platform import (
    AUTOSCALE,
    BOOT_SECONDS,
    BURST_DEMAND,
    MEAN_DEMAND,
    SERVICE,
    Scene,
    even_fleet,
    normal,
    spot,
)

REPEAT_SECONDS = BOOT_SECONDS + 2
REFUSALS = [
    CallOutcome.failed,
    CallOutcome.limited,
    CallOutcome.unavailable,
    CallOutcome.not_sent,
]


def mixed_fleet(count: int = 10) -> dict[Pool, int]:
    """Return spot servers in each data centre, and one normal server."""
    fleet = {spot(name): count for name in AUTOSCALE.prices}
    return {**fleet, normal('b'): 1, spot('b'): count - 1}


@pytest.mark.parametrize(
    ('highest', 'size', 'least_ready', 'seconds'),
    [(40, 23, 45, 8), (20, 20, 45, 38), (16, 16, 45, 98), (15, 15, 22, 28)],
)
def test_before_traffic_the_kinds_change_and_a_reserve_is_added(
    highest: int, size: int, least_ready: int, seconds: float
) -> None:
    """Guards against a dip in servers, or a fleet that stays expensive."""
    scene = Scene(even_fleet())
    scene.fleet.autoscale = replace(AUTOSCALE, max_servers=highest)
    scene.play(seconds)
    assert scene.totals() == {'a': size, 'b': size, 'c': size}
    assert scene.kinds()[ServerKind.normal] == 1
    assert scene.least_ready >= least_ready


def test_servers_that_register_late_count_in_the_size() -> None:
    """Guards against a fleet that is cut to what was known at first."""
    scene = Scene(even_fleet(7))
    scene.play(0.5)
    for name in AUTOSCALE.prices:
        scene.platform.carry_out_late(normal(name), 15, boot_seconds=0)
    scene.play(10)
    assert scene.totals() == {'a': 23, 'b': 23, 'c': 23}
    assert scene.least_ready == 21


def test_random_loads_and_faults_stay_within_the_bounds() -> None:
    """Guards against counts outside of the bounds in any state."""
    for seed in range(30):
        random = Random(seed)
        lowest, highest = random.choice([(1, 16), (5, 20), (2, 40), (15, 15)])
        scene = Scene(even_fleet())
        scene.fleet.autoscale = replace(
            AUTOSCALE, min_servers=lowest, max_servers=highest
        )
        for step in range(40):
            mean = random.choice([1, 13, 30, 200])
            if step > 4:
                scene.fleet.demand = Demand(
                    mean, mean / 2, 2 * mean, 2 * mean, mean, step * 4
                )
            scene.platform.outcome = random.choice([None, None, *REFUSALS])
            scene.platform.is_carried_out = scene.platform.outcome is None
            if random.random() < 0.1:
                scene.platform.reclaim(random.choice('abc'))
            if random.random() < 0.1:
                scene.change_holder()
            scene.play(4)
        ordered: dict[Pool, int] = {
            normal(name): 15 for name in AUTOSCALE.prices
        }
        for order in scene.platform.orders:
            if order.outcome is CallOutcome.accepted:
                ordered[order.pool] = order.count
            for name in AUTOSCALE.prices:
                total = ordered.get(normal(name), 0) + ordered.get(
                    spot(name), 0
                )
                assert lowest <= total <= highest


def test_a_quiet_fleet_shrinks_in_few_steps_to_the_mean() -> None:
    """Guards against a size beyond need, and against constant removals."""
    scene = Scene(even_fleet())
    scene.play(16)
    before = len(scene.platform.orders)
    for _ in range(100):
        scene.fleet.demand = replace(MEAN_DEMAND, traffic_seconds=scene.now)
        scene.play(1)
    total = sum(scene.totals().values())
    assert 13 / 0.45 <= total <= 13 / 0.45 + 2
    steps = {order.at for order in scene.platform.orders[before:]}
    # A fifth less each time: 69, 56, 45, 36, 29.
    assert len(steps) == 4
    cheap, even, dear = (scene.totals()[name] for name in 'bac')
    assert cheap >= even >= dear >= total / 12


def test_a_noisy_demand_causes_few_orders() -> None:
    """Guards against servers that come and go with each arrival."""
    random = Random(5)
    scene = Scene(mixed_fleet())
    for _ in range(240):
        scene.fleet.demand = Demand(
            random.uniform(12, 14),
            6,
            random.uniform(16, 20),
            random.uniform(9, 17),
            random.uniform(10, 16),
            100,
        )
        scene.play(0.5)
    assert len(scene.platform.orders) <= 12
    assert scene.least_ready >= 27


def test_a_burst_beyond_the_headroom_adds_servers_for_a_minute() -> None:
    """Guards against a fleet too small for the burst that just was."""
    scene = Scene(mixed_fleet(8))
    scene.fleet.demand = MEAN_DEMAND
    scene.play(3)
    scene.fleet.demand = BURST_DEMAND
    ordered_at = scene.now
    scene.play(1)
    additions = [
        order for order in scene.platform.orders if order.at >= ordered_at
    ]
    assert additions
    assert all(order.pool.kind is ServerKind.spot for order in additions)
    scene.play(8)
    # The burst is over, but it stays the busiest time of the last minute.
    scene.fleet.demand = replace(MEAN_DEMAND, peak=BURST_DEMAND.peak)
    scene.play(30)
    assert sum(scene.totals().values()) >= BURST_DEMAND.peak / 0.85


@pytest.mark.parametrize(
    ('reclaimed', 'has_more_normal'), [('a', False), ('ab', True)]
)
def test_reclaimed_servers_are_replaced(
    reclaimed: str, has_more_normal: bool
) -> None:
    """Guards against callers without servers while no spot server is left."""
    scene = Scene(mixed_fleet())
    scene.fleet.demand = replace(MEAN_DEMAND, traffic_seconds=1)
    # The size before the reclaim is known.
    scene.play(3.5)
    reclaimed_at = scene.now
    scene.platform.unavailable_until[ServerKind.spot] = scene.now + 10
    for name in reclaimed:
        scene.platform.reclaim(name)
    scene.play(7)
    # What the mean needs at a utilisation of 0.7.
    assert sum(scene.totals().values()) >= 13 / 0.7
    assert (scene.kinds()[ServerKind.normal] > 1) == has_more_normal
    refused = [
        order
        for order in scene.platform.orders
        if order.at >= reclaimed_at and order.outcome is CallOutcome.unavailable
    ]
    assert refused
    for pool in {order.pool for order in refused}:
        times = [order.at for order in refused if order.pool == pool]
        gaps = zip(times, times[1:], strict=False)
        assert min((later - at for at, later in gaps), default=5) >= 5
    scene.play(40)
    assert all(scene.platform.ready()[spot(name)] >= 9 for name in 'abc')
    assert scene.kinds()[ServerKind.normal] == 1


def test_one_reclaimed_data_centre_leaves_room_for_the_mean() -> None:
    """Guards against spot servers that gather in one data centre."""
    scene = Scene(even_fleet())
    scene.play(16)
    for _ in range(60):
        scene.fleet.demand = replace(MEAN_DEMAND, traffic_seconds=scene.now)
        scene.play(1)
    for name in AUTOSCALE.prices:
        left = sum(
            count
            for pool, count in scene.platform.ready().items()
            if pool != spot(name)
        )
        assert left >= MEAN_DEMAND.mean / 0.8


@pytest.mark.parametrize(
    ('outcome', 'is_carried_out', 'late_seconds', 'least_gap'),
    [
        (CallOutcome.failed, False, 0, REPEAT_SECONDS),
        (CallOutcome.limited, False, 0, 1),
        (CallOutcome.unavailable, False, 0, 5),
        (CallOutcome.unknown, False, 0, REPEAT_SECONDS),
        (CallOutcome.unknown, True, 0, REPEAT_SECONDS),
        (CallOutcome.unknown, True, 3, REPEAT_SECONDS),
        # Accepted, but nothing appears.
        (CallOutcome.accepted, False, 0, REPEAT_SECONDS),
    ],
)
def test_an_order_is_repeated_until_its_servers_are_registered(
    outcome: CallOutcome,
    is_carried_out: bool,
    late_seconds: float,
    least_gap: float,
) -> None:
    """Guards against trust in answers, and against orders in quick turns."""
    scene = Scene(even_fleet())
    scene.platform.outcome = outcome
    scene.platform.is_carried_out = is_carried_out
    scene.platform.late_seconds = late_seconds
    scene.play(15)
    assert scene.least_ready == 45
    for pool in (spot('a'), spot('b'), spot('c')):
        times = [o.at for o in scene.platform.orders if o.pool == pool]
        gaps = [later - at for at, later in zip(times, times[1:], strict=False)]
        assert min(gaps, default=least_gap) >= least_gap
        assert bool(gaps) != is_carried_out or late_seconds
    scene.platform.outcome = None
    scene.platform.is_carried_out = True
    scene.platform.late_seconds = 0
    scene.play(20)
    assert scene.kinds() == {ServerKind.normal: 1, ServerKind.spot: 68}


def test_a_late_order_does_not_stay() -> None:
    """Guards against servers of an older count that was carried out last."""
    scene = Scene(even_fleet())
    scene.play(10)
    scene.platform.carry_out_late(spot('a'), 3)
    scene.play(20)
    assert scene.platform.ready()[spot('a')] == 23


def test_a_new_holder_goes_on_from_the_records() -> None:
    """Guards against two fleets: both kinds count while they are changed."""
    scene = Scene(even_fleet())
    scene.play(4)
    before = list(scene.platform.orders)
    assert [order.count for order in before] == [23, 22, 23]
    scene.change_holder()
    scene.play(3)
    booting = scene.platform.orders[len(before) :]
    assert all(order.pool.kind is ServerKind.normal for order in booting)
    scene.play(14)
    assert scene.totals() == {'a': 23, 'b': 23, 'c': 23}
    assert scene.kinds()[ServerKind.normal] == 1


def test_a_recorded_order_that_was_never_sent_is_sent() -> None:
    """Guards against a holder that ends between its record and its call."""
    scene = Scene(even_fleet())
    scene.platform.outcome = CallOutcome.not_sent
    scene.platform.is_carried_out = False
    scene.play(3.5)
    assert len(scene.records) == 3
    scene.platform.outcome = None
    scene.platform.is_carried_out = True
    scene.change_holder()
    scene.play(20)
    assert scene.kinds() == {ServerKind.normal: 1, ServerKind.spot: 68}


@pytest.mark.parametrize(
    ('is_held', 'is_store_up'), [(False, True), (True, False)]
)
def test_nothing_is_sent_without_a_lease_or_a_record(
    is_held: bool, is_store_up: bool
) -> None:
    """Guards against orders of a former holder, and of unrecorded counts."""
    scene = Scene(even_fleet())
    scene.lease.is_held = is_held
    scene.lease.is_store_up = is_store_up
    scene.play(10)
    assert not scene.platform.orders


def test_a_fenced_holder_orders_nothing_more() -> None:
    """Guards against calls with a token that is out of date."""
    scene = Scene(even_fleet())
    scene.platform.outcome = CallOutcome.fenced
    scene.play(20)
    assert len(scene.platform.orders) == 1
    sent = scene.metrics.counter(
        'server_orders',
        service=SERVICE,
        reason='before traffic',
        outcome='fenced',
    )
    assert sent == 1


def test_no_server_is_removed_by_old_registrations() -> None:
    """Guards against removals while the store is away."""
    scene = Scene(even_fleet())
    scene.fleet.is_current = False
    scene.play(20)
    assert all(o.pool.kind is ServerKind.spot for o in scene.platform.orders)


def test_the_rate_halves_as_the_platform_refuses_calls() -> None:
    """Guards against a holder that keeps all duties at the limit."""
    scene = Scene(even_fleet())
    scene.platform.outcome = CallOutcome.limited
    scene.platform.is_carried_out = False
    scene.play(20)
    late = [o for o in scene.platform.orders if o.at >= 10]
    assert 0 < len(late) <= 15


def test_suspended_orders_are_planned_and_shown_only(
    log: list[MutableMapping[str, Any]],
) -> None:
    """Guards against orders that an operator holds off."""
    scene = Scene(even_fleet(), is_suspended=True)
    scene.play(20)
    assert not scene.platform.orders
    assert not scene.records
    assert {line['event'] for line in log} == {'Order is held off.'}
    assert len(log) == 3
    assert log[0]['reason'] == 'before traffic'
    text = scene.metrics.render()
    for gauge in ('servers_wanted', 'servers_ordered'):
        assert f'burdockledge_{gauge}{{data_centre="a",kind="spot"' in text
    scene.duty.forget()
    assert 'kind="spot"' not in scene.metrics.render()


@pytest.mark.parametrize(
    'autoscale',
    [
        replace(AUTOSCALE, min_servers=41),
        replace(AUTOSCALE, spot_price=None),
        replace(AUTOSCALE, prices={}),
        replace(AUTOSCALE, prices={'a': 1.0, 'b': 0.8}),
        replace(AUTOSCALE, prices={**AUTOSCALE.prices, 'empty': 1.0}),
    ],
    ids=['minimum', 'spot price', 'no prices', 'one price', 'no servers'],
)
def test_a_service_with_a_wrong_configuration_is_left_alone(
    autoscale: AutoscaleConfiguration, log: list[MutableMapping[str, Any]]
) -> None:
    """Guards against orders that rest on a wrong configuration."""
    scene = Scene(even_fleet())
    scene.fleet.autoscale = autoscale
    scene.play(10)
    assert [line['event'] for line in log] == ['No servers are ordered.']
    assert not scene.platform.orders
    assert f'service="{SERVICE}"' not in scene.metrics.render()
    # The rest of the configuration is good again.
    scene.fleet.autoscale = AUTOSCALE
    scene.play(1)
    assert scene.platform.orders


@pytest.mark.parametrize('lowest', [1, 3, 15])
def test_the_minimum_and_the_maximum_hold(lowest: int) -> None:
    """Guards against orders outside of the bounds of a data centre."""
    scene = Scene(even_fleet())
    scene.fleet.autoscale = replace(
        AUTOSCALE, min_servers=lowest, max_servers=16
    )
    for demand in (Demand(), MEAN_DEMAND, Demand(60, 30, 80, 80, 60, 40)):
        scene.fleet.demand = demand
        scene.play(40)
        assert max(scene.totals().values()) <= 16
    scene.fleet.demand = Demand(traffic_seconds=300)
    scene.play(160)
    assert min(scene.totals().values()) >= lowest
    assert max(scene.totals().values()) <= max(lowest, 3)
