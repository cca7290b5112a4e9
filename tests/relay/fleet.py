"""A fleet of relaying hosts and engines in virtual time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Final

import structlog
from result import Err, Ok, Result

from burdockledge.calls import (
    CallBody,
    CallerLimits,
    EngineConfiguration,
    ForwardedCall,
    Prompt,
    PromptPart,
    Route,
    RouteKind,
    RoutingDocument,
    ServerInstance,
    ServiceConfiguration,
    ServiceShare,
    Team,
)
from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.fakes import FakeDatagramSocket, FakeNetwork
from burdockledge.peers import PeerKeys
from burdockledge.registry import Registration, ServerRegistry, ServerState
from burdockledge.relay import (
    CONFIGURATION_STREAM,
    SERVERS_STREAM,
    STREAMS,
    IncompleteResponseError,
    OutboundCall,
    RecordDecoder,
    Relay,
    ReplicatedRoutingState,
    RetryBudgetSettings,
    SendFailure,
    ServerClient,
    ServerResponse,
)
from burdockledge.replication import GossipExchange, Peer
from burdockledge.scheduling import PlacementOptions, ServerNotice
from burdockledge.telemetry import Metrics
from burdockledge.wire import StreamEntry, StreamUpdate
from tests.relay.fakes import FakeCaller, FakeResponse, events

KEYS: Final = PeerKeys(('a key of sixteen characters',), None)
SERVICE: Final = 'model'
# The users' bounds: a host that was up and connected for this long knows what
# the others know.
CONTACT_SECONDS: Final = 3.0
RESTART_SECONDS: Final = 3.0
# The store reports changes of servers with this delay.
REGISTRATION_SECONDS: Final = 0.7
CONNECT_SECONDS: Final = 0.001
EVENT_SECONDS: Final = 0.05
EVENT_COUNT: Final = 12
# Time from a response's head to the end of the engine under a bad part.
FATAL_SECONDS: Final = 0.06
PREFILL_TOKENS_PER_SECOND: Final = 100_000.0
PART_TOKENS: Final = 5000
ONCE_ROUTE: Final = Route(
    'once', 'h', '/once/', RouteKind.stream, 8, 1.5, 1, 1, True, False,
    (ServiceShare(SERVICE, 1),), 1.2,
)  # fmt: skip
RESUMABLE_ROUTE: Final = Route(
    'again', 'h', '/again/', RouteKind.stream, 8, 1.5, 2, 1, True, True,
    (ServiceShare(SERVICE, 1),), 1.2,
)  # fmt: skip
DOCUMENT: Final = RoutingDocument(
    1,
    (ONCE_ROUTE, RESUMABLE_ROUTE),
    {SERVICE: ServiceConfiguration(SERVICE, EngineConfiguration(800_000))},
    {'key': Team('team', None)},
    CallerLimits(),
    requires_api_key=False,
)


@dataclass
class Arrival:
    """A call that reached an engine; times in virtual seconds."""

    at: float
    host: str
    instance_id: str
    request_id: str
    part_ids: tuple[int, ...]
    remaining_seconds: float
    # The run of the host's process.
    process: str = ''


@dataclass(frozen=True)
class Notice:
    """What an engine said of itself in a head that reached a host."""

    at: float
    # The run of the host's process that got it.
    process: str
    instance_id: str
    # The pause that it asks for, None if it leaves.
    pause_seconds: float | None = None


@dataclass
class Answer:
    """A call of a caller, and what the caller got."""

    sent_at: float
    host: str
    request_id: str
    part_ids: tuple[int, ...]
    caller: FakeCaller

    @property
    def is_whole(self) -> bool:
        """Whether the caller got a complete stream."""
        return self.caller.status == 200 and self.caller.end == 'whole'


@dataclass
class Engine:
    """One run of an engine's process."""

    instance: ServerInstance
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    prefill_until: float = 0.0
    # Calls a second that the engine names in its answers, None for no limit.
    limit: float | None = None
    # Whether its answers say that it leaves.
    is_leaving: bool = False
    # Until when it turns calls away, and the pause that it asks for then.
    refuses_until: float = 0.0
    pause_seconds: float = 0.0
    cached: set[tuple[int, ...]] = field(default_factory=set)

    def prefill_seconds(self, part_ids: tuple[int, ...], now: float) -> float:
        """Queue a prompt, and return the time until its answer begins."""
        uncached = 0
        for length in range(1, len(part_ids) + 1):
            if part_ids[:length] not in self.cached:
                self.cached.add(part_ids[:length])
                uncached += PART_TOKENS
        start = max(self.prefill_until, now)
        self.prefill_until = start + uncached / PREFILL_TOKENS_PER_SECOND
        return self.prefill_until - now + 0.01

    async def sleep(self, seconds: float) -> None:
        """
        Wait for some seconds of the engine's work.

        :raises IncompleteResponseError: if the engine ends meanwhile.
        """
        try:
            async with asyncio.timeout(seconds):
                await self.ended.wait()
        except TimeoutError:
            return
        raise IncompleteResponseError


class _EngineResponse(ServerResponse):
    """A stream of an engine, which may end the engine as it begins."""

    def __init__(
        self,
        engine: Engine,
        fleet: Fleet,
        part_ids: tuple[int, ...],
        first_event: int,
        is_fatal: bool,
    ) -> None:
        self._engine = engine
        self._part_ids = part_ids
        self._fleet = fleet
        self._first_event = first_event
        self._is_fatal = is_fatal
        self.status = 200
        self.headers = (('Sealed', 'yes'),)
        self.proves_not_run = False
        self.call_rate_limit = engine.limit
        self.notice = ServerNotice(engine.is_leaving)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the events, each after the time it takes."""
        if self._is_fatal:
            await self._engine.sleep(FATAL_SECONDS)
            self._fleet.end_engine(self._engine, self._part_ids)
            raise IncompleteResponseError
        for number in range(self._first_event, EVENT_COUNT + 1):
            await self._engine.sleep(EVENT_SECONDS)
            yield events(number)

    def close(self) -> None:
        """Do nothing."""


class _Refusal(FakeResponse):
    """A refusal that asks for a pause."""

    def __init__(self, pause_seconds: float, *, is_leaving: bool) -> None:
        super().__init__(503, (b'busy',), proves_not_run=True)
        self.notice = ServerNotice(is_leaving, pause_seconds)


class _EngineClient(ServerClient):
    """Sends the calls of one host to the engines of the fleet."""

    def __init__(self, fleet: Fleet, host: str) -> None:
        self._fleet = fleet
        self._host = host
        self._process = f'{host}-{fleet.start_count}'

    async def send(
        self, outbound: OutboundCall
    ) -> Result[ServerResponse, SendFailure]:
        """Return the response once the prompt is prefilled."""
        fleet = self._fleet
        await asyncio.sleep(CONNECT_SECONDS)
        engine = fleet.engines.get(outbound.instance.instance_id)
        if engine is None:
            return Err(SendFailure.not_connected)
        if outbound.obstacle() is not None:
            return Err(SendFailure.withheld)
        parts = tuple(part.part_id for part in outbound.call.prompt.parts)
        now = fleet.loop.time()
        fleet.arrivals.append(
            Arrival(
                now, self._host, engine.instance.instance_id,
                outbound.call.request_id, parts, outbound.remaining_seconds,
                self._process,
            )
        )  # fmt: skip
        if now < engine.refuses_until:
            self._note(engine, engine.pause_seconds)
            return Ok(
                _Refusal(engine.pause_seconds, is_leaving=engine.is_leaving)
            )
        is_fatal = not fleet.bad_parts.isdisjoint(parts[:-1])
        try:
            await engine.sleep(engine.prefill_seconds(parts, now))
        except IncompleteResponseError:
            return Err(SendFailure.broken)
        if is_fatal and not fleet.sends_head_before_end:
            fleet.end_engine(engine, parts)
            return Err(SendFailure.broken)
        first_event = int(outbound.last_event_id or 0) + 1
        if engine.is_leaving:
            self._note(engine, None)
        return Ok(_EngineResponse(engine, fleet, parts, first_event, is_fatal))

    def _note(self, engine: Engine, pause_seconds: float | None) -> None:
        self._fleet.notices.append(
            Notice(
                self._fleet.loop.time(),
                self._process,
                engine.instance.instance_id,
                pause_seconds,
            )
        )


class _Decoder(RecordDecoder):
    """Decodes the records that the fleet publishes."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def decode_routing(
        self, key: str, content: bytes
    ) -> RoutingDocument | None:
        """Return the configuration of the fleet."""
        return DOCUMENT

    def decode_registration(
        self, key: str, content: bytes
    ) -> Registration | None:
        """Return the registration of an engine by its number of starts."""
        return Registration(
            self._fleet.instances[key, int(content)], ServerState.ready
        )


class FleetHost:
    """One host of the fleet, from its start to its end."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        """Create the parts of a host; ``start`` starts them."""
        clock = VirtualClock(fleet.loop)
        random = Random(f'{name}{fleet.start_count}')
        self.name = name
        self.started_at = fleet.loop.time()
        self.tasks: set[asyncio.Task[None]] = set()
        self.exchange = GossipExchange(
            fleet.peer(name), STREAMS, FakeDatagramSocket(fleet.network, name),
            KEYS, clock, random,
        )  # fmt: skip
        self.metrics = Metrics()
        self.state = ReplicatedRoutingState(
            name, fleet.peer(name).data_centre, _Decoder(fleet),
            ServerRegistry(), self.exchange, RetryBudgetSettings(0.2, 58, 10),
            clock, random, fleet.options,
        )  # fmt: skip
        self.relay = Relay(
            self.state, _EngineClient(fleet, name), clock, random, self.metrics
        )


class Fleet:
    """
    Hosts that share callers and engines, and a record of what both saw.

    Requests whose prompts hold one of ``bad_parts`` before the last part end
    each engine that begins to answer them.
    """

    def __init__(
        self,
        host_count: int,
        engine_count: int = 5,
        *,
        seed: int = 1,
        loss_probability: float = 0.0,
        weighs_pressure: bool = False,
    ) -> None:
        """Create hosts and engines without starting them."""
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
        )
        self.loop = VirtualTimeLoop()
        # How hosts that start from now on choose servers.
        self.options = PlacementOptions(weighs_pressure)
        self.random = Random(seed)
        self.network = FakeNetwork()
        self.network.loss_probability = loss_probability
        self.bad_parts: set[int] = set()
        self.sends_head_before_end = True
        self.arrivals: list[Arrival] = []
        self.answers: list[Answer] = []
        self.notices: list[Notice] = []
        # The parts of the calls that ended an engine, by the time of its end.
        self.ends_under: dict[float, tuple[int, ...]] = {}
        # Times at which hosts were dead or cut off, by name.
        self.host_faults: list[tuple[str, float, float]] = []
        self.engines: dict[str, Engine] = {}
        self.instances: dict[tuple[str, int], ServerInstance] = {}
        self.hosts: dict[str, FleetHost] = {}
        self.start_count = 0
        self._host_names = [f'h{number}' for number in range(host_count)]
        self._engine_names = [f'e{number}' for number in range(engine_count)]
        self._registered: dict[str, int] = {}
        self._records = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._own_part = 1_000_000

    def peer(self, name: str) -> Peer:
        """Return the peer of a host; its number decides its data centre."""
        return Peer(name, f'dc{int(name[1:]) % 3}', name)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run every engine and host."""
        for name in self._engine_names:
            self._start_engine(name)
        self._register()
        for name in self._host_names:
            await self.start_host(name)
        try:
            yield
        finally:
            for task in self._tasks:
                task.cancel()

    async def start_host(self, name: str) -> None:
        """Start a host, also one that was killed or is new to the fleet."""
        self.start_count += 1
        process = f'{name}-{self.start_count}'
        self.network.attach_process(name, process)
        host = FleetHost(self, name)
        self.hosts[name] = host
        self.note_host_fault(name, self.loop.time() - 1)
        for other in self.hosts.values():
            other.exchange.peers.replace(
                [
                    self.peer(known)
                    for known in self.hosts
                    if known != other.name
                ]
            )
        await self.loop.create_task(
            host.exchange.start(), context=self.network.context(name)
        )
        self._publish(name)

    async def kill_host(self, name: str) -> None:
        """End a host without a word."""
        host = self.hosts.pop(name)
        self.network.kill(name)
        for task in host.tasks:
            task.cancel()
        host.exchange.call_events.flush()
        await host.exchange.stop()

    def end_engine(
        self, engine: Engine, part_ids: tuple[int, ...] = ()
    ) -> None:
        """
        End an engine; it starts again after ``RESTART_SECONDS``.

        :param part_ids: the parts of the call that ended it, if one did.
        """
        if engine.ended.is_set():
            return
        engine.ended.set()
        if part_ids:
            self.ends_under[self.loop.time()] = part_ids
        self.engines.pop(engine.instance.instance_id)
        self._spawn(self._restart_engine(engine.instance.server_id))

    def call(
        self, *part_ids: int, route: Route = ONCE_ROUTE, host: str | None = None
    ) -> Answer:
        """Send a call with these parts, and one of its own, to a host."""
        self._own_part += 1
        name = host or self.random.choice(list(self.hosts))
        parts = (*part_ids, self._own_part)
        caller = FakeCaller()
        answer = Answer(
            self.loop.time(), name, f'r{self._own_part}', parts, caller
        )
        self.answers.append(answer)
        prompt = Prompt(
            tuple(PromptPart(part, PART_TOKENS) for part in parts),
            PART_TOKENS * len(parts),
            60,
        )
        forwarded = ForwardedCall(
            answer.request_id, 'POST', f'{route.path_prefix}x', 'h', (),
            CallBody(), 'key', 8.0, prompt,
        )  # fmt: skip
        target = self.hosts[name]
        task = self.loop.create_task(
            _handle(target, forwarded, caller),
            context=self.network.context(name),
        )
        target.tasks.add(task)
        task.add_done_callback(target.tasks.discard)
        return answer

    def is_in_touch(self, host: str, at: float) -> bool:
        """Return whether a host was up and connected for long enough."""
        return not any(
            name == host and start < at < end + CONTACT_SECONDS
            for name, start, end in self.host_faults
        )

    def note_host_fault(self, name: str, since: float) -> None:
        """Record that a host was dead or cut off until now."""
        self.host_faults.append((name, since, self.loop.time()))

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._tasks.add(task)

    def _start_engine(self, name: str) -> None:
        started_ms = 1 + int(self.loop.time() * 1000)
        number = int(name[1:])
        instance = ServerInstance(
            name, started_ms, SERVICE, f'10.0.0.{number}:80',
            f'dc{number % 3}', 128,
        )  # fmt: skip
        self.instances[name, started_ms] = instance
        self.engines[instance.instance_id] = Engine(instance)
        self._registered[name] = started_ms

    def _register(self) -> None:
        self._records += len(self._engine_names)
        if self.hosts:
            # One host at a time reads the store, and tells the others.
            self._publish(list(self.hosts)[-1])

    def _publish(self, name: str) -> None:
        engine_entries = tuple(
            StreamEntry(engine, self._records + offset, b'%d' % started_ms)
            for offset, (engine, started_ms) in enumerate(
                self._registered.items()
            )
        )
        exchange = self.hosts[name].exchange
        for stream, entries in (
            (CONFIGURATION_STREAM, (StreamEntry('config', 0, b'1'),)),
            (SERVERS_STREAM, engine_entries),
        ):
            end = self._records + len(entries)
            self.network.context(name).run(
                exchange.publish,
                StreamUpdate(stream, 0, end, 0, entries, is_whole=True),
            )

    async def _restart_engine(self, name: str) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        self._start_engine(name)
        await asyncio.sleep(REGISTRATION_SECONDS)
        self._register()


async def _handle(
    host: FleetHost, forwarded: ForwardedCall, caller: FakeCaller
) -> None:
    await host.relay.handle(forwarded, caller)


def begun_share(answers: Iterable[Answer]) -> float:
    """Return the share of the calls whose streams were whole."""
    counted = list(answers)
    return sum(answer.is_whole for answer in counted) / max(1, len(counted))


Event = Callable[[Fleet], Awaitable[None]]


async def nothing(fleet: Fleet) -> None:
    """Leave the hosts alone."""


async def restart_some(fleet: Fleet) -> None:
    """Restart four hosts, which then know nothing."""
    names = list(fleet.hosts)[:4]
    for name in names:
        await fleet.kill_host(name)
    await asyncio.sleep(0.5)
    for name in names:
        await fleet.start_host(name)


async def cut_some(fleet: Fleet) -> None:
    """Cut two hosts from the others for some seconds."""
    names = list(fleet.hosts)
    cut_at = fleet.loop.time()
    for name in names[:2]:
        for other in names:
            fleet.network.block(name, other)
            fleet.network.block(other, name)
    await asyncio.sleep(4)
    fleet.network.heal()
    for name in names[:2]:
        fleet.note_host_fault(name, cut_at)


async def add_some(fleet: Fleet) -> None:
    """Add three new hosts."""
    first = len(fleet.hosts)
    for number in range(first, first + 3):
        await fleet.start_host(f'h{number}')
