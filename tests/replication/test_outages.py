"""Tests of reads of several streams while the whole store fails."""

from __future__ import annotations

import asyncio

import pytest

from tests.replication.hosts import (
    SimulatedCluster,
)

STREAMS = ('first', 'second')
OUTAGE_SECONDS = 20


def count_reads_in_outage(count: int, streams: tuple[str, ...]) -> int:
    """Return how often hosts read a store that is down, once it is lost."""
    cluster = SimulatedCluster(count, streams)
    cluster.store.write('first', b'1')
    counts: list[int] = []

    async def scenario() -> None:
        await cluster.wait_for('first')
        cluster.store.is_down = True
        for seconds in (5, OUTAGE_SECONDS):
            await asyncio.sleep(seconds)
            counts.append(cluster.store.read_count)

    cluster.run(scenario)
    return counts[1] - counts[0]


@pytest.mark.parametrize('count', [1, 9, 70])
def test_more_streams_do_not_mean_more_reads_in_an_outage(count: int) -> None:
    """Guards against a fleet that presses a store that is down more."""
    reads = count_reads_in_outage(count, STREAMS)
    assert reads <= 1.2 * count_reads_in_outage(count, STREAMS[:1])


@pytest.mark.parametrize('count', [1, 9, 70])
def test_all_streams_are_read_soon_after_an_outage(count: int) -> None:
    """Guards against a stream that waits although the store is back."""
    cluster = SimulatedCluster(count, STREAMS)
    cluster.store.write('before', b'1')

    async def scenario() -> None:
        await cluster.wait_for('before')
        for number in range(5):
            cluster.store.is_down = True
            await asyncio.sleep(7 + number / 3)
            cluster.store.write(f'news {number}', b'2')
            cluster.store.is_down = False
            # The longest wait of one stream is 2.25 s.
            await cluster.wait_for(f'news {number}')
            started_at = cluster.loop.time()
            positions = {
                host.exchange.state(stream).position
                for host in cluster.hosts.values()
                for stream in STREAMS
            }
            while len(positions) > 1:
                await asyncio.sleep(0.01)
                positions = {
                    host.exchange.state(stream).position
                    for host in cluster.hosts.values()
                    for stream in STREAMS
                }
            assert cluster.loop.time() - started_at < 0.3

    cluster.run(scenario)
