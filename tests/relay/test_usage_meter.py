"""Which calls count as usage of their teams, and at what time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

import pytest

from burdockledge.calls import ForwardedCall, RoutingDocument
from burdockledge.relay import RouteIndex
from tests.relay.fakes import (
    CONNECTION_BROKE,
    CUT_OFF,
    DOCUMENT,
    FAILED,
    NOT_CONNECTED,
    OK,
    RAN_503,
    REFUSED,
    FakeCaller,
    FakeResponse,
    FakeRoutingState,
    ScriptStep,
    call,
    events,
    serve,
)

ONE_EVENT = FakeResponse(200, (events(1),))


@pytest.mark.parametrize(
    ('path', 'script', 'counted_at'),
    [
        ('/safe/x', (OK,), [0.0]),
        ('/safe/x', (0.2, OK), [0.2]),
        ('/safe/x', (CUT_OFF, OK), [0.0]),
        ('/safe/x', (FAILED, OK), [0.0]),
        ('/safe/x', (REFUSED, REFUSED, REFUSED), []),
        ('/safe/x', (RAN_503, RAN_503), []),
        ('/safe/x', (NOT_CONNECTED, NOT_CONNECTED, NOT_CONNECTED), []),
        ('/unsafe/x', (CONNECTION_BROKE,), []),
        ('/unsafe/x', (FakeResponse(200, has_seal=False),), []),
        ('/stream/x', (FakeResponse(200, (1.0, events(1, 2))),), [1.0]),
        (
            '/stream/x',
            (FakeResponse(200, (events(1), 1.0, events(2))),),
            [0.0],
        ),
        ('/stream/x', (FakeResponse(200, (b'data: x', 0.5, b'\n\n')),), [0.5]),
        ('/stream/x', (FakeResponse(200, ()),), []),
        ('/stream/x', (FAILED,), []),
        (
            '/resumed/x',
            (
                FakeResponse(200, (events(1),), is_cut_off=True),
                FakeResponse(200, (0.3, events(2))),
            ),
            [0.0],
        ),
        (
            '/resumed/x',
            (
                FakeResponse(200, (b'da',), is_cut_off=True),
                FakeResponse(200, (0.3, events(1))),
            ),
            [0.3],
        ),
    ],
)
def test_a_call_counts_once_when_a_server_began_to_run_it(
    path: str, script: tuple[ScriptStep, ...], counted_at: list[float]
) -> None:
    """Guards against calls counted twice, never, or at another time."""
    script = tuple(
        replace(step) if isinstance(step, FakeResponse) else step
        for step in script
    )
    usage = serve(call(path), *script).usage
    assert [team for team, _ in usage] == ['team'] * len(counted_at)
    assert [at for _, at in usage] == pytest.approx(counted_at, abs=0.001)


@dataclass
class OpenRoutingState(FakeRoutingState):
    """Has routes that need no API key."""

    def routes(self) -> RouteIndex:
        """Return the routes of ``DOCUMENT``."""
        document: RoutingDocument = replace(DOCUMENT, requires_api_key=False)
        return RouteIndex(document)


@pytest.mark.parametrize(
    'forwarded',
    [
        call('/stream/x', None),
        replace(call('/resumed/x'), last_event_id='4'),
    ],
    ids=['without a team', 'resumed by its caller'],
)
def test_calls_that_do_not_count(forwarded: ForwardedCall) -> None:
    """Guards against usage of no team, and a call counted by two hosts."""
    run = serve(forwarded, replace(ONE_EVENT), routing_state=OpenRoutingState())
    assert run.caller.end == 'whole'
    assert not run.usage


class SlowCaller(FakeCaller):
    """Takes two seconds to accept the head of a response."""

    async def start_response(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Record the head late."""
        await asyncio.sleep(2)
        await super().start_response(status, headers)


def test_a_slow_caller_does_not_delay_the_count() -> None:
    """Guards against a call in a later window than its first event."""
    run = serve(call('/stream/x'), replace(ONE_EVENT), caller=SlowCaller())
    assert run.usage == [('team', 0.0)]
