"""Orders of the hosts that hold the duties one after the other."""

from __future__ import annotations

import asyncio
import contextvars
from dataclasses import replace
from random import Random

from burdockledge.autoscaling import Demand, ServerKind, ServerOrders
from burdockledge.clock import (
    SIMULATED_PROCESS,
    VirtualClock,
    VirtualTimeLoop,
)
from burdockledge.duties import DutyHolder
from burdockledge.telemetry import Metrics
from tests.autoscaling.platform import (
    AUTOSCALE,
    FakeFleet,
    FakePlatform,
    Scene,
    even_fleet,
    normal,
    spot,
)
from tests.duties.site import make_duty_settings
from tests.duties.stand_ins import FakeStoreClient, FakeTopic

HOSTS = ('one', 'two')


def test_the_next_holder_completes_what_a_frozen_one_began() -> None:
    """Guards against half-mixed fleets, and orders of a host that thaws."""
    loop = VirtualTimeLoop()
    clock = VirtualClock(loop)
    platform = FakePlatform(clock, even_fleet())
    topic = FakeTopic()
    holders: dict[str, DutyHolder] = {}
    for name in HOSTS:
        holders[name] = DutyHolder(
            name, FakeStoreClient(topic, name), make_duty_settings(),
            clock, Random(name), Metrics(),
        )  # fmt: skip
        holders[name].list_hosts = lambda: list(HOSTS)
        fleet = FakeFleet(platform)
        holders[name].register(
            ServerOrders(fleet, platform, clock, Metrics(), 50)
        )

    async def run() -> None:
        for name, holder in holders.items():
            context = contextvars.copy_context()
            context.run(SIMULATED_PROCESS.set, name)
            await loop.create_task(holder.start(), context=context)
        await asyncio.sleep(4)
        assert len(platform.orders) == 3
        (frozen,) = (
            name for name in HOSTS if holders[name].fence_number is not None
        )
        loop.freeze(frozen)
        await asyncio.sleep(16)
        assert platform.ready_by_kind() == {
            ServerKind.normal: 1,
            ServerKind.spot: 68,
        }
        orders = len(platform.orders)
        loop.thaw(frozen)
        await asyncio.sleep(10)
        assert len(platform.orders) == orders
        assert holders[frozen].fence_number is None
        for holder in holders.values():
            await holder.stop()

    loop.run_until_complete(run())


def test_a_service_that_is_configured_again_stays_within_the_maximum() -> None:
    """
    Guards against orders that forget what the same holder ordered before.

    The records that it read as it claimed the duty lack these orders.
    """
    scene = Scene(even_fleet(2))
    scene.fleet.autoscale = replace(AUTOSCALE, max_servers=6)
    scene.play(14)
    scene.fleet.demand = Demand(12, 12, 12, 12, 12, 30)
    scene.play(1.5)
    scene.fleet.is_configured = False
    scene.play(1)
    scene.fleet.is_configured = True
    scene.fleet.demand = Demand(12, 1, 12, 12, 12, 30)
    scene.play(3)
    ordered = {order.pool: order.count for order in scene.platform.orders}
    totals = [ordered[normal(name)] + ordered[spot(name)] for name in 'abc']
    assert max(totals) == 6
