"""Tests of the state of a stream and of the schedule of store reads."""

from __future__ import annotations

import pytest

from burdockledge.registry import OUTAGE_THRESHOLD_SECONDS
from burdockledge.replication import ReadSchedule, StreamState
from burdockledge.wire import StreamEntry, StreamUpdate


def make_entry(
    key: str, offset: int, content: bytes | None = b'x'
) -> StreamEntry:
    """Return an entry; content None makes it a removal."""
    return StreamEntry(key, offset, content)


def whole_update(end: int, *entries: StreamEntry) -> StreamUpdate:
    """Return a whole-stream update up to an offset."""
    return StreamUpdate('s', 0, end, 0, entries, True)


def increment(start: int, end: int, *entries: StreamEntry) -> StreamUpdate:
    """Return an update that holds the records from ``start`` to ``end``."""
    return StreamUpdate('s', start, end, 0, entries, False)


def known_state() -> StreamState:
    """Return a stream state at position 10 that holds the keys a and b."""
    state = StreamState('s')
    state.merge(whole_update(10, make_entry('a', 3), make_entry('b', 7)), 0)
    return state


@pytest.mark.parametrize(
    ('update', 'changed', 'position', 'has_gap'),
    [
        (increment(10, 12, make_entry('a', 11, b'y')), ['a'], 12, False),
        (increment(10, 12, make_entry('a', 11, b'x')), [], 12, False),
        (increment(10, 12, make_entry('b', 11, None)), ['b'], 12, False),
        (increment(8, 12, make_entry('a', 9, b'y')), [], 12, False),
        (increment(11, 12, make_entry('a', 11, b'y')), [], 10, True),
        (whole_update(12, make_entry('a', 3)), ['b'], 12, False),
        (
            whole_update(12, make_entry('a', 3), make_entry('b', 11, b'y')),
            ['b'],
            12,
            False,
        ),
        (whole_update(9), [], 10, False),
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
def test_merge(
    update: StreamUpdate, changed: list[str], position: int, has_gap: bool
) -> None:
    """Only newer records apply, gaps are detected, older updates ignored."""
    state = known_state()
    result = state.merge(update, 1)
    assert [entry.key for entry in result.changed] == changed
    assert state.position == position
    assert result.has_gap is has_gap


def test_older_record_does_not_replace_that_of_a_later_page() -> None:
    """Guards against a leaving server that is taken for ready again."""
    state = known_state()
    state.merge(whole_update(11, make_entry('a', 12, b'later')), 1)
    state.merge(increment(11, 12, make_entry('a', 11, b'older')), 1)
    assert [entry.content for entry in state.entries()] == [b'later']


def test_unknown_stream_requires_whole_update() -> None:
    """An increment does not make an unknown stream known."""
    state = StreamState('s')
    assert state.merge(increment(5, 6), 0).has_gap
    assert not state.is_known


def test_age_is_measured_from_the_read() -> None:
    """The age of an update counts from its read, not from its arrival."""
    state = known_state()
    state.merge(StreamUpdate('s', 10, 10, 400, (), False), 5)
    assert state.age_ms(5) == 400


@pytest.mark.parametrize(
    ('position', 'is_whole', 'keys'),
    [(14, False, ['d']), (12, False, ['d', 'b']), (9, True, ['a', 'c', 'd'])],
)
def test_update_since_brings_receiver_up_to_date(
    position: int, is_whole: bool, keys: list[str]
) -> None:
    """
    An update holds all records and removals from the receiver's position on.

    If older removals are not known, it holds the whole stream instead.
    """
    state = known_state()
    state.merge(increment(10, 11, make_entry('c', 10)), 1)
    state.merge(increment(11, 14, make_entry('b', 12, None)), 1)
    state.merge(increment(14, 16, make_entry('d', 15)), 1)
    update = state.update_since(position, 2)
    assert update.is_whole is is_whole
    assert [entry.key for entry in update.entries] == keys
    receiver = known_state()
    receiver.merge(
        whole_update(position, make_entry('a', 3), make_entry('b', 7)), 0
    )
    receiver.merge(update, 2)
    assert receiver.position == 16
    if position >= 10:
        assert 'b' not in {entry.key for entry in receiver.entries()} or (
            position > 12
        )


def test_dropped_removals_require_whole_update() -> None:
    """A host that misses more removals than are kept gets the whole stream."""
    state = known_state()
    for number in range(400):
        offset = 10 + number
        state.merge(
            increment(
                offset, offset + 1, make_entry(f'k{number}', offset, None)
            ),
            1,
        )
    assert state.update_since(20, 2).is_whole
    assert not state.update_since(400, 2).is_whole


HOSTS = tuple(f'h{number}' for number in range(9))


def test_first_host_reads_well_before_second() -> None:
    """The due times differ by more than a read and its gossip take."""
    schedule = ReadSchedule(0.7)
    due_times = sorted(schedule.due_at(host, HOSTS, 0, 0.5) for host in HOSTS)
    assert due_times[0] == pytest.approx(0.7)
    assert due_times[1] - due_times[0] > 0.2


def test_all_hosts_read_in_time_without_peers() -> None:
    """A host that gets no updates from peers reads within about two seconds."""
    schedule = ReadSchedule(0.7)
    assert max(schedule.due_at(host, HOSTS, 0, 1) for host in HOSTS) < 2.2


@pytest.mark.parametrize('bound', [2.0, 3.0])
def test_last_rank_reads_before_outage_gap(bound: float) -> None:
    """
    The last rank reads early enough to apply removals within the bound.

    It also reads before the registry takes the gap for a store outage.
    """
    schedule = ReadSchedule(0.35 * bound)
    last_due_at = max(schedule.due_at(host, HOSTS, 0, 1) for host in HOSTS)
    assert last_due_at < 0.8 * bound
    assert last_due_at < OUTAGE_THRESHOLD_SECONDS


def test_failed_reads_back_off() -> None:
    """Failed reads are retried after growing delays of at most 1.5 s."""
    schedule = ReadSchedule(0.7)
    backoffs = []
    for failed_at in range(6):
        schedule.record_read(False, failed_at)
        backoffs.append(schedule.due_at('h0', HOSTS, -10, 0) - failed_at)
    assert backoffs == sorted(backoffs)
    assert backoffs[-1] <= 1.5
    schedule.record_read(True, 10)
    assert schedule.due_at('h0', ('h0',), 10, 0) == pytest.approx(10.7)
