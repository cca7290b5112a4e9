"""Hosts with admission control and servers with slots, in simulated time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from burdockledge.admission import LoadRefusal
from burdockledge.calls import (
    CallBody,
    ForwardedCall,
    Prompt,
    PromptPart,
    Route,
    RouteKind,
    ServerInstance,
    Team,
)
from burdockledge.relay import Placement
from burdockledge.relay._admission_gate import AdmissionGate
from burdockledge.relay._served_call import ServedCall
from burdockledge.scheduling import (
    CallResult,
    CallStart,
    HealthTracker,
    LoadTracker,
    PlacementOptions,
    PlacementRequest,
    make_policy,
)
from tests.relay.fakes import FakeCaller

SERVICE = 'service'
OPTIONS = PlacementOptions(weighs_pressure=True, sheds_load=True)


@dataclass(frozen=True)
class Kind:
    """A kind of call: its tier, prompt, time at a server and limits."""

    name: str
    tier: int = 1
    tokens: int = 1000
    seconds: float = 1.0
    target: float = 0.8
    time_limit: float = 4.0
    team: str = ''


@dataclass(frozen=True)
class Traffic:
    """Calls of a kind per second, from a time to another one."""

    kind: Kind
    rate: float
    start: float = 0.0
    end: float = 20.0


@dataclass
class Attempt:
    """One call of a caller and how it ended."""

    kind: Kind
    at: float
    host: int
    own_part: int
    is_second: bool = False
    refusal: LoadRefusal | None = None
    turned_away: bool = False
    first_event_at: float | None = None
    ended_at: float | None = None
    taken_share: float = 0.0

    @property
    def is_in_time(self) -> bool:
        """Whether the whole answer came within the time limit."""
        return (
            self.ended_at is not None
            and self.ended_at - self.at <= self.kind.time_limit
        )


class Host:
    """What one host believes, and its admission control."""

    def __init__(self, number: int, instances: list[ServerInstance]) -> None:
        """Create a host that knows the times of the servers."""
        self.loads = LoadTracker(OPTIONS)
        self.loads.retain(instances)
        random = Random(number)
        self.policy = make_policy(
            OPTIONS, self.loads, HealthTracker(f'h{number}'), random
        )
        self.gate = AdmissionGate(self.loads, random)
        timing = self.loads.load_of(instances[0].instance_id).timing
        for _ in range(200):
            timing.note_pause(1, 0.02)
            timing.note_pause(4, 0.021)
            timing.note_stream_end(100, 45)


@dataclass
class Server:
    """A server that takes urgent calls first, up to its slots."""

    instance: ServerInstance
    slowness: float = 1.0
    queue_limit: int | None = None
    running: int = 0
    queue: list[tuple[int, int, Callable[[], None]]] = field(
        default_factory=list
    )


@dataclass
class Overload:
    """Callers, hosts whose news takes ``staleness`` seconds, and servers."""

    host_count: int = 6
    server_count: int = 3
    slots: int = 4
    staleness: float = 0.1
    queue_limit: int | None = None
    slow_servers: int = 0
    leaves_after: float | None = None
    repeats_at_once: bool = False
    returns_to_same_host: bool = False

    def __post_init__(self) -> None:
        """Create hosts and servers."""
        self.now = 0.0
        self.random = Random(7)
        self.count = 0
        self.attempts: list[Attempt] = []
        self.todo: list[tuple[float, int, Callable[[], None]]] = []
        self.servers = {}
        for number in range(self.server_count):
            instance = ServerInstance(
                f's{number}', 1, SERVICE, f'10.0.0.{number}:80', 'a', self.slots
            )
            self.servers[instance.instance_id] = Server(
                instance,
                3.0 if number < self.slow_servers else 1.0,
                self.queue_limit,
            )
        self.instances = [server.instance for server in self.servers.values()]
        self.hosts = [
            Host(number, self.instances) for number in range(self.host_count)
        ]

    def after(self, seconds: float, work: Callable[[], None]) -> None:
        """Do something later."""
        self.count += 1
        heapq.heappush(self.todo, (self.now + seconds, self.count, work))

    def run(self, *traffic: Traffic) -> list[Attempt]:
        """Send the calls, and return the attempts of all callers."""
        for stream in traffic:
            at = stream.start
            while at < stream.end:
                at += self.random.expovariate(stream.rate)
                self.after(at, partial(self.call, stream.kind))
        while self.todo:
            self.now, _, work = heapq.heappop(self.todo)
            work()
        return self.attempts

    def call(self, kind: Kind, first: Attempt | None = None) -> None:
        """Let a caller call a host, for the second time after a first one."""
        self.count += 1
        host = self.random.randrange(self.host_count)
        if first is not None and self.returns_to_same_host:
            host = first.host
        attempt = Attempt(
            kind,
            self.now,
            host,
            self.count if first is None else first.own_part,
            is_second=first is not None,
        )
        taken = sum(server.running for server in self.servers.values())
        waiting = sum(len(server.queue) for server in self.servers.values())
        attempt.taken_share = (
            taken / self.slots / self.server_count if not waiting else 1.0
        )
        self.attempts.append(attempt)
        self._place(attempt, self.served(attempt))

    def served(self, attempt: Attempt) -> ServedCall:
        """Return the call of an attempt, as a host gets it."""
        kind = attempt.kind
        parts = (PromptPart(attempt.own_part, kind.tokens),)
        prompt = Prompt(parts, kind.tokens, 100) if kind.tokens else Prompt()
        body = b'x' * attempt.own_part
        team = kind.team or f't{attempt.own_part % 20}'
        route = Route(
            kind.name, 'h', '/', RouteKind.stream, kind.time_limit, kind.target,
            1, kind.tier, False, False, (), 0.5 if kind.tokens else None,
        )  # fmt: skip
        call = ForwardedCall(
            'id', 'POST', '/', 'h', (), CallBody(body), 'key', None, prompt
        )
        return ServedCall(
            call, FakeCaller(), route, Team(team, None), SERVICE, self.now,
            self.now + kind.time_limit, 1,
        )  # fmt: skip

    def _place(self, attempt: Attempt, served: ServedCall) -> None:
        host = self.hosts[attempt.host]
        request = PlacementRequest(
            SERVICE, served.urgency, served.call.prompt, 'a',
            served.route.latency_target_seconds,
            served.route.pause_target_seconds,
        )  # fmt: skip
        choice = host.policy.choose(self.instances, request, self.now)
        assert choice is not None
        admitted = host.gate.admit(served, choice, self.instances, self.now)
        if isinstance(admitted, LoadRefusal):
            host.gate.note_refusal(served, admitted, self.now)
            attempt.refusal = admitted
            if not attempt.is_second:
                wait = admitted.retry_after_seconds
                if self.repeats_at_once:
                    wait = 0.001
                self.after(wait, partial(self.call, attempt.kind, attempt))
            return
        server = self.servers[choice.instance.instance_id]
        start = CallStart(
            attempt.own_part * 2 + attempt.is_second,
            choice.instance.instance_id,
            admitted.urgency, choice.prefill_tokens, served.call.prompt, 100,
            request.pause_target_seconds,
        )  # fmt: skip
        placement = Placement(
            start.call_id, choice.instance, 0, 0, choice.running_calls,
            placed_at=self.now, urgency=admitted.urgency,
            forecast_seconds=admitted.first_event_seconds,
            forecast_run_seconds=admitted.run_seconds,
        )  # fmt: skip
        now = self.now
        self.tell(host, lambda other: other.loads.start(start, now))
        self._send(attempt, host, server, placement, admitted.urgency)

    def tell(self, host: Host, tell: Callable[[Host], None]) -> None:
        """Tell a host something now, and the others later."""
        tell(host)
        for other in self.hosts:
            if other is not host:
                self.after(self.staleness, partial(tell, other))

    def _send(
        self,
        attempt: Attempt,
        host: Host,
        server: Server,
        placement: Placement,
        urgency: int,
    ) -> None:
        job = _Job(self, attempt, host, server, placement)
        self.after(attempt.kind.time_limit, job.finish)
        if server.running < server.instance.slots:
            job.begin()
        elif (
            server.queue_limit is None or len(server.queue) < server.queue_limit
        ):
            self.count += 1
            heapq.heappush(server.queue, (urgency, self.count, job.begin))
        else:
            attempt.turned_away = True
            job.is_done = True
            job.end(CallResult.refused)


@dataclass
class _Job:
    """A call at a server."""

    overload: Overload
    attempt: Attempt
    host: Host
    server: Server
    placement: Placement
    is_begun: bool = False
    is_done: bool = False

    def begin(self) -> None:
        """Take a slot, unless the call is over."""
        if self.is_done:
            self._begin_next()
            return
        self.is_begun = True
        self.server.running += 1
        kind = self.attempt.kind
        seconds = kind.seconds * self.server.slowness
        leaves_after = self.overload.leaves_after
        if leaves_after is not None:
            seconds = min(seconds, leaves_after)
        self.overload.after(
            (0.1 if kind.tokens else 1) * seconds, self.first_event
        )
        self.overload.after(seconds, self.finish)

    def first_event(self) -> None:
        """Send the first event to the host."""
        if self.is_done:
            return
        now = self.overload.now
        self.attempt.first_event_at = now
        self.host.gate.note_response_start(self.placement, now)
        self.overload.tell(
            self.host,
            lambda other: other.loads.note_first_event(
                self.server.instance.instance_id, self.placement.call_id, now
            ),
        )

    def finish(self) -> None:
        """End the call, also if its time limit ends it in the queue."""
        now = self.overload.now
        is_over = now > self.attempt.at + self.attempt.kind.time_limit - 1e-6
        if self.is_done or not (self.is_begun or is_over):
            return
        self.is_done = True
        if is_over or self.overload.leaves_after is not None:
            self.end(CallResult.abandoned)
        else:
            self.attempt.ended_at = now
            self.end(CallResult.answered)
        if self.is_begun:
            self.server.running -= 1
            self._begin_next()

    def end(self, result: CallResult) -> None:
        """Tell the hosts that the call ended."""
        self.host.gate.note_end(self.placement, result, self.overload.now)
        self.overload.tell(
            self.host,
            lambda other: other.loads.end(
                self.server.instance.instance_id, self.placement.call_id
            ),
        )

    def _begin_next(self) -> None:
        if self.server.queue:
            heapq.heappop(self.server.queue)[2]()


__all__ = ('Attempt', 'Kind', 'Overload', 'Traffic')
