"""Servers that say that they leave, and servers that ask for a pause."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from dataclasses import dataclass
from typing import Final

import pytest

from burdockledge.calls import ServerInstance
from burdockledge.registry import Registration, ServerRegistry, ServerState
from burdockledge.relay import Obstacle, ServerGate
from burdockledge.scheduling import ServerNotice, ServerRateLimits
from tests.relay.fleet import (
    CONTACT_SECONDS,
    ONCE_ROUTE,
    RESUMABLE_ROUTE,
    Event,
    Fleet,
    Notice,
    begun_share,
    cut_some,
    nothing,
    restart_some,
)

# The users' bounds: no request that is sent later than this after a notice of
# leaving reaches the server; two requests at most reach one that asked for a
# pause between half a second after it and its end.
DRAIN_SECONDS: Final = 2.0
PAUSE_SLACK_SECONDS: Final = 0.5
MAX_CALLS_IN_PAUSE: Final = 2
DOCUMENTS: Final = range(10, 40)
CALM_SECONDS: Final = 3.0
NOTICE_SECONDS: Final = 8.0


@dataclass(frozen=True)
class Case:
    """What engines say, the calls a second, and what else happens."""

    leaving: int = 0
    pausing: int = 0
    pause_seconds: float = 2.5
    hosts: int = 9
    engines: int = 5
    rate: float = 30.0
    event: Event = nothing
    loss: float = 0.0


CASES: Final = {
    'one leaves': Case(leaving=1),
    'all but one leave': Case(leaving=4, rate=10),
    'one asks for a pause': Case(pausing=1),
    'all but one ask for a pause': Case(pausing=4, rate=10),
    'short pauses': Case(pausing=2, pause_seconds=0.7),
    'both': Case(leaving=2, pausing=2, rate=10),
    'hosts restart': Case(leaving=1, pausing=1, event=restart_some),
    'hosts are cut off': Case(leaving=1, pausing=1, event=cut_some),
    'a third of the datagrams is lost': Case(leaving=1, pausing=1, loss=0.3),
    '71 hosts': Case(hosts=71, engines=12, leaving=3, pausing=3, rate=40),
    '195 hosts': Case(hosts=195, engines=12, leaving=3, pausing=3, rate=40),
}


def play(case: Case) -> Fleet:
    """Play a case: the engines give notice for some seconds."""
    fleet = Fleet(case.hosts, case.engines, loss_probability=case.loss)

    async def send(seconds: float) -> None:
        until = fleet.loop.time() + seconds
        while fleet.loop.time() < until:
            fleet.call(
                1,
                fleet.random.choice(DOCUMENTS),
                route=fleet.random.choice((ONCE_ROUTE, RESUMABLE_ROUTE)),
            )
            await asyncio.sleep(fleet.random.expovariate(case.rate))

    async def run() -> None:
        async with fleet.running():
            calls = asyncio.ensure_future(send(CALM_SECONDS + NOTICE_SECONDS))
            await asyncio.sleep(CALM_SECONDS)
            # The busiest first, so that notices reach hosts.
            calls_by_engine = Counter(
                arrival.instance_id for arrival in fleet.arrivals
            )
            engines = sorted(
                fleet.engines.values(),
                key=lambda engine: (
                    -calls_by_engine[engine.instance.instance_id]
                ),
            )
            for engine in engines[: case.leaving]:
                engine.is_leaving = True
            for engine in engines[case.leaving :][: case.pausing]:
                engine.pause_seconds = case.pause_seconds
                engine.refuses_until = CALM_SECONDS + NOTICE_SECONDS - 1
            await case.event(fleet)
            await calls
            await asyncio.sleep(9)

    try:
        fleet.loop.run_until_complete(run())
    finally:
        fleet.loop.shut_down()
    return fleet


def calls_after_leaving(fleet: Fleet) -> list[str]:
    """Return the requests that were sent too late after a notice."""
    first_notices: dict[tuple[str, str], Notice] = {}
    for notice in fleet.notices:
        if notice.pause_seconds is None:
            key = (notice.process, notice.instance_id)
            first_notices.setdefault(key, notice)
    sent_at = {answer.request_id: answer.sent_at for answer in fleet.answers}
    late = []
    for arrival in fleet.arrivals:
        first = first_notices.get((arrival.process, arrival.instance_id))
        if (
            first is not None
            and sent_at[arrival.request_id] > first.at + DRAIN_SECONDS
        ):
            late.append(arrival.request_id)
    return late


def most_calls_in_a_pause(fleet: Fleet) -> int:
    """Return the most requests of one host that reach one paused engine."""
    counts = [
        sum(
            arrival.process == notice.process
            and arrival.instance_id == notice.instance_id
            and PAUSE_SLACK_SECONDS
            < arrival.at - notice.at
            < notice.pause_seconds
            for arrival in fleet.arrivals
        )
        for notice in fleet.notices
        if notice.pause_seconds is not None
    ]
    return max(counts, default=0)


@pytest.mark.parametrize('case', CASES.values(), ids=CASES)
def test_notices_of_servers_are_kept_to(case: Case) -> None:
    """Guards against DRAIN and BUDGET: calls to servers that gave notice."""
    fleet = play(case)
    assert fleet.notices
    assert not calls_after_leaving(fleet)
    assert most_calls_in_a_pause(fleet) <= MAX_CALLS_IN_PAUSE
    settled_at = CALM_SECONDS + CONTACT_SECONDS
    late = [
        answer
        for answer in fleet.answers
        if answer.sent_at > settled_at
        and fleet.is_in_touch(answer.host, answer.sent_at)
    ]
    assert begun_share(late) > 0.9


@pytest.mark.parametrize(
    'case',
    [
        Case(leaving=5),
        Case(pausing=5),
        Case(pausing=5, pause_seconds=1.0),
        Case(leaving=2, pausing=3),
    ],
    ids=['leaving', 'pauses', 'short pauses', 'both'],
)
def test_without_a_server_to_use_callers_hear_that_their_call_has_not_run(
    case: Case,
) -> None:
    """They get 503 and a time that is after the pause, not all the same."""
    fleet = play(case)
    assert not calls_after_leaving(fleet)
    assert most_calls_in_a_pause(fleet) <= MAX_CALLS_IN_PAUSE
    arrived = {arrival.request_id for arrival in fleet.arrivals}
    refused = [
        answer
        for answer in fleet.answers
        if answer.request_id not in arrived
        and answer.sent_at < CALM_SECONDS + NOTICE_SECONDS - 1
    ]
    assert len(refused) > 20
    for answer in refused:
        assert answer.caller.status == 503
    times = [
        float(dict(answer.caller.headers)['Retry-After']) for answer in refused
    ]
    assert len(set(times)) > len(times) / 3
    assert 0 < max(times) <= case.pause_seconds + 1


@dataclass(frozen=True)
class Spoken:
    """Notices of one instance, and whether it may be used afterwards."""

    notices: tuple[ServerNotice, ...]
    after_seconds: float
    obstacle: Obstacle | None


PAUSE: Final = ServerNotice(pause_seconds=2.5)
SPOKEN: Final = {
    'nothing': Spoken((ServerNotice(),), 0, None),
    'leaves': Spoken((ServerNotice(is_leaving=True),), 3600, Obstacle.leaving),
    'leaves, then not': Spoken(
        (ServerNotice(is_leaving=True), ServerNotice()), 1, Obstacle.leaving
    ),
    'in a pause': Spoken((PAUSE,), 2.4, Obstacle.pause),
    'after a pause': Spoken((PAUSE,), 2.6, None),
    'a shorter pause after a longer one': Spoken(
        (PAUSE, ServerNotice(pause_seconds=0.1)), 2.4, Obstacle.pause
    ),
    'a pause, and then an answer': Spoken(
        (PAUSE, ServerNotice()), 2.4, Obstacle.pause
    ),
    'an unreadable pause': Spoken(
        (ServerNotice(pause_seconds=math.nan),), 0, None
    ),
    'a huge pause': Spoken(
        (ServerNotice(pause_seconds=1e300),), 1e9, Obstacle.pause
    ),
    'both': Spoken(
        (ServerNotice(is_leaving=True, pause_seconds=1),), 2, Obstacle.leaving
    ),
}


@pytest.mark.parametrize('spoken', SPOKEN.values(), ids=SPOKEN)
def test_a_notice_holds_for_its_instance(spoken: Spoken) -> None:
    """A new instance of the same server, and other servers, are in use."""
    registry = ServerRegistry()
    gate = ServerGate(registry, ServerRateLimits())

    def register(name: str, started_ms: int) -> ServerInstance:
        instance = ServerInstance(name, started_ms, 's', '10.0.0.1:1', 'dc', 8)
        registry.register(Registration(instance, ServerState.ready))
        return instance

    speaker, other = register('i-1', 1), register('i-2', 1)
    for notice in spoken.notices:
        gate.note(speaker, notice, 100)
    now = 100 + spoken.after_seconds
    assert gate.obstacle_to_send(speaker, now) is spoken.obstacle
    assert gate.obstacle_to_send(other, now) is None
    usable = {one.instance_id for one in gate.select('s', (), now).instances}
    assert ('i-1/1' in usable) is (spoken.obstacle is None)
    # Its entry is gone for a while, and read again as ready.
    registry.remove('i-1', now)
    assert gate.obstacle_to_send(speaker, now) is (
        spoken.obstacle or Obstacle.unregistered
    )
    register('i-1', 1)
    assert gate.obstacle_to_send(speaker, now) is spoken.obstacle
    restarted = register('i-1', 2)
    assert gate.obstacle_to_send(restarted, now) is None
