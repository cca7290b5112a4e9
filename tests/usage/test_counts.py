"""The pure parts of usage reports: clock, counter and collector."""

from __future__ import annotations

import pytest

from burdockledge.usage import FleetClock, UsageCollector, UsageCounter
from burdockledge.wire import UsageTotals

WINDOW_SECONDS = 5.0
# The true time at which the own monotonic clock is 0.
EPOCH = 1_790_000_000


def wall_ms(now: float, error_seconds: float = 0) -> int:
    """Return a wall clock at a time of the monotonic clock."""
    return round((EPOCH + now + error_seconds) * 1000)


def make_clock(count: int) -> FleetClock:
    """Return a clock that heard from other hosts at 0 s, 20 ms late."""
    clock = FleetClock()
    for number in range(count):
        clock.note_host(f'h{number}', wall_ms(-0.02), 0)
    return clock


@pytest.mark.parametrize('jump_seconds', [-7, 7])
def test_a_jump_of_one_wall_clock_moves_no_time(jump_seconds: float) -> None:
    """Guards against windows that end early or late at one host or at all."""
    clock = make_clock(4)
    clock.note_host('h0', wall_ms(1, jump_seconds), 1)
    assert clock.seconds_at(1, wall_ms(1), 1) == pytest.approx(
        EPOCH + 1, abs=0.03
    )
    own_jump = wall_ms(2, jump_seconds)
    assert clock.seconds_at(2, own_jump, 2) == pytest.approx(
        EPOCH + 2, abs=0.03
    )


def test_notes_that_waited_for_a_frozen_host_move_no_time() -> None:
    """Guards against a host that reads many old notes when it wakes."""
    clock = make_clock(4)
    woke_at = 12.0
    for number in range(4):
        clock.note_host(f'h{number}', wall_ms(4), woke_at)
    assert clock.seconds_at(woke_at, wall_ms(woke_at), woke_at) == (
        pytest.approx(EPOCH + woke_at, abs=0.03)
    )


def test_hosts_that_are_not_heard_from_do_not_count() -> None:
    """Guards against the clocks of hosts that left long ago."""
    clock = make_clock(3)
    assert clock.seconds_at(99, wall_ms(99, 2), 99) == EPOCH + 101


def test_a_closed_window_gets_no_more_calls() -> None:
    """Guards against totals that were called final and grow."""
    counter = UsageCounter(WINDOW_SECONDS)
    counter.count('a', 4.99)
    assert counter.close(5.1) == 0
    counter.count('a', 4.98)
    assert counter.close(5.3) == 1
    counter.count('a', 4.97)
    assert counter.close(4.0) == 1
    assert counter.totals(0) == {0: {'a': 2}, 1: {'a': 1}}
    counter.close(70)
    assert not counter.totals(0)


def totals(host: str, process: int, before: int, **counts: int) -> UsageTotals:
    """Return totals of window 7."""
    return UsageTotals(host, process, before, {7: counts})


def test_totals_merge_to_the_highest_of_each_process() -> None:
    """Guards against late answers, and a new process that hides the old."""
    collector = UsageCollector(WINDOW_SECONDS)
    collector.merge(totals('h', 1, 7, a=5, b=1), 'h', 1)
    collector.merge(totals('h', 1, 7, a=4), 'h', 2)
    assert collector.counts(7) == {'a': 5, 'b': 1}
    collector.merge(totals('h', 2, 7, a=2), 'h', 3)
    # Another asker knew more of the process that ended.
    collector.merge(totals('h', 1, 7, a=6), 'other', 3)
    assert collector.counts(7) == {'a': 8, 'b': 1}
    assert collector.missing(7, ['h', 'never heard']) == ['h', 'never heard']
    assert collector.ended_processes(7, {'h'}, 'x', 9) == [
        totals('h', 1, 7, a=6, b=1)
    ]
    assert len(collector.ended_processes(7, {'h'}, 'h', 9)) == 2
    collector.merge(totals('h', 2, 8, a=2), 'h', 4)
    assert collector.missing(7, ['h']) == []
    assert collector.pull_for('h', 9, is_holder=False).from_window == 8


def test_a_silent_host_is_asked_at_a_bounded_rate() -> None:
    """Guards against a stream of questions to hosts that do not answer."""
    collector = UsageCollector(WINDOW_SECONDS)
    asks = [
        tick
        for tick in range(400)
        if collector.due_hosts(['h'], tick * 0.05, EPOCH + tick * 0.05)
    ]
    assert 35 < len(asks) < 50


def test_a_host_that_asks_again_asks_often() -> None:
    """Guards against counts missed by a holder that begins once more."""
    collector = UsageCollector(WINDOW_SECONDS)
    collector.due_hosts(['h'], 0, EPOCH)
    asks = [
        tick
        for tick in range(200, 250)
        if collector.due_hosts(['h'], tick * 0.05, EPOCH + tick * 0.05)
    ]
    assert len(asks) > 12
