"""Fake servers, callers and routing state for tests of a relay."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from random import Random

from result import Err, Ok, Result

from burdockledge.admission import LoadRefusal
from burdockledge.calls import (
    CallBody,
    CallerLimits,
    ForwardedCall,
    Prompt,
    Route,
    RouteKind,
    RoutingDocument,
    ServerInstance,
    ServiceShare,
    Team,
)
from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.quarantine import Verdict
from burdockledge.relay import (
    CallerPort,
    Headers,
    IncompleteResponseError,
    OutboundCall,
    Placement,
    Relay,
    RouteIndex,
    RoutingState,
    SendFailure,
    SendOutcome,
    ServerClient,
    ServerResponse,
)
from burdockledge.relay._served_call import ServedCall
from burdockledge.relay._server_gate import Selection
from burdockledge.scheduling import CallResult, ServerNotice
from burdockledge.telemetry import Metrics

SAFE_ROUTE = Route(
    'safe', 'h', '/safe/', RouteKind.safe, 2, 0.4, 2, 1, False, False,
    (ServiceShare('book', 1),),
)  # fmt: skip
UNSAFE_ROUTE = replace(
    SAFE_ROUTE, name='unsafe', path_prefix='/unsafe/',
    kind=RouteKind.unsafe, max_attempts=1,
)  # fmt: skip
STREAM_ROUTE = replace(
    UNSAFE_ROUTE, name='stream', path_prefix='/stream/',
    kind=RouteKind.stream,
)  # fmt: skip
RESUMABLE_ROUTE = replace(
    STREAM_ROUTE, name='resumed', path_prefix='/resumed/', is_resumable=True,
    max_attempts=2,
)  # fmt: skip
DOCUMENT = RoutingDocument(
    7,
    (SAFE_ROUTE, UNSAFE_ROUTE, STREAM_ROUTE, RESUMABLE_ROUTE),
    {},
    {'key': Team('team', None)},
    CallerLimits(),
    requires_api_key=True,
)


def call(path: str, key: str | None = 'key') -> ForwardedCall:
    """Return a call to a path, whose caller waits 10 seconds."""
    return ForwardedCall(
        'id', 'POST', path, 'h', (), CallBody(b'body'), key, 10.0
    )


def events(*numbers: int) -> bytes:
    """Return complete server-sent events with these ids."""
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in numbers)


@dataclass
class FakeResponse(ServerResponse):
    """
    A response with given chunks.

    A number in ``body`` is a pause in seconds between two chunks.
    """

    status: int = 200
    body: tuple[bytes | float, ...] = (b'whole',)
    is_cut_off: bool = False
    proves_not_run: bool = False
    headers: Headers = (('Sealed', 'yes'),)
    is_closed: bool = False
    call_rate_limit: float | None = None
    is_delimited: bool = True
    has_seal: bool = True

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks, with the pauses between them."""
        for chunk in self.body:
            if isinstance(chunk, bytes):
                yield chunk
            else:
                await asyncio.sleep(chunk)
        if self.is_cut_off:
            raise IncompleteResponseError

    def close(self) -> None:
        """Record that the response was closed."""
        self.is_closed = True


ScriptStep = FakeResponse | SendFailure | float | tuple[float, FakeResponse]


@dataclass
class FakeClient(ServerClient):
    """
    Returns the scripted results in turn.

    A number is a time without a response, in seconds, after which the
    connection breaks, or the response with it begins.
    """

    script: list[ScriptStep]
    sent: list[OutboundCall] = field(default_factory=list)

    async def send(
        self, outbound: OutboundCall
    ) -> Result[ServerResponse, SendFailure]:
        """Return the next result of the script."""
        assert outbound.call.body.content
        self.sent.append(outbound)
        step = self.script.pop(0)
        if isinstance(step, SendFailure):
            return Err(step)
        if isinstance(step, float):
            await asyncio.sleep(step)
            return Err(SendFailure.broken)
        if isinstance(step, tuple):
            seconds, response = step
            await asyncio.sleep(seconds)
            return Ok(response)
        return Ok(step)


@dataclass
class FakeRoutingState(RoutingState):
    """
    Fixed routes, and instances that are chosen in order.

    ``ready_after`` is the time in seconds after which the routes are known;
    None means at once or, without ``has_routes``, not within the test.
    """

    retries_left: int = 10
    has_routes: bool = True
    server_count: int = 3
    results: list[CallResult] = field(default_factory=list)
    pauses: list[float] = field(default_factory=list)
    stream_events: list[int] = field(default_factory=list)
    ready_after: float | None = None
    verdicts: list[Verdict] = field(default_factory=list)
    is_suspected: bool = False
    release_seconds: float | None = 0.0
    outcomes: list[SendOutcome] = field(default_factory=list)
    limits: list[float | None] = field(default_factory=list)
    room_seconds: float | None = None
    notices: list[ServerNotice] = field(default_factory=list)

    async def wait_ready(self) -> None:
        """Wait until the routes are known."""
        if self.ready_after is None:
            await asyncio.sleep(0 if self.has_routes else 60)
        else:
            await asyncio.sleep(self.ready_after)
            self.has_routes = True

    def routes(self) -> RouteIndex | None:
        """Return the routes of ``DOCUMENT`` if they are known."""
        return RouteIndex(DOCUMENT) if self.has_routes else None

    def verdict(self, service: str, prompt: Prompt) -> Verdict:
        """Return the verdicts of the test in turn, then allow calls."""
        return self.verdicts.pop(0) if self.verdicts else Verdict.allowed

    def may_repeat(self, service: str, prompt: Prompt) -> bool:
        """Return what the test gives."""
        return not self.is_suspected

    def blocked_seconds(self, service: str, prompt: Prompt) -> float | None:
        """Return what the test gives."""
        return self.release_seconds

    def place(
        self,
        service: str,
        route: Route,
        urgency: int,
        prompt: Prompt,
        tried_instance_ids: frozenset[str],
    ) -> Placement | None:
        """Choose the first instance that was not tried."""
        for number in range(self.server_count):
            instance = ServerInstance(f's{number}', 1, service, 'a:1', 'dc', 6)
            if instance.instance_id not in tried_instance_ids:
                return Placement(number, instance, 0, 0, 0)
        return None

    def place_elsewhere(
        self, served: ServedCall, silent: Placement
    ) -> Placement | Selection:
        """Place a call as ``place`` does."""
        placement = self.place(
            served.service,
            served.route,
            served.urgency,
            served.call.prompt,
            frozenset(served.tried_instance_ids),
        )
        return Selection([]) if placement is None else placement

    def seconds_until_usable(
        self, service: str, tried_instance_ids: frozenset[str]
    ) -> float | None:
        """Return what the test gives."""
        return self.room_seconds

    def note_refusal(self, served: ServedCall, refusal: LoadRefusal) -> None:
        """Do nothing."""

    def retry_after_seconds(self, service: str) -> float:
        """Return a fixed time."""
        return 2.5

    def note_response_start(
        self, placement: Placement, call_rate_limit: float | None
    ) -> None:
        """Record the limit."""
        self.limits.append(call_rate_limit)

    def obstacle_to_send(self, placement: Placement) -> str | None:
        """Let every call be sent."""
        return None

    def note_server_notice(
        self, placement: Placement, notice: ServerNotice
    ) -> None:
        """Record the notice."""
        self.notices.append(notice)

    def note_pause(self, placement: Placement, seconds: float) -> None:
        """Record the pause."""
        self.pauses.append(seconds)

    def note_stream_end(
        self, placement: Placement, max_output_tokens: int, events: int
    ) -> None:
        """Record the number of events."""
        self.stream_events.append(events)

    def note_end(self, placement: Placement, outcome: SendOutcome) -> None:
        """Record the result."""
        self.results.append(outcome.result)
        self.outcomes.append(outcome)

    def note_first_send(self, service: str) -> None:
        """Do nothing."""

    def take_retry(self, service: str) -> bool:
        """Allow as many retries as the test gives."""
        self.retries_left -= 1
        return self.retries_left >= 0

    def give_back_retry(self, service: str) -> None:
        """Allow one more retry."""
        self.retries_left += 1

    def age_ms(self) -> int:
        """Return a fixed age."""
        return 5


@dataclass
class FakeCaller(CallerPort):
    """Records the response; ``end`` tells whether it was whole or broken."""

    status: int = 0
    headers: Headers = ()
    body: bytes = b''
    end: str = ''
    is_shut_down: bool = False

    @property
    def has_begun(self) -> bool:
        """Whether a head was recorded."""
        return bool(self.status)

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Record a whole response."""
        assert not self.status
        self.status, self.headers, self.body = status, headers, body
        self.end = 'whole'

    async def start_response(self, status: int, headers: Headers) -> None:
        """Record the head."""
        assert not self.status
        self.status, self.headers = status, headers

    async def write(self, chunk: bytes) -> None:
        """Record a part of the body."""
        self.body += chunk

    async def finish(self) -> None:
        """Record that the response is complete."""
        self.end = 'whole'

    def abort(self) -> None:
        """Record that the response was cut off."""
        self.end = 'broken'


@dataclass
class RelayRun:
    """What was observed while a relay served one call."""

    caller: FakeCaller
    client: FakeClient
    routing_state: FakeRoutingState
    seconds: float
    metrics: Metrics
    # The teams of calls that servers began to run, and when.
    usage: list[tuple[str, float]]


def serve(
    forwarded: ForwardedCall,
    *script: ScriptStep,
    routing_state: FakeRoutingState | None = None,
    cancel_after: float | None = None,
    stop: tuple[float, float] | None = None,
    caller: FakeCaller | None = None,
) -> RelayRun:
    """
    Serve a call in virtual time.

    :param script: the results of the sends, in order.
    :param cancel_after: seconds until the caller closes its connection.
    :param stop: the delay of a planned stop, and the time between planning
        it and the call, in seconds.
    :param caller: gets the response.
    """
    loop = VirtualTimeLoop()
    state = routing_state or FakeRoutingState()
    client = FakeClient(list(script))
    caller = caller or FakeCaller()
    metrics = Metrics()
    relay = Relay(state, client, VirtualClock(loop), Random(1), metrics)
    usage: list[tuple[str, float]] = []
    relay.usage.on_run = lambda team, at: usage.append((team, at))

    async def run() -> None:
        if stop is not None:
            relay.plan_stop(stop[0])
            await asyncio.sleep(stop[1])
        task = loop.create_task(relay.handle(forwarded, caller))
        if cancel_after is not None:
            await asyncio.sleep(cancel_after)
            task.cancel()
        await asyncio.gather(task, return_exceptions=cancel_after is not None)

    try:
        loop.run_until_complete(run())
        return RelayRun(caller, client, state, loop.time(), metrics, usage)
    finally:
        loop.shut_down()


OK = FakeResponse()
FAILED = FakeResponse(500, (b'sorry',))
REFUSED = FakeResponse(503, (b'',), proves_not_run=True)
RAN_503 = FakeResponse(503, (b'ran',))
CUT_OFF = FakeResponse(200, (b'ha',), is_cut_off=True)
NOT_CONNECTED = SendFailure.not_connected
CONNECTION_BROKE = SendFailure.broken
