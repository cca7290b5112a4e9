"""Servers in need that name how many calls a second they take."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

import pytest

from tests.relay.fleet import (
    CONNECT_SECONDS,
    CONTACT_SECONDS,
    ONCE_ROUTE,
    RESTART_SECONDS,
    Engine,
    Event,
    Fleet,
    add_some,
    begun_share,
    cut_some,
    nothing,
    restart_some,
)

# The users' rule LIMIT: in any 4 s at most one and a half times what the limit
# allows, and five calls.
WINDOW_SECONDS: Final = 4.0
EXCESS_FACTOR: Final = 1.5
EXCESS_CALLS: Final = 5
DOCUMENTS: Final = range(10, 40)
# No engine has most of these in its cache.
MANY_DOCUMENTS: Final = range(1000, 100_000)
CALM_SECONDS: Final = 3.0
LIMITED_SECONDS: Final = 14.0
BURST_SECONDS: Final = 2.0


@dataclass(frozen=True)
class Case:
    """Limits of engines, calls a second of all callers, and what happens."""

    limits: tuple[float, ...] = (1.0, 1.9)
    hosts: int = 9
    rate: float = 12.0
    burst_rate: float = 40.0
    event: Event = nothing
    loss: float = 0.0
    documents: range = DOCUMENTS


async def restart_limited(fleet: Fleet) -> None:
    """End the engines with limits; they start again and name them again."""
    limits = {
        engine.instance.server_id: engine.limit
        for engine in fleet.engines.values()
        if engine.limit is not None
    }
    for engine in tuple(fleet.engines.values()):
        if engine.limit is not None:
            fleet.end_engine(engine)
    await asyncio.sleep(RESTART_SECONDS + CONNECT_SECONDS)
    for engine in fleet.engines.values():
        engine.limit = limits.get(engine.instance.server_id)


CASES: Final = {
    'nine hosts': Case(),
    'less than one a second': Case(limits=(0.25, 0.5)),
    'none at all': Case(limits=(0.0,)),
    'all servers': Case(limits=(1.0, 1.5, 2.0, 2.0, 3.0)),
    'more than they get': Case(limits=(500.0, 30.0)),
    'hosts restart': Case(event=restart_some),
    'servers restart under their names': Case(
        event=restart_limited, documents=MANY_DOCUMENTS
    ),
    'hosts are cut off': Case(event=cut_some),
    'hosts are added': Case(event=add_some),
    'a tenth of the datagrams is lost': Case(loss=0.1),
    '200 hosts': Case(hosts=200, limits=(1.0,)),
    '200 hosts, less than one a second': Case(hosts=200, limits=(0.25, 0.5)),
}


async def send(
    fleet: Fleet,
    rate: float,
    seconds: float,
    documents: range = DOCUMENTS,
) -> None:
    """Send calls with shared documents at a mean rate."""
    until = fleet.loop.time() + seconds
    while fleet.loop.time() < until:
        fleet.call(1, fleet.random.choice(documents), route=ONCE_ROUTE)
        await asyncio.sleep(fleet.random.expovariate(rate))


def play(case: Case) -> tuple[Fleet, list[Engine]]:
    """Play a case; return the fleet and the engines that named limits."""
    fleet = Fleet(case.hosts, loss_probability=case.loss)
    limited: list[Engine] = []

    async def run() -> None:
        async with fleet.running():
            calm = asyncio.ensure_future(
                send(
                    fleet,
                    case.rate,
                    CALM_SECONDS + LIMITED_SECONDS,
                    case.documents,
                )
            )
            await asyncio.sleep(CALM_SECONDS)
            limited.extend(list(fleet.engines.values())[: len(case.limits)])
            for engine, limit in zip(limited, case.limits, strict=True):
                engine.limit = limit
            await asyncio.sleep(4)
            burst = asyncio.ensure_future(
                send(fleet, case.burst_rate, BURST_SECONDS, case.documents)
            )
            await case.event(fleet)
            limited.extend(
                engine
                for engine in fleet.engines.values()
                if engine.limit is not None and engine not in limited
            )
            await asyncio.gather(calm, burst)
            await asyncio.sleep(9)

    try:
        fleet.loop.run_until_complete(run())
    finally:
        fleet.loop.shut_down()
    return fleet, limited


def named_at(fleet: Fleet, engine: Engine) -> float:
    """Return when an engine first got a call while it had a limit."""
    return next(
        arrival.at
        for arrival in fleet.arrivals
        if arrival.instance_id == engine.instance.instance_id
        and arrival.at > CALM_SECONDS
    )


def most_calls(fleet: Fleet, engine: Engine) -> int:
    """Return the most calls in 4 s from hosts in touch that knew the limit."""
    known_at = named_at(fleet, engine) + CONTACT_SECONDS
    times = [
        arrival.at
        for arrival in fleet.arrivals
        if arrival.instance_id == engine.instance.instance_id
        and arrival.at > known_at
        and fleet.is_in_touch(arrival.host, arrival.at)
    ]
    return max(
        (
            sum(start <= at < start + WINDOW_SECONDS for at in times)
            for start in times
        ),
        default=0,
    )


@pytest.mark.parametrize('case', CASES.values(), ids=CASES)
def test_hosts_together_keep_to_the_limit_of_a_server(case: Case) -> None:
    """Guards against hosts that each know, or use up, a limit for all."""
    fleet, limited = play(case)
    for engine in limited:
        allowed = (
            EXCESS_FACTOR * WINDOW_SECONDS * (engine.limit or 0) + EXCESS_CALLS
        )
        assert most_calls(fleet, engine) <= allowed
    if len(case.limits) < len(fleet.engines):
        # The others have room for all calls.
        settled_at = CALM_SECONDS + CONTACT_SECONDS
        late = [
            answer for answer in fleet.answers if answer.sent_at > settled_at
        ]
        assert begun_share(late) > 0.9


def test_a_limit_ends_when_answers_come_without_it() -> None:
    """Guards against servers that are spared after their need is over."""
    fleet = Fleet(9, engine_count=2)

    async def run() -> None:
        async with fleet.running():
            engine = next(iter(fleet.engines.values()))
            engine.limit = 0.5
            calls = asyncio.ensure_future(
                send(fleet, 12.0, 24.0, MANY_DOCUMENTS)
            )
            await asyncio.sleep(10)
            engine.limit = None
            await calls
            arrived = [
                arrival.at
                for arrival in fleet.arrivals
                if arrival.instance_id == engine.instance.instance_id
            ]
            assert sum(5 < at < 10 for at in arrived) <= 8
            assert sum(14 < at < 24 for at in arrived) >= 30
            await asyncio.sleep(9)

    try:
        fleet.loop.run_until_complete(run())
    finally:
        fleet.loop.shut_down()


def test_a_restarted_server_is_free_of_the_limit_of_before() -> None:
    """Guards against limits that bind a server's next start (soak seed 431)."""
    fleet = Fleet(9)

    async def run() -> None:
        async with fleet.running():
            # So many that every engine is needed.
            calls = asyncio.ensure_future(
                send(fleet, 40.0, 20.0, MANY_DOCUMENTS)
            )
            await asyncio.sleep(CALM_SECONDS)
            engine = next(iter(fleet.engines.values()))
            engine.limit = 0.5
            await asyncio.sleep(4)
            fleet.end_engine(engine)
            await calls
            await asyncio.sleep(9)
            started = next(
                one
                for one in fleet.engines.values()
                if one.instance.server_id == engine.instance.server_id
            )
            arrived = [
                arrival.at
                for arrival in fleet.arrivals
                if arrival.instance_id == started.instance.instance_id
            ]
            # The old limit would allow 4 calls in this time.
            assert sum(12 < at < 20 for at in arrived) > 8

    try:
        fleet.loop.run_until_complete(run())
    finally:
        fleet.loop.shut_down()


def test_calls_that_limits_leave_no_room_for_hear_the_truth() -> None:
    """Guards against late refusals, and against callers that return at once."""
    case = CASES['all servers']
    fleet, _ = play(case)
    refused = [
        answer for answer in fleet.answers if answer.caller.status == 503
    ]
    reached = {arrival.request_id for arrival in fleet.arrivals}
    assert refused
    assert not [one for one in refused if one.request_id in reached]
    waits = [
        float(dict(answer.caller.headers)['Retry-After']) for answer in refused
    ]
    assert max(waits) > 2 * min(waits) > 0
