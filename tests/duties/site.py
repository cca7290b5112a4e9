"""Hosts that share duties, as simulated processes in virtual time."""

from __future__ import annotations

import contextvars
from collections.abc import Awaitable, Callable
from random import Random
from typing import ClassVar

from burdockledge.clock import (
    SIMULATED_PROCESS,
    VirtualClock,
    VirtualTimeLoop,
)
from burdockledge.duties import (
    CallOutcome,
    Duty,
    DutyHolder,
    FenceNumber,
    Lease,
)
from burdockledge.settings import DutySettings
from burdockledge.telemetry import Metrics
from tests.duties.stand_ins import (
    LEASE_SECONDS,
    FakeApi,
    FakeDutyApi,
    FakeStoreClient,
    FakeTopic,
    host_of,
)

# A host that has stopped is taken for alive this long.
_DETECTION_SECONDS = 3.0


def make_duty_settings(*, checks_numbers: bool = True) -> DutySettings:
    """Return the settings of all duties."""
    return DutySettings(
        api_address='127.0.0.1:1',
        reports_usage=True,
        orders_servers=True,
        calls_per_second=50,
        checks_fence_numbers=checks_numbers,
        lease_seconds=LEASE_SECONDS,
        window_seconds=5,
        usage_late_seconds=10,
    )


class Reporter(Duty):
    """Writes a record and reports it."""

    name: ClassVar[str] = 'report'

    def __init__(self, api: FakeDutyApi) -> None:
        """Create the duty of a process."""
        self._api = api
        self._count = 0
        self.terms_forgotten = 0

    async def run(self, lease: Lease) -> float:
        """Report once."""
        self._count += 1
        content = f'{id(self)} {self._count}'.encode()
        if await lease.write(f'usage/{self._count % 8}', content):
            await self._api.report_usage(lease, content)
        return 1.2

    def forget(self) -> None:
        """Count the terms."""
        self.terms_forgotten += 1


class Orderer(Duty):
    """Orders servers, more often than it writes."""

    name: ClassVar[str] = 'order'

    def __init__(self, api: FakeDutyApi) -> None:
        """Create the duty of a process."""
        self._api = api

    async def run(self, lease: Lease) -> float:
        """Order once."""
        await self._api.order_servers(
            lease, 'chat', 'a', 1, is_reclaimable=False
        )
        return 0.2

    def forget(self) -> None:
        """Keep nothing."""


class Process:
    """One life of a host."""

    def __init__(self, site: Site, name: str) -> None:
        """Create the parts of a process."""
        self.name = name
        self.clock = VirtualClock(site.loop)
        self.metrics = Metrics()
        self.api = FakeDutyApi(site.api, name)
        self.holder = DutyHolder(
            host_of(name),
            FakeStoreClient(site.topic, name),
            make_duty_settings(checks_numbers=site.api.checks_numbers),
            self.clock,
            Random(f'{site.seed} {name}'),
            self.metrics,
        )
        self.reporter = Reporter(self.api)
        self.holder.register(self.reporter)
        self.holder.register(Orderer(self.api))
        self.holder.list_hosts = site.living_hosts


class Site:
    """The hosts, the store and the API."""

    def __init__(
        self, loop: VirtualTimeLoop, *, checks_numbers: bool, seed: int = 0
    ) -> None:
        """Create a site without hosts."""
        self.loop = loop
        self.seed = seed
        self.topic = FakeTopic()
        self.api = FakeApi(checks_numbers)
        self.processes: dict[str, Process] = {}
        self._all_processes: list[Process] = []
        self._stopped_at: dict[str, float] = {}
        self._start_count = 0

    def living_hosts(self) -> list[str]:
        """Return the hosts that are not known to have stopped."""
        now = self.loop.time()
        return [
            host
            for host in self.processes
            if now < self._stopped_at.get(host, now) + _DETECTION_SECONDS
        ]

    async def start(self, *hosts: str) -> None:
        """Start a process for each of some hosts."""
        for host in hosts:
            self._start_count += 1
            process = Process(self, f'{host}#{self._start_count}')
            self.processes[host] = process
            self._all_processes.append(process)
            self._stopped_at.pop(host, None)
            context = contextvars.copy_context()
            context.run(SIMULATED_PROCESS.set, process.name)
            await self.loop.create_task(process.holder.start(), context=context)

    def freeze(self, host: str) -> None:
        """Stop a process, which is not known to be dead yet."""
        self._stopped_at.setdefault(host, self.loop.time())
        self.loop.freeze(self.processes[host].name)

    def thaw(self, host: str) -> None:
        """Let a process go on."""
        self._stopped_at.pop(host, None)
        self.loop.thaw(self.processes[host].name)

    async def stop(self) -> None:
        """End all processes."""
        for process in self._all_processes:
            self.loop.thaw(process.name)
            await process.holder.stop()

    def holders(self) -> list[str]:
        """Return the hosts that believe to hold the duties, also frozen."""
        return [
            host
            for host, process in self.processes.items()
            if process.holder.fence_number is not None
        ]

    def holder(self) -> str:
        """Return the only host that holds the duties."""
        (holder,) = self.holders()
        return holder

    def accepted_since(self, start: float) -> list[str]:
        """Return the hosts of the calls since a time, without repeats."""
        hosts = [
            host_of(call.process)
            for call in self.api.calls
            if call.at >= start and call.outcome == CallOutcome.accepted
        ]
        return list(dict.fromkeys(hosts))


def run_site(
    scenario: Callable[[Site], Awaitable[None]],
    *,
    checks_numbers: bool = True,
    seed: int = 0,
) -> None:
    """Run a scenario and check the rules of calls."""
    loop = VirtualTimeLoop()

    async def run() -> None:
        site = Site(loop, checks_numbers=checks_numbers, seed=seed)
        try:
            await scenario(site)
            _check_rules(site.api)
        finally:
            await site.stop()

    try:
        loop.run_until_complete(run())
    finally:
        loop.shut_down()


def _check_rules(api: FakeApi) -> None:
    assert not api.broken_rules
    first_calls: dict[FenceNumber, float] = {}
    for call in api.calls:
        if call.outcome == CallOutcome.accepted:
            first_calls.setdefault(call.number, call.at)
    assert list(first_calls) == sorted(first_calls)
