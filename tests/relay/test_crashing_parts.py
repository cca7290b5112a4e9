"""
Prompt parts under which engines end as their answers begin.

Requests with such a part come at any host; sound requests share their first
part and their team.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

import pytest

from burdockledge.calls import Route
from tests.relay.fleet import (
    CONTACT_SECONDS,
    ONCE_ROUTE,
    RESUMABLE_ROUTE,
    Answer,
    Arrival,
    Event,
    Fleet,
    add_some,
    begun_share,
    cut_some,
    nothing,
    restart_some,
)

SYSTEM_PART: Final = 1
BAD_PART: Final = 666
OTHER_BAD_PART: Final = 667
DOCUMENTS: Final = range(10, 40)
# The users' rule BUDGET: after the fifth end of an engine under a part, and
# the time in which hosts in touch hear of it, at most three more.
ENDS_BEFORE_LIMIT: Final = 5
MORE_ARRIVALS: Final = 3
MIN_COUNTED: Final = 20
WARM_UP_SECONDS: Final = 4.0
BAD_SECONDS: Final = 26.0


async def crash_engines(fleet: Fleet) -> None:
    """End three engines at once, for another cause."""
    for engine in list(fleet.engines.values())[:3]:
        fleet.end_engine(engine)


@dataclass(frozen=True)
class Case:
    """A pattern of requests with bad parts, and what else happens."""

    hosts: int = 9
    route: Route = ONCE_ROUTE
    # Seconds between requests with the bad part.
    gap: float = 0.8
    sound_gap: float = 0.12
    place: str = 'middle'
    event: Event = nothing
    loss: float = 0.0
    has_head: bool = True
    bad_parts: tuple[int, ...] = (BAD_PART,)


CASES: Final = {
    'nine hosts': Case(),
    'calls that may be resumed': Case(route=RESUMABLE_ROUTE),
    'first part': Case(place='first'),
    'next to last of four parts': Case(place='deep'),
    'two bad parts at once': Case(bad_parts=(BAD_PART, OTHER_BAD_PART)),
    'hosts restart': Case(event=restart_some),
    'hosts are cut off': Case(event=cut_some),
    'hosts are added': Case(event=add_some),
    'engines crash for another cause': Case(event=crash_engines),
    'a tenth of the datagrams is lost': Case(loss=0.1),
    'no head before the end': Case(has_head=False),
    'many requests': Case(gap=0.25),
    '200 hosts': Case(hosts=200, sound_gap=0.25),
    '200 hosts restart': Case(hosts=200, sound_gap=0.25, event=restart_some),
}


def bad_prompt(case: Case, part: int, number: int) -> tuple[int, ...]:
    """Return the shared parts of a request with a bad part."""
    document = DOCUMENTS[number % len(DOCUMENTS)]
    return {
        'first': (part, document),
        'middle': (SYSTEM_PART, part, document),
        'deep': (SYSTEM_PART, document, part),
    }[case.place]


async def send_sound(fleet: Fleet, case: Case, seconds: float) -> None:
    """Send sound requests for some seconds."""
    until = fleet.loop.time() + seconds
    while fleet.loop.time() < until:
        fleet.call(
            SYSTEM_PART, fleet.random.choice(DOCUMENTS), route=case.route
        )
        await asyncio.sleep(fleet.random.uniform(0, 2 * case.sound_gap))


async def send_bad(fleet: Fleet, case: Case, part: int) -> None:
    """Send requests with a bad part; each caller asks once more."""
    until = fleet.loop.time() + BAD_SECONDS
    number = 0
    while fleet.loop.time() < until:
        answer = fleet.call(*bad_prompt(case, part, number), route=case.route)
        number += 1
        await asyncio.sleep(fleet.random.uniform(0, 2 * case.gap))
        if answer.caller.status >= 500:
            fleet.call(*answer.part_ids[:-1], route=case.route)


def play(case: Case) -> Fleet:
    """Play a case, and return the fleet with its record."""
    fleet = Fleet(case.hosts, loss_probability=case.loss)
    fleet.sends_head_before_end = case.has_head

    async def run() -> None:
        async with fleet.running():
            sound = asyncio.ensure_future(
                send_sound(fleet, case, WARM_UP_SECONDS + BAD_SECONDS)
            )
            await asyncio.sleep(WARM_UP_SECONDS)
            fleet.bad_parts.update(case.bad_parts)
            bad = [
                asyncio.ensure_future(send_bad(fleet, case, part))
                for part in case.bad_parts
            ]
            await asyncio.sleep(3)
            await case.event(fleet)
            await asyncio.gather(sound, *bad)
            await asyncio.sleep(9)

    try:
        fleet.loop.run_until_complete(run())
    finally:
        fleet.loop.shut_down()
    return fleet


def fifth_end(fleet: Fleet, part: int) -> float:
    """Return when the fifth engine ended under a part, the last if fewer."""
    ends = sorted(
        end for end, ended_by in fleet.ends_under.items() if part in ended_by
    )
    return ends[:ENDS_BEFORE_LIMIT][-1] if ends else 0.0


def arrivals_after_limit(fleet: Fleet, part: int) -> list[Arrival]:
    """Return the calls with a bad part that no host in touch may send."""
    limit_at = fifth_end(fleet, part) + CONTACT_SECONDS
    return [
        arrival
        for arrival in fleet.arrivals
        if part in arrival.part_ids
        and arrival.at > limit_at
        and fleet.is_in_touch(arrival.host, arrival.at)
    ]


def false_refusals(fleet: Fleet) -> list[Answer]:
    """Return the calls that reached an engine and got 503, "not run"."""
    reached = {arrival.request_id for arrival in fleet.arrivals}
    return [
        answer
        for answer in fleet.answers
        if answer.caller.status == 503 and answer.request_id in reached
    ]


@pytest.mark.parametrize('case', CASES.values(), ids=CASES)
def test_a_part_that_ends_engines_is_kept_from_them(case: Case) -> None:
    """Guards against one prompt part that crashes engine after engine."""
    fleet = play(case)
    for part in case.bad_parts:
        assert len(arrivals_after_limit(fleet, part)) <= MORE_ARRIVALS
    assert not false_refusals(fleet)
    sound = [
        answer
        for answer in fleet.answers
        if not set(case.bad_parts) & set(answer.part_ids)
    ]
    last_end = max(fifth_end(fleet, part) for part in case.bad_parts)
    settled_at = last_end + 2 * CONTACT_SECONDS
    before = begun_share(
        answer for answer in sound if answer.sent_at < WARM_UP_SECONDS
    )
    after = [answer for answer in sound if answer.sent_at > settled_at]
    assert len(after) >= MIN_COUNTED
    # The users' rule LOST: sound requests are served half as often at least.
    assert begun_share(after) >= before / 2
