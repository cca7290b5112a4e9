"""Servers, callers and beliefs that a relay meets in tests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from random import Random

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
    ServerInstance,
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
            instance = ServerInstance(f's{number}', 1, service, 'a:1', 'dc', 6)
            if instance.instance_id not in tried:
                return Placed(number, instance, 0, 0, 0)
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
