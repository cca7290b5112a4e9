"""The responses to callers for each behaviour of servers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Final

import pytest

from burdockledge.calls import ForwardedCall, Team
from burdockledge.quarantine import Verdict
from burdockledge.relay import RouteIndex, SendFailure
from burdockledge.scheduling import CallResult
from tests.relay.fakes import (
    CONNECTION_BROKE,
    CUT_OFF,
    DOCUMENT,
    FAILED,
    NOT_CONNECTED,
    OK,
    RAN_503,
    REFUSED,
    SAFE_ROUTE,
    FakeResponse,
    FakeRoutingState,
    ScriptStep,
    call,
    events,
    serve,
)


@pytest.mark.parametrize(
    ('path', 'script', 'status', 'sends'),
    [
        ('/safe/x', (OK,), 200, 1),
        ('/safe/x', (FAILED, OK), 200, 2),
        ('/safe/x', (FAILED, FAILED), 500, 2),
        ('/safe/x', (CONNECTION_BROKE, OK), 200, 2),
        ('/safe/x', (CONNECTION_BROKE, CONNECTION_BROKE), 502, 2),
        ('/safe/x', (CUT_OFF, OK), 200, 2),
        ('/safe/x', (REFUSED, NOT_CONNECTED, OK), 200, 3),
        ('/safe/x', (RAN_503, OK), 200, 2),
        ('/safe/x', (RAN_503, RAN_503), 502, 2),
        ('/safe/x', (9.0, OK), 200, 2),
        ('/unsafe/x', (OK,), 200, 1),
        ('/unsafe/x', (FAILED,), 500, 1),
        ('/unsafe/x', (CONNECTION_BROKE,), 502, 1),
        ('/unsafe/x', (CUT_OFF,), 502, 1),
        ('/unsafe/x', (SendFailure.garbled,), 502, 1),
        ('/unsafe/x', (RAN_503,), 502, 1),
        ('/unsafe/x', (NOT_CONNECTED, OK), 200, 2),
        ('/unsafe/x', (SendFailure.not_sent, OK), 200, 2),
        ('/unsafe/x', (REFUSED, OK), 200, 2),
        ('/unsafe/x', (REFUSED, REFUSED, REFUSED), 503, 3),
        ('/unsafe/x', (REFUSED, CONNECTION_BROKE), 502, 2),
        ('/unsafe/x', (9.0,), 504, 1),
        ('/stream/x', (CONNECTION_BROKE,), 502, 1),
        (
            '/resumed/x',
            (CONNECTION_BROKE, FakeResponse(200, (events(1),))),
            200,
            2,
        ),
    ],
)
def test_only_calls_that_may_run_again_are_retried(
    path: str, script: tuple[ScriptStep, ...], status: int, sends: int
) -> None:
    """A retry needs proof that the call did not run, or an idempotent call."""
    run = serve(call(path), *script)
    assert run.caller.status == status
    assert len(run.client.sent) == sends
    has_retry_after = any(
        name == 'Retry-After' for name, _ in run.caller.headers
    )
    assert has_retry_after is (status == 503)


@pytest.mark.parametrize(
    ('forwarded', 'routing_state', 'status'),
    [
        (call('/none/x'), FakeRoutingState(), 404),
        (call('/safe/x', 'other'), FakeRoutingState(), 401),
        (call('/safe/x', None), FakeRoutingState(), 401),
        (call('/safe/x'), FakeRoutingState(has_routes=False), 503),
        (call('/safe/x'), FakeRoutingState(server_count=0), 503),
    ],
)
def test_calls_that_are_not_sent(
    forwarded: ForwardedCall, routing_state: FakeRoutingState, status: int
) -> None:
    """A call without a route, a valid key or a server gets an error."""
    run = serve(forwarded, routing_state=routing_state)
    assert run.caller.status == status
    assert run.client.sent == []


@pytest.mark.parametrize(
    ('ready_after', 'status', 'seconds'), [(0.3, 200, 0.3), (9.0, 503, 1.0)]
)
def test_calls_to_a_starting_host_wait_for_its_configuration(
    ready_after: float, status: int, seconds: float
) -> None:
    """The wait ends with the configuration, or with 503 after a second."""
    routing_state = FakeRoutingState(has_routes=False, ready_after=ready_after)
    run = serve(call('/unsafe/x'), OK, routing_state=routing_state)
    assert run.caller.status == status
    assert run.seconds == pytest.approx(seconds)


@pytest.mark.parametrize(
    ('exit_delay', 'elapsed', 'status'),
    [(8, 0.0, 200), (8, 2.4, 200), (8, 4.0, 200), (4, 2.6, 503)],
    ids=['at once', 'soon', 'late, but short', 'late, and may be cut off'],
)
def test_late_calls_that_a_stop_would_cut_are_refused(
    exit_delay: float, elapsed: float, status: int
) -> None:
    """A late call is refused if it might outlast the host, else served."""
    run = serve(call('/unsafe/x'), OK, stop=(exit_delay, elapsed))
    assert run.caller.status == status
    assert len(run.client.sent) == (status == 200)


def test_an_empty_retry_budget_prevents_retries() -> None:
    """An idempotent call is not retried beyond the budget."""
    run = serve(
        call('/safe/x'),
        FAILED,
        OK,
        routing_state=FakeRoutingState(retries_left=0),
    )
    assert run.caller.status == 502
    assert len(run.client.sent) == 1


def test_the_time_limit_is_the_shorter_of_route_and_caller() -> None:
    """A call without a response ends exactly at the limit."""
    assert serve(call('/unsafe/x'), 60.0).seconds == pytest.approx(2)
    call_with_timeout = replace(call('/unsafe/x'), caller_timeout_seconds=0.5)
    assert serve(call_with_timeout, 60.0).seconds == pytest.approx(0.5)


def test_the_remaining_time_is_sent_to_servers() -> None:
    """The second server is told what the first attempt left of the limit."""
    run = serve(call('/safe/x'), 60.0, OK)
    first, second = (sent.remaining_seconds for sent in run.client.sent)
    assert first == pytest.approx(2)
    assert second == pytest.approx(1.2)


DRIP = (b'id: 2', 0.9, b'\n', 0.9, b'd', 0.9)
STREAMS: list[tuple[str, tuple[Any, ...], bytes, str]] = [
    ('/stream/x', (FakeResponse(200, (events(1), events(2))),), events(1, 2),
     'whole'),
    ('/stream/x',
     (FakeResponse(200, (events(1) + b'id: 2\nda', b'ta: x\n\n')),),
     events(1, 2), 'whole'),
    ('/stream/x',
     (FakeResponse(200, (events(1), b'id: 2\n'), is_cut_off=True),),
     events(1), 'broken'),
    ('/stream/x', (FakeResponse(200, (events(1), b'id: 2\n')),), events(1),
     'broken'),
    ('/stream/x', (FakeResponse(200, (events(1), 60.0, events(2))),), events(1),
     'broken'),
    ('/resumed/x', (FakeResponse(200, (events(1), b'id: 2\n'), is_cut_off=True),
                    FakeResponse(200, (events(2, 3),))), events(1, 2, 3),
     'whole'),
    ('/resumed/x', (FakeResponse(200, (events(1), 1.7, events(2))),
                    FakeResponse(200, (events(2),))), events(1, 2), 'whole'),
    # Bytes without a complete event are no progress.
    ('/resumed/x', (FakeResponse(200, (events(1), *DRIP, events(2))),
                    FakeResponse(200, (events(3),))), events(1, 3), 'whole'),
    ('/resumed/x', (FakeResponse(200, (events(1), 1.4, events(2))),),
     events(1, 2), 'whole'),
    ('/resumed/x', (FakeResponse(200, (events(1),), is_cut_off=True),
                    FakeResponse(200, (events(2),), is_cut_off=True)),
     events(1, 2), 'broken'),
]  # fmt: skip


@pytest.mark.parametrize(('path', 'script', 'body', 'end'), STREAMS)
def test_streams_consist_of_complete_events(
    path: str, script: tuple[ScriptStep, ...], body: bytes, end: str
) -> None:
    """No event is lost, repeated or cut, and a cut stream is aborted."""
    run = serve(call(path), *(replace(step) for step in script))
    assert run.caller.body == body
    assert run.caller.end == end


EVENT_STREAM: Final = (('Content-Type', 'text/event-stream'),)
BROKEN_OFF: Final = FakeResponse(
    200, (events(1), b'id: 2\nda'), is_cut_off=True, headers=EVENT_STREAM
)
ERROR_TEXT: Final = b'{"error": "overloaded"}\n\n'
ERROR_HEAD: Final = b'HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno'
ERRORS_AFTER_A_STREAM_BEGAN: Final[dict[str, ScriptStep]] = {
    'error status': FakeResponse(500, (ERROR_TEXT,)),
    'client error': FakeResponse(400, (ERROR_TEXT,)),
    'redirect': FakeResponse(302, (ERROR_TEXT,)),
    'refusal': FakeResponse(503, (ERROR_TEXT,), proves_not_run=True),
    'not proven refusal': FakeResponse(429, (ERROR_TEXT,)),
    'error status with a stream': FakeResponse(
        500, (events(2),), headers=EVENT_STREAM
    ),
    'error text with status 200': FakeResponse(
        200, (ERROR_TEXT,), headers=(('Content-Type', 'application/json'),)
    ),
    'error text of no type': FakeResponse(200, (ERROR_TEXT,), headers=()),
    'no content': FakeResponse(204, (), headers=()),
    'head of an error as body': FakeResponse(
        200, (ERROR_HEAD,), headers=EVENT_STREAM
    ),
    'nothing, up to the end of the connection': FakeResponse(
        200, (), headers=EVENT_STREAM, is_delimited=False
    ),
}


@pytest.mark.parametrize('name', ERRORS_AFTER_A_STREAM_BEGAN)
def test_an_error_of_the_next_server_is_no_part_of_a_stream(name: str) -> None:
    """Guards against ORDER and MIXED: the caller sees a stream cut off."""
    second = ERRORS_AFTER_A_STREAM_BEGAN[name]
    run = serve(
        call('/resumed/x'),
        replace(BROKEN_OFF),
        replace(second),
        replace(second),
        replace(second),
    )
    assert run.caller.status == 200
    assert run.caller.body == events(1)
    assert run.caller.end == 'broken'


def test_a_stream_whose_end_alone_was_missing_is_complete() -> None:
    """A delimited stream without events says that nothing follows."""
    run = serve(
        call('/resumed/x'),
        FakeResponse(200, (events(1),), is_cut_off=True, headers=EVENT_STREAM),
        FakeResponse(
            200, (), headers=(('content-type', 'Text/Event-Stream; x=y'),)
        ),
    )
    assert (run.caller.body, run.caller.end) == (events(1), 'whole')


def test_a_resumed_stream_sends_the_last_event_id() -> None:
    """The second server continues after the last complete event."""
    run = serve(
        call('/resumed/x'),
        FakeResponse(200, (events(1, 2),), is_cut_off=True),
        FakeResponse(200, (events(3),)),
    )
    assert [sent.last_event_id for sent in run.client.sent] == [None, '2']


@pytest.mark.parametrize('step', [60.0, FakeResponse(200, (60.0,))])
def test_a_caller_that_disconnects_cancels_the_call(step: ScriptStep) -> None:
    """The send ends and its response is closed."""
    run = serve(call('/stream/x'), step, cancel_after=0.5)
    assert run.seconds == pytest.approx(0.5)
    assert run.routing_state.results == [CallResult.abandoned]
    assert not isinstance(step, FakeResponse) or step.is_closed


@pytest.mark.parametrize(
    ('script', 'results'),
    [
        ((NOT_CONNECTED, OK), [CallResult.unreachable, CallResult.answered]),
        ((REFUSED, OK), [CallResult.refused, CallResult.answered]),
        ((FAILED, OK), [CallResult.failed, CallResult.answered]),
    ],
)
def test_the_result_of_each_send_is_recorded(
    script: tuple[ScriptStep, ...], results: list[CallResult]
) -> None:
    """The routing state gets the result of failed sends and of retries."""
    assert serve(call('/safe/x'), *script).routing_state.results == results


TIERS: list[tuple[int | None, int, int]] = [
    (None, 0, 0), (None, 2, 2), (0, 2, 2), (1, 0, 3), (1, 2, 5), (9, 9, 9),
]  # fmt: skip


@pytest.mark.parametrize(('team_tier', 'route_tier', 'urgency'), TIERS)
def test_urgency_is_the_teams_tier_then_the_routes(
    team_tier: int | None,
    route_tier: int,
    urgency: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A team's tier takes precedence; within it the route's tier decides."""
    document = replace(
        DOCUMENT,
        routes=(replace(SAFE_ROUTE, tier=route_tier),),
        teams_by_api_key={'key': Team('team', team_tier)},
    )

    def index(_: Any) -> RouteIndex:
        return RouteIndex(document)

    monkeypatch.setattr(FakeRoutingState, 'routes', index)
    run = serve(call('/safe/x'), OK)
    assert run.client.sent[0].urgency == urgency


@pytest.mark.parametrize(
    ('step', 'received'),
    [
        (CONNECTION_BROKE, 'nothing'),
        (FakeResponse(200, (), is_cut_off=True), 'head'),
        (FakeResponse(200, (events(1),), is_cut_off=True), 'content'),
    ],
)
def test_metrics_tell_how_far_a_broken_response_came(
    step: ScriptStep, received: str
) -> None:
    """Which call a server began to answer when it ended shows its cause."""
    metrics = serve(call('/stream/x'), step).metrics
    assert metrics.counter('sends', result='unreachable', received=received)


@pytest.mark.parametrize(
    ('verdicts', 'script', 'status', 'sends'),
    [
        ([Verdict.blocked], (), 503, 0),
        ([Verdict.deferred, Verdict.allowed], (OK,), 200, 1),
        ([Verdict.deferred] * 100, (), 503, 0),
        ([Verdict.allowed, Verdict.blocked], (REFUSED,), 503, 1),
        ([Verdict.allowed, Verdict.blocked], (CONNECTION_BROKE,), 502, 1),
    ],
)
def test_callers_of_a_blocked_part_hear_whether_their_call_ran(
    verdicts: list[Verdict],
    script: tuple[ScriptStep, ...],
    status: int,
    sends: int,
) -> None:
    """Guards against a 503 for a call that reached a server."""
    state = FakeRoutingState(verdicts=verdicts)
    run = serve(call('/safe/x'), *script, routing_state=state)
    assert (run.caller.status, len(run.client.sent)) == (status, sends)


def test_a_call_waits_for_a_verdict_half_its_latency_target() -> None:
    """Guards against callers that wait for the verdict on a part."""
    state = FakeRoutingState(verdicts=[Verdict.deferred] * 100)
    assert serve(call('/safe/x'), routing_state=state).seconds < 0.25


@pytest.mark.parametrize(
    ('release_seconds', 'retry_after'),
    [(31.5, '31.50'), (None, None)],
)
def test_retry_after_of_a_blocked_part_is_when_it_may_be_tried(
    release_seconds: float | None, retry_after: str | None
) -> None:
    """Guards against callers that come back in vain every half second."""
    state = FakeRoutingState(
        verdicts=[Verdict.blocked], release_seconds=release_seconds
    )
    headers = dict(serve(call('/safe/x'), routing_state=state).caller.headers)
    assert headers.get('Retry-After') == retry_after


@pytest.mark.parametrize(
    ('step', 'status', 'sends'),
    [(CONNECTION_BROKE, 502, 1), (REFUSED, 200, 2), (NOT_CONNECTED, 200, 2)],
)
def test_a_suspected_call_is_repeated_only_if_it_did_not_run(
    step: ScriptStep, status: int, sends: int
) -> None:
    """Guards against repeats that crash one engine after the other."""
    state = FakeRoutingState(is_suspected=True)
    run = serve(call('/safe/x'), step, OK, routing_state=state)
    assert (run.caller.status, len(run.client.sent)) == (status, sends)


@pytest.mark.parametrize(
    ('step', 'has_broken'),
    [
        (CONNECTION_BROKE, True),
        (CUT_OFF, True),
        (NOT_CONNECTED, False),
        (REFUSED, False),
        (SendFailure.garbled, False),
        (FakeResponse(200, (events(1), 30.0)), False),
    ],
)
def test_only_a_broken_connection_shows_a_crash(
    step: ScriptStep, has_broken: bool
) -> None:
    """Guards against taking a slow or refusing server for a crashed one."""
    state = serve(call('/stream/x'), step, OK).routing_state
    assert state.outcomes[0].has_broken is has_broken


@pytest.mark.parametrize(
    ('room_seconds', 'server_count', 'status', 'retry_after', 'seconds'),
    [
        (None, 0, 503, None, 0.0),
        (0.05, 0, 503, '2.50', 0.25),
        (30.0, 0, 503, '2.50', 0.0),
    ],
)
def test_a_call_without_room_is_refused_early(
    room_seconds: float | None,
    server_count: int,
    status: int,
    retry_after: str | None,
    seconds: float,
) -> None:
    """Guards against callers held for a server that can not take them."""
    state = FakeRoutingState(
        server_count=server_count, room_seconds=room_seconds
    )
    run = serve(call('/safe/x'), routing_state=state)
    assert run.caller.status == status
    headers = dict(run.caller.headers)
    if retry_after is not None:
        assert headers['Retry-After'] == retry_after
    assert run.seconds <= seconds


def test_the_limit_of_each_response_is_recorded() -> None:
    """Guards against limits on refusals and errors that nobody reads."""
    refused = replace(REFUSED, call_rate_limit=1.5)
    failed = replace(FAILED, call_rate_limit=0.5)
    run = serve(call('/safe/x'), refused, failed, OK)
    assert run.routing_state.limits == [1.5, 0.5, None]


@pytest.mark.parametrize(
    ('path', 'script', 'is_kept'),
    [
        ('/unsafe/x', (OK,), False),
        ('/unsafe/x', (REFUSED, OK), False),
        ('/stream/x', (FakeResponse(200, (events(1),)),), False),
        ('/resumed/x', (FakeResponse(200, (events(1),)),), True),
        ('/safe/x', (OK,), True),
        ('/safe/x', (FAILED, OK), False),
    ],
)
def test_a_body_is_kept_only_while_its_call_may_be_sent_again(
    path: str, script: tuple[FakeResponse, ...], is_kept: bool
) -> None:
    """Guards against long streams that hold the bodies of their calls."""
    forwarded = call(path)
    run = serve(forwarded, *script)
    assert run.caller.status == 200
    assert bool(forwarded.body.content) is is_kept
