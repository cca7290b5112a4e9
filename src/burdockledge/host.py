"""The composition root of an entry host that forwards calls."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import replace
from functools import partial
from random import Random, SystemRandom
from typing import TYPE_CHECKING, Final

import aiohttp
from result import Err

from burdockledge.clock import SystemClock
from burdockledge.directory import Directory
from burdockledge.kernel import Kernel, on_stop_signal
from burdockledge.membership import Membership, UdpSocket
from burdockledge.peers import PeerKeys
from burdockledge.platform import (
    Front,
    HttpServerClient,
    PlatformDecoder,
    StoreClient,
    load_host_settings,
)
from burdockledge.registry import ServerRegistry
from burdockledge.relay import STREAMS, BudgetTerms, HostKnowledge, Relay
from burdockledge.replication import (
    GossipExchange,
    Peer,
    ReadSchedule,
    StoreReader,
)
from burdockledge.telemetry import (
    Metrics,
    TimeLine,
    lines_left_out,
    make_logger,
)
from burdockledge.wire import MemberStatus, MemberUpdate

if TYPE_CHECKING:
    from pathlib import Path

    from burdockledge.relay import RouteIndex
    from burdockledge.settings import RelayHostSettings

_log = make_logger('host')

# Part of the bounds on configuration and draining that one read may take.
_READ_PART: Final = 0.35
# A stopping host stays until callers have asked the directory again.
_LEAST_STOP_SECONDS: Final = 3.0
# Time to close what is open before the platform kills the process.
_KILL_MARGIN_SECONDS: Final = 0.6
_IDLE_SECONDS: Final = 0.5
_POLL_SECONDS: Final = 0.1
_TIME_LINE_EVENTS: Final = 1000
_MS: Final = 1000
_SETTINGS_POLL_SECONDS: Final = 1.0
# What the listeners and the parts are made of at the start.
_START_SETTINGS: Final = (
    'host',
    'data_centre',
    'caller_address',
    'readiness_address',
    'directory_address',
    'control_address',
    'peer_address',
    'exchange_port',
    'store_address',
)


class RelayHost:
    """The services of one entry host, wired and ready to start."""

    def __init__(
        self,
        settings: RelayHostSettings,
        keys: PeerKeys,
        session: aiohttp.ClientSession,
    ) -> None:
        """Wire every part."""
        clock = SystemClock()
        random = Random(SystemRandom().getrandbits(64))
        self.settings = settings
        self.metrics = Metrics()
        self.client = HttpServerClient()
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
            TimeLine(settings.host, clock, _TIME_LINE_EVENTS),
        )
        exchange_address = _with_port(
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
        self.schedule = ReadSchedule(_read_period(settings))
        self.reader = StoreReader(
            settings.host,
            settings.peer_address,
            STREAMS,
            StoreClient(settings.store_address, session, clock),
            self.exchange,
            self.schedule,
            clock,
            random,
        )
        self.knowledge = HostKnowledge(
            settings.host,
            settings.data_centre,
            PlatformDecoder(),
            ServerRegistry(),
            self.exchange,
            _budget_terms(settings),
            clock,
            random,
        )
        self.relay = Relay(
            self.knowledge, self.client, clock, random, self.metrics
        )
        self.front = Front(
            settings,
            self.relay,
            Directory(self.membership.table, random),
            self.metrics,
        )
        self._clock = clock
        self._connect()
        self._watch()
        self.kernel = Kernel()
        for service in (
            self.front,
            self.membership,
            self.exchange,
            self.reader,
        ):
            self.kernel.register(service)

    async def start(self) -> None:
        """Start every service; callers are named this host once it is ready."""
        await self.kernel.start()

    async def drain(self) -> None:
        """Tell the others, and finish what callers still send."""
        self.membership.leave()
        self.front.is_closing = True
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        last = self.settings.grace_seconds - _KILL_MARGIN_SECONDS
        self.relay.stop_at(last)
        least = min(_LEAST_STOP_SECONDS, last)
        busy_at = started_at
        while loop.time() - started_at < last:
            if self.relay.in_flight:
                busy_at = loop.time()
            is_old = loop.time() - started_at >= least
            if is_old and loop.time() - busy_at >= _IDLE_SECONDS:
                return
            await asyncio.sleep(_POLL_SECONDS)

    async def stop(self) -> None:
        """Stop every service."""
        await self.kernel.stop()
        await self.client.close()

    def use_settings(self, settings: RelayHostSettings) -> None:
        """Follow changed settings; addresses and names need a restart."""
        needs_restart = [
            name
            for name in _START_SETTINGS
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = replace(
            settings,
            **{name: getattr(self.settings, name) for name in needs_restart},
        )
        self.membership.add_seeds(settings.seeds)
        self.front.use_settings(self.settings)
        self.knowledge.use_terms(_budget_terms(settings))
        self.schedule.set_period(_read_period(settings))
        _log.info(
            'Settings are reloaded.',
            seeds=len(settings.seeds),
            needs_restart=needs_restart,
        )

    def _connect(self) -> None:
        """Let the parts find each other's beliefs."""
        self.membership.subscribe(self._use_peers)
        self.exchange.bootstrap_addresses = self._seed_addresses
        self.reader.list_hosts = self._host_names
        self.reader.on_registered_addresses = self.membership.add_seeds
        self.knowledge.host_count = self._host_count
        self.knowledge.on_routes = self._use_routes

    def _watch(self) -> None:
        """Show what is held, and how old what is believed."""
        metrics = self.metrics
        metrics.watch('calls_in_flight', lambda: self.relay.in_flight)
        metrics.watch('hosts_known', self._host_count)
        metrics.watch('store_reads', lambda: self.reader.read_count)
        metrics.watch('log_lines_left_out', lines_left_out)
        for stream in STREAMS:
            metrics.watch(
                'knowledge_age_seconds',
                partial(self._age_seconds, stream),
                stream=stream,
            )

    def _age_seconds(self, stream: str) -> float:
        state = self.exchange.state(stream)
        return state.age_ms(self._clock.monotonic()) / _MS

    def _use_peers(self) -> None:
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
            self._exchange_address(seed)
            for seed in self.settings.seeds
            if seed != self.settings.peer_address
        ]

    def _exchange_address(self, peer_address: str) -> str:
        return _with_port(peer_address, self.settings.exchange_port)

    def _host_names(self) -> list[str]:
        return [
            update.host for update in self.membership.table.alive_or_suspect()
        ]

    def _host_count(self) -> int:
        return sum(1 for _ in self.membership.table.updates())

    def _use_routes(self, routes: RouteIndex) -> None:
        self.front.use_limits(routes.document.limits)
        own = self.membership.own_member
        if not own.caller_url and own.status == MemberStatus.alive:
            self.membership.advertise(self.settings.caller_address)
            _log.info('Ready.', version=routes.document.version)


async def serve_host(
    settings: RelayHostSettings, path: Path, read_ns: int, keys: PeerKeys
) -> None:
    """
    Run an entry host until it is told to stop; its settings may change.

    :param read_ns: when the file was modified that the settings are from.
    """
    async with aiohttp.ClientSession() as session:
        await _run(RelayHost(settings, keys, session), path, read_ns)


async def _run(host: RelayHost, path: Path, read_ns: int) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    on_stop_signal(stopping.set)
    reloading = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reloading.set)
    await host.start()
    _log.info('Started.', data_centre=host.settings.data_centre)
    reloader = loop.create_task(_reload_forever(host, path, read_ns, reloading))
    await stopping.wait()
    _log.info('Stopping.', in_flight=host.relay.in_flight)
    await host.drain()
    reloader.cancel()
    await host.stop()
    _log.info('Stopped.', in_flight=host.relay.in_flight)


async def _reload_forever(
    host: RelayHost, path: Path, read_ns: int, asked: asyncio.Event
) -> None:
    """Read the settings again on SIGHUP or when their file changed."""
    seen = read_ns
    while True:
        try:
            async with asyncio.timeout(_SETTINGS_POLL_SECONDS):
                await asked.wait()
        except TimeoutError:
            if modified_ns(path) == seen:
                continue
        asked.clear()
        seen = modified_ns(path)
        loaded = load_host_settings(path)
        if isinstance(loaded, Err):
            _log.warning('Settings are not reloaded.', why=loaded.err_value)
            continue
        host.use_settings(loaded.ok_value)


def modified_ns(path: Path) -> int:
    """Return when a file was modified, 0 if it is not there."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # A file that is being replaced is looked for again.
        return 0


def _budget_terms(settings: RelayHostSettings) -> BudgetTerms:
    return BudgetTerms(
        settings.retry_ratio,
        settings.retry_slack,
        settings.retry_window_seconds,
    )


def _read_period(settings: RelayHostSettings) -> float:
    bound = min(settings.configuration_seconds, settings.drain_seconds)
    return bound * _READ_PART


def _with_port(address: str, port: int) -> str:
    return f'{address.rpartition(":")[0]}:{port}'


__all__ = ('RelayHost', 'modified_ns', 'serve_host')
