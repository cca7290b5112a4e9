"""The composition root of an entry host that forwards calls."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import replace
from functools import partial
from random import Random, SystemRandom
from typing import TYPE_CHECKING, Final

from burdockledge import host_values
from burdockledge.clock import SystemClock
from burdockledge.directory import Directory
from burdockledge.host_duties import make_duty_holder, make_usage_gossip
from burdockledge.host_gauges import (
    register_knowledge,
    register_resources,
    register_servers,
    show_limit,
)
from burdockledge.host_operators import make_operator_endpoints
from burdockledge.kernel import Kernel
from burdockledge.membership import Membership, UdpSocket
from burdockledge.peers import PeerKeys
from burdockledge.platform import (
    Front,
    HttpServerClient,
    PlatformDecoder,
    StoreClient,
)
from burdockledge.registry import ServerRegistry
from burdockledge.relay import (
    STREAMS,
    Relay,
    ReplicatedRoutingState,
)
from burdockledge.replication import (
    EvidenceKeeper,
    GossipExchange,
    Peer,
    StoreReader,
)
from burdockledge.stop_plan import StopPlan
from burdockledge.telemetry import (
    Metrics,
    TimeLine,
    make_logger,
)
from burdockledge.wire import MemberStatus, MemberUpdate

if TYPE_CHECKING:
    import aiohttp

    from burdockledge.kernel import TaskGroupService
    from burdockledge.quarantine import QuarantineEvent
    from burdockledge.relay import RouteIndex
    from burdockledge.settings import RelayHostSettings

_log = make_logger('host')

# A stopping host serves at least this long, so that callers can refresh cached
# directory responses that still list it.
_MIN_DRAIN_SECONDS: Final = 3.0
# Calls in flight get at least this long while the connections close.
_MIN_SHUTDOWN_SECONDS: Final = 0.2
_DRAIN_IDLE_SECONDS: Final = 0.5
_DRAIN_POLL_SECONDS: Final = 0.1
# A timer that is this late was held up by more than other calls.
_LATE_SECONDS: Final = 0.05
# The end of the process takes this much of the time until the exit guard.
_CLOSE_SECONDS: Final = 0.05
_MAX_TIME_LINE_EVENTS: Final = 1000
# Settings that are only read at the start; a change needs a restart.
_RESTART_SETTINGS: Final = (
    'host',
    'data_centre',
    'caller_address',
    'readiness_address',
    'directory_address',
    'control_address',
    'peer_address',
    'exchange_port',
    'store_address',
    'duties',
    'sheds_load',
)


class RelayHost:
    """The components of one entry host, connected and ready to start."""

    def __init__(
        self,
        settings: RelayHostSettings,
        keys: PeerKeys,
        session: aiohttp.ClientSession,
    ) -> None:
        """Create and connect every component; requires a running event loop."""
        clock = SystemClock()
        random = Random(SystemRandom().getrandbits(64))
        self.settings = settings
        self.metrics = Metrics()
        self.server_client = HttpServerClient()
        self.membership = Membership(
            MemberUpdate(
                host=settings.host,
                peer_address=settings.peer_address,
                caller_url='',
                data_centre=settings.data_centre,
                boot=clock.wall_ms(),
                incarnation=0,
                status=MemberStatus.alive,
            ),
            settings.seeds,
            UdpSocket(settings.peer_address),
            keys,
            clock,
            random,
            TimeLine(settings.host, clock, _MAX_TIME_LINE_EVENTS),
        )
        exchange_address = host_values.with_port(
            settings.peer_address, settings.exchange_port
        )
        self.exchange = GossipExchange(
            Peer(settings.host, settings.data_centre, exchange_address),
            STREAMS,
            UdpSocket(exchange_address),
            keys,
            clock,
            random,
        )
        store_client = StoreClient(settings.store_address, session, clock)
        self.store_reader = StoreReader(
            settings.host,
            settings.peer_address,
            STREAMS,
            store_client,
            self.exchange,
            host_values.read_period_seconds(settings),
            clock,
            random,
        )
        self.routing_state = ReplicatedRoutingState(
            settings.host,
            settings.data_centre,
            PlatformDecoder(),
            ServerRegistry(),
            self.exchange,
            host_values.retry_budget_settings(settings),
            clock,
            random,
            host_values.placement_options(settings),
        )
        self.evidence_keeper = EvidenceKeeper(
            settings.host,
            store_client,
            self.routing_state.parts.quarantine,
            clock,
            random,
        )
        self.relay = Relay(
            self.routing_state,
            self.server_client,
            clock,
            random,
            self.metrics,
            host_values.large_answer_bytes(settings),
        )
        self.front = Front(
            settings,
            self.relay,
            Directory(self.membership.table, random),
            self.metrics,
            *make_operator_endpoints(self, keys, clock),
        )
        self.clock = clock
        self.stop_plan: StopPlan | None = None
        self._connect_components()
        self.usage_gossip = make_usage_gossip(self, random)
        self.duty_holder = make_duty_holder(self, session, random)
        services: tuple[TaskGroupService, ...] = (
            self.membership,
            self.exchange,
            self.store_reader,
            self.evidence_keeper,
        )
        for duty_service in (self.usage_gossip, self.duty_holder):
            if duty_service is not None:
                services = (*services, duty_service)
        self._register_gauges(services)
        self.kernel = Kernel()
        # The front stops first: its calls use the other services.
        for service in (*services, self.front):
            self.kernel.register(service)

    async def start(self) -> None:
        """
        Start every service.

        The host advertises its caller address once it has a configuration.
        """
        await self.kernel.start()

    async def drain(self) -> None:
        """
        Announce that this host leaves, and serve calls until callers stop.

        Return once no call was in flight for a while, or shortly before the
        platform kills the process.
        """
        self.membership.leave()
        if self.duty_holder is not None:
            self.duty_holder.release_soon()
        self.front.is_closing = True
        loop = asyncio.get_running_loop()
        plan = self.begin_stop()
        max_drain_seconds = plan.seconds_until(plan.drain_ends_at)
        self.relay.plan_stop(max_drain_seconds)
        min_drain_seconds = min(_MIN_DRAIN_SECONDS, max_drain_seconds)
        last_busy_at = loop.time()
        while plan.seconds_until(plan.drain_ends_at) > 0:
            if self.relay.in_flight:
                last_busy_at = loop.time()
            if (
                plan.elapsed_seconds() >= min_drain_seconds
                and loop.time() - last_busy_at >= _DRAIN_IDLE_SECONDS
            ):
                break
            await self._poll_drain(plan)
        # Calls that arrive between here and the close are answered, too.
        self.front.shutdown_seconds = max(
            _MIN_SHUTDOWN_SECONDS, plan.seconds_until(plan.drain_ends_at)
        )

    async def stop(self) -> None:
        """
        Stop every service before the grace time is over.

        A step that takes too long is left behind.
        """
        plan = self.begin_stop()
        await self.kernel.stop_within(
            plan.seconds_until(plan.exits_at) - _CLOSE_SECONDS
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                max(0.0, plan.seconds_until(plan.exits_at))
            ):
                await self.server_client.close()

    def open_at_exit(self) -> dict[str, object]:
        """Return what has not ended, for the log."""
        return {
            'services': self.kernel.running(),
            'in_flight': self.relay.in_flight,
        }

    def begin_stop(self) -> StopPlan:
        """Return the plan of the stop, which begins with the first call."""
        if self.stop_plan is None:
            self.stop_plan = StopPlan(self.clock, self.settings.grace_seconds)
        return self.stop_plan

    async def _poll_drain(self, plan: StopPlan) -> None:
        polled_at = self.clock.monotonic()
        await asyncio.sleep(_DRAIN_POLL_SECONDS)
        lag = self.clock.monotonic() - polled_at - _DRAIN_POLL_SECONDS
        plan.note_lag(lag)
        if lag > _LATE_SECONDS:
            self.relay.plan_stop(plan.seconds_until(plan.drain_ends_at))

    def apply_settings(self, settings: RelayHostSettings) -> None:
        """Apply reloaded settings except those that need a restart."""
        needs_restart = [
            name
            for name in _RESTART_SETTINGS
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = replace(
            settings,
            # A flag of the process, not of the file.
            suspends_orders=self.settings.suspends_orders,
            **{name: getattr(self.settings, name) for name in needs_restart},
        )
        self.membership.add_seeds(settings.seeds)
        self.front.apply_settings(self.settings)
        self.routing_state.apply_retry_settings(
            host_values.retry_budget_settings(settings)
        )
        self.store_reader.set_period(host_values.read_period_seconds(settings))
        _log.info(
            'Settings are reloaded.',
            seeds=len(settings.seeds),
            needs_restart=needs_restart,
        )

    def _connect_components(self) -> None:
        """Register the callbacks by which components use each other's state."""
        self.membership.subscribe(self._update_exchange_peers)
        self.exchange.bootstrap_addresses = self._seed_addresses
        self.store_reader.list_hosts = self.host_names
        self.store_reader.on_registered_addresses = self.membership.add_seeds
        self.evidence_keeper.list_hosts = self.host_names
        parts = self.routing_state.parts
        parts.quarantine.is_trial_host = self.evidence_keeper.is_writer
        parts.on_event = self._count_part_event
        limits = self.routing_state.limits
        limits.host_count = self.host_count
        limits.limits.share = self._reachable_share
        limits.on_change = partial(show_limit, self.metrics)
        self.routing_state.host_count = self.host_count
        self.routing_state.on_routes = self._on_routes
        self.routing_state.on_restore = self._on_restore

    def _register_gauges(self, services: tuple[TaskGroupService, ...]) -> None:
        """Register every gauge; they are read at each scrape."""
        register_resources(self.metrics, self.relay, services, self.host_count)
        register_servers(
            self.metrics, self.routing_state, self.server_client, self.clock
        )
        register_knowledge(
            self.metrics,
            self.routing_state,
            self.store_reader,
            self.exchange,
            self.clock,
        )

    def _on_restore(self) -> None:
        self.store_reader.note_restore()
        self.evidence_keeper.note_restore()

    def _count_part_event(self, event: QuarantineEvent) -> None:
        self.metrics.count('prompt_part_events', event=event.event)

    def _update_exchange_peers(self) -> None:
        self.exchange.peers.replace(
            [
                Peer(
                    update.host,
                    update.data_centre,
                    self._exchange_address(update.peer_address),
                )
                for update in self.membership.table.probe_targets()
            ]
        )

    def _seed_addresses(self) -> list[str]:
        return [
            self._exchange_address(seed_address)
            for seed_address in self.settings.seeds
            if seed_address != self.settings.peer_address
        ]

    def _exchange_address(self, peer_address: str) -> str:
        return host_values.with_port(peer_address, self.settings.exchange_port)

    def host_names(self) -> list[str]:
        """Return the names of the hosts that may be alive."""
        return [
            update.host for update in self.membership.table.alive_or_suspect()
        ]

    def host_count(self) -> int:
        """Return the number of known hosts, this one included."""
        return sum(1 for _ in self.membership.table.updates())

    def _reachable_share(self) -> float:
        """Return the share of the hosts that are not considered dead."""
        reachable = len(self.membership.table.alive_or_suspect())
        return min(1.0, max(1, reachable) / max(1, self.host_count()))

    def _on_routes(self, routes: RouteIndex) -> None:
        self.front.apply_limits(routes.document.limits)
        self.metrics.retain(
            'route', (route.name for route in routes.document.routes)
        )
        own_member = self.membership.own_member
        if (
            not own_member.caller_url
            and own_member.status == MemberStatus.alive
        ):
            self.membership.advertise(self.settings.caller_address)
            _log.info('Ready.', version=routes.document.version)


__all__ = ('RelayHost',)
