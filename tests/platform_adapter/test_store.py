"""The client of the store against a stand-in on loopback."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web
from result import Err, Ok

from burdockledge.clock import SystemClock
from burdockledge.platform import StoreClient
from burdockledge.relay import CONFIGURATION_STREAM, SERVERS_STREAM
from burdockledge.replication import SourceFailure
from burdockledge.wire import StreamEntry
from tests.platform_adapter.standin_store import StandInStore


def with_store(
    store: StandInStore, test: Callable[[StoreClient], Awaitable[None]]
) -> None:
    """Run a test with a client of the stand-in."""

    async def run() -> None:
        runner = web.ServerRunner(web.Server(store.handle))
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        address = f'127.0.0.1:{runner.addresses[0][1]}'
        async with aiohttp.ClientSession() as session:
            await test(StoreClient(address, session, SystemClock()))
        await runner.cleanup()

    asyncio.run(run())


def heartbeat(seq: int, state: str = 'ready') -> bytes:
    """Return a server's record."""
    return json.dumps({'backend': 'b', 'state': state, 'seq': seq}).encode()


def test_a_stream_is_read_whole_then_by_its_tail() -> None:
    """The first read gives every key, later ones what follows."""
    store = StandInStore(
        {'keyed.op': [('config', b'1'), ('other', b'x'), ('config', b'2')]}
    )

    async def test(client: StoreClient) -> None:
        whole = (await client.read(CONFIGURATION_STREAM, -1)).unwrap()
        assert whole.is_whole
        assert whole.end == 3
        assert {entry.key: entry.content for entry in whole.entries} == {
            'config': b'2',
            'other': b'x',
        }
        store.topics['keyed.op'].append(('config', b'3'))
        store.topics['keyed.op'].append(('other', b''))
        tail = (await client.read(CONFIGURATION_STREAM, 3)).unwrap()
        assert not tail.is_whole
        assert tail.entries == (
            StreamEntry('config', 3, b'3'),
            StreamEntry('other', 4, None),
        )

    with_store(store, test)


def test_a_forgotten_history_is_read_whole() -> None:
    """Records that are deleted are made good by the newest of each key."""
    store = StandInStore({'keyed.op': [('config', b'1')] * 5})
    store.first['keyed.op'] = 4

    async def test(client: StoreClient) -> None:
        found = (await client.read(CONFIGURATION_STREAM, 2)).unwrap()
        assert found.is_whole
        assert found.end == 5

    with_store(store, test)


def test_many_keys_come_in_pages() -> None:
    """A whole read follows every page."""
    rows = [(f's{number:03}', heartbeat(1)) for number in range(25)]
    store = StandInStore({'keyed.servers': rows}, page=10)

    async def test(client: StoreClient) -> None:
        found = (await client.read(SERVERS_STREAM, -1)).unwrap()
        assert len(found.entries) == 25

    with_store(store, test)


def test_heartbeats_change_nothing() -> None:
    """Two records of a server that differ in their count read the same."""
    store = StandInStore(
        {'keyed.servers': [('s', heartbeat(1)), ('s', heartbeat(2)),
                           ('s', heartbeat(3, 'draining')), ('s', b'\xff')]}
    )  # fmt: skip

    async def test(client: StoreClient) -> None:
        found = (await client.read(SERVERS_STREAM, 0)).unwrap()
        contents = [entry.content for entry in found.entries]
        assert contents[0] == contents[1]
        assert contents[2] != contents[1]
        assert contents[3] == b'\xff'

    with_store(store, test)


@pytest.mark.parametrize(
    ('status', 'failure'),
    [
        (429, SourceFailure.refused),
        (503, SourceFailure.refused),
        (500, SourceFailure.unreadable),
    ],
)
def test_failures_are_values(status: int, failure: SourceFailure) -> None:
    """A refused or broken read is told, and raises nothing."""
    store = StandInStore({'keyed.op': []}, statuses=[status])

    async def test(client: StoreClient) -> None:
        assert await client.read(CONFIGURATION_STREAM, 0) == Err(failure)

    with_store(store, test)


def test_a_store_that_is_gone_is_a_value() -> None:
    """A connection that fails is told like any failed read."""

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            client = StoreClient('127.0.0.1:1', session, SystemClock())
            found = await client.read(CONFIGURATION_STREAM, 0)
            assert found == Err(SourceFailure.unavailable)
            assert not await client.register('h', 'a:1')

    asyncio.run(run())


def test_hosts_find_each_other() -> None:
    """A registered host is listed with its peer address."""
    store = StandInStore()

    async def test(client: StoreClient) -> None:
        assert await client.registered_hosts() == Ok({})
        assert await client.register('h1', '10.0.0.1:7340')
        store.topics['keyed.hosts'].append(('foreign', b'not json'))
        assert await client.registered_hosts() == Ok({'h1': '10.0.0.1:7340'})

    with_store(store, test)
