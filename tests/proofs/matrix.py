"""Runs one cell of the fault matrix: faults that strike at a step."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from burdockledge.claims import Outcome
from burdockledge.clock import VirtualTimeLoop
from tests.proofs.faults import FAULTS, STEPS
from tests.proofs.world import RETENTION_SECONDS, World

if TYPE_CHECKING:
    from burdockledge.telemetry import Event

ATTEMPTS = 4
ATTEMPT_SECONDS = 9
SNAPSHOT_SECONDS = 70


@dataclass(frozen=True)
class CellResult:
    """What a cell showed; ``struck`` tells whether its step was reached."""

    faults: tuple[str, ...]
    step: str
    struck: bool
    told: dict[Outcome, int]
    runs: int


class Cell:
    """A scripted hour of a small site, with faults at one step."""

    def __init__(
        self, world: World, faults: tuple[str, ...], step: str
    ) -> None:
        """Strike with the faults when the step is first seen."""
        self._world = world
        self._faults = faults
        self._step = step
        self._kind = STEPS[step]
        self.struck = False

    async def run(self) -> None:
        """Run callers, an operator, a planned stop and a start."""
        world = self._world
        if self._step != 'start':
            self._watch_all()
        world.chat('h0', 60)
        world.pay(world.new_key(), 'h0')
        world.pay(world.new_key(is_generation=True), 'h0')
        await world.site.settle(0.01)
        await self._send_impatiently()
        world.patch(world.newest_version, 7)
        world.pay(world.new_key(), 'h0')
        await self._retry_until_told()
        self._reuse_key()
        await self._stop('h1')
        await self._restart('h2')
        if self._step == 'snapshot':
            await world.site.settle(SNAPSHOT_SECONDS)
        for name in ('h0', 'h2'):
            if world.takes_requests(name):
                world.pay(world.new_key(), name)
        await self._retry_until_told()
        await self._ask_late()
        await world.finish()

    async def _send_impatiently(self) -> None:
        """Ask another host before the first one can have answered."""
        key = self._world.new_key()
        self._world.pay(key, 'h0')
        await self._world.site.settle(0.001)
        if self._world.takes_requests('h2'):
            self._world.pay(key, 'h2')

    def _reuse_key(self) -> None:
        """Send another body under a key that is completed."""
        world = self._world
        for key in world.keys[:1]:
            is_completed = Outcome.completed in key.outcomes
            if is_completed and world.takes_requests('h2'):
                world.pay(key, 'h2', b'another body')

    async def _stop(self, name: str) -> None:
        """Stop a host as planned with a generation in flight."""
        world = self._world
        if world.takes_requests(name):
            world.chat(name, 300)
            await world.site.settle(0.1)
        if not world.site.hosts[name].is_killed:
            world.site.drain(name)
        await world.site.settle(2)

    async def _ask_late(self) -> None:
        """Ask again under the first key when its records are gone."""
        world = self._world
        world.site.clock.jump((RETENTION_SECONDS + 1) * 1000)
        await world.site.settle(12)
        usable = [
            name for name in world.site.hosts if world.takes_requests(name)
        ]
        first = world.keys[0]
        if usable and Outcome.not_run not in first.outcomes:
            world.pay(first, usable[0])
        await world.site.settle(ATTEMPT_SECONDS)
        world.check()

    def _watch_all(self) -> None:
        for name in self._world.site.hosts:
            self._watch(name)

    def _watch(self, name: str) -> None:
        components = self._world.site.hosts[name].host.components

        def strike(event: Event) -> None:
            if event.kind == self._kind and not self.struck:
                self.struck = True
                for fault in self._faults:
                    # The fault comes from outside of the struck process.
                    self._world.outside.run(FAULTS[fault], self._world, name)

        components.time_line.observe(strike)

    async def _restart(self, name: str) -> None:
        site = self._world.site
        if not site.hosts[name].is_killed:
            site.kill(name)
        await site.settle(1)
        starting = site.loop.create_task(site.start_host(name, 'dc1'))
        await site.settle(0)
        if self._step == 'start':
            self._watch(name)
        await starting

    async def _retry_until_told(self) -> None:
        """Ask again through other hosts, as a caller does."""
        world = self._world
        for attempt in range(ATTEMPTS):
            await world.site.settle(ATTEMPT_SECONDS)
            world.check()
            usable = [
                name for name in world.site.hosts if world.takes_requests(name)
            ]
            for key in world.keys:
                if _is_settled(key.outcomes) or not usable:
                    continue
                world.pay(key, usable[attempt % len(usable)])


def run_cell(faults: tuple[str, ...], step: str) -> CellResult:
    """Run one cell to its end; a violation raises AssertionError."""
    loop = VirtualTimeLoop()
    try:
        world = loop.run_until_complete(_start())
        world.is_leaving_strict = len(faults) == 1
        cell = Cell(world, faults, step)
        loop.run_until_complete(cell.run())
    finally:
        loop.shut_down()
    known = Counter(_known(key.outcomes) for key in world.keys if key.outcomes)
    told = {outcome: known[outcome] for outcome in Outcome}
    runs = sum(world.site.executions.values())
    return CellResult(faults, step, cell.struck, told, runs)


async def _start() -> World:
    world = World()
    await world.start()
    return world


def _known(outcomes: list[Outcome]) -> Outcome:
    """Return what a caller knows in the end."""
    for outcome in (Outcome.completed, Outcome.not_run):
        if outcome in outcomes:
            return outcome
    return Outcome.unknown


def _is_settled(outcomes: list[Outcome]) -> bool:
    return Outcome.completed in outcomes or Outcome.not_run in outcomes


__all__ = ('CellResult', 'run_cell')
