"""The composition root: constructs and connects an entry host."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Final

from burdockledge.claims import ClaimService, KeyWindow
from burdockledge.configuration import Configuration
from burdockledge.execution import (
    AtMostOnceRunner,
    Dispatcher,
    GenerationRunner,
    ServiceCallRunner,
)
from burdockledge.gateway import HostComponents, Lifecycle
from burdockledge.kernel import Kernel, TaskGroupService
from burdockledge.membership import Membership
from burdockledge.placement import (
    HealthTracker,
    ServerTable,
    SlotBroker,
    SlotSchedulerService,
)
from burdockledge.telemetry import Metrics
from burdockledge.wire import MemberStatus, MemberUpdate

if TYPE_CHECKING:
    from random import Random

    from burdockledge.backends import EngineClient, ServiceClient
    from burdockledge.clock import Clock
    from burdockledge.membership import DatagramSocket
    from burdockledge.peers import PeerBus, PeerKeys
    from burdockledge.platform_api import HostListClient, LogClient
    from burdockledge.settings import ServeSettings
    from burdockledge.telemetry import TimeLine

_MS_PER_SECOND: Final = 1000
_MIN_DRAIN_SECONDS: Final = 1


@dataclass(frozen=True, slots=True)
class HostDependencies:
    """
    The external dependencies of an entry host; tests pass fakes.

    ``host_list_client`` is None on a platform without a host list. ``boot``
    distinguishes the runs of one host: a later run has a higher number.
    """

    clock: Clock
    random: Random
    bus: PeerBus
    datagram_socket: DatagramSocket
    peer_keys: PeerKeys
    log_client: LogClient
    host_list_client: HostListClient | None
    engine_client: EngineClient
    service_client: ServiceClient
    time_line: TimeLine
    boot: int


class BackgroundTasks(TaskGroupService):
    """Runs the tasks that must survive the end of a caller's connection."""

    name = 'background'

    async def start(self) -> None:
        """Do nothing: tasks start when they are spawned."""


class EntryHost:
    """The components of one entry host, connected and ready to start."""

    def __init__(
        self, settings: ServeSettings, dependencies: HostDependencies
    ) -> None:
        """Construct and connect all components, and register the services."""
        self.kernel = Kernel()
        own_member = MemberUpdate(
            host=settings.host_id,
            peer_address=settings.peer_address,
            caller_url=settings.public_url,
            data_centre=settings.data_centre,
            boot=dependencies.boot,
            incarnation=0,
            status=MemberStatus.alive,
        )
        membership = Membership(
            own_member,
            settings.seeds,
            dependencies.datagram_socket,
            dependencies.peer_keys,
            dependencies.clock,
            dependencies.random,
            dependencies.time_line,
        )
        configuration = Configuration(
            dependencies.log_client,
            dependencies.bus,
            membership,
            dependencies.time_line,
            settings.log_retention_seconds,
        )
        servers = ServerTable(configuration, dependencies.host_list_client)
        servers.on_entry_hosts = membership.add_seeds
        health = HealthTracker(dependencies.clock, dependencies.time_line)
        broker = SlotBroker(
            dependencies.bus,
            configuration,
            membership,
            servers,
            health,
            dependencies.clock,
            dependencies.random,
            dependencies.time_line,
        )
        schedulers = SlotSchedulerService(
            dependencies.bus, configuration, membership, dependencies.clock
        )
        claims = ClaimService(
            dependencies.log_client,
            settings.host_id,
            dependencies.boot,
            KeyWindow(int(settings.key_lifetime_seconds * _MS_PER_SECOND)),
            dependencies.random,
            dependencies.time_line,
        )
        claims.is_holder_gone = partial(_is_not_running, membership)
        metrics = Metrics()
        dispatcher = Dispatcher(
            broker,
            servers,
            health,
            configuration,
            dependencies.clock,
            metrics,
            dependencies.time_line,
            dependencies.random,
        )
        background_tasks = BackgroundTasks()
        self.components = HostComponents(
            settings=settings,
            clock=dependencies.clock,
            random=dependencies.random,
            bus=dependencies.bus,
            configuration=configuration,
            membership=membership,
            servers=servers,
            broker=broker,
            schedulers=schedulers,
            claims=claims,
            generation_runner=GenerationRunner(
                dispatcher, dependencies.engine_client
            ),
            service_runner=ServiceCallRunner(
                dispatcher, dependencies.service_client
            ),
            at_most_once_runner=AtMostOnceRunner(
                claims, dependencies.clock, background_tasks
            ),
            lifecycle=Lifecycle(),
            metrics=metrics,
            time_line=dependencies.time_line,
        )
        services = (
            dependencies.bus,
            membership,
            configuration,
            servers,
            claims,
            broker,
            schedulers,
            background_tasks,
        )
        for service in services:
            self.kernel.register(service)

    async def start(self) -> None:
        """Start every service, then accept requests."""
        await self.kernel.start()
        self.components.lifecycle.advance('serve')
        self.components.time_line.record(
            'serving', self.components.settings.host_id
        )

    async def drain(self) -> None:
        """
        Stop accepting requests and wait for those in flight.

        The other hosts are told that this one is leaving, and new callers are
        refused. The wait ends after the setting ``drain_seconds``; 0 means no
        limit.
        """
        lifecycle = self.components.lifecycle
        lifecycle.advance('drain')
        self.components.time_line.record(
            'draining', self.components.settings.host_id
        )
        self.components.membership.leave()
        timeout_seconds = self.components.settings.drain_seconds or None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                # Callers that are just connecting still get a response.
                await asyncio.sleep(_MIN_DRAIN_SECONDS)
                await lifecycle.wait_idle()

    async def stop(self) -> None:
        """Stop every service."""
        await self.kernel.stop()
        self.components.lifecycle.advance('finish')


def _is_not_running(membership: Membership, host: str, boot: int) -> bool:
    return not membership.may_be_running(host, boot)


__all__ = ('EntryHost', 'HostDependencies')
