"""
Calls whose server is silent while no other server can begin them.

Each test guards against LOST, unless its own comment names another failure.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final, TypeVar

import pytest

from burdockledge.calls import Prompt, PromptPart, ServerInstance
from burdockledge.clock import VirtualTimeLoop
from burdockledge.relay import (
    SERVERS_STREAM,
    Placement,
    ReplicatedRoutingState,
    StalledResponseError,
)
from burdockledge.relay._call_mover import CallMover
from burdockledge.relay._retry_rules import RetryRules
from burdockledge.relay._served_call import ServedCall
from burdockledge.relay._server_gate import Selection
from burdockledge.relay._silence_watch import SilenceListener, SilenceWatch
from burdockledge.scheduling import CallResult, CallStart, ServerNotice
from burdockledge.telemetry import Metrics
from tests.relay.fakes import (
    CUT_OFF,
    OK,
    REFUSED,
    RESUMABLE_ROUTE,
    FakeCaller,
    FakeResponse,
    ScriptStep,
    call,
    events,
    serve,
)
from tests.relay.test_replicated_state import (
    full_update,
)
from tests.relay.test_replicated_state import (
    routing_state as replicated_state,
)
from tests.relay.test_silent_streams import (
    TIMEOUT_SECONDS,
    PatientRoutingState,
)

SILENT: Final = FakeResponse(200, (events(1), 4.0, events(2), 1.0, events(3)))
REST: Final = FakeResponse(200, (events(2, 3),))
DEAD: Final = FakeResponse(200, (events(1), 60.0))
WHOLE: Final = events(1, 2, 3)
FULL_SLOTS: Final = 8
_StepT = TypeVar('_StepT')
ANY_PROMPT: Final = Prompt((PromptPart(7, 1000),), 1000, 10)


@dataclass
class GrowingRoutingState(PatientRoutingState):
    """Has one server, and another one once ``joins_at`` has come."""

    joins_at: float = 0.0

    def place_elsewhere(
        self, served: ServedCall, silent: Placement
    ) -> Placement | Selection:
        """Choose the other server once it is there."""
        if asyncio.get_running_loop().time() < self.joins_at:
            return Selection([])
        self.server_count = 2
        return super().place_elsewhere(served, silent)


@dataclass(frozen=True)
class Case:
    """A call to a silent server, and how it ends."""

    path: str
    script: tuple[ScriptStep, ...]
    body: bytes
    seconds: float
    sends: int
    server_count: int = 1
    joins_at: float = 60.0
    retries: int = 10
    # What is left of the retry budget.
    retries_left: int = 10
    end: str = 'whole'
    reasons: tuple[str, ...] = ('no_server',)


CASES: Final = {
    'the only server goes on': Case('/resumed/x', (SILENT,), WHOLE, 5.0, 1),
    'the only server is late with its head': Case(
        '/safe/x', ((1.9, OK),), b'whole', 1.9, 1
    ),
    'the head of a stream is late': Case(
        '/resumed/x', ((3.0, SILENT),), WHOLE, 8.0, 1
    ),
    'a server joins later': Case(
        '/resumed/x', (DEAD, REST), WHOLE, 3.0, 2, joins_at=2.9,
        retries_left=9, reasons=('no_server', 'server_found'),
    ),
    'the budget is spent': Case(
        '/resumed/x', (SILENT,), WHOLE, 5.0, 1, joins_at=0, retries=0,
        retries_left=0, reasons=('retry_budget',),
    ),
    'the other server refuses': Case(
        '/resumed/x', (DEAD, REFUSED, REST), WHOLE, 1.5, 3, joins_at=0,
        retries_left=8, reasons=('server_found',),
    ),
    'the last attempt is silent': Case(
        '/resumed/x', (CUT_OFF, SILENT), WHOLE, 5.0, 2, server_count=2,
        retries_left=9, reasons=('attempts',),
    ),
    'it never goes on': Case(
        '/resumed/x', (DEAD,), events(1), TIMEOUT_SECONDS, 1, end='broken'
    ),
    'its process is killed': Case(
        '/resumed/x',
        (FakeResponse(200, (events(1), 3.0), is_cut_off=True),),
        events(1), 3.0, 1, end='broken',
    ),
}  # fmt: skip


@pytest.mark.parametrize('case', CASES.values(), ids=CASES.keys())
def test_a_silent_server_is_kept_until_another_one_is_reserved(
    case: Case,
) -> None:
    """Guards against callers that are cut off though their server goes on."""
    state = GrowingRoutingState(
        server_count=case.server_count,
        retries_left=case.retries,
        joins_at=case.joins_at,
    )
    script = [
        replace(step) if isinstance(step, FakeResponse) else step
        for step in case.script
    ]
    run = serve(call(case.path), *script, routing_state=state)
    assert (run.caller.body, run.caller.end) == (case.body, case.end)
    assert run.seconds == pytest.approx(case.seconds, abs=0.2)
    assert len(run.client.sent) == case.sends
    assert max(0, state.retries_left) == case.retries_left
    for reason in case.reasons:
        decision = 'leaves' if reason == 'server_found' else 'stays'
        assert (
            run.metrics.counter(
                'silence_decisions', decision=decision, reason=reason
            )
            == 1
        )


@pytest.mark.parametrize('cancel_after', [1.55, 2.5])
def test_a_caller_that_leaves_gives_back_what_was_reserved(
    cancel_after: float,
) -> None:
    """Guards against retries and places that nobody uses."""
    state = GrowingRoutingState(server_count=1, joins_at=60.0)
    run = serve(
        call('/resumed/x'),
        replace(DEAD),
        routing_state=state,
        cancel_after=cancel_after,
    )
    assert state.retries_left == 10
    assert run.routing_state.results == [CallResult.unreachable]


@pytest.mark.parametrize(
    ('stops_after', 'body', 'end'),
    [(6.0, WHOLE, 'whole'), (3.0, events(1), 'broken')],
)
def test_a_planned_stop_waits_for_a_silent_server(
    stops_after: float, body: bytes, end: str
) -> None:
    """A stop cuts a silent stream off at its own end, and not before."""
    run = serve(
        call('/resumed/x'),
        replace(SILENT),
        routing_state=PatientRoutingState(server_count=1),
        stop=(stops_after, 0.0),
    )
    assert (run.caller.body, run.caller.end) == (body, end)
    assert run.seconds == pytest.approx(min(5.0, stops_after))


def test_a_server_that_goes_on_has_its_standing_back() -> None:
    """A silence that ends by itself is not counted against the server."""
    state = GrowingRoutingState(server_count=1, joins_at=60.0)
    serve(call('/resumed/x'), replace(SILENT), routing_state=state)
    assert state.results == [CallResult.answered]


class RecordingListener(SilenceListener):
    """Leaves at once, and counts what it is told."""

    def __init__(self) -> None:
        """Create a listener that was not asked yet."""
        self.asked = 0
        self.undone = 0

    def should_leave(self) -> bool:
        """Leave the server."""
        self.asked += 1
        return True

    def note_late_progress(self) -> None:
        """Count the call."""
        self.undone += 1


@pytest.mark.parametrize('is_first', [True, False])
def test_progress_at_the_instant_of_a_move_is_either_used_or_left(
    is_first: bool,
) -> None:
    """Guards against a place that stays taken as the server goes on."""
    listener = RecordingListener()

    async def play() -> str | None:
        loop = asyncio.get_running_loop()
        step = loop.create_future()
        if is_first:
            loop.call_at(1.0, step.set_result, 'event')
        watch = SilenceWatch(1.0, listener)
        try:
            return await watch.wait(step)
        except StalledResponseError:
            return None

    loop = VirtualTimeLoop()
    outcome = loop.run_until_complete(play())
    loop.shut_down()
    assert (outcome, listener.asked) == ('event' if is_first else None, 1)
    assert listener.undone == is_first


def served_call(state: ReplicatedRoutingState, tried: str) -> ServedCall:
    """Return a resumable stream that runs at an instance."""
    forwarded = replace(call('/resumed/x'), prompt=ANY_PROMPT)
    served = ServedCall(
        forwarded, FakeCaller(), RESUMABLE_ROUTE, None, 'model', 0, 9, 1
    )
    served.tried_instance_ids.add(tried)
    served.sends = served.runs = 1
    served.may_have_run = True
    return served


def start_calls(
    state: ReplicatedRoutingState, instance_id: str, count: int
) -> None:
    """Record calls that other hosts sent to an instance."""
    for number in range(count):
        start = CallStart(number, instance_id, 0, 0, ANY_PROMPT)
        state.loads.start(start, 0.0)


def instance_of(server_id: str) -> ServerInstance:
    """Return an instance as the records describe it."""
    return ServerInstance(server_id, 1, 'model', '10.0.0.1:1', 'dc', FULL_SLOTS)


def pause_by_health(state: ReplicatedRoutingState, instance_id: str) -> None:
    """Have calls to an instance unanswered, as if it were cut off."""
    state.health.record(instance_id, CallResult.unreachable, 'own', 0.0)


def note(
    state: ReplicatedRoutingState, is_leaving: bool, pause_seconds: float
) -> None:
    """Have the other server give a notice."""
    notice = ServerNotice(is_leaving, pause_seconds)
    state.gate.note(instance_of('other'), notice, 0.0)


def exhaust(state: ReplicatedRoutingState) -> None:
    """Have the other server name a limit, and use it up."""
    state.limits.limits.note_answer('other/1', 1.0, 0.0, 0.0)
    for _ in range(5):
        state.limits.limits.note_call('other/1', 0.0)


OTHERS: Final[dict[str, Callable[[ReplicatedRoutingState], None]]] = {
    'leaving': lambda state: note(state, True, 0.0),
    'pause': lambda state: note(state, False, 5.0),
    'limit': exhaust,
    'unreachable': lambda state: pause_by_health(state, 'other/1'),
    'full': lambda state: start_calls(state, 'other/1', FULL_SLOTS),
}


def two_servers() -> ReplicatedRoutingState:
    """Return a state that knows a silent server and another one."""
    state, exchange = replicated_state()
    exchange.publish(full_update(SERVERS_STREAM, silent=b'a', other=b'b'))
    return state


def in_loop(step: Callable[[], _StepT]) -> _StepT:
    """Return the result of a step that needs a running loop."""

    async def run() -> _StepT:
        return step()

    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(run())
    finally:
        loop.shut_down()


def silent_placement() -> Placement:
    """Return the placement of a call at the silent server."""
    return Placement(1, instance_of('silent'), 0, 0, 0)


@pytest.mark.parametrize(
    ('left_out', 'disturb'), OTHERS.items(), ids=OTHERS.keys()
)
def test_a_server_that_can_not_begin_a_call_is_no_reason_to_leave(
    left_out: str, disturb: Callable[[ReplicatedRoutingState], None]
) -> None:
    """Guards against a certain loss for a server that only may help."""
    state = two_servers()
    disturb(state)
    running = state.loads.load_of('other/1').running_calls(0.0)
    served = served_call(state, 'silent/1')
    placed = state.place_elsewhere(served, silent_placement())
    assert isinstance(placed, Selection)
    assert placed.counts() == {'tried': 1, left_out: 1}
    assert state.loads.load_of('other/1').running_calls(0.0) == running


@pytest.mark.parametrize('is_silent_unreachable', [True, False])
def test_a_full_server_is_better_than_one_that_answers_nobody(
    is_silent_unreachable: bool,
) -> None:
    """Guards against streams that stay at a dead server while others queue."""
    state = two_servers()
    start_calls(state, 'other/1', FULL_SLOTS)
    if is_silent_unreachable:
        pause_by_health(state, 'silent/1')
    served = served_call(state, 'silent/1')
    placed = in_loop(lambda: state.place_elsewhere(served, silent_placement()))
    assert isinstance(placed, Placement) == is_silent_unreachable


@pytest.mark.parametrize(
    ('calls', 'free_slots', 'moved', 'retries_spent'),
    [(80, 2, 2, 2), (16, FULL_SLOTS, 8, 8), (16, 0, 0, 0)],
    ids=['two places', 'budget of eight', 'no place'],
)
def test_places_and_retries_are_taken_together(
    calls: int, free_slots: int, moved: int, retries_spent: int
) -> None:
    """Guards against streams that leave at one instant for the same place."""
    state = two_servers()
    start_calls(state, 'other/1', FULL_SLOTS - free_slots)
    metrics = Metrics()
    mover = CallMover(state, RetryRules(state), metrics)
    served = [served_call(state, 'silent/1') for _ in range(calls)]
    in_loop(
        lambda: [mover.reserve(one, silent_placement(), 1) for one in served]
    )
    assert sum(one.next_placement is not None for one in served) == moved
    # Eight of the slack of ten are free, as in the test of the budget.
    spent = 8 - sum(state.take_retry('model') for _ in range(8))
    assert spent == retries_spent
