"""What admission control forecasts for a call, and learns from its end."""

from __future__ import annotations

from burdockledge.relay._admission_gate import Admitted
from burdockledge.scheduling import CallStart, PlacementChoice
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
