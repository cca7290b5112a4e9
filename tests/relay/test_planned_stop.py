"""Tests of a relay whose process is stopped as planned, in virtual time."""

from __future__ import annotations

import asyncio
import copy
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import pytest
from result import Result

from burdockledge.calls import Prompt, Route
from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.quarantine import Verdict
from burdockledge.relay import (
    Headers,
    OutboundCall,
    Placement,
    Relay,
    RouteIndex,
    SendFailure,
    ServerResponse,
)
from burdockledge.telemetry import Metrics
from tests.relay.fakes import (
    CUT_OFF,
    DOCUMENT,
    FAILED,
    NOT_CONNECTED,
    REFUSED,
    FakeCaller,
    FakeClient,
    FakeResponse,
    FakeRoutingState,
    ScriptStep,
    call,
    events,
)

# The users' time between SIGTERM and SIGKILL, less the time to close.
EXIT_SECONDS = 7.4
# A later call that may outlast the host is refused.
REFUSE_SECONDS = 2.5
TENTHS = range(-1, 10)
# Before this time the stop is not planned yet.
STOP_AT = 2.0
LONG = 20.0
SHORT = 0.9
TOLERANCE = 0.001
# The refusal tells when to come back.
RETRY_HEADER = 'Retry-After'
LONG_DOCUMENT = replace(
    DOCUMENT,
    routes=tuple(
        replace(route, timeout_seconds=LONG) for route in DOCUMENT.routes
    ),
)


@dataclass
class LongRoutingState(FakeRoutingState):
    """Routes whose calls may outlast the grace of a stop."""

    def routes(self) -> RouteIndex | None:
        """Return the routes if they are known."""
        return RouteIndex(LONG_DOCUMENT) if self.has_routes else None


class HoldingState(LongRoutingState):
    """Routes on which a call may wait long for a server."""

    def routes(self) -> RouteIndex | None:
        """Return routes with a latency target of half a minute."""
        routes = tuple(
            replace(route, latency_target_seconds=30.0)
            for route in LONG_DOCUMENT.routes
        )
        return RouteIndex(replace(LONG_DOCUMENT, routes=routes))


class LateRoomState(HoldingState):
    """Has room for a call only five seconds after the stop."""

    def place(
        self,
        service: str,
        route: Route,
        urgency: int,
        prompt: Prompt,
        tried_instance_ids: frozenset[str],
    ) -> Placement | None:
        """Choose an instance once there is room."""
        is_late = asyncio.get_running_loop().time() > STOP_AT + 5
        self.server_count = 3 if is_late else 0
        return super().place(
            service, route, urgency, prompt, tried_instance_ids
        )


@dataclass
class TimedCaller(FakeCaller):
    """Records when its response ended, in seconds after the stop."""

    ended_at: float | None = None

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Record a whole response and the time."""
        await super().send_response(status, headers, body)
        self._note_end()

    async def finish(self) -> None:
        """Record that the response is complete, and the time."""
        await super().finish()
        self._note_end()

    def abort(self) -> None:
        """Record that the response was cut off, and the time."""
        super().abort()
        self._note_end()

    def _note_end(self) -> None:
        self.ended_at = asyncio.get_running_loop().time() - STOP_AT


@dataclass
class StopRun:
    """What was observed of one call around a stop."""

    client: FakeClient
    caller: TimedCaller = field(default_factory=TimedCaller)
    metrics: Metrics = field(default_factory=Metrics)


def serve_around_stop(
    path: str,
    *script: ScriptStep,
    arrives_at: float,
    caller_seconds: float | None = None,
    client: FakeClient | None = None,
    routing_state: FakeRoutingState | None = None,
    exit_seconds: float = EXIT_SECONDS,
) -> StopRun:
    """
    Serve one call of a host that exits ``exit_seconds`` after a stop.

    :param script: the results of the sends, in order.
    :param arrives_at: when the call arrives, in seconds after the stop.
    :param caller_seconds: how long the caller waits, if it says so.
    :param client: a client with a script of its own.
    """
    loop = VirtualTimeLoop()
    run = StopRun(client or FakeClient(list(script)))
    relay = Relay(
        routing_state or LongRoutingState(),
        run.client,
        VirtualClock(loop),
        Random(1),
        run.metrics,
    )
    forwarded = replace(call(path), caller_timeout_seconds=caller_seconds)

    async def arrive() -> None:
        await asyncio.sleep(STOP_AT + arrives_at)
        await relay.handle(forwarded, run.caller)

    async def run_host() -> None:
        task = loop.create_task(arrive())
        await asyncio.sleep(STOP_AT)
        relay.plan_stop(exit_seconds)
        await asyncio.sleep(max(arrives_at, exit_seconds) + 2 * TOLERANCE)
        # The exit of the process closes the connections.
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    try:
        loop.run_until_complete(run_host())
    finally:
        loop.shut_down()
    return run


PATHS = ('/safe/x', '/unsafe/x', '/stream/x', '/resumed/x')
# What the server does, and the seconds until it has answered.
SERVERS: dict[str, tuple[tuple[ScriptStep, ...], float]] = {
    'at once': ((FakeResponse(body=(events(1),)),), 0),
    'slower than usual': ((FakeResponse(body=(0.8, events(1))),), 0.8),
    'just after the end': ((FakeResponse(body=(9.0, events(1))),) * 4, 9),
    'never': ((60.0,) * 4, 60),
}


@pytest.mark.parametrize('caller_seconds', [None, LONG, SHORT])
@pytest.mark.parametrize('server', SERVERS)
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('tenth', TENTHS)
def test_no_call_is_cut_without_an_answer(
    tenth: int, path: str, server: str, caller_seconds: float | None
) -> None:
    """Guards against LOST: calls taken in the grace and cut at its end."""
    arrives_at = 0.1 * tenth * EXIT_SECONDS
    script, server_seconds = SERVERS[server]
    run = serve_around_stop(
        path, *script, arrives_at=arrives_at, caller_seconds=caller_seconds
    )
    caller = run.caller
    assert caller.end == 'whole'
    assert caller.ended_at is not None
    assert caller.ended_at <= EXIT_SECONDS + TOLERANCE
    limit = caller_seconds or LONG
    may_outlast = arrives_at + limit > EXIT_SECONDS
    is_refused = arrives_at >= REFUSE_SECONDS and may_outlast
    assert (not run.client.sent) is is_refused
    if is_refused:
        assert caller.status == 503
        assert RETRY_HEADER in dict(caller.headers)
        assert caller.ended_at == pytest.approx(arrives_at)
    elif server_seconds < 1 and server_seconds < limit:
        assert caller.status == 200
    else:
        assert caller.status in {502, 504}


# A stream that has begun can not get another status, only a cut that shows.
@pytest.mark.parametrize('path', ['/stream/x', '/resumed/x'])
@pytest.mark.parametrize('arrives_at', [-1.0, 0.0, 2.4])
def test_a_stream_that_outlasts_the_host_is_broken_off(
    arrives_at: float, path: str
) -> None:
    """Guards against MIXED: the cut stream does not look complete."""
    body: list[bytes | float] = []
    for number in range(1, 40):
        body += (events(number), 0.5)
    run = serve_around_stop(
        path, FakeResponse(body=tuple(body)), arrives_at=arrives_at
    )
    assert (run.caller.status, run.caller.end) == (200, 'broken')
    assert run.caller.ended_at == pytest.approx(EXIT_SECONDS)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('exit_seconds', [-0.6, 0.0, 0.1, 0.4, 1.0, 2.4, 3.4])
def test_a_short_grace_refuses_in_time_too(
    exit_seconds: float, path: str
) -> None:
    """Guards against LOST: a grace shorter than the directory's delay."""
    arrives_at = max(0.0, 0.8 * exit_seconds)
    run = serve_around_stop(
        path, 60.0, arrives_at=arrives_at, exit_seconds=exit_seconds
    )
    assert run.caller.status == 503
    assert run.client.sent == []


WAITS: dict[str, tuple[type[FakeRoutingState], dict[str, Any]]] = {
    'for room at a server': (
        HoldingState, {'server_count': 0, 'room_seconds': 0.05},
    ),
    'for another call with its prompt': (
        HoldingState, {'verdicts': [Verdict.deferred] * 999},
    ),
    'for room that comes late': (LateRoomState, {'room_seconds': 0.05}),
}  # fmt: skip


@pytest.mark.parametrize('wait', WAITS)
@pytest.mark.parametrize('arrives_at', [-0.1, 1.0, 2.4])
def test_a_call_that_waits_for_a_server_is_refused_in_time(
    arrives_at: float, wait: str
) -> None:
    """Guards against LOST: a call that waits, or is sent, as the grace ends."""
    kind, options = WAITS[wait]
    run = serve_around_stop(
        '/unsafe/x',
        60.0,
        arrives_at=arrives_at,
        routing_state=kind(**copy.deepcopy(options)),
    )
    assert run.caller.status == 503
    assert RETRY_HEADER in dict(run.caller.headers)
    assert run.client.sent == []
    assert run.caller.ended_at == pytest.approx(REFUSE_SECONDS, abs=0.1)


# The sends of a call that arrives before the stop, the status at the end, and
# the number of sends.
REPEATS: list[tuple[str, tuple[ScriptStep, ...], int, int]] = [
    ('/safe/x', (FAILED, 60.0), 504, 2),
    ('/safe/x', (60.0, 60.0), 504, 2),
    ('/safe/x', (3.0, 60.0), 504, 2),
    ('/unsafe/x', (NOT_CONNECTED, 60.0), 504, 2),
    ('/unsafe/x', (REFUSED, REFUSED, 60.0), 504, 3),
    ('/unsafe/x', (CUT_OFF,), 502, 1),
    ('/resumed/x', (replace(CUT_OFF, body=(b'id: 1\nda',)), 60.0), 504, 2),
]


@pytest.mark.parametrize(('path', 'script', 'status', 'sends'), REPEATS)
def test_a_call_that_is_repeated_gets_an_answer_at_the_end(
    path: str, script: tuple[ScriptStep, ...], status: int, sends: int
) -> None:
    """Guards against LOST and REFUSED: a repeated call as the grace ends."""
    run = serve_around_stop(path, *script, arrives_at=1.0)
    assert run.caller.status == status
    assert len(run.client.sent) == sends


@pytest.mark.parametrize('path', ['/unsafe/x', '/stream/x'])
def test_a_call_that_a_server_refuses_late_is_refused(path: str) -> None:
    """Guards against LOST: a second send that the exit may cut off."""

    class SlowClient(FakeClient):
        """Gets each answer after three seconds."""

        async def send(
            self, outbound: OutboundCall
        ) -> Result[ServerResponse, SendFailure]:
            await asyncio.sleep(3)
            return await super().send(outbound)

    run = serve_around_stop(
        path, client=SlowClient([REFUSED, 60.0]), arrives_at=1.0
    )
    assert run.caller.status == 503
    assert len(run.client.sent) == 1


# Seconds after the stop, until the routes are known, and the exit.
@pytest.mark.parametrize(
    ('arrives_at', 'ready_after', 'exit_seconds', 'status'),
    [
        (-0.5, 0.9, 7.4, 200),
        (0.0, 0.9, 7.4, 200),
        (2.0, 0.9, 7.4, 503),
        (2.6, 0.9, 7.4, 503),
        (7.2, 9.0, 7.4, 503),
        (-0.1, 9.0, 0.4, 503),
    ],
)
def test_a_call_to_a_host_that_stops_as_it_starts(
    arrives_at: float, ready_after: float, exit_seconds: float, status: int
) -> None:
    """Guards against LOST: a stop before the first configuration."""
    routing_state = LongRoutingState(has_routes=False, ready_after=ready_after)
    run = serve_around_stop(
        '/unsafe/x', FakeResponse(),
        arrives_at=arrives_at, routing_state=routing_state,
        exit_seconds=exit_seconds,
    )  # fmt: skip
    assert run.caller.status == status
    assert len(run.client.sent) == (status == 200)
    assert run.caller.ended_at is not None
    assert run.caller.ended_at <= exit_seconds


@pytest.mark.parametrize('arrives_at', [-1.0, 0.0, 2.4])
def test_servers_are_told_the_time_until_the_exit(arrives_at: float) -> None:
    """Guards against BUDGET: a server gets no more time than is left."""
    run = serve_around_stop(
        '/unsafe/x', NOT_CONNECTED, 60.0, arrives_at=arrives_at
    )
    for outbound in run.client.sent:
        expected = EXIT_SECONDS - arrives_at if arrives_at >= 0 else LONG
        assert outbound.remaining_seconds == pytest.approx(expected)
    assert run.caller.status == 504


def test_a_second_stop_does_not_prolong_the_first() -> None:
    """Guards against a repeated SIGTERM that moves the end of the grace."""
    loop = VirtualTimeLoop()
    caller = TimedCaller()
    relay = Relay(
        LongRoutingState(), FakeClient([60.0]), VirtualClock(loop), Random(1),
        Metrics(),
    )  # fmt: skip

    async def run_host() -> None:
        task = loop.create_task(relay.handle(call('/unsafe/x'), caller))
        await asyncio.sleep(STOP_AT)
        relay.plan_stop(3.0)
        await asyncio.sleep(1.0)
        relay.plan_stop(3.0)
        await asyncio.gather(task)

    try:
        loop.run_until_complete(run_host())
    finally:
        loop.shut_down()
    assert caller.status == 504
    assert caller.ended_at == pytest.approx(3.0)
