"""Suspicion, block and release of prompt parts on several hosts."""

from __future__ import annotations

from itertools import permutations
from random import Random

import pytest

from burdockledge.quarantine import (
    PartName,
    Quarantine,
    QuarantineEvent,
    Verdict,
    part_key,
    part_keys,
)
from burdockledge.wire import Clearance, CrashSuspect

SERVICE = 'model'
SYSTEM, BAD, SOUND = (part_key(SERVICE, part) for part in (1, 0xBAD, 3))
BAD_PARTS = (SYSTEM, BAD)
SOUND_PARTS = (SYSTEM, SOUND)


def suspect(
    call_id: int,
    server: int,
    age_ms: int = 0,
    parts: tuple[int, ...] = (BAD,),
    *,
    had_head: bool = True,
) -> CrashSuspect:
    """Return a call that a crash cut 0.2 s after it was sent."""
    return CrashSuspect(call_id, server, list(parts), had_head, 200, age_ms)


def blocking_quarantine(now: float = 10.0) -> Quarantine:
    """Return a quarantine that blocks the bad part, since 9.5 s."""
    quarantine = Quarantine()
    quarantine.merge([suspect(1, 1, 2000), suspect(2, 2, 500)], [], now)
    assert set(quarantine.blocked) == {BAD}
    return quarantine


@pytest.mark.parametrize(
    ('prompt_parts', 'shared'),
    [((), ()), ((1,), ()), ((1, 2), (1,)), ((1, 2, 3), (1, 2))],
)
def test_the_last_part_is_never_blamed(
    prompt_parts: tuple[int, ...], shared: tuple[int, ...]
) -> None:
    """Guards against evidence on a part that belongs to one request."""
    keys = part_keys(SERVICE, prompt_parts)
    assert [PartName.from_key(key).part_id for key in keys] == list(shared)


def test_parts_of_two_services_are_apart() -> None:
    """Guards against a block on a service whose engines bear the part."""
    assert part_key('model', 7) != part_key('other', 7)


def test_verdicts() -> None:
    """A call is blocked by any blocked part, whatever else it has."""
    quarantine = blocking_quarantine()
    assert quarantine.verdict(BAD_PARTS, 10) is Verdict.blocked
    assert quarantine.verdict(SOUND_PARTS, 10) is Verdict.allowed
    assert quarantine.verdict((), 10) is Verdict.allowed


def test_a_suspected_part_is_at_one_engine_at_a_time() -> None:
    """Guards against crashes of several engines while evidence is thin."""
    quarantine = Quarantine()
    quarantine.merge([suspect(1, 1)], [], 10)
    assert quarantine.verdict(BAD_PARTS, 10) is Verdict.allowed
    quarantine.note_start(5, 2, BAD_PARTS, 10, is_own=False)
    assert quarantine.verdict(BAD_PARTS, 10.1) is Verdict.deferred
    assert quarantine.verdict(SOUND_PARTS, 10.1) is Verdict.allowed
    assert quarantine.is_suspected(BAD_PARTS)
    quarantine.note_head(5, 10.2)
    assert quarantine.verdict(BAD_PARTS, 10.3) is Verdict.deferred
    assert quarantine.verdict(BAD_PARTS, 10.6) is Verdict.allowed


def test_a_silent_engine_holds_up_no_other_call_for_long() -> None:
    """Guards against calls that wait for one that never begins."""
    quarantine = Quarantine()
    quarantine.merge([suspect(1, 1)], [], 10)
    quarantine.note_start(5, 2, BAD_PARTS, 10, is_own=True)
    assert quarantine.verdict(BAD_PARTS, 13) is Verdict.allowed


def test_a_whole_answer_clears_its_parts() -> None:
    """Guards against a block on a part that engines answer."""
    quarantine = blocking_quarantine()
    events: list[QuarantineEvent] = []
    quarantine.on_event = events.append
    quarantine.note_start(5, 3, BAD_PARTS, 10, is_own=True)
    quarantine.note_answer(5, 11)
    assert not quarantine.blocked
    assert [(event.event, event.part) for event in events] == [
        ('released', BAD)
    ]
    _, clearances = quarantine.entries(12)
    other = blocking_quarantine()
    other.merge([], clearances, 12)
    assert not other.blocked


@pytest.mark.parametrize(
    ('sent_at', 'is_own', 'counts'),
    [
        (9.4, True, True),
        (9.6, True, False),
        (9.6, False, True),
        (11, False, False),
    ],
)
def test_a_server_that_answers_later_calls_did_not_crash(
    sent_at: float, is_own: bool, counts: bool
) -> None:
    """Guards against taking reset connections for crashes."""
    quarantine = blocking_quarantine()
    quarantine.note_start(5, 2, SOUND_PARTS, sent_at, is_own=is_own)
    quarantine.note_head(5, 12)
    assert bool(quarantine.blocked) is counts


def test_evidence_merges_in_any_order() -> None:
    """Guards against hosts that decide by the order of the news."""
    news: list[CrashSuspect | Clearance] = [
        suspect(1, 1, 3000),
        suspect(2, 2, 2000),
        suspect(3, 3, 1000),
        Clearance(9, 3, 0),
    ]
    digests = set()
    for order in permutations(news):
        quarantine = Quarantine()
        for one in order:
            is_clearance = isinstance(one, Clearance)
            quarantine.merge(
                [] if is_clearance else [one], [one] if is_clearance else [], 50
            )
        digests.add((quarantine.digest, tuple(quarantine.blocked)))
    assert len(digests) == 1


@pytest.mark.parametrize('host_count', [9, 200])
def test_hosts_that_each_saw_one_crash_agree(host_count: int) -> None:
    """Guards against a part that each host has seen crash one engine."""
    hosts = [Quarantine() for _ in range(host_count)]
    for number in range(4):
        hosts[number].merge([suspect(number, number, 1000 * number)], [], 50)
    random = Random(1)
    for _ in range(12):
        for host in hosts:
            suspects, clearances = host.entries(50)
            random.choice(hosts).merge(suspects, clearances, 50)
    assert len({host.digest for host in hosts}) == 1
    assert all(set(host.blocked) == {BAD} for host in hosts)


def test_memory_is_bounded() -> None:
    """Guards against evidence without end; the block outlives the limit."""
    quarantine = blocking_quarantine()
    for number in range(3000):
        quarantine.merge(
            [suspect(100 + number, 100 + number, 0, (1000 + number,))], [], 10
        )
        quarantine.note_start(number, 1, (5000 + number,), 10, is_own=False)
        quarantine.merge([], [Clearance(number, 7000 + number, 0)], 10)
    suspects, clearances = quarantine.entries(10)
    assert len(suspects) <= 64 and len(clearances) <= 128
    assert BAD in quarantine.blocked


def test_evidence_that_blocks_nothing_is_dropped_in_time() -> None:
    """Guards against blame that adds up over hours."""
    quarantine = Quarantine()
    quarantine.merge([suspect(1, 1)], [], 0)
    quarantine.verdict((), 1000)
    quarantine.merge([suspect(2, 2)], [], 1000)
    assert not quarantine.blocked
    assert quarantine.suspected


def test_the_fleet_tries_a_blocked_part_once_in_a_while() -> None:
    """Guards against a trial of each host, and against blocks for ever."""
    chosen, other = blocking_quarantine(), blocking_quarantine()
    chosen.is_trial_host = lambda _: True
    assert chosen.verdict(BAD_PARTS, 100) is Verdict.blocked
    assert chosen.blocked_seconds(BAD_PARTS, 100) == pytest.approx(29.5)
    assert chosen.verdict(BAD_PARTS, 130) is Verdict.allowed
    assert other.verdict(BAD_PARTS, 130) is Verdict.blocked
    chosen.note_start(5, 3, BAD_PARTS, 130, is_own=True)
    assert chosen.verdict(BAD_PARTS, 130.1) is Verdict.blocked
    chosen.note_break(5, 130.2, had_head=True)
    assert chosen.verdict(BAD_PARTS, 300) is Verdict.blocked
    assert chosen.verdict(BAD_PARTS, 611) is Verdict.allowed
    chosen.note_start(6, 4, BAD_PARTS, 611, is_own=True)
    chosen.note_break(6, 611.2, had_head=True)
    assert chosen.verdict(BAD_PARTS, 100_000) is Verdict.blocked
    assert chosen.blocked_seconds(BAD_PARTS, 100_000) is None


def test_an_operator_releases_a_part_on_all_hosts() -> None:
    """Guards against a release that other hosts undo."""
    released, other = blocking_quarantine(), blocking_quarantine()
    assert released.release(BAD, 77, 20)
    assert not released.release(SOUND, 78, 20)
    other.merge(*released.entries(21), 21)
    released.merge(*other.entries(22), 22)
    assert not released.blocked and not other.blocked
    assert released.digest == other.digest
