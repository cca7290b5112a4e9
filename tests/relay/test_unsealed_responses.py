"""Successes of servers that lack the server's seal."""

from __future__ import annotations

from dataclasses import replace

import pytest

from burdockledge.scheduling import CallResult
from tests.relay.fakes import (
    FAILED,
    OK,
    FakeResponse,
    FakeRoutingState,
    call,
    events,
    serve,
)

UNSEALED = FakeResponse(200, (b'forged',), has_seal=False)
UNSEALED_STREAM = replace(UNSEALED, body=(events(1, 2),))
BEGUN_STREAM = FakeResponse(200, (events(1),), is_cut_off=True)
# The path, the responses in turn, and the status, body, end and number of
# sends that follow.
Case = tuple[str, tuple[FakeResponse, ...], int, bytes, str, int]
CASES: dict[str, Case] = {
    'unsafe': (
        '/unsafe/x', (UNSEALED,),
        502, b'the answer has no seal\n', 'whole', 1,
    ),
    'created': (
        '/unsafe/x', (replace(UNSEALED, status=201),),
        502, b'the answer has no seal\n', 'whole', 1,
    ),
    'safe, then sealed': (
        '/safe/x', (UNSEALED, OK), 200, b'whole', 'whole', 2,
    ),
    'safe, twice': (
        '/safe/x', (UNSEALED, UNSEALED),
        502, b'the answer has no seal\n', 'whole', 2,
    ),
    'safe, then a failure': (
        '/safe/x', (UNSEALED, FAILED), 500, b'sorry', 'whole', 2,
    ),
    'stream': (
        '/stream/x', (UNSEALED_STREAM,),
        502, b'the answer has no seal\n', 'whole', 1,
    ),
    'resumable stream, then sealed': (
        '/resumed/x', (UNSEALED_STREAM, FakeResponse(200, (events(1),))),
        200, events(1), 'whole', 2,
    ),
    'resumed stream': (
        '/resumed/x', (BEGUN_STREAM, UNSEALED_STREAM),
        200, events(1), 'broken', 2,
    ),
}  # fmt: skip


@pytest.mark.parametrize('name', CASES)
def test_a_success_without_a_seal_is_not_passed_on(name: str) -> None:
    """Guards against successes that are not the server's."""
    path, script, status, body, end, sends = CASES[name]
    run = serve(call(path), *(replace(step) for step in script))
    caller = run.caller
    assert (caller.status, caller.body, caller.end) == (status, body, end)
    assert len(run.client.sent) == sends


def test_the_health_of_the_server_shows_it() -> None:
    """Guards against a server that spoils its answers and counts as sound."""
    run = serve(call('/safe/x'), replace(UNSEALED), replace(OK))
    results = run.routing_state.results
    assert results == [CallResult.failed, CallResult.answered]
    assert not run.routing_state.outcomes[0].has_broken


def test_the_repeat_takes_from_the_retry_budget() -> None:
    """Guards against repeats beyond the budget of the service."""
    state = FakeRoutingState(retries_left=0)
    run = serve(call('/safe/x'), replace(UNSEALED), routing_state=state)
    assert run.caller.status == 502
    assert len(run.client.sent) == 1


@pytest.mark.parametrize('status', [301, 404, 500])
def test_a_response_without_success_needs_no_seal(status: int) -> None:
    """Servers may fail without a seal."""
    run = serve(call('/unsafe/x'), replace(UNSEALED, status=status))
    assert (run.caller.status, run.caller.body) == (status, b'forged')
