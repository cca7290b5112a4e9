"""Simulated hosts that count calls and report usage, in virtual time."""

from __future__ import annotations

import asyncio
import json
import math
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.duties import (
    CallOutcome,
    DutyApi,
    FenceNumber,
    Lease,
    StoreRecord,
)
from burdockledge.fakes import FakeDatagramSocket, FakeNetwork
from burdockledge.platform import PlatformUsageReport
from burdockledge.replication import GossipExchange, Peer
from burdockledge.settings import DutySettings
from burdockledge.telemetry import Metrics
from burdockledge.usage import UsageGossip, UsageReporter
from tests.replication.hosts import KEYS

WINDOW_SECONDS = 5.0
LEASE_SECONDS = 3.0
# The window that begins as the virtual time does.
FIRST_WINDOW = 358_000_000
# The time until the other hosts consider a killed one dead.
DEATH_SECONDS = 2.5
# Calls keep this distance from the edges of windows, so that counts are exact
# with clocks that differ by less.
EDGE_SECONDS = 0.04
TEAMS = ('amber', 'birch', 'cedar')
SETTINGS = DutySettings(
    '', True, False, 50, True, LEASE_SECONDS, WINDOW_SECONDS, 10
)


@dataclass
class FakeDutyStore:
    """The records of duties; ``fault`` is asked what becomes of a write."""

    records: dict[str, StoreRecord] = field(default_factory=dict)
    era: int = 0
    end: int = 0
    is_down: bool = False
    # The contents of all writes, also of those that failed.
    writes: list[bytes] = field(default_factory=list)
    # Returns whether a write is stored, and whether it is answered.
    fault: Callable[[str], tuple[bool, bool]] = lambda _: (True, True)


class FakeLease(Lease):
    """A lease that holds until the test ends it."""

    def __init__(self, store: FakeDutyStore) -> None:
        """Claim the duty."""
        self._store = store
        store.end += 1
        self._number = FenceNumber(store.era, store.end)
        self.holds = True

    @property
    def fence_number(self) -> FenceNumber:
        """The number of the claim."""
        return self._number

    def is_valid(self) -> bool:
        """Return whether the test has not ended it."""
        return self.holds

    def records(self) -> Mapping[str, StoreRecord]:
        """Return what the store holds."""
        return dict(self._store.records)

    async def write(self, key: str, content: bytes) -> bool:
        """Write a record, unless the test says otherwise."""
        await asyncio.sleep(0.01)
        store = self._store
        store.writes.append(content)
        if not self.holds or store.is_down:
            return False
        is_stored, is_answered = store.fault(key)
        if is_stored:
            store.end += 1
            store.records[key] = StoreRecord(store.end, content)
        return is_stored and is_answered

    def note_outcome(self, outcome: CallOutcome) -> None:
        """Do nothing; the test ends leases."""


@dataclass
class FakeDutyApi(DutyApi):
    """Records what it executes; ``fault`` is asked for another outcome."""

    loop: asyncio.AbstractEventLoop
    executed: list[tuple[float, bytes]] = field(default_factory=list)
    fault: Callable[[int], CallOutcome] = lambda _: CallOutcome.accepted
    is_executed_without_answer: bool = False

    async def report_usage(self, lease: Lease, report: bytes) -> CallOutcome:
        """Execute the call, unless the test says otherwise."""
        await asyncio.sleep(0.02)
        outcome = self.fault(json.loads(report)['window_id'])
        if outcome is CallOutcome.accepted or (
            outcome is CallOutcome.unknown and self.is_executed_without_answer
        ):
            self.executed.append((self.loop.time(), report))
        return outcome

    async def order_servers(
        self, lease: Lease, service: str, data_centre: str, count: int,
        *, is_reclaimable: bool,
    ) -> CallOutcome:  # fmt: skip
        """Refuse: nothing is ordered here."""
        return CallOutcome.failed

    def reports(self) -> dict[int, dict[str, int]]:
        """Return the counts by window; no window has two different ones."""
        by_window: dict[int, bytes] = {}
        for _, report in self.executed:
            window = json.loads(report)['window_id']
            assert by_window.setdefault(window, report) == report
        return {
            window - FIRST_WINDOW: json.loads(report)['counts']
            for window, report in by_window.items()
        }


@dataclass
class UsageHost:
    """The parts of one process of a host."""

    process: str
    clock: VirtualClock
    exchange: GossipExchange
    gossip: UsageGossip
    reporter: UsageReporter
    metrics: Metrics
    lease: FakeLease | None = None
    holding: asyncio.Task[None] | None = None


class UsageFleet:
    """
    Hosts that get calls of teams.

    ``truth`` holds the calls by window (from 0) and team, ``counted`` those
    of each host with their times.
    """

    def __init__(self, count: int = 6) -> None:
        """Create a fleet that has not started."""
        self.loop = VirtualTimeLoop()
        self.network = FakeNetwork()
        self.store = FakeDutyStore()
        self.api = FakeDutyApi(self.loop)
        self.names = [f'h{number}' for number in range(count)]
        self.hosts: dict[str, UsageHost] = {}
        self.truth: dict[int, Counter[str]] = {}
        self.calls: list[tuple[str, float]] = []
        self.call_seconds = 0.013
        # By how many ms the wall clocks of new processes are wrong.
        self.clock_errors: dict[str, int] = {}
        self._random = Random(4)
        self._starts = 0

    def run(self, scenario: Callable[[UsageFleet], Awaitable[Any]]) -> None:
        """Start the hosts and run a scenario."""

        async def run() -> None:
            for name in self.names:
                await self.start(name)
            calls = self.loop.create_task(self._call_forever())
            await scenario(self)
            calls.cancel()

        try:
            self.loop.run_until_complete(run())
        finally:
            self.loop.shut_down()

    async def start(self, name: str) -> None:
        """Start a process of a host."""
        self._starts += 1
        process = f'{name}/{self._starts}'
        self.network.attach_process(name, process)
        clock = VirtualClock(self.loop)
        clock.jump(self.clock_errors.get(name, 0))
        random = Random(process)
        exchange = GossipExchange(
            Peer(name, 'dc', name), ('s',),
            FakeDatagramSocket(self.network, name), KEYS, clock, random,
        )  # fmt: skip
        gossip = UsageGossip(name, exchange, WINDOW_SECONDS, clock, random)
        gossip.store_era = lambda: self.store.era
        metrics = Metrics()
        reporter = UsageReporter(
            gossip, self.api, PlatformUsageReport(), SETTINGS, clock, metrics
        )
        self.hosts[name] = UsageHost(
            process, clock, exchange, gossip, reporter, metrics
        )
        self._introduce()
        for service in (exchange, gossip):
            await self.loop.create_task(
                service.start(), context=self.network.context(name)
            )

    async def kill(self, name: str) -> None:
        """End a process without a word; the others notice later."""
        self.end_lease(name)
        host = self.hosts.pop(name)
        self.network.kill(name)
        await host.gossip.stop()
        await host.exchange.stop()
        self.loop.call_later(DEATH_SECONDS, self._introduce)

    def hold(self, name: str) -> None:
        """Let a host claim the duty and do it."""
        host = self.hosts[name]
        host.lease = FakeLease(self.store)
        host.holding = self.loop.create_task(
            _do_duty(host, host.lease), context=self.network.context(name)
        )

    def end_lease(self, name: str) -> None:
        """Take the duty from a host."""
        host = self.hosts[name]
        if host.lease is not None and host.holding is not None:
            host.lease.holds = False
            host.holding.cancel()
            host.reporter.forget()

    def missed(self, first: int, last: int) -> list[int]:
        """Return the windows whose reports are missing or not exact."""
        reports = self.api.reports()
        return [
            window
            for window in range(first, last + 1)
            if reports.get(window) != dict(self.truth.get(window, {}))
        ]

    def _introduce(self) -> None:
        for name, host in self.hosts.items():
            host.exchange.peers.replace(
                [Peer(other, 'dc', other) for other in self.hosts
                 if other != name]
            )  # fmt: skip

    async def _call_forever(self) -> None:
        while True:
            await asyncio.sleep(self.call_seconds)
            now = self.loop.time()
            phase = now % WINDOW_SECONDS
            is_inside = EDGE_SECONDS < phase < WINDOW_SECONDS - EDGE_SECONDS
            if self.hosts and is_inside:
                name = self._random.choice(list(self.hosts))
                team = self._random.choice(TEAMS)
                window = math.floor(now / WINDOW_SECONDS)
                self.truth.setdefault(window, Counter())[team] += 1
                self.calls.append((name, now))
                # A frozen process reads the event when it wakes.
                self.loop.call_soon(
                    self._note_run, self.hosts[name], team,
                    context=self.network.context(name),
                )  # fmt: skip

    def _note_run(self, host: UsageHost, team: str) -> None:
        host.gossip.note_run(team, host.clock.monotonic())


async def _do_duty(host: UsageHost, lease: FakeLease) -> None:
    while lease.holds:
        await asyncio.sleep(await host.reporter.run(lease))
