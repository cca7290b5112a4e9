"""The client of the topic of duties, with a stand-in store on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web
from result import Err, Ok

from burdockledge.duties import StoreFailure, StoreRecord, StoreSnapshot
from burdockledge.platform import HttpDutyStore
from tests.platform_adapter.standin_store import StandInStore

TOPIC = 'keyed.duties'


def run_with_store(
    store: StandInStore, test: Callable[[HttpDutyStore], Awaitable[None]]
) -> None:
    """Run a test with a client of a stand-in store."""

    async def run() -> None:
        runner = web.ServerRunner(web.Server(store.handle))
        await runner.setup()
        tcp_site = web.TCPSite(runner, '127.0.0.1', 0)
        await tcp_site.start()
        address = f'127.0.0.1:{runner.addresses[0][1]}'
        async with aiohttp.ClientSession() as session:
            await test(HttpDutyStore(address, session))
        await runner.cleanup()

    asyncio.run(run())


def test_an_offset_goes_to_one_record() -> None:
    """Guards against two claims with one number."""
    store = StandInStore(era=3)

    async def test(client: HttpDutyStore) -> None:
        assert await client.read() == Ok(StoreSnapshot(3, 0, {}))
        first = await client.append('holder', b'one', 0)
        record = StoreRecord(0, b'one')
        assert first == Ok(StoreSnapshot(3, 1, {'holder': record}))
        assert await client.append('holder', b'two', 0) == Err(
            StoreFailure.conflict
        )
        assert await client.read() == first
        store.restore({})
        assert await client.read() == Ok(StoreSnapshot(4, 0, {}))

    run_with_store(store, test)


@pytest.mark.parametrize(
    ('status', 'failure'),
    [
        (503, StoreFailure.refused),
        (429, StoreFailure.refused),
        (500, StoreFailure.unreadable),
    ],
)
def test_a_refused_call_brings_no_result(
    status: int, failure: StoreFailure
) -> None:
    """Guards against an append or read that passes for one that was done."""
    store = StandInStore(next_statuses=[status, status])

    async def test(client: HttpDutyStore) -> None:
        assert await client.read() == Err(failure)
        assert await client.append('holder', b'one', 0) == Err(failure)

    run_with_store(store, test)


def test_pages_of_a_topic_that_grows_are_not_joined() -> None:
    """Guards against a read that lacks a claim made between two pages."""
    store = StandInStore(page_size=1)
    for key in ('holder', 'renewal'):
        store.write(TOPIC, key, b'one')

    async def test(client: HttpDutyStore) -> None:
        snapshot = (await client.read()).unwrap()
        assert set(snapshot.records) == {'holder', 'renewal'}
        read_newest = store._read_newest  # noqa: SLF001

        def read_and_grow(topic: str, after: str) -> web.Response:
            response = read_newest(topic, after)
            store.write(TOPIC, 'holder', b'two')
            return response

        vars(store)['_read_newest'] = read_and_grow
        assert await client.read() == Err(StoreFailure.unavailable)

    run_with_store(store, test)
