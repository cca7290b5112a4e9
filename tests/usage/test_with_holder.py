"""Usage reports under claims in the store, with faults one after another."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest

from burdockledge.duties import DutyHolder
from tests.duties.stand_ins import FakeStoreClient, FakeTopic
from tests.usage.fleet import SETTINGS, UsageFleet

SECONDS = 62.0


class ClaimingFleet(UsageFleet):
    """A fleet whose hosts claim the duty in a topic of the store."""

    def __init__(self) -> None:
        """Create a fleet of five hosts."""
        super().__init__(5)
        self.topic = FakeTopic()
        self.holders: dict[str, DutyHolder] = {}

    async def start(self, name: str) -> None:
        """Start a process, which claims the duty if nobody holds it."""
        await super().start(name)
        host = self.hosts[name]
        host.gossip.store_era = lambda: self.topic.era
        holder = DutyHolder(
            name, FakeStoreClient(self.topic, name), SETTINGS, host.clock,
            Random(host.process), host.metrics,
        )  # fmt: skip
        holder.list_hosts = lambda: list(self.hosts)
        holder.register(host.reporter)
        self.holders[name] = holder
        await self.loop.create_task(
            holder.start(), context=self.network.context(name)
        )

    async def kill(self, name: str) -> None:
        """End a process without a word."""
        await self.holders.pop(name).stop()
        await super().kill(name)

    def holder(self) -> str:
        """Return the host with the newest claim."""
        return max(
            self.holders,
            key=lambda name: self.holders[name].fence_number or (-1, -1),
        )


async def _kill_holder(fleet: ClaimingFleet) -> None:
    name = fleet.holder()
    await fleet.kill(name)
    await asyncio.sleep(2)
    await fleet.start(name)


async def _restart_holder_at_once(fleet: ClaimingFleet) -> None:
    name = fleet.holder()
    await fleet.kill(name)
    await asyncio.sleep(0.3)
    await fleet.start(name)


async def _freeze_holder(fleet: ClaimingFleet) -> None:
    process = fleet.hosts[fleet.holder()].process
    fleet.loop.freeze(process)
    await asyncio.sleep(6)
    fleet.loop.thaw(process)


async def _restore(fleet: ClaimingFleet) -> None:
    fleet.topic.restore(max(0, len(fleet.topic.records) - 12))


async def _restore_and_kill(fleet: ClaimingFleet) -> None:
    await _restore(fleet)
    await _kill_holder(fleet)


async def _cut_store(fleet: ClaimingFleet) -> None:
    fleet.topic.cut.update(fleet.names)
    await asyncio.sleep(8)
    fleet.topic.cut.clear()


async def _cut_holder_from_store(fleet: ClaimingFleet) -> None:
    name = fleet.holder()
    fleet.topic.cut.add(name)
    await asyncio.sleep(9)
    fleet.topic.cut.discard(name)


async def _append_late(fleet: ClaimingFleet) -> None:
    fleet.topic.late_appends[fleet.holder()] = 0.7


@pytest.mark.parametrize(
    'fault',
    [
        _kill_holder,
        _restart_holder_at_once,
        _freeze_holder,
        _restore,
        _restore_and_kill,
        _cut_store,
        _cut_holder_from_store,
        _append_late,
    ],
)
@pytest.mark.parametrize('at', [20.0, 20.25, 20.32, 23.0])
def test_no_window_is_reported_differently(
    fault: Callable[[ClaimingFleet], object], at: float
) -> None:
    """Guards against two reports of a window, and windows that are missed."""
    fleet = ClaimingFleet()

    async def scenario(_: UsageFleet) -> None:
        await asyncio.sleep(at)
        await asyncio.ensure_future(fault(fleet))  # type: ignore[call-overload]
        await asyncio.sleep(SECONDS - fleet.loop.time())
        # Raises if a window was reported with two different counts.
        reports = fleet.api.reports()
        missed = set(range(9)) - reports.keys()
        # A process that starts anew leaves what ended before to records.
        assert len(missed) <= 1
        inexact = {
            window
            for window in reports.keys() & set(range(9))
            if sum(fleet.truth[window].values()) - sum(reports[window].values())
            > 0.05 * sum(fleet.truth[window].values())
        }
        # What a killed or frozen process had counted since its last answer.
        assert inexact <= {4, 5}

    fleet.run(scenario)
