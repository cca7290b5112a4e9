"""What callers get for each thing that servers may do; virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import pytest
from result import Err, Ok, Result

from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.relay import (
    BrokenAnswerError,
    CallerLimits,
    CallerPort,
    ForwardedCall,
    Headers,
    Knowledge,
    OutboundCall,
    Placed,
    Prompt,
    Relay,
    Repeatability,
    Route,
    RouteIndex,
    RoutingDocument,
    SendFailure,
    ServerAnswer,
    ServerClient,
    ServerRef,
    ServiceShare,
    Team,
)
from burdockledge.scheduling import CallResult
from burdockledge.telemetry import Metrics

SAFE = Route(
    'safe', 'h', '/safe/', Repeatability.safe, 2, 0.4, 2, 1, False, False,
    (ServiceShare('book', 1),),
)  # fmt: skip
UNSAFE = replace(
    SAFE, name='unsafe', path_prefix='/unsafe/',
    repeatability=Repeatability.unsafe, max_attempts=1,
)  # fmt: skip
STREAM = replace(
    UNSAFE, name='stream', path_prefix='/stream/',
    repeatability=Repeatability.stream,
)  # fmt: skip
RESUMED = replace(
    STREAM, name='resumed', path_prefix='/resumed/', is_resumable=True,
    max_attempts=2,
)  # fmt: skip
DOCUMENT = RoutingDocument(
    7,
    (SAFE, UNSAFE, STREAM, RESUMED),
    {},
    {'key': Team('team', None)},
    CallerLimits(),
    requires_key=True,
)


def call(path: str, key: str | None = 'key') -> ForwardedCall:
    """Return a call on a path."""
    return ForwardedCall('id', 'POST', path, 'h', (), b'body', key, 10.0)


def events(*numbers: int) -> bytes:
    """Return whole events with these ids."""
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in numbers)


@dataclass
class FakeAnswer(ServerAnswer):
    """An answer whose chunks, and how it ends, are given."""

    status: int = 200
    body: tuple[bytes | float, ...] = (b'whole',)
    is_broken: bool = False
    is_not_run: bool = False
    headers: Headers = (('Sealed', 'yes'),)
    is_closed: bool = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks; a number is a pause in seconds."""
        for chunk in self.body:
            if isinstance(chunk, bytes):
                yield chunk
            else:
                await asyncio.sleep(chunk)
        if self.is_broken:
            raise BrokenAnswerError

    async def read(self) -> bytes:
        """Return the chunks together."""
        return b''.join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        """Note that the connection was let go."""
        self.is_closed = True


Script = FakeAnswer | SendFailure | float


@dataclass
class FakeClient(ServerClient):
    """Gives the scripted answers in turn; a number is silence."""

    script: list[Script]
    sent: list[OutboundCall] = field(default_factory=list)

    async def send(
        self, outbound: OutboundCall
    ) -> Result[ServerAnswer, SendFailure]:
        """Follow the script."""
        self.sent.append(outbound)
        step = self.script.pop(0)
        if isinstance(step, SendFailure):
            return Err(step)
        if isinstance(step, float):
            await asyncio.sleep(step)
            return Err(SendFailure.broken)
        return Ok(step)


@dataclass
class FakeKnowledge(Knowledge):
    """Knows three servers, and a budget."""

    repeats: int = 10
    has_routes: bool = True
    servers: int = 3
    results: list[CallResult] = field(default_factory=list)
    ready_after: float | None = None

    async def wait_ready(self) -> None:
        """Become ready after a while, if ever."""
        if self.ready_after is None:
            await asyncio.sleep(0 if self.has_routes else 60)
        else:
            await asyncio.sleep(self.ready_after)
            self.has_routes = True

    def routes(self) -> RouteIndex | None:
        """Return the test's routes."""
        return RouteIndex(DOCUMENT) if self.has_routes else None

    def place(
        self,
        service: str,
        route: Route,
        urgency: int,
        prompt: Prompt,
        tried: frozenset[str],
    ) -> Placed | None:
        """Choose the first server that was not tried."""
        for number in range(self.servers):
            ref = ServerRef(f's{number}', 1, service, 'a:1', 'dc', 6)
            if ref.key not in tried:
                return Placed(number, ref, 0, 0, 0)
        return None

    def heard(self, placed: Placed) -> None:
        """Need nothing."""

    def ended(self, placed: Placed, result: int) -> None:
        """Keep the result."""
        self.results.append(CallResult(result))

    def note_first(self, service: str) -> None:
        """Need nothing."""

    def take_repeat(self, service: str) -> bool:
        """Spend the budget."""
        self.repeats -= 1
        return self.repeats >= 0

    def age_ms(self) -> int:
        """Return an age."""
        return 5


@dataclass
class FakeCaller(CallerPort):
    """Keeps what a caller gets."""

    status: int = 0
    headers: Headers = ()
    body: bytes = b''
    ended: str = ''

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Keep a whole answer."""
        assert not self.status
        self.status, self.headers, self.body = status, headers, body
        self.ended = 'whole'

    async def begin(self, status: int, headers: Headers) -> None:
        """Keep the head."""
        assert not self.status
        self.status, self.headers = status, headers

    async def write(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self.body += chunk

    async def finish(self) -> None:
        """Note the end."""
        self.ended = 'whole'

    def abort(self) -> None:
        """Note the broken end."""
        self.ended = 'broken'


@dataclass
class Play:
    """One call through a relay, and all that was seen of it."""

    caller: FakeCaller
    client: FakeClient
    knowledge: FakeKnowledge
    seconds: float


def play(
    forwarded: ForwardedCall,
    *script: Script,
    knowledge: FakeKnowledge | None = None,
    cancel_after: float | None = None,
    stop: tuple[float, float] | None = None,
) -> Play:
    """Serve a call in virtual time."""
    loop = VirtualTimeLoop()
    known = knowledge or FakeKnowledge()
    client = FakeClient(list(script))
    caller = FakeCaller()
    relay = Relay(known, client, VirtualClock(loop), Random(1), Metrics())

    async def run() -> None:
        if stop is not None:
            relay.stop_at(stop[0])
            await asyncio.sleep(stop[1])
        task = loop.create_task(relay.handle(forwarded, caller))
        if cancel_after is not None:
            await asyncio.sleep(cancel_after)
            task.cancel()
        await asyncio.gather(task, return_exceptions=cancel_after is not None)

    try:
        loop.run_until_complete(run())
        return Play(caller, client, known, loop.time())
    finally:
        loop.shut_down()


OK = FakeAnswer()
FAILED = FakeAnswer(500, (b'sorry',))
SHED = FakeAnswer(503, (b'',), is_not_run=True)
RAN_503 = FakeAnswer(503, (b'ran',))
HALF = FakeAnswer(200, (b'ha',), is_broken=True)
GONE = SendFailure.not_connected
RESET = SendFailure.broken


@pytest.mark.parametrize(
    ('path', 'script', 'status', 'sends'),
    [
        ('/safe/x', (OK,), 200, 1),
        ('/safe/x', (FAILED, OK), 200, 2),
        ('/safe/x', (FAILED, FAILED), 500, 2),
        ('/safe/x', (RESET, OK), 200, 2),
        ('/safe/x', (RESET, RESET), 502, 2),
        ('/safe/x', (HALF, OK), 200, 2),
        ('/safe/x', (SHED, GONE, OK), 200, 3),
        ('/safe/x', (RAN_503, OK), 200, 2),
        ('/safe/x', (RAN_503, RAN_503), 502, 2),
        ('/safe/x', (9.0, OK), 200, 2),
        ('/unsafe/x', (OK,), 200, 1),
        ('/unsafe/x', (FAILED,), 500, 1),
        ('/unsafe/x', (RESET,), 502, 1),
        ('/unsafe/x', (HALF,), 502, 1),
        ('/unsafe/x', (SendFailure.garbled,), 502, 1),
        ('/unsafe/x', (RAN_503,), 502, 1),
        ('/unsafe/x', (GONE, OK), 200, 2),
        ('/unsafe/x', (SendFailure.not_sent, OK), 200, 2),
        ('/unsafe/x', (SHED, OK), 200, 2),
        ('/unsafe/x', (SHED, SHED, SHED), 503, 3),
        ('/unsafe/x', (SHED, RESET), 502, 2),
        ('/unsafe/x', (9.0,), 504, 1),
        ('/stream/x', (RESET,), 502, 1),
        ('/resumed/x', (RESET, FakeAnswer(200, (events(1),))), 200, 2),
    ],
)
def test_outcomes(
    path: str, script: tuple[Script, ...], status: int, sends: int
) -> None:
    """Only what provably did not run, or may run twice, is sent again."""
    found = play(call(path), *script)
    assert found.caller.status == status
    assert len(found.client.sent) == sends
    has_hint = any(name == 'Retry-After' for name, _ in found.caller.headers)
    assert has_hint is (status == 503)


@pytest.mark.parametrize(
    ('forwarded', 'knowledge', 'status'),
    [
        (call('/none/x'), FakeKnowledge(), 404),
        (call('/safe/x', 'other'), FakeKnowledge(), 401),
        (call('/safe/x', None), FakeKnowledge(), 401),
        (call('/safe/x'), FakeKnowledge(has_routes=False), 503),
        (call('/safe/x'), FakeKnowledge(servers=0), 503),
    ],
)
def test_calls_that_are_not_sent(
    forwarded: ForwardedCall, knowledge: FakeKnowledge, status: int
) -> None:
    """What no route or key allows gets its answer and runs nowhere."""
    found = play(forwarded, knowledge=knowledge)
    assert found.caller.status == status
    assert found.client.sent == []


@pytest.mark.parametrize(
    ('ready_after', 'status', 'seconds'), [(0.3, 200, 0.3), (9.0, 503, 1.0)]
)
def test_calls_to_a_starting_host_wait_a_little(
    ready_after: float, status: int, seconds: float
) -> None:
    """A host that starts learns its configuration within moments."""
    knowledge = FakeKnowledge(has_routes=False, ready_after=ready_after)
    found = play(call('/unsafe/x'), OK, knowledge=knowledge)
    assert found.caller.status == status
    assert found.seconds == pytest.approx(seconds)


@pytest.mark.parametrize(
    ('left', 'waited', 'status'),
    [(8, 0.0, 200), (8, 2.4, 200), (8, 4.0, 200), (4, 2.6, 503)],
    ids=['at once', 'soon', 'late, but short', 'late, and may be cut'],
)
def test_late_calls_that_a_stop_would_cut_are_refused(
    left: float, waited: float, status: int
) -> None:
    """A call long after the request to stop is refused, not cut."""
    found = play(call('/unsafe/x'), OK, stop=(left, waited))
    assert found.caller.status == status
    assert len(found.client.sent) == (status == 200)


def test_an_empty_budget_ends_repeats() -> None:
    """A repeat needs room in the budget."""
    found = play(
        call('/safe/x'), FAILED, OK, knowledge=FakeKnowledge(repeats=0)
    )
    assert found.caller.status == 502
    assert len(found.client.sent) == 1


def test_the_time_limit_is_the_routes_or_the_callers() -> None:
    """An answer at the limit, neither earlier nor later."""
    assert play(call('/unsafe/x'), 60.0).seconds == pytest.approx(2)
    hasty = replace(call('/unsafe/x'), patience_seconds=0.5)
    assert play(hasty, 60.0).seconds == pytest.approx(0.5)


def test_the_rest_of_the_time_is_passed_on() -> None:
    """A second server gets what the first one left."""
    found = play(call('/safe/x'), 60.0, OK)
    first, second = (sent.patience_seconds for sent in found.client.sent)
    assert first == pytest.approx(2)
    assert second == pytest.approx(1.2)


STREAMS: list[tuple[str, tuple[Any, ...], bytes, str]] = [
    ('/stream/x', (FakeAnswer(200, (events(1), events(2))),), events(1, 2),
     'whole'),
    ('/stream/x', (FakeAnswer(200, (events(1) + b'id: 2\nda', b'ta: x\n\n')),),
     events(1, 2), 'whole'),
    ('/stream/x', (FakeAnswer(200, (events(1), b'id: 2\n'), is_broken=True),),
     events(1), 'broken'),
    ('/stream/x', (FakeAnswer(200, (events(1), b'id: 2\n')),), events(1),
     'broken'),
    ('/stream/x', (FakeAnswer(200, (events(1), 60.0, events(2))),), events(1),
     'broken'),
    ('/resumed/x', (FakeAnswer(200, (events(1), b'id: 2\n'), is_broken=True),
                    FakeAnswer(200, (events(2, 3),))), events(1, 2, 3),
     'whole'),
    ('/resumed/x', (FakeAnswer(200, (events(1), 1.7, events(2))),
                    FakeAnswer(200, (events(2),))), events(1, 2), 'whole'),
    ('/resumed/x', (FakeAnswer(200, (events(1),), is_broken=True),
                    FakeAnswer(200, (events(2),), is_broken=True)),
     events(1, 2), 'broken'),
]  # fmt: skip


@pytest.mark.parametrize(('path', 'script', 'body', 'ended'), STREAMS)
def test_streams(
    path: str, script: tuple[Script, ...], body: bytes, ended: str
) -> None:
    """No event is lost, doubled or cut, and no broken end looks whole."""
    found = play(call(path), *(replace(step) for step in script))
    assert found.caller.body == body
    assert found.caller.ended == ended


def test_a_resumed_stream_tells_its_last_event() -> None:
    """The second server goes on behind the last whole event."""
    found = play(
        call('/resumed/x'),
        FakeAnswer(200, (events(1, 2),), is_broken=True),
        FakeAnswer(200, (events(3),)),
    )
    assert [sent.last_event for sent in found.client.sent] == [None, '2']


@pytest.mark.parametrize('step', [60.0, FakeAnswer(200, (60.0,))])
def test_a_caller_that_leaves_cancels_the_call(step: Script) -> None:
    """Nothing goes on for a caller that closed its connection."""
    found = play(call('/stream/x'), step, cancel_after=0.5)
    assert found.seconds == pytest.approx(0.5)
    assert found.knowledge.results == [CallResult.abandoned]
    assert not isinstance(step, FakeAnswer) or step.is_closed


@pytest.mark.parametrize(
    ('script', 'results'),
    [
        ((GONE, OK), [CallResult.unreachable, CallResult.answered]),
        ((SHED, OK), [CallResult.refused, CallResult.answered]),
        ((FAILED, OK), [CallResult.failed, CallResult.answered]),
    ],
)
def test_results_are_told(
    script: tuple[Script, ...], results: list[CallResult]
) -> None:
    """All hosts learn how each send ended."""
    assert play(call('/safe/x'), *script).knowledge.results == results


TIERS: list[tuple[int | None, int, int]] = [
    (None, 0, 0), (None, 2, 2), (0, 2, 2), (1, 0, 3), (1, 2, 5), (9, 9, 9),
]  # fmt: skip


@pytest.mark.parametrize(('team', 'route', 'urgency'), TIERS)
def test_urgency_is_the_teams_tier_then_the_routes(
    team: int | None,
    route: int,
    urgency: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A team's tier goes first; within it the routes keep their order."""
    document = replace(
        DOCUMENT,
        routes=(replace(SAFE, tier=route),),
        teams_by_key={'key': Team('team', team)},
    )

    def index(_: Any) -> RouteIndex:
        return RouteIndex(document)

    monkeypatch.setattr(FakeKnowledge, 'routes', index)
    found = play(call('/safe/x'), OK)
    assert found.client.sent[0].urgency == urgency
