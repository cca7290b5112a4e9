"""Tests of what hosts claim to know, and from when."""

from __future__ import annotations

import asyncio

from burdockledge.wire import StreamEntry, StreamUpdate
from tests.replication.hosts import SimulatedCluster


def test_update_that_a_frozen_host_sends_again_is_not_fresh() -> None:
    """Guards against hosts that put off their reads for news of long ago."""
    cluster = SimulatedCluster(3)
    cluster.store.write('first', b'1')

    async def scenario() -> None:
        await cluster.wait_for('first')
        cluster.store.is_down = True
        await asyncio.sleep(2)
        update = StreamUpdate(
            's', 1, 2, 4, (StreamEntry('news', 1, b'1'),), False
        )
        published_at = cluster.loop.time()
        process = cluster.network.context('h1')

        async def publish() -> None:
            cluster.hosts['h1'].exchange.publish(update)

        await cluster.loop.create_task(publish(), context=process)
        cluster.loop.freeze('h1')
        await asyncio.sleep(5)
        cluster.loop.thaw('h1')
        await asyncio.sleep(0.2)
        fresh_at = cluster.hosts['h0'].exchange.state('s').fresh_at
        assert fresh_at is not None
        assert fresh_at < published_at + 0.1

    cluster.run(scenario)
