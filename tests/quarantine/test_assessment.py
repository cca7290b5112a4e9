"""Which prompt parts are blamed for crashes, by what the crashes cut."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count

import pytest

from burdockledge.quarantine import Assessment, Crash, CrashedCall, assess

SYSTEM, DOCUMENT, OTHER, BAD, BAD_TOO = range(1, 6)
HEAD, WAITING = True, False
_CALL_IDS = count(1)


def crash(
    at: float, *calls: tuple[tuple[int, ...], bool], sent: float = 0.3
) -> Crash:
    """Return a crash that cut calls with these parts, sent before it."""
    cut = [
        CrashedCall(next(_CALL_IDS), parts, had_head, at - sent)
        for parts, had_head in calls
    ]
    return Crash(int(at * 1000), at, {call.call_id: call for call in cut})


def judge(
    crashes: Iterable[Crash], proven: frozenset[int] = frozenset()
) -> Assessment:
    """Return the assessment of crashes without clearances."""
    return assess(crashes, lambda part, at: False, proven.__contains__)


STARTING = ((SYSTEM, BAD, DOCUMENT), HEAD)
OTHER_STARTING = ((SYSTEM, BAD, OTHER), HEAD)
FIRST_BAD = ((BAD, DOCUMENT), HEAD)
PROVEN = frozenset((SYSTEM, DOCUMENT, OTHER))

GUILTY: dict[str, tuple[list[Crash], frozenset[int], set[int]]] = {
    'in the middle': ([crash(1, STARTING), crash(2, STARTING)], PROVEN, {BAD}),
    'first': ([crash(1, FIRST_BAD), crash(2, FIRST_BAD)], PROVEN, {BAD}),
    'next to last': (
        [crash(at, ((SYSTEM, DOCUMENT, BAD), HEAD)) for at in (1, 2)],
        PROVEN,
        {BAD},
    ),
    'beside calls that waited': (
        [
            crash(1, STARTING, ((SYSTEM, OTHER), WAITING)),
            crash(2, STARTING, ((SYSTEM, OTHER), WAITING)),
        ],
        frozenset(),
        {DOCUMENT},
    ),
    'nothing is proven, other documents': (
        [crash(1, STARTING), crash(2, OTHER_STARTING)],
        frozenset(),
        {BAD},
    ),
    'first, beside documents that were blamed before it': (
        [
            crash(1, FIRST_BAD),
            crash(2, FIRST_BAD),
            crash(3, ((BAD, OTHER), HEAD)),
        ],
        frozenset(),
        {BAD},
    ),
    'no heads': (
        [
            crash(at, ((SYSTEM, BAD), WAITING), ((SYSTEM, 100 + at), WAITING))
            for at in range(1, 5)
        ],
        frozenset((SYSTEM,)),
        {BAD},
    ),
    'two at once': (
        [
            crash(1, STARTING),
            crash(2, ((SYSTEM, BAD_TOO), HEAD)),
            crash(3, STARTING),
            crash(4, ((SYSTEM, BAD_TOO), HEAD)),
        ],
        PROVEN,
        {BAD, BAD_TOO},
    ),
    'many at once': (
        [crash(at, ((SYSTEM, 100 + int(at) % 6), HEAD)) for at in range(1, 13)],
        PROVEN,
        set(range(100, 106)),
    ),
    'a part that was sound before': (
        [crash(at, ((SYSTEM, BAD), HEAD)) for at in range(1, 5)],
        frozenset((SYSTEM, BAD)),
        {BAD},
    ),
}


@pytest.mark.parametrize('name', GUILTY)
def test_the_part_that_explains_the_crashes_is_blocked(name: str) -> None:
    """Guards against blocking a neighbour of the bad part, or nothing."""
    crashes, proven, blocked = GUILTY[name]
    assert set(judge(crashes, proven).blocked) == blocked


EVERY_CALL = ((SYSTEM, DOCUMENT), HEAD)
INNOCENT: dict[str, list[Crash]] = {
    'a group of engines at once': [
        crash(1 + number / 1000, EVERY_CALL) for number in range(9)
    ],
    'a rack, each within the time of a call': [
        crash(1 + number / 10, EVERY_CALL, sent=1.0) for number in range(9)
    ],
    'one engine': [crash(1, EVERY_CALL, EVERY_CALL, EVERY_CALL)],
    'connections of one host to all engines are reset': [
        crash(1 + number / 1000, ((SYSTEM, DOCUMENT), WAITING))
        for number in range(9)
    ],
    'three crashes with the part in the queue': [
        crash(at, ((SYSTEM, DOCUMENT), WAITING)) for at in range(3)
    ],
    'prompts without shared parts': [crash(at, ((), HEAD)) for at in range(9)],
    'another document starts each time': [
        crash(at, ((100 + at,), HEAD), ((SYSTEM,), WAITING)) for at in range(9)
    ],
}


@pytest.mark.parametrize('crashes', INNOCENT.values(), ids=INNOCENT)
def test_crashes_for_other_reasons_block_no_part(crashes: list[Crash]) -> None:
    """Guards against blocking a part that most of the broken calls have."""
    assert not judge(crashes).blocked


def test_a_proven_part_needs_twice_the_crashes() -> None:
    """Guards against blocking what was answered often, after two crashes."""
    proven = frozenset((SYSTEM, BAD))
    crashes = [crash(at, ((SYSTEM, BAD), HEAD)) for at in range(1, 5)]
    assert not judge(crashes[:3], proven).blocked
    assert judge(crashes, proven).blocked


def test_a_crash_of_a_blocked_part_blames_no_other_part() -> None:
    """Guards against suspecting the parts beside a known bad one."""
    crashes = [crash(at, STARTING) for at in range(1, 9)]
    assessment = judge(crashes, PROVEN)
    assert not assessment.suspected
    assert assessment.blocked[BAD].crashes_since_block == 6


@pytest.mark.parametrize(
    ('calls', 'suspected'),
    [
        ([STARTING], {SYSTEM, BAD, DOCUMENT}),
        ([((SYSTEM, BAD), WAITING)], set()),
        ([STARTING, ((SYSTEM, OTHER), WAITING)], {SYSTEM, BAD, DOCUMENT}),
    ],
)
def test_one_crash_makes_the_parts_of_its_first_suspect_suspicious(
    calls: list[tuple[tuple[int, ...], bool]], suspected: set[int]
) -> None:
    """Guards against repeating the call that is the likely cause."""
    assert set(judge([crash(1, *calls)]).suspected) == suspected
