"""Tests of what a host says of its lag behind others."""

from __future__ import annotations

import asyncio

import pytest
from structlog.testing import capture_logs

from burdockledge.replication import STORE_SOURCE, StreamLags, StreamState
from burdockledge.wire import StreamUpdate
from tests.replication.hosts import SimulatedCluster, isolate


def make_state(position: int) -> StreamState:
    """Return a stream that has been read up to a position."""
    state = StreamState('s')
    state.merge(StreamUpdate('s', 0, position, 0, (), is_whole=True), 0)
    return state


@pytest.mark.parametrize(
    ('peer_positions', 'seconds', 'events'),
    [
        ([(1.0, 5), (9.0, 4)], 0.0, []),
        ([(1.0, 6), (1.5, 6)], 9.0, []),
        ([(1.0, 6), (2.5, 8), (3.0, 7)], 9.0, ['Stream is behind a peer.']),
    ],
)
def test_lag_is_measured_from_the_first_word_of_a_newer_position(
    peer_positions: list[tuple[float, int]], seconds: float, events: list[str]
) -> None:
    """Guards against an outdated host of which no line or gauge tells."""
    lags = StreamLags()
    state = make_state(5)
    with capture_logs() as lines:
        for now, position in peer_positions:
            lags.note_peer(state, (0, position), 'h1', now)
    assert lags.seconds('s', 10.0) == seconds
    assert [line['event'] for line in lines] == events


def test_lag_ends_when_the_stream_has_caught_up() -> None:
    """A merge that falls short of the peer does not end the lag."""
    lags = StreamLags()
    lags.note_peer(make_state(5), (0, 9), 'h1', 1.0)
    lags.note_peer(make_state(5), (0, 9), 'h1', 3.0)
    with capture_logs() as lines:
        lags.note_merge(make_state(8), 'h2', 4.0)
        assert lags.seconds('s', 4.0) == 3.0
        lags.note_merge(make_state(9), 'h2', 5.0)
    assert lags.seconds('s', 5.0) == 0.0
    assert [(line['event'], line['source']) for line in lines] == [
        ('Stream has caught up.', 'h2')
    ]


def test_host_tells_how_its_records_came() -> None:
    """The source is the store for the host that reads, a peer for others."""
    cluster = SimulatedCluster(4)
    cluster.store.write('first', b'1')
    cluster.store.refused_hosts.update(cluster.names[1:])

    async def scenario() -> None:
        await cluster.wait_for('first')
        cluster.store.write('news', b'2')
        await cluster.wait_for('news')
        sources = [
            host.exchange.sources['s'] for host in cluster.hosts.values()
        ]
        assert sources == [STORE_SOURCE, 'h0', 'h0', 'h0']
        reader = cluster.hosts['h1'].reader
        assert reader.failure_counts['unavailable'] == reader.read_count > 0

    cluster.run(scenario)


def test_cut_host_tells_of_its_lag_once_it_hears_of_it() -> None:
    """A host that is reached again knows that it is behind, then no more."""
    cluster = SimulatedCluster(3)
    cluster.store.write('first', b'1')

    async def scenario() -> None:
        await cluster.wait_for('first')
        cluster.store.refused_hosts.add('h0')
        isolate(cluster, 'h0')
        cluster.store.write('news', b'2')
        await asyncio.sleep(3)
        # Only the positions of the others arrive, not their answers.
        cluster.network.heal()
        for other in ('h1', 'h2'):
            cluster.network.block('h0', other)
        await asyncio.sleep(2)
        exchange = cluster.hosts['h0'].exchange
        assert exchange.lags.seconds('s', cluster.loop.time()) > 0
        cluster.network.heal()
        await cluster.wait_for('news')
        assert exchange.lags.seconds('s', cluster.loop.time()) == 0

    cluster.run(scenario)
