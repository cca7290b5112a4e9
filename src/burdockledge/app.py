"""The composition root: wires the parts of an entry host."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Final

from burdockledge.claims import Claims, KeyWindow
from burdockledge.configuration import Configuration
from burdockledge.execution import (
    ChatRunner,
    Dispatcher,
    OnceRunner,
    PlainRunner,
)
from burdockledge.gateway import GatewayParts, Lifecycle
from burdockledge.kernel import Kernel, TaskGroupService
from burdockledge.membership import Membership
from burdockledge.placement import HealthBook, Leads, ServerBook, SlotBroker
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

_MS: Final = 1000
_LEAST_GRACE_SECONDS: Final = 1


@dataclass(frozen=True, slots=True)
class Outside:
    """What an entry host meets the outside through; fakes in tests."""

    clock: Clock
    random: Random
    bus: PeerBus
    port: DatagramSocket
    keys: PeerKeys
    log: LogClient
    host_list: HostListClient | None
    engines: EngineClient
    services: ServiceClient
    time_line: TimeLine
    boot: int


class Background(TaskGroupService):
    """Owns the tasks that outlive a caller's connection."""

    name = 'background'

    async def start(self) -> None:
        """Need no start."""


class EntryHost:
    """The services of one entry host, wired and ready to start."""

    def __init__(self, settings: ServeSettings, outside: Outside) -> None:
        """Wire every part."""
        self.kernel = Kernel()
        own = MemberUpdate(
            host=settings.host_id,
            peer_address=settings.peer_address,
            caller_url=settings.public_url,
            data_centre=settings.data_centre,
            boot=outside.boot,
            incarnation=0,
            status=MemberStatus.alive,
        )
        membership = Membership(
            own,
            settings.seeds,
            outside.port,
            outside.keys,
            outside.clock,
            outside.random,
            outside.time_line,
        )
        configuration = Configuration(
            outside.log,
            outside.bus,
            membership,
            outside.time_line,
            settings.log_retention_seconds,
        )
        servers = ServerBook(configuration, outside.host_list)
        servers.on_entry_hosts = membership.add_seeds
        health = HealthBook(outside.clock, outside.time_line)
        broker = SlotBroker(
            outside.bus,
            configuration,
            membership,
            servers,
            health,
            outside.clock,
            outside.random,
            outside.time_line,
        )
        leads = Leads(outside.bus, configuration, membership, outside.clock)
        claims = Claims(
            outside.log,
            settings.host_id,
            outside.boot,
            KeyWindow(int(settings.key_lifetime_seconds * _MS)),
            outside.random,
            outside.time_line,
        )
        claims.is_holder_gone = partial(_is_gone, membership)
        metrics = Metrics()
        dispatcher = Dispatcher(
            broker,
            servers,
            health,
            configuration,
            outside.clock,
            metrics,
            outside.time_line,
            outside.random,
        )
        background = Background()
        self.parts = GatewayParts(
            settings=settings,
            clock=outside.clock,
            random=outside.random,
            bus=outside.bus,
            configuration=configuration,
            membership=membership,
            servers=servers,
            broker=broker,
            leads=leads,
            claims=claims,
            chat=ChatRunner(dispatcher, outside.engines),
            plain=PlainRunner(dispatcher, outside.services),
            once=OnceRunner(claims, outside.clock, background),
            lifecycle=Lifecycle(),
            metrics=metrics,
            time_line=outside.time_line,
        )
        services = (
            outside.bus,
            membership,
            configuration,
            servers,
            claims,
            broker,
            leads,
            background,
        )
        for service in services:
            self.kernel.register(service)

    async def start(self) -> None:
        """Start every service and take requests."""
        await self.kernel.start()
        self.parts.lifecycle.advance('serve')
        self.parts.time_line.record('serving', self.parts.settings.host_id)

    async def drain(self) -> None:
        """
        Take no new requests and finish those in flight.

        Hosts and callers are told first; a limit of 0 waits for all.
        """
        lifecycle = self.parts.lifecycle
        lifecycle.advance('drain')
        self.parts.time_line.record('draining', self.parts.settings.host_id)
        self.parts.membership.leave()
        limit = self.parts.settings.drain_seconds or None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit):
                # Callers that connect in the same moment get an answer.
                await asyncio.sleep(_LEAST_GRACE_SECONDS)
                await lifecycle.wait_idle()

    async def stop(self) -> None:
        """Stop every service."""
        await self.kernel.stop()
        self.parts.lifecycle.advance('finish')


def _is_gone(membership: Membership, host: str, boot: int) -> bool:
    return not membership.may_be_running(host, boot)


__all__ = ('EntryHost', 'Outside')
