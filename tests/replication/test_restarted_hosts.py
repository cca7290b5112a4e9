"""Hosts that the store turns away follow peers that have restarted."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from burdockledge.wire import decode_note
from tests.replication.hosts import (
    KEYS,
    PROPAGATION_LIMIT_SECONDS,
    SimulatedCluster,
    isolate,
)

RECORD_BYTES = {'in one datagram': 100, 'in several datagrams': 6000}
TURNED_AWAY = {'after the restarts': False, 'before the restarts': True}


def make_content(seed: int, size: int) -> bytes:
    """Return content that can not be compressed."""
    return Random(seed).randbytes(size)


async def let_each_host_read(
    cluster: SimulatedCluster, names: list[str]
) -> None:
    """Let each host be the one that shares a large record of the store."""
    for number, name in enumerate(names):
        cluster.store.refused_hosts = {*cluster.names} - {name}
        cluster.store.write(f'by {name}', make_content(number, 3000))
        await cluster.wait_for(f'by {name}')
    cluster.store.refused_hosts = set()


@pytest.mark.parametrize('count', [3, 9])
@pytest.mark.parametrize('size', RECORD_BYTES)
@pytest.mark.parametrize('turned_away', TURNED_AWAY)
def test_news_of_restarted_hosts_is_heard(
    count: int, size: str, turned_away: str
) -> None:
    """Guards against a host that goes on with old routes and servers."""
    cluster = SimulatedCluster(count)
    # Together they never fit into one datagram, like the servers of a site.
    for number in range(12):
        cluster.store.write(f'server {number}', make_content(number, 300))
    away, *others = cluster.names

    async def scenario() -> None:
        await cluster.wait_for('server 11')
        await asyncio.sleep(20)
        await let_each_host_read(cluster, others)
        if TURNED_AWAY[turned_away]:
            cluster.store.refused_hosts.add(away)
        for name in others:
            cluster.store.write(f'at the restart of {name}', b'x')
            await cluster.restart(name)
        cluster.store.refused_hosts.add(away)
        await asyncio.sleep(1)
        cluster.store.write('news', make_content(99, RECORD_BYTES[size]))
        assert await cluster.wait_for('news') < PROPAGATION_LIMIT_SECONDS

    cluster.run(scenario)


@pytest.mark.parametrize('count', [3, 9])
def test_record_missed_during_a_cut_is_heard_from_restarted_hosts(
    count: int,
) -> None:
    """Guards against requests to servers whose leaving a host has missed."""
    cluster = SimulatedCluster(count)
    for number in range(12):
        cluster.store.write(f'server {number}', make_content(number, 300))
    away, *others = cluster.names

    async def scenario() -> None:
        await cluster.wait_for('server 11')
        await asyncio.sleep(20)
        await let_each_host_read(cluster, others)
        cluster.store.refused_hosts.add(away)
        isolate(cluster, away)
        cluster.store.write('server 3 leaves', b'1')
        for name in others:
            await cluster.restart(name, 0.3)
        await cluster.wait_for('server 3 leaves', *others)
        cluster.network.heal()
        elapsed = await cluster.wait_for('server 3 leaves')
        assert elapsed < PROPAGATION_LIMIT_SECONDS

    cluster.run(scenario)


def test_notes_of_a_restarted_host_have_higher_numbers() -> None:
    """Guards against hosts of older versions that drop the lower numbers."""
    cluster = SimulatedCluster(3)
    cluster.store.write('first', b'1')
    numbers: list[int] = []

    def record_numbers(datagram: bytes, source: str) -> None:
        encoded = KEYS.verify_datagram(b'note', datagram)
        fragment = None if encoded is None else decode_note(encoded).fragment
        if fragment is not None and source == 'h1':
            numbers.append(fragment.note)

    async def scenario() -> None:
        await cluster.wait_for('first')
        await cluster.network.sockets['h2'].open(record_numbers)
        for number in range(3):
            cluster.store.refused_hosts = {'h0', 'h2'}
            cluster.store.write(f'news {number}', make_content(number, 3000))
            await asyncio.sleep(2)
            await cluster.restart('h1', 0.1)

    cluster.run(scenario)
    assert len(set(numbers)) >= 6
    assert numbers == sorted(numbers)
