"""Tests of hosts whose store comes back from a copy of its records."""

from __future__ import annotations

import asyncio

import pytest

from burdockledge.replication import StreamState
from burdockledge.wire import NO_ERA, StreamEntry, StreamUpdate
from tests.replication.hosts import (
    PROPAGATION_LIMIT_SECONDS,
    SimulatedCluster,
    isolate,
)

WRITTEN = 10
COPIED = 4
# How much is written again before a host reads: less than was lost, as much,
# so that reads go on as if nothing had happened, and more.
WRITTEN_AGAIN = (0, 3, 6, 12)


def write(cluster: SimulatedCluster, count: int, content: bytes) -> None:
    """Write to as many keys."""
    for number in range(count):
        cluster.store.write(f'key {number}', content)


def newest_records(cluster: SimulatedCluster) -> dict[str, bytes | None]:
    """Return what the store holds."""
    return {
        entry.key: entry.content
        for entry in cluster.store.records
        if entry.content is not None
    }


def assert_hosts_mirror_the_store(cluster: SimulatedCluster) -> None:
    """Compare the streams of all hosts with the store."""
    for host in cluster.hosts.values():
        state = host.exchange.state('s')
        entries = {entry.key: entry.content for entry in state.entries()}
        assert entries == newest_records(cluster)
        assert state.place == (cluster.store.era, len(cluster.store.records))


@pytest.mark.parametrize('count', [3, 9, 71, 195])
@pytest.mark.parametrize('again', WRITTEN_AGAIN)
def test_news_after_a_restore_reach_every_host_in_time(
    again: int, count: int
) -> None:
    """Guards against CONFIG: small offsets are taken for old ones."""
    cluster = SimulatedCluster(count)
    write(cluster, WRITTEN, b'1')

    async def scenario() -> None:
        await cluster.wait_for(f'key {WRITTEN - 1}')
        cluster.store.restore(COPIED)
        write(cluster, again, b'2')
        await asyncio.sleep(0.3)
        cluster.store.write('news', b'3')
        assert await cluster.wait_for('news') < PROPAGATION_LIMIT_SECONDS
        await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
        assert_hosts_mirror_the_store(cluster)

    cluster.run(scenario)


@pytest.mark.parametrize('again', WRITTEN_AGAIN)
@pytest.mark.parametrize('restores', [1, 2, 3])
@pytest.mark.parametrize('trouble', ['cut', 'refused', 'restarted'])
def test_news_after_restores_reach_hosts_in_trouble(
    trouble: str, restores: int, again: int
) -> None:
    """Guards against CONFIG at hosts that skip an era, or hear of it late."""
    cluster = SimulatedCluster(9)
    write(cluster, WRITTEN, b'1')
    affected = cluster.names[:3]

    async def scenario() -> None:
        await cluster.wait_for(f'key {WRITTEN - 1}')
        if trouble == 'cut':
            isolate(cluster, *affected)
        if trouble != 'restarted':
            cluster.store.refused_hosts = set(affected)
        for number in range(restores):
            cluster.store.restore(COPIED)
            write(cluster, again, b'%d' % number)
            await asyncio.sleep(1)
        if trouble == 'restarted':
            for name in affected:
                await cluster.restart(name, 0.1)
        cluster.network.heal()
        if trouble == 'cut':
            cluster.store.refused_hosts = set()
        cluster.store.write('news', b'3')
        assert await cluster.wait_for('news') < PROPAGATION_LIMIT_SECONDS
        await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
        assert_hosts_mirror_the_store(cluster)

    cluster.run(scenario)


def test_a_restore_does_not_raise_the_load_of_the_store() -> None:
    """Guards against hosts that read again and again what they leave out."""
    cluster = SimulatedCluster(9)
    write(cluster, WRITTEN, b'1')
    reads: list[int] = []

    async def scenario() -> None:
        await cluster.wait_for(f'key {WRITTEN - 1}')
        for _ in range(2):
            before = cluster.store.read_count
            await asyncio.sleep(20)
            reads.append(cluster.store.read_count - before)
            cluster.store.restore(COPIED)

    cluster.run(scenario)
    # Each host may read once until it has heard of the new era.
    assert reads[1] <= reads[0] + len(cluster.hosts)


@pytest.mark.parametrize(('count', 'most_a_second'), [(9, 20), (195, 40)])
def test_hosts_register_again_in_a_restored_store(
    count: int, most_a_second: int
) -> None:
    """Guards against a store without hosts, and against a burst of writes."""
    cluster = SimulatedCluster(count)
    write(cluster, WRITTEN, b'1')

    async def scenario() -> None:
        await cluster.wait_for(f'key {WRITTEN - 1}')
        await asyncio.sleep(1)
        registrations = cluster.store.registrations
        registrations.clear()
        cluster.store.restore(COPIED)
        counts = []
        for _ in range(15):
            before = len(registrations)
            await asyncio.sleep(1)
            counts.append(len(registrations) - before)
        assert sorted(registrations) == sorted(cluster.names)
        assert max(counts) <= most_a_second

    cluster.run(scenario)


def known_state(era: int) -> StreamState:
    """Return a state at position 10 of an era that holds the key a."""
    state = StreamState('s')
    entries = (StreamEntry('a', 7, b'1'),)
    state.merge(StreamUpdate('s', 0, 10, 0, entries, True, era), 0)
    return state


def update(era: int, start: int, end: int, *, is_whole: bool) -> StreamUpdate:
    """Return an update with a record of the key b."""
    entries = (StreamEntry('b', start, b'2'),)
    return StreamUpdate('s', start, end, 0, entries, is_whole, era)


@pytest.mark.parametrize(
    ('era', 'news', 'place', 'keys', 'has_gap', 'is_restore'),
    [
        (1, update(2, 0, 3, is_whole=True), (2, 3), {'b'}, False, True),
        (1, update(4, 0, 30, is_whole=True), (4, 30), {'b'}, False, True),
        (1, update(2, 10, 12, is_whole=False), (1, 10), {'a'}, True, False),
        (2, update(1, 0, 90, is_whole=True), (2, 10), {'a'}, False, False),
        (2, update(1, 10, 90, is_whole=False), (2, 10), {'a'}, False, False),
        (1, update(1, 10, 12, is_whole=False), (1, 12), {'a', 'b'}, False, 0),
        (1, update(NO_ERA, 10, 12, is_whole=False), (1, 12), {'a', 'b'}, 0, 0),
        (NO_ERA, update(1, 0, 12, is_whole=True), (1, 12), {'b'}, False, False),
    ],
    ids=[
        'whole of the next era',
        'whole of a later era',
        'tail of the next era',
        'whole of an earlier era',
        'tail of an earlier era',
        'tail of the same era',
        'tail from a host that knows no eras',
        'first era after a host that knew none',
    ],
)
def test_offsets_order_records_within_one_era(
    era: int,
    news: StreamUpdate,
    place: tuple[int, int],
    keys: set[str],
    has_gap: bool,
    is_restore: bool,
) -> None:
    """Guards against records of two eras that are mixed or compared."""
    state = known_state(era)
    merged = state.merge(news, 1)
    assert state.place == place
    assert {entry.key for entry in state.entries()} == keys
    assert (merged.has_gap, merged.is_restore) == (has_gap, is_restore)


def test_hosts_that_know_no_eras_are_not_followed_over_a_restore() -> None:
    """Their offsets may be those of either era."""
    state = known_state(1)
    state.merge(update(2, 0, 3, is_whole=True), 1)
    assert state.merge(update(NO_ERA, 0, 90, is_whole=True), 2).changed == ()
    assert state.place == (2, 3)


@pytest.mark.parametrize(
    ('era', 'position', 'is_whole'),
    [(2, 10, False), (1, 10, True), (2, -1, True), (NO_ERA, 10, False)],
)
def test_a_host_in_another_era_gets_the_whole_stream(
    era: int, position: int, is_whole: bool
) -> None:
    """Guards against a tail that follows the records of another era."""
    answer = known_state(2).update_since(position, 1, era)
    assert answer.is_whole is is_whole
    assert answer.era == 2
