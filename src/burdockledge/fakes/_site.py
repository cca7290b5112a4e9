"""A simulated site: entry hosts on fakes, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any, Final, TypeVar

from burdockledge.app import EntryHost, HostDependencies
from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.configuration import CONFIG_STREAM, PatchRecord
from burdockledge.fakes._engines import FakeEngine, FakeEngines, make_engine
from burdockledge.fakes._host_list import FakeHostList
from burdockledge.fakes._log import FakeLog
from burdockledge.fakes._network import (
    FakeDatagramSocket,
    FakeNetwork,
    FakePeerBus,
    process_context,
)
from burdockledge.fakes._services import FakeService, FakeServices
from burdockledge.peers import PeerKeys
from burdockledge.settings import ServeSettings
from burdockledge.standins import EngineSettings
from burdockledge.telemetry import TimeLine

if TYPE_CHECKING:
    from burdockledge.gateway import HostComponents

ResultT = TypeVar('ResultT')

_PEER_KEY: Final = 'a shared key of the fake site'
_HOST_LIST_LAG_SECONDS: Final = 2
_LOG_RETENTION_SECONDS: Final = 86_400
_KEY_LIFETIME_SECONDS: Final = 3600
_MAX_TIME_LINE_EVENTS: Final = 20_000
_SETTLE_SECONDS: Final = 3


@dataclass(slots=True)
class SiteHost:
    """One simulated process of an entry host."""

    name: str
    process: str
    host: EntryHost
    clock: VirtualClock
    is_killed: bool = False
    is_stopped: bool = False
    drain_task: asyncio.Task[None] | None = None


class Site:
    """The hosts, network and backend servers of a site, and their faults."""

    def __init__(
        self,
        seed: int = 1,
        retention_seconds: float = _LOG_RETENTION_SECONDS,
        key_lifetime_seconds: float = _KEY_LIFETIME_SECONDS,
    ) -> None:
        """Create the fakes on the running virtual-time loop."""
        loop = asyncio.get_running_loop()
        if not isinstance(loop, VirtualTimeLoop):
            raise TypeError('a site requires a running VirtualTimeLoop')
        self.loop = loop
        self.seed = seed
        self.retention_seconds = retention_seconds
        self.key_lifetime_seconds = key_lifetime_seconds
        self.network = FakeNetwork()
        self.hosts: dict[str, SiteHost] = {}
        self.engine_clients: dict[str, FakeEngines] = {}
        self.engines: dict[str, FakeEngine] = {}
        self.services: dict[str, FakeService] = {}
        self.executions: Counter[str] = Counter()
        self.random = Random(seed)
        self.clock = VirtualClock(loop)
        self.log = FakeLog(self.clock, self.random, retention_seconds)
        self.host_list = FakeHostList(self.clock, _HOST_LIST_LAG_SECONDS)

    def add_engine(self, url: str, settings: EngineSettings) -> FakeEngine:
        """Start an engine at a URL."""
        engine = make_engine(settings, url)
        self.engines[url] = engine
        return engine

    def add_service(self, url: str) -> FakeService:
        """Start a plain service at a URL."""
        self.services[url] = FakeService()
        return self.services[url]

    def publish_patch(self, base: int, patch: dict[str, Any]) -> None:
        """Append a configuration patch to the log, as an operator does."""
        record = PatchRecord(id=f'patch-{base}', base=base, patch=patch)
        self.log.store.append(CONFIG_STREAM, record.model_dump_json())
        self.log.wake_readers()

    async def start_host(self, name: str, data_centre: str) -> SiteHost:
        """Start an entry host, or restart the one of that name."""
        site_host = self._make_host(name, data_centre)
        self.network.attach_process(name, site_host.process)
        self.hosts[name] = site_host
        await self.run_on(name, site_host.host.start)
        return site_host

    async def settle(self, seconds: float = _SETTLE_SECONDS) -> None:
        """Wait in virtual time until the site has settled."""
        await asyncio.sleep(seconds)

    def run_on(
        self,
        name: str,
        work: Callable[[], Coroutine[Any, Any, ResultT]],
    ) -> asyncio.Task[ResultT]:
        """Run a coroutine in the process of a host."""
        return self.loop.create_task(
            work(),
            context=process_context(self.hosts[name].process),
        )

    def components(self, name: str) -> HostComponents:
        """Return the components of a host."""
        return self.hosts[name].host.components

    def freeze(self, name: str) -> None:
        """Pause a process, as SIGSTOP does."""
        self.loop.freeze(self.hosts[name].process)

    def thaw(self, name: str) -> None:
        """Resume a paused process, as SIGCONT does."""
        self.loop.thaw(self.hosts[name].process)

    def kill(self, name: str) -> None:
        """End a process at once, as SIGKILL does."""
        self.loop.freeze(self.hosts[name].process)
        self.network.kill(name)
        self.hosts[name].is_killed = True

    def drain(self, name: str) -> asyncio.Task[None]:
        """Stop a process gracefully, as SIGTERM does."""
        site_host = self.hosts[name]
        stop = partial(self._stop, name, site_host)
        site_host.drain_task = self.run_on(name, stop)
        return site_host.drain_task

    async def _stop(self, name: str, site_host: SiteHost) -> None:
        await site_host.host.drain()
        await site_host.host.stop()
        # The process exits; whatever was still in flight is lost.
        site_host.is_stopped = True
        self.network.kill(name)
        self.loop.freeze(site_host.process)

    def live_hosts(self) -> list[SiteHost]:
        """Return the hosts that accept requests."""
        return [
            site_host
            for site_host in self.hosts.values()
            if not site_host.is_killed
            and site_host.host.components.lifecycle.accepts_requests
        ]

    def _make_host(self, name: str, data_centre: str) -> SiteHost:
        previous = self.hosts.get(name)
        boot = (
            1 if previous is None else previous.host.components.claims.boot + 1
        )
        # A killed process stays frozen, so a restart needs a new process name.
        process = f'{name}/{boot}'
        clock = VirtualClock(self.loop)
        self.engine_clients[name] = FakeEngines(
            self.network,
            name,
            self.engines,
            self.executions,
        )
        settings = ServeSettings(
            host_id=name,
            data_centre=data_centre,
            caller_address='127.0.0.1:1',
            peer_address='127.0.0.1:2',
            seeds=tuple(self.hosts),
            log_url='http://log',
            peer_keys=(_PEER_KEY,),
            log_retention_seconds=self.retention_seconds,
            key_lifetime_seconds=self.key_lifetime_seconds,
        ).model_copy(update={'peer_address': name})
        dependencies = HostDependencies(
            clock=clock,
            random=Random(f'{self.seed} {name} {boot}'),
            bus=FakePeerBus(self.network, name),
            datagram_socket=FakeDatagramSocket(self.network, name),
            peer_keys=PeerKeys((_PEER_KEY,), None),
            log_client=self.log,
            host_list_client=self.host_list,
            engine_client=self.engine_clients[name],
            service_client=FakeServices(
                self.network,
                name,
                self.services,
                self.executions,
            ),
            time_line=TimeLine(name, clock, _MAX_TIME_LINE_EVENTS),
            boot=boot,
        )
        return SiteHost(name, process, EntryHost(settings, dependencies), clock)


def run_virtual(work: Callable[[], Coroutine[Any, Any, ResultT]]) -> ResultT:
    """Run a coroutine to completion on a new virtual-time loop."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work())


__all__ = ('Site', 'SiteHost', 'run_virtual')
