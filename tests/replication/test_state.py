"""Streams that hosts hold in step, and when hosts read the store."""

from __future__ import annotations

import pytest

from burdockledge.registry import OUTAGE_THRESHOLD_SECONDS
from burdockledge.replication import ReadSchedule, StreamState
from burdockledge.wire import StreamEntry, StreamUpdate


def entry(key: str, offset: int, content: bytes | None = b'x') -> StreamEntry:
    """Return a record."""
    return StreamEntry(key, offset, content)


def whole(end: int, *entries: StreamEntry) -> StreamUpdate:
    """Return all of a stream."""
    return StreamUpdate('s', 0, end, 0, entries, True)


def tail(start: int, end: int, *entries: StreamEntry) -> StreamUpdate:
    """Return the records of a stream from an offset on."""
    return StreamUpdate('s', start, end, 0, entries, False)


def known() -> StreamState:
    """Return a state at offset 10 that holds two keys."""
    state = StreamState('s')
    state.merge(whole(10, entry('a', 3), entry('b', 7)), 0)
    return state


@pytest.mark.parametrize(
    ('update', 'changed', 'position', 'has_gap'),
    [
        (tail(10, 12, entry('a', 11, b'y')), ['a'], 12, False),
        (tail(10, 12, entry('a', 11, b'x')), [], 12, False),
        (tail(10, 12, entry('b', 11, None)), ['b'], 12, False),
        (tail(8, 12, entry('a', 9, b'y')), [], 12, False),
        (tail(11, 12, entry('a', 11, b'y')), [], 10, True),
        (whole(12, entry('a', 3)), ['b'], 12, False),
        (whole(12, entry('a', 3), entry('b', 11, b'y')), ['b'], 12, False),
        (whole(9), [], 10, False),
    ],
    ids=[
        'news',
        'heartbeat',
        'removal',
        'overlap',
        'gap',
        'whole without a key',
        'whole with news',
        'older whole',
    ],
)
def test_updates_fold(
    update: StreamUpdate, changed: list[str], position: int, has_gap: bool
) -> None:
    """News apply once, gaps are told, and nothing goes back."""
    state = known()
    merged = state.merge(update, 1)
    assert [found.key for found in merged.changed] == changed
    assert state.position == position
    assert merged.has_gap is has_gap


def test_an_unknown_stream_needs_all_of_it() -> None:
    """A tail alone tells nothing."""
    state = StreamState('s')
    assert state.merge(tail(5, 6), 0).has_gap
    assert not state.is_known


def test_freshness_is_of_the_read_not_of_the_arrival() -> None:
    """An update that was on its way for long is as old as its read."""
    state = known()
    state.merge(StreamUpdate('s', 10, 10, 400, (), False), 5)
    assert state.age_ms(5) == 400


@pytest.mark.parametrize(
    ('position', 'is_whole', 'keys'),
    [(14, False, ['d']), (12, False, ['d', 'b']), (9, True, ['a', 'c', 'd'])],
)
def test_a_host_gets_what_it_lacks(
    position: int, is_whole: bool, keys: list[str]
) -> None:
    """The records and removals from its position on, or all if need be."""
    state = known()
    state.merge(tail(10, 11, entry('c', 10)), 1)
    state.merge(tail(11, 14, entry('b', 12, None)), 1)
    state.merge(tail(14, 16, entry('d', 15)), 1)
    update = state.since(position, 2)
    assert update.is_whole is is_whole
    assert [found.key for found in update.entries] == keys
    other = known()
    other.merge(whole(position, entry('a', 3), entry('b', 7)), 0)
    other.merge(update, 2)
    assert other.position == 16
    if position >= 10:
        assert 'b' not in {found.key for found in other.entries()} or (
            position > 12
        )


def test_forgotten_removals_are_told_by_the_whole() -> None:
    """A host behind more removals than are kept gets all that is left."""
    state = known()
    for number in range(400):
        at = 10 + number
        state.merge(tail(at, at + 1, entry(f'k{number}', at, None)), 1)
    assert state.since(20, 2).is_whole
    assert not state.since(400, 2).is_whole


HOSTS = tuple(f'h{number}' for number in range(9))


def test_one_host_reads_while_all_is_well() -> None:
    """The due times differ by more than a read and its telling take."""
    schedule = ReadSchedule(0.7)
    due = sorted(schedule.due_at(host, HOSTS, 0, 0.5) for host in HOSTS)
    assert due[0] == pytest.approx(0.7)
    assert due[1] - due[0] > 0.2


def test_all_hosts_read_within_the_bound_when_told_nothing() -> None:
    """Whoever is alone with the store reads within two seconds."""
    schedule = ReadSchedule(0.7)
    assert max(schedule.due_at(host, HOSTS, 0, 1) for host in HOSTS) < 2.2


@pytest.mark.parametrize('bound', [2.0, 3.0])
def test_slow_readers_leave_time_to_act(bound: float) -> None:
    """Where only the last ranks still read, removals count in the bound."""
    schedule = ReadSchedule(0.35 * bound)
    last = max(schedule.due_at(host, HOSTS, 0, 1) for host in HOSTS)
    assert last < 0.8 * bound
    assert last < OUTAGE_THRESHOLD_SECONDS


def test_failing_reads_back_off() -> None:
    """A store that is down is not asked more often, and asked again soon."""
    schedule = ReadSchedule(0.7)
    waits = []
    for turn in range(6):
        schedule.note(False, turn)
        waits.append(schedule.due_at('h0', HOSTS, -10, 0) - turn)
    assert waits == sorted(waits)
    assert waits[-1] <= 1.5
    schedule.note(True, 10)
    assert schedule.due_at('h0', ('h0',), 10, 0) == pytest.approx(10.7)
