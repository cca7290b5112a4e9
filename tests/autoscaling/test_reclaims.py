"""Reclaims, and callers that come while kinds are exchanged."""

from __future__ import annotations

from dataclasses import replace

import pytest

from burdockledge.autoscaling import Demand, ServerKind
from tests.autoscaling.platform import (
    AUTOSCALE,
    MEAN_DEMAND,
    Order,
    Scene,
    even_fleet,
    normal,
    spot,
)


def play_traffic(scene: Scene, start: float, seconds: float) -> None:
    """Play the mean demand from some seconds after the first call."""
    for step in range(round(seconds * 2)):
        scene.fleet.demand = replace(
            MEAN_DEMAND, traffic_seconds=start + step / 2
        )
        scene.play(0.5)


def reclaim(scene: Scene, data_centre: str, seconds: float) -> list[Order]:
    """
    Reclaim a data centre, and play on for 30 s.

    :param seconds: no spot servers are available anywhere for this time.
    """
    scene.platform.unavailable_until[ServerKind.spot] = scene.now + seconds
    scene.platform.reclaim(data_centre)
    before = len(scene.platform.orders)
    play_traffic(scene, 40, 30)
    return scene.platform.orders[before:]


def test_no_others_are_removed_until_reclaimed_servers_are_back() -> None:
    """Guards against a second loss just after a reclaim."""
    scene = Scene(even_fleet())
    scene.play(16)
    orders = reclaim(scene, 'a', 10)
    (accepted_at,) = [
        order.at
        for order in orders
        if order.pool == spot('a') and order.count == 23
        if order.outcome.name == 'accepted'
    ]
    assert accepted_at == 26
    removed_at = [
        order.at
        for order in orders
        if order.pool != spot('a') and order.outcome.name == 'accepted'
    ]
    # Eight seconds without removals after an addition.
    assert min(removed_at) == accepted_at + 8


def test_nothing_is_ordered_elsewhere_that_the_mean_does_not_need() -> None:
    """Guards against requests for servers that nothing needs."""
    scene = Scene(even_fleet())
    scene.play(16)
    reclaimed_at = scene.now
    # 46 of 69 are left, and the mean needs 29.
    orders = reclaim(scene, 'a', 10)
    refused = [
        (order.at - reclaimed_at, order.pool)
        for order in orders
        if order.outcome.name == 'unavailable'
    ]
    assert refused == [(0, spot('a')), (5, spot('a'))]
    assert scene.platform.ready()[spot('a')] >= 15


def test_a_reserve_is_not_made_up_for_in_the_first_seconds() -> None:
    """Guards against a second reserve while the demand is not yet known."""
    scene = Scene(even_fleet())
    scene.play(16)
    scene.platform.unavailable_until[ServerKind.spot] = scene.now + 10
    scene.platform.reclaim('a')
    before = len(scene.platform.orders)
    play_traffic(scene, 10, 9)
    assert {order.pool for order in scene.platform.orders[before:]} == {
        spot('a')
    }


def test_what_the_mean_needs_is_ordered_elsewhere() -> None:
    """Guards against callers without servers after a reclaim."""
    fleet = {spot('a'): 10, spot('b'): 9, spot('c'): 10, normal('b'): 1}
    scene = Scene(fleet)
    scene.fleet.demand = MEAN_DEMAND
    scene.play(16)
    before = len(scene.platform.orders)
    scene.platform.reclaim('a')
    scene.platform.unavailable_in.add('a')
    play_traffic(scene, 40, 8)
    # The mean at a utilisation of 0.45: 29 servers, of which 20 are left.
    assert scene.totals() == {'a': 0, 'b': 19, 'c': 10}
    asked = [
        order.at
        for order in scene.platform.orders[before:]
        if order.pool == spot('a')
    ]
    assert asked == [16, 21]


@pytest.mark.parametrize('highest', [15, 16, 20, 40])
@pytest.mark.parametrize('seconds', [0.5, 3, 3.5, 5, 8, 9.5, 14])
def test_callers_that_come_early_find_the_present_servers(
    highest: int, seconds: float
) -> None:
    """Guards against an exchange of kinds that callers pay for."""
    scene = Scene(even_fleet())
    scene.fleet.autoscale = replace(AUTOSCALE, max_servers=highest)
    scene.play(seconds)
    # Without a reserve, half of the normal servers may have left before.
    scene.least_ready = sum(scene.totals().values())
    expected = min(45, scene.least_ready)
    for step in range(20):
        # Nothing is known of the demand but the calls that run.
        scene.fleet.demand = Demand(running=30, traffic_seconds=step / 2)
        scene.play(0.5)
    play_traffic(scene, 10, 17)
    assert scene.least_ready >= expected
    assert sum(scene.totals().values()) >= 45


@pytest.mark.parametrize('running', [13, 30, 36])
def test_running_calls_keep_their_servers(running: float) -> None:
    """Guards against an exchange that takes the slots of running calls."""
    scene = Scene(even_fleet())
    scene.fleet.autoscale = replace(AUTOSCALE, max_servers=15)
    for step in range(160):
        scene.fleet.demand = Demand(
            1, 0, 1, 1, running, traffic_seconds=step / 2
        )
        scene.play(0.5)
    # The size for running calls.
    assert scene.least_ready >= running / 0.85


@pytest.mark.parametrize(('reclaimed', 'left'), [('a', 29), ('ab', 24)])
def test_others_are_not_removed_below_the_need_first(
    reclaimed: str, left: int
) -> None:
    """Guards against a smaller fleet than needed while one is unavailable."""
    scene = Scene(even_fleet())
    scene.play(16)
    scene.platform.unavailable_until[ServerKind.spot] = scene.now + 40
    for name in reclaimed:
        scene.platform.reclaim(name)
    play_traffic(scene, 40, 60)
    # 46 or 24 are left by the reclaim, and the mean needs 29.
    assert scene.least_ready == left
    assert scene.totals() == {'a': 10, 'b': 11, 'c': 8}


def test_registered_servers_of_an_unavailable_kind_count() -> None:
    """Guards against normal servers in place of spot servers that run."""
    scene = Scene(even_fleet())
    scene.play(16)
    scene.platform.unavailable_until[ServerKind.spot] = scene.now + 40
    for name in 'ab':
        scene.platform.reclaim(name)
    before = len(scene.platform.orders)
    play_traffic(scene, 40, 60)
    # 24 are left, and 19 carry the mean at a utilisation of 0.7.
    assert not [
        order
        for order in scene.platform.orders[before:]
        if order.pool.kind is ServerKind.normal
    ]


def test_a_shortage_is_made_up_beyond_servers_that_were_surplus() -> None:
    """Guards against a shortage that lasts as surplus servers cover it."""
    scene = Scene(even_fleet())
    scene.play(16)
    scene.platform.unavailable_in |= {'a', 'b'}
    scene.platform.unavailable_until[ServerKind.spot] = scene.now + 20
    for name in 'ab':
        scene.platform.reclaim(name)
    play_traffic(scene, 40, 45)
    # 23 spot servers in one data centre, 1 normal one, and 5 more.
    assert sum(scene.totals().values()) == 29
