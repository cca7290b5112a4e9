"""Run one soak: hosts, servers, callers and faults on loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

from tests.soak._callers import (
    RETURNING_CALLER_INTERVAL,
    SoakCaller,
    SoakProber,
    SoakReturningCaller,
)
from tests.soak._configuration import SERVICES, SoakConfiguration
from tests.soak._crowd import SoakCrowd
from tests.soak._duty_api import SoakDutyApi
from tests.soak._faults import INJECTORS, Fault, draw_schedule
from tests.soak._hosts import SoakHost
from tests.soak._oracle import find_violations
from tests.soak._record import NamedLimit, Record, Span
from tests.soak._servers import (
    LATE,
    MISSING,
    REGISTRATION_LIFETIME_SECONDS,
    SoakServer,
)
from tests.soak._store import SoakStore

_ZONES = ('a', 'b')
_SERVERS_PER_SERVICE = 3
_USAGE_INTERVAL_SECONDS = 2.0
_LAG_SAMPLE_SECONDS = 0.05
_MEMORY_SAMPLE_SECONDS = 0.2
# Of a host with a crowd: those of the smallest customer, and few descriptors.
_CROWDED_MEBIBYTES = 88
_CROWDED_LIMITS = {'memory_mb': _CROWDED_MEBIBYTES, 'max_fds': 1400}
# A draining server keeps serving a little longer than its drain limit.
_DRAIN_TO_STOP_SECONDS = 5.0
_READY_TIMEOUT_SECONDS = 15.0
# Time until a server that ended under a request starts again.
_RESTART_SECONDS = 1.5


@dataclass(frozen=True)
class Plan:
    """
    Parameters of one soak.

    ``kinds`` are the faults, empty for all; ``crowd`` is the number of
    connections that stop short of the end of their requests.
    """

    seed: int
    seconds: float
    hosts: int = 4
    callers: int = 12
    mutation: str | None = None
    kinds: tuple[str, ...] = ()
    crowd: int = 0

    def schedule(self) -> list[Fault]:
        """Return the faults to inject."""
        return draw_schedule(self.seed, self.seconds, self.kinds)


class SoakRun:
    """Runs a plan: starts all parts, injects faults and checks the record."""

    def __init__(self, plan: Plan, work_dir: Path) -> None:
        """Create hosts and store; random choices use the plan's seed."""
        self.plan = plan
        self.record = Record()
        self._work_dir = work_dir
        self._random = Random(plan.seed)
        # A loopback subnet that no concurrent soak is likely to use.
        self._subnet_prefix = (
            f'127.{os.getpid() % 200 + 20}.{plan.seed % 250 + 1}'
        )
        self.store = SoakStore(self.record, self._random)
        self.duty_api = SoakDutyApi(self.record, Random(f'{plan.seed} duties'))
        self._duty_api_address = ''
        self.hosts = [
            SoakHost(
                f'host-{number}', f'{self._subnet_prefix}.{number + 1}',
                _ZONES[number % len(_ZONES)], work_dir, self.record,
            )
            for number in range(plan.hosts)
        ]  # fmt: skip
        self.servers: list[SoakServer] = []
        self.callers: list[SoakCaller] = []
        self.configuration = SoakConfiguration(self.store, self.record)
        self._server_count = 0
        self._store_addresses: dict[str, str] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._most_mebibytes = 0.0

    def now(self) -> float:
        """Return the monotonic time in seconds, as used in the record."""
        return time.monotonic()

    async def run(self) -> list[str]:
        """Run the plan and return the violations."""
        try:
            await self._start()
            await self._inject_faults()
        finally:
            for task in self._background_tasks:
                task.cancel()
            await asyncio.gather(*(host.shut_down() for host in self.hosts))
            for server in self.servers:
                with contextlib.suppress(OSError):
                    await server.stop(is_crash=False)
            await self.store.close()
            await self.duty_api.close()
        violations = find_violations(self.record)
        if self.plan.crowd and self._most_mebibytes >= _CROWDED_MEBIBYTES:
            violations.append(
                f'hosts_keep_their_memory: {self._most_mebibytes:.0f} MiB'
            )
        return violations

    def write_settings(self, host: SoakHost, ttl_seconds: float) -> None:
        """Write the settings file of a host."""
        seeds = [other.ip for other in self.hosts[:3]]
        host.write_settings(
            self._store_addresses[host.name], seeds, ttl_seconds,
            _CROWDED_LIMITS if self.plan.crowd else None,
            duty_api=self._duty_api_address,
            checks_tokens=self.duty_api.checks_tokens,
        )  # fmt: skip

    async def replace_server(self, random: Random) -> None:
        """Start a server, then drain and stop one of the same service."""
        replaced_server = await self._relieve(random)
        replaced_server.drain()
        await asyncio.sleep(_DRAIN_TO_STOP_SECONDS)
        await replaced_server.stop(is_crash=False)

    async def remove_server(self, random: Random) -> None:
        """Start a server, then let one leave that never said it drains."""
        server = await self._relieve(random)
        server.unregister()
        # It goes on serving, longer than a copy of the store may show it.
        await asyncio.sleep(2 * _DRAIN_TO_STOP_SECONDS)
        await server.stop(is_crash=True)

    async def retire_server(
        self, random: Random, word: str, seconds: float
    ) -> None:
        """Start a server, then let one say in its answers that it leaves.

        :param word: what it lets the store say, see ``STORE_WORDS``.
        :param seconds: the time until then.
        """
        server = await self._relieve(random)
        server.is_leaving = True
        await asyncio.sleep(seconds)
        if word == LATE:
            server.drain()
        elif word == MISSING:
            server.unregister()
        await asyncio.sleep(_DRAIN_TO_STOP_SECONDS)
        # Hosts without its notice may still use a server that gave no word.
        await server.stop(is_crash=True)
        server.unregister()

    async def crash_server(self, random: Random, seconds: float) -> None:
        """Crash a server; restart it under its name or replace it.

        It is replaced once its registration expires if the fault lasts longer
        than half of the registration lifetime.
        """
        await self._crash(random.choice(self.servers), seconds)

    async def set_fatal_part(self, part: str, seconds: float) -> None:
        """Let servers end under a part of prompts for some seconds."""
        self.record.fatal_part = part
        await asyncio.sleep(seconds)
        self.record.fatal_part = None

    async def limit_server(self, random: Random, seconds: float) -> None:
        """Let a server name a limit for some seconds."""
        server = random.choice(self.servers)
        limit = random.choice((0.5, 1.0, 2.5))
        now = self.now()
        self.record.limits.append(
            NamedLimit(server.name, limit, Span(now, now + seconds))
        )
        await asyncio.sleep(seconds)

    async def _relieve(self, random: Random) -> SoakServer:
        """Start a server, and take one of its service out of the choice."""
        server = random.choice(self.servers)
        await self._add_server(server.service)
        self.servers.remove(server)
        return server

    async def _crash(self, server: SoakServer, seconds: float) -> None:
        if server not in self.servers:
            return
        self.servers.remove(server)
        await server.stop(is_crash=True)
        await asyncio.sleep(seconds)
        if seconds > REGISTRATION_LIFETIME_SECONDS / 2:
            await asyncio.sleep(REGISTRATION_LIFETIME_SECONDS - seconds)
            server.unregister()
            await self._add_server(server.service)
        else:
            await self._add_server(server.service, server.name)

    async def _start(self) -> None:
        self._duty_api_address = await self.duty_api.listen(
            f'{self._subnet_prefix}.202'
        )
        for host in self.hosts:
            self._store_addresses[host.name] = await self.store.listen(
                host.name, f'{self._subnet_prefix}.200'
            )
        for service in sorted(set(SERVICES.values())):
            for _ in range(_SERVERS_PER_SERVICE):
                await self._add_server(service)
        self.configuration.publish()
        for host in self.hosts:
            self.write_settings(host, 2)
            await host.start(self.plan.mutation)
        await asyncio.gather(
            *(self._wait_until_ready(host) for host in self.hosts)
        )
        self.record.started_at = self.now()

    def start_callers(self, count: int) -> list[asyncio.Task[None]]:
        """Start callers and a prober, and return their tasks."""
        self.callers = [
            _caller_type(number)(
                number,
                self.hosts,
                self.configuration,
                self.record,
                Random(number),
            )
            for number in range(count)
        ]
        self._prober = SoakProber(
            count, self.hosts, self.configuration, self.record, Random(count)
        )
        return [
            asyncio.create_task(one.run())
            for one in (*self.callers, self._prober)
        ]

    async def stop_callers(
        self, caller_tasks: list[asyncio.Task[None]]
    ) -> None:
        """Stop the callers and wait for their last requests."""
        for caller in (*self.callers, self._prober):
            caller.is_stopped = True
        await asyncio.gather(*caller_tasks)

    async def _inject_faults(self) -> None:
        caller_tasks = self.start_callers(self.plan.callers)
        self.spawn(self._record_usage())
        self.spawn(self._measure_lag())
        if self.plan.crowd:
            self.spawn(self._watch_memory())
            crowd = SoakCrowd(self.hosts, Random(f'{self.plan.seed} crowd'))
            self.spawn(crowd.run(self.plan.crowd))
        self.spawn(self.duty_api.fail_at_times())
        started_at = self.now()
        for fault in self.plan.schedule():
            await asyncio.sleep(max(0, started_at + fault.at - self.now()))
            self.spawn(self._inject_fault(fault))
        await asyncio.sleep(max(0, started_at + self.plan.seconds - self.now()))
        self.record.ended_at = self.now()
        await self.stop_callers(caller_tasks)

    async def _inject_fault(self, fault: Fault) -> None:
        await INJECTORS[fault.kind](self, fault, Random(fault.draw))

    async def _record_usage(self) -> None:
        while True:
            await asyncio.sleep(_USAGE_INTERVAL_SECONDS)
            for host in self.hosts:
                host.record_usage()

    async def _watch_memory(self) -> None:
        while True:
            await asyncio.sleep(_MEMORY_SAMPLE_SECONDS)
            for host in self.hosts:
                self._most_mebibytes = max(
                    self._most_mebibytes, host.resident_mebibytes()
                )

    async def _measure_lag(self) -> None:
        while True:
            started_at = self.now()
            await asyncio.sleep(_LAG_SAMPLE_SECONDS)
            lag = self.now() - started_at - _LAG_SAMPLE_SECONDS
            self.record.lag = max(self.record.lag, lag)

    async def _wait_until_ready(self, host: SoakHost) -> None:
        ip, _, port = host.directory_address.partition(':')
        async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
            while True:
                try:
                    _, writer = await asyncio.open_connection(ip, int(port))
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.close()
                return

    async def _add_server(self, service: str, name: str | None = None) -> None:
        self._server_count += 1
        server = SoakServer(
            name or f'{service}-{self._server_count}', service, self.record,
            self.store, Random(self._server_count),
        )  # fmt: skip
        server.on_end = lambda ended: self.spawn(
            self._crash(ended, _RESTART_SECONDS)
        )
        zone = _ZONES[self._server_count % len(_ZONES)]
        await server.start(f'{self._subnet_prefix}.201', zone)
        self.servers.append(server)

    def spawn(self, work: object) -> None:
        """Run work in the background until the end of the run."""
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._background_tasks.add(task)


def _caller_type(number: int) -> type[SoakCaller]:
    is_returning = number % RETURNING_CALLER_INTERVAL == 0
    return SoakReturningCaller if is_returning else SoakCaller


def run_soak(plan: Plan, artifacts_dir: Path | None = None) -> list[str]:
    """Run a plan and return its violations.

    If there are any, logs, record and schedule go to ``artifacts_dir``.
    """
    work_dir = Path(tempfile.mkdtemp(prefix=f'soak-{plan.seed}-'))
    soak_run = SoakRun(plan, work_dir)
    violations = asyncio.run(soak_run.run())
    if violations and artifacts_dir is not None:
        _save_artifacts(
            soak_run, work_dir, artifacts_dir / f'seed-{plan.seed}', violations
        )
    shutil.rmtree(work_dir)
    return violations


def _save_artifacts(
    soak_run: SoakRun,
    work_dir: Path,
    artifacts_dir: Path,
    violations: list[str],
) -> None:
    plan = soak_run.plan
    shutil.copytree(work_dir, artifacts_dir, dirs_exist_ok=True)
    faults = [asdict(one) for one in plan.schedule()]
    (artifacts_dir / 'schedule.json').write_text(json.dumps(faults, indent=1))
    (artifacts_dir / 'record.json').write_text(
        json.dumps(asdict(soak_run.record), indent=1, default=str)
    )
    (artifacts_dir / 'broken.txt').write_text('\n'.join((*violations, '')))
    (artifacts_dir / 'command.txt').write_text(
        f'python -m tests.soak --seed {plan.seed} --seconds {plan.seconds} '
        f'--hosts {plan.hosts} --callers {plan.callers}'
        f'{f" --crowd {plan.crowd}" if plan.crowd else ""}'
        f'{"".join(f" --only {kind}" for kind in plan.kinds)}\n'
    )
