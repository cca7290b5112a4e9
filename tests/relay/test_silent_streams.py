"""Streams whose servers are silent for longer than callers may wait."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

import pytest

from burdockledge.calls import CallerLimits, RoutingDocument, Team
from burdockledge.relay import RouteIndex
from burdockledge.scheduling import CallResult
from tests.relay.fakes import (
    RESUMABLE_ROUTE,
    SAFE_ROUTE,
    STREAM_ROUTE,
    FakeResponse,
    FakeRoutingState,
    call,
    events,
    serve,
)

TIMEOUT_SECONDS: Final = 9.0
DOCUMENT: Final = RoutingDocument(
    7,
    tuple(
        replace(route, timeout_seconds=TIMEOUT_SECONDS)
        for route in (STREAM_ROUTE, RESUMABLE_ROUTE, SAFE_ROUTE)
    ),
    {},
    {'key': Team('team', None)},
    CallerLimits(),
    requires_api_key=True,
)
SILENT: Final = FakeResponse(200, (events(1), 4.0, events(2), 1.0, events(3)))
OTHER: Final = FakeResponse(200, (events(2, 3),))


@dataclass
class PatientRoutingState(FakeRoutingState):
    """Has routes with a long time limit."""

    def routes(self) -> RouteIndex:
        """Return the routes of ``DOCUMENT``."""
        return RouteIndex(DOCUMENT)


@pytest.mark.parametrize(
    ('path', 'retries', 'is_suspected', 'seconds', 'sends'),
    [
        ('/stream/x', 10, False, 5.0, 1),
        ('/resumed/x', 0, False, 5.0, 1),
        ('/resumed/x', 10, True, 5.0, 1),
        ('/resumed/x', 10, False, 1.5, 2),
    ],
    ids=['not resumable', 'no budget', 'suspected prompt', 'resumed'],
)
def test_a_silent_stream_is_only_left_for_another_server(
    path: str, retries: int, is_suspected: bool, seconds: float, sends: int
) -> None:
    """Guards against LOST: a stream that is cut for the silence of a server."""
    run = serve(
        call(path),
        replace(SILENT),
        replace(OTHER),
        routing_state=PatientRoutingState(
            retries_left=retries, is_suspected=is_suspected
        ),
    )
    assert (run.caller.body, run.caller.end) == (events(1, 2, 3), 'whole')
    assert run.seconds == pytest.approx(seconds)
    assert len(run.client.sent) == sends


def test_a_stream_that_takes_the_last_of_the_budget_takes_it_once() -> None:
    """The retry that is taken as the stream stalls is the one that is used."""
    state = PatientRoutingState(retries_left=1)
    run = serve(
        call('/resumed/x'), replace(SILENT), replace(OTHER), routing_state=state
    )
    assert (run.caller.body, state.retries_left) == (events(1, 2, 3), 0)


def test_the_time_limit_ends_a_silent_stream() -> None:
    """A server that never goes on does not hold its call without an end."""
    run = serve(
        call('/stream/x'),
        FakeResponse(200, (events(1), 60.0)),
        routing_state=PatientRoutingState(),
    )
    assert (run.caller.body, run.caller.end) == (events(1), 'broken')
    assert run.seconds == pytest.approx(TIMEOUT_SECONDS)
    assert run.metrics.counter(
        'cut_answers', cause='time_limit', may_have_run='true'
    )


@pytest.mark.parametrize(
    ('cancel_after', 'result'),
    [
        (1.9, CallResult.abandoned),
        (2.1, CallResult.unreachable),
        (4.1, CallResult.abandoned),
    ],
)
def test_a_silent_server_is_noticed_when_its_caller_gives_up(
    cancel_after: float, result: CallResult
) -> None:
    """Guards against a silent server that is chosen like a sound one."""
    run = serve(
        call('/stream/x'),
        replace(SILENT),
        routing_state=PatientRoutingState(),
        cancel_after=cancel_after,
    )
    assert run.routing_state.results == [result]
