"""Tests of reads of a whole stream, as the records before were deleted."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from burdockledge.wire import StreamEntry, StreamUpdate
from tests.replication.hosts import (
    PROPAGATION_LIMIT_SECONDS,
    SimulatedCluster,
    isolate,
)

WHOLE_READS: dict[str, tuple[StreamEntry, ...]] = {
    'a key that came and went': (),
    'a key that changed to and fro': (StreamEntry('known', 2, b'1'),),
}


@pytest.mark.parametrize('read', WHOLE_READS)
def test_whole_read_reaches_hosts_that_were_ahead_of_its_reader(
    read: str,
) -> None:
    """Guards against servers that are gone, and stay on some hosts for good."""
    cluster = SimulatedCluster(2)
    cluster.store.write('known', b'1')
    newest = WHOLE_READS[read] or (StreamEntry('known', 0, b'1'),)
    passing = StreamEntry('known' if WHOLE_READS[read] else 'passing', 1, b'2')

    async def scenario() -> None:
        await cluster.wait_for('known')
        cluster.store.is_down = True
        isolate(cluster, 'h0')
        reader, ahead = (cluster.hosts[name].exchange for name in ('h0', 'h1'))
        ahead.publish(StreamUpdate('s', 1, 2, 4, (passing,), False))
        await asyncio.sleep(0.1)
        cluster.network.heal()
        assert reader.state('s').position == 1
        # The records from 1 on were deleted, so the newest ones are read.
        reader.publish(StreamUpdate('s', 0, 3, 4, newest, True))
        await asyncio.sleep(2)
        assert [
            [(entry.key, entry.content) for entry in one.state('s').entries()]
            for one in (reader, ahead)
        ] == 2 * [[('known', b'1')]]

    cluster.run(scenario)


@pytest.mark.parametrize('count', [9, 70, 195])
def test_news_of_a_whole_read_arrive_in_time(count: int) -> None:
    """Guards against hosts that pull a whole stream slowly, or not at all."""
    cluster = SimulatedCluster(count)
    cluster.store.write('first', b'1')
    entries = tuple(
        StreamEntry(f'server {number}', number, Random(number).randbytes(300))
        for number in range(100)
    )

    async def scenario() -> None:
        await cluster.wait_for('first')
        cluster.store.is_down = True
        update = StreamUpdate('s', 0, 100, 4, entries, True)
        cluster.hosts['h0'].exchange.publish(update)
        elapsed = await cluster.wait_for('server 99')
        assert elapsed < PROPAGATION_LIMIT_SECONDS
        await asyncio.sleep(2)
        for host in cluster.hosts.values():
            assert host.exchange.state('s').entries() == entries

    cluster.run(scenario)


PAGES: dict[str, tuple[StreamEntry, ...]] = {
    'changed': (StreamEntry('known', 2, b'2'),),
    'removed': (),
}


@pytest.mark.parametrize('later_page', PAGES)
def test_news_that_a_later_page_held_already_reach_the_others(
    later_page: str,
) -> None:
    """Guards against a leaving server that only one host knows of."""
    cluster = SimulatedCluster(2)
    cluster.store.write('known', b'1')
    first = StreamEntry('known', 0, b'1')
    content = b'2' if PAGES[later_page] else None

    async def scenario() -> None:
        await cluster.wait_for('known')
        cluster.store.is_down = True
        reader, other = (cluster.hosts[name].exchange for name in ('h0', 'h1'))
        # The first page says that the stream ends at 2, the next one is newer.
        held = {reader: PAGES[later_page], other: (first,)}
        for exchange, entries in held.items():
            exchange.publish(StreamUpdate('s', 0, 2, 4, entries, True))
        tail = (StreamEntry('known', 2, content),)
        reader.publish(StreamUpdate('s', 2, 3, 4, tail, False))
        await asyncio.sleep(2)
        assert other.state('s').position == 3
        assert other.state('s').entries() == PAGES[later_page]

    cluster.run(scenario)
