"""Tests of what hosts claim to know, and from when."""

from __future__ import annotations

import asyncio

import pytest

from burdockledge.wire import Note, StreamEntry, StreamUpdate
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


@pytest.mark.parametrize('outdated_end', [0, 1])
def test_outdated_update_does_not_end_the_pull_of_a_gap(
    outdated_end: int,
) -> None:
    """Guards against a host that stops to ask for what it knows it lacks."""
    cluster = SimulatedCluster(1)
    cluster.store.write('first', b'1')
    asked_at: list[float] = []

    async def scenario() -> None:
        await cluster.wait_for('first')
        cluster.store.is_down = True
        exchange = cluster.hosts['h0'].exchange
        peer = 'h9'
        exchange.bootstrap_addresses = lambda: [peer]
        for update in (
            StreamUpdate('s', 5, 6, 4, (), False),
            StreamUpdate('s', 0, outdated_end, 4, (), False),
        ):
            note = Note('h9', updates=[update])
            exchange._handle_note(note, peer)  # noqa: SLF001
        count = exchange._last_note_number  # noqa: SLF001
        await asyncio.sleep(1)
        asked_at.append(exchange._last_note_number - count)  # noqa: SLF001

    cluster.run(scenario)
    assert asked_at[0] >= 5
