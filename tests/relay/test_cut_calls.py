"""Calls that end without a complete answer, each with its cause."""

from __future__ import annotations

from collections.abc import MutableMapping
from dataclasses import dataclass, replace
from typing import Any, Final

import pytest

from burdockledge.relay import Headers
from tests.relay.fakes import (
    CONNECTION_BROKE,
    FakeCaller,
    FakeResponse,
    FakeRoutingState,
    ScriptStep,
    call,
    events,
    serve,
)

LogLines = list[MutableMapping[str, Any]]
BROKEN: Final = FakeResponse(200, (events(1),), is_cut_off=True)
SILENT: Final = FakeResponse(200, (events(1), 60.0))


@dataclass
class LeavingCaller(FakeCaller):
    """Has closed its connection when it is written to."""

    async def send_response(self, *_: object) -> None:
        """Fail like a closed connection."""
        raise ConnectionResetError('Cannot write to closing transport')

    async def write(self, chunk: bytes) -> None:
        """Fail like a closed connection."""
        raise ConnectionResetError('Cannot write to closing transport')


@dataclass
class FailingCaller(FakeCaller):
    """Meets a fault of the host when events are written."""

    async def write(self, chunk: bytes) -> None:
        """Raise an error that nothing expects."""
        raise ValueError('odd')


@dataclass
class ChoosyCaller(FakeCaller):
    """Meets a fault of the host when a server's headers are written."""

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Raise an error that nothing expects, for a server's response."""
        if status < 300:
            raise ValueError('odd')
        await super().send_response(status, headers, body)


@dataclass
class FailingState(FakeRoutingState):
    """Meets a fault of the host when a call is placed."""

    def place(self, *_: object) -> None:
        """Raise an error that nothing expects."""
        raise ValueError('odd')


def ended(log: LogLines) -> MutableMapping[str, Any]:
    """Return the line on the end of the only call."""
    (line,) = [
        line for line in log if line['event'] in {'Answered.', 'Cut off.'}
    ]
    assert line['request'] == 'id'
    return line


CUTS: Final[dict[str, tuple[str, tuple[ScriptStep, ...], str, int]]] = {
    'the stream breaks': ('/stream/x', (BROKEN,), 'server_broke', 1),
    'the stream ends inside an event': (
        '/stream/x', (FakeResponse(200, (events(1), b'id: 2')),),
        'server_broke', 1,
    ),
    'the stream breaks, and no other server goes on with it': (
        '/resumed/x', (BROKEN, CONNECTION_BROKE), 'server_broke', 2,
    ),
    'the time limit': ('/resumed/x', (SILENT, SILENT), 'time_limit', 2),
    'an endless event': (
        '/stream/x', (FakeResponse(200, (events(1), b'x' * 5_000_000)),),
        'answer_too_large', 1,
    ),
}  # fmt: skip


@pytest.mark.parametrize('name', CUTS)
def test_a_cut_call_tells_its_cause(name: str, log: LogLines) -> None:
    """Guards against LOST cases that no line and no counter tells apart."""
    path, script, cause, runs = CUTS[name]
    run = serve(call(path), *(replace(step) if isinstance(step, FakeResponse)
                              else step for step in script))  # fmt: skip
    line = ended(log)
    assert (line['status'], line['cause']) == (0, cause)
    assert (line['runs'], line['may_have_run']) == (runs, True)
    assert run.metrics.counter('cut_answers', cause=cause, may_have_run='true')


@pytest.mark.parametrize(
    ('is_shut_down', 'cause'), [(False, 'caller_left'), (True, 'host_stopped')]
)
@pytest.mark.parametrize(
    ('step', 'is_sent'),
    [(60.0, True), (FakeResponse(200, (60.0,)), True), (None, False)],
    ids=['no answer', 'a begun answer', 'no configuration'],
)
def test_a_cancelled_call_tells_who_closed_its_connection(
    step: ScriptStep | None,
    is_sent: bool,
    is_shut_down: bool,
    cause: str,
    log: LogLines,
) -> None:
    """Guards against a stop of the host that is logged as its caller's."""
    run = serve(
        call('/stream/x'),
        *([] if step is None else [step]),
        routing_state=FakeRoutingState(has_routes=is_sent),
        cancel_after=0.5,
        caller=FakeCaller(is_shut_down=is_shut_down),
    )
    line = ended(log)
    assert line['cause'] == cause
    assert line['may_have_run'] is is_sent
    assert run.metrics.counter(
        'cut_answers', cause=cause, may_have_run=str(is_sent).lower()
    )


@pytest.mark.parametrize('path', ['/unsafe/x', '/stream/x', '/none/x'])
def test_a_caller_that_left_before_a_write_has_a_line(
    path: str, log: LogLines
) -> None:
    """Guards against a call that ends without a line of its own."""
    run = serve(
        call(path), FakeResponse(200, (events(1),)), caller=LeavingCaller()
    )
    is_sent = path != '/none/x'
    assert ended(log)['cause'] == 'caller_left'
    assert run.metrics.counter(
        'cut_answers', cause='caller_left', may_have_run=str(is_sent).lower()
    )


@pytest.mark.parametrize(
    ('path', 'caller', 'state', 'status', 'may_have_run', 'end'),
    [
        ('/stream/x', FailingCaller(), FakeRoutingState(), 0, True, 'broken'),
        ('/unsafe/x', ChoosyCaller(), FakeRoutingState(), 502, True, 'whole'),
        ('/stream/x', FakeCaller(), FailingState(), 503, False, 'whole'),
    ],
    ids=['in a stream', 'before a whole answer', 'before a send'],
)
def test_a_fault_of_the_host_is_told(
    path: str,
    caller: FakeCaller,
    state: FakeRoutingState,
    status: int,
    may_have_run: bool,
    end: str,
    log: LogLines,
) -> None:
    """Guards against a fault after which callers hear an unproven 500."""
    run = serve(
        call(path),
        FakeResponse(200, (events(1),)),
        routing_state=state,
        caller=caller,
    )
    assert ended(log)['why'] == 'a fault of this host'
    assert ended(log)['may_have_run'] is may_have_run
    assert run.caller.end == end
    assert run.caller.status == (status or 200)
    assert run.metrics.counter('failures', why='a fault of this host')
    cuts = run.metrics.counter(
        'cut_answers', cause='host_failed', may_have_run='true'
    )
    assert cuts == (status == 0)
