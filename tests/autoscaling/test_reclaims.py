"""Reclaims, and callers that come while kinds are exchanged."""

from __future__ import annotations

from dataclasses import replace

from burdockledge.autoscaling import ServerKind
from tests.autoscaling.platform import (
    MEAN_DEMAND,
    Order,
    Scene,
    even_fleet,
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
