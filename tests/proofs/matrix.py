"""Run one cell of the fault matrix: faults injected at one step."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from burdockledge.claims import Outcome
from burdockledge.clock import VirtualTimeLoop
from tests.proofs.faults import FAULTS, STEPS
from tests.proofs.simulation import RETENTION_SECONDS, Simulation

if TYPE_CHECKING:
    from burdockledge.telemetry import Event

RETRY_ROUNDS = 4
RETRY_INTERVAL_SECONDS = 9
SNAPSHOT_WAIT_SECONDS = 70


@dataclass(frozen=True)
class CellResult:
    """Result of a cell, with the final outcome of each key counted."""

    faults: tuple[str, ...]
    step: str
    step_reached: bool
    outcome_counts: dict[Outcome, int]
    execution_count: int


class Cell:
    """A scripted scenario of a small site with faults at one step."""

    def __init__(
        self, simulation: Simulation, faults: tuple[str, ...], step: str
    ) -> None:
        """Prepare to inject the faults when the step first occurs."""
        self._simulation = simulation
        self._faults = faults
        self._step = step
        self._event_kind = STEPS[step]
        self.step_reached = False

    async def run(self) -> None:
        """Run callers, a configuration patch, a drain and a restart."""
        simulation = self._simulation
        if self._step != 'start':
            self._observe_all_hosts()
        simulation.send_chat('h0', 60)
        simulation.send_attempt(simulation.new_key(), 'h0')
        simulation.send_attempt(simulation.new_key(is_generation=True), 'h0')
        await simulation.site.settle(0.01)
        await self._send_duplicate()
        simulation.publish_patch(simulation.newest_version, 7)
        simulation.send_attempt(simulation.new_key(), 'h0')
        await self._retry_until_settled()
        self._reuse_key()
        await self._drain_host('h1')
        await self._restart_host('h2')
        if self._step == 'snapshot':
            await simulation.site.settle(SNAPSHOT_WAIT_SECONDS)
        for name in ('h0', 'h2'):
            if simulation.accepts_requests(name):
                simulation.send_attempt(simulation.new_key(), name)
        await self._retry_until_settled()
        await self._retry_after_retention()
        await simulation.heal_and_check()

    async def _send_duplicate(self) -> None:
        """Send a key to a second host before the first can answer."""
        key = self._simulation.new_key()
        self._simulation.send_attempt(key, 'h0')
        await self._simulation.site.settle(0.001)
        if self._simulation.accepts_requests('h2'):
            self._simulation.send_attempt(key, 'h2')

    def _reuse_key(self) -> None:
        """Send a different body under a completed key."""
        simulation = self._simulation
        for key in simulation.keys[:1]:
            is_completed = Outcome.completed in key.outcomes
            if is_completed and simulation.accepts_requests('h2'):
                simulation.send_attempt(key, 'h2', b'another body')

    async def _drain_host(self, name: str) -> None:
        """Drain a host that has a generation in flight."""
        simulation = self._simulation
        if simulation.accepts_requests(name):
            simulation.send_chat(name, 300)
            await simulation.site.settle(0.1)
        if not simulation.site.hosts[name].is_killed:
            simulation.site.drain(name)
        await simulation.site.settle(2)

    async def _retry_after_retention(self) -> None:
        """Retry the first key after the log deleted its records."""
        simulation = self._simulation
        simulation.site.clock.jump((RETENTION_SECONDS + 1) * 1000)
        await simulation.site.settle(12)
        available_hosts = [
            name
            for name in simulation.site.hosts
            if simulation.accepts_requests(name)
        ]
        first_key = simulation.keys[0]
        if available_hosts and Outcome.not_run not in first_key.outcomes:
            simulation.send_attempt(first_key, available_hosts[0])
        await simulation.site.settle(RETRY_INTERVAL_SECONDS)
        simulation.check()

    def _observe_all_hosts(self) -> None:
        for name in self._simulation.site.hosts:
            self._observe_host(name)

    def _observe_host(self, name: str) -> None:
        components = self._simulation.site.hosts[name].host.components

        def inject_faults(event: Event) -> None:
            if event.kind == self._event_kind and not self.step_reached:
                self.step_reached = True
                for fault in self._faults:
                    # Run the fault outside the context of the affected host.
                    self._simulation.outer_context.run(
                        FAULTS[fault], self._simulation, name
                    )

        components.time_line.observe(inject_faults)

    async def _restart_host(self, name: str) -> None:
        site = self._simulation.site
        if not site.hosts[name].is_killed:
            site.kill(name)
        await site.settle(1)
        starting = site.loop.create_task(site.start_host(name, 'dc1'))
        await site.settle(0)
        if self._step == 'start':
            self._observe_host(name)
        await starting

    async def _retry_until_settled(self) -> None:
        """Retry unsettled keys through other hosts, as callers do."""
        simulation = self._simulation
        for attempt in range(RETRY_ROUNDS):
            await simulation.site.settle(RETRY_INTERVAL_SECONDS)
            simulation.check()
            available_hosts = [
                name
                for name in simulation.site.hosts
                if simulation.accepts_requests(name)
            ]
            for key in simulation.keys:
                if _is_settled(key.outcomes) or not available_hosts:
                    continue
                simulation.send_attempt(
                    key, available_hosts[attempt % len(available_hosts)]
                )


def run_cell(faults: tuple[str, ...], step: str) -> CellResult:
    """Run one cell to its end; a violation raises AssertionError."""
    loop = VirtualTimeLoop()
    try:
        simulation = loop.run_until_complete(_start_simulation())
        simulation.checks_leaving_limit = len(faults) == 1
        cell = Cell(simulation, faults, step)
        loop.run_until_complete(cell.run())
    finally:
        loop.shut_down()
    final_outcomes = Counter(
        _final_outcome(key.outcomes) for key in simulation.keys if key.outcomes
    )
    outcome_counts = {outcome: final_outcomes[outcome] for outcome in Outcome}
    execution_count = sum(simulation.site.executions.values())
    return CellResult(
        faults, step, cell.step_reached, outcome_counts, execution_count
    )


async def _start_simulation() -> Simulation:
    simulation = Simulation()
    await simulation.start()
    return simulation


def _final_outcome(outcomes: list[Outcome]) -> Outcome:
    """Return the outcome that a caller concludes from all attempts."""
    for outcome in (Outcome.completed, Outcome.not_run):
        if outcome in outcomes:
            return outcome
    return Outcome.unknown


def _is_settled(outcomes: list[Outcome]) -> bool:
    return Outcome.completed in outcomes or Outcome.not_run in outcomes


__all__ = ('CellResult', 'run_cell')
