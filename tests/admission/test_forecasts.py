"""What admission control forecasts for a call, and learns from its end."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from burdockledge.admission import AdmissionController, LoadRefusal
from burdockledge.relay import Placement
from burdockledge.relay._admission_gate import Admitted
from burdockledge.scheduling import CallResult, CallStart, PlacementChoice
from tests.admission.overload import Attempt, Host, Kind, Overload

CHAT = Kind('chat', 0, 1000, 0.5, 0.5, 2.0)


def _start_calls(overload: Overload, host: Host, counts: list[int]) -> None:
    call_id = 1
    for instance, count in zip(overload.instances, counts, strict=True):
        for _ in range(count):
            host.loads.start(
                CallStart(
                    call_id,
                    instance.instance_id,
                    0,
                    1000,
                    overload.served(Attempt(CHAT, 0.0, 0, call_id)).call.prompt,
                    100,
                    None,
                ),
                0.0,
            )
            call_id += 1


def test_the_forecast_is_that_of_the_server_that_gets_the_call() -> None:
    """
    Guards against waits that are learnt from the forecast of another server.

    They seem longer than forecast at each call that another server would
    begin with sooner, and all later calls are refused at a lower load.
    """
    overload = Overload(host_count=1, server_count=2)
    host = overload.hosts[0]
    _start_calls(overload, host, [12, 4])
    admitted = host.gate.admit(
        overload.served(Attempt(CHAT, 0.0, 0, 100)),
        PlacementChoice(overload.instances[0], 0.0, 1000, 12),
        overload.instances,
        0.0,
    )
    assert isinstance(admitted, Admitted)
    # Nine calls end before, each of which takes one of four slots for 0.9 s.
    assert 1.9 < admitted.first_event_seconds < 2.3


@pytest.mark.parametrize(
    ('result', 'run_seconds', 'is_refused'),
    [
        (CallResult.answered, 1.0, False),
        (CallResult.answered, 2.0, True),
        (CallResult.abandoned, 1.0, True),
    ],
)
def test_the_time_that_answers_take_is_learnt(
    result: CallResult, run_seconds: float, *, is_refused: bool
) -> None:
    """
    Guards against refusals of calls that end sooner than forecast.

    The forecast of the end follows the size that callers ask for at most, which
    some kinds of call don't use. Calls that callers gave up show nothing.
    """
    overload = Overload(host_count=1, server_count=1)
    host = overload.hosts[0]
    usual = Placement(0, overload.instances[0], 0, 0, 1)
    # A call takes a slot for 3 s in each case.
    host.gate.note_end(usual, CallResult.answered, 3.0)
    for call_id in range(30):
        placement = replace(
            usual,
            call_id=call_id,
            urgency=0,
            forecast_seconds=3 - run_seconds,
            forecast_run_seconds=2.0,
        )
        host.gate.note_response_start(placement, 3 - run_seconds)
        host.gate.note_end(placement, result, 3.0)
    _start_calls(overload, host, [4])
    # It would wait for 0.75 s, and then run for 0.94 s by its size.
    served = overload.served(
        Attempt(replace(CHAT, time_limit=1.65), 0.0, 0, 100)
    )
    admitted = host.gate.admit(
        served,
        PlacementChoice(overload.instances[0], 0.0, 1000, 4),
        overload.instances,
        0.0,
    )
    assert isinstance(admitted, LoadRefusal) == is_refused


def test_a_call_is_not_refused_while_another_server_is_idle() -> None:
    """
    Guards against refusals for the wait at the chosen server alone.

    A call with a short time limit may miss it there before it counts as late.
    """
    overload = Overload(host_count=1, server_count=2)
    host = overload.hosts[0]
    _start_calls(overload, host, [5, 0])
    served = overload.served(
        Attempt(replace(CHAT, time_limit=0.9), 0.0, 0, 100)
    )
    admitted = host.gate.admit(
        served,
        PlacementChoice(overload.instances[0], 0.0, 1000, 5),
        overload.instances,
        0.0,
    )
    assert isinstance(admitted, Admitted)


def test_what_is_learnt_of_services_that_are_gone_is_dropped() -> None:
    """Guards against memory that grows with every service there ever was."""
    controller = AdmissionController(Random(1))
    kept = controller.history_of('kept')
    gone = controller.history_of('gone')
    controller.retain({'kept'})
    assert controller.history_of('kept') is kept
    assert controller.history_of('gone') is not gone
