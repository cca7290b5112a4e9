"""Tests of the client of the store, with a stand-in store on loopback."""

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
from burdockledge.wire import StreamEntry, StreamUpdate
from tests.platform_adapter.standin_store import ERA_HEADER, StandInStore


def run_with_store(
    store: StandInStore, test: Callable[[StoreClient], Awaitable[None]]
) -> None:
    """Run a test with a client of a stand-in store."""

    async def run() -> None:
        runner = web.ServerRunner(web.Server(store.handle))
        await runner.setup()
        tcp_site = web.TCPSite(runner, '127.0.0.1', 0)
        await tcp_site.start()
        address = f'127.0.0.1:{runner.addresses[0][1]}'
        async with aiohttp.ClientSession() as session:
            await test(StoreClient(address, session, SystemClock()))
        await runner.cleanup()

    asyncio.run(run())


def server_record(seq: int, state: str = 'ready') -> bytes:
    """Return the content of a server's record; ``seq`` counts heartbeats."""
    return json.dumps({'backend': 'b', 'state': state, 'seq': seq}).encode()


def test_first_read_returns_newest_records_then_the_tail() -> None:
    """Later reads return the records that were appended since."""
    store = StandInStore(
        {'keyed.op': [('config', b'1'), ('other', b'x'), ('config', b'2')]}
    )

    async def test(client: StoreClient) -> None:
        snapshot = (await client.read(CONFIGURATION_STREAM, -1)).unwrap()
        assert snapshot.is_whole
        assert snapshot.end == 3
        assert {entry.key: entry.content for entry in snapshot.entries} == {
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

    run_with_store(store, test)


@pytest.mark.parametrize('read_bytes', [100, 3000, 1024 * 1024])
def test_read_that_the_store_cuts_reaches_the_newest_records(
    read_bytes: int,
) -> None:
    """Guards against a host that takes the middle of a topic for its end."""
    store = StandInStore({'keyed.op': [('config', b'0')]})
    store.read_bytes = read_bytes

    async def test(client: StoreClient) -> None:
        records = store.topics['keyed.op']
        records += [('config', bytes(1000)) for _ in range(9)]
        records.append(('config', b'newest'))
        update = (await client.read(CONFIGURATION_STREAM, 1)).unwrap()
        assert update.end == len(records)
        assert update.entries[-1].content == b'newest'

    run_with_store(store, test)


def test_read_from_deleted_offset_returns_newest_records() -> None:
    """The newest record of each key replaces the deleted records."""
    store = StandInStore({'keyed.op': [('config', b'1')] * 5})
    store.first_offsets['keyed.op'] = 4

    async def test(client: StoreClient) -> None:
        update = (await client.read(CONFIGURATION_STREAM, 2)).unwrap()
        assert update.is_whole
        assert update.end == 5

    run_with_store(store, test)


def test_newest_records_are_read_from_all_pages() -> None:
    """25 keys arrive in pages of 10."""
    records = [(f's{number:03}', server_record(1)) for number in range(25)]
    store = StandInStore({'keyed.servers': records}, page_size=10)

    async def test(client: StoreClient) -> None:
        update = (await client.read(SERVERS_STREAM, -1)).unwrap()
        assert len(update.entries) == 25

    run_with_store(store, test)


def test_heartbeat_does_not_change_a_server_record() -> None:
    """Records that differ only in ``seq`` are decoded to equal contents."""
    store = StandInStore(
        {'keyed.servers': [('s', server_record(1)), ('s', server_record(2)),
                           ('s', server_record(3, 'draining')), ('s', b'\xff')]}
    )  # fmt: skip

    async def test(client: StoreClient) -> None:
        update = (await client.read(SERVERS_STREAM, 0)).unwrap()
        contents = [entry.content for entry in update.entries]
        assert contents[0] == contents[1]
        assert contents[2] != contents[1]
        assert contents[3] == b'\xff'

    run_with_store(store, test)


@pytest.mark.parametrize(
    ('status', 'failure'),
    [
        (429, SourceFailure.refused),
        (503, SourceFailure.refused),
        (500, SourceFailure.unreadable),
    ],
)
def test_failed_read_returns_an_error(
    status: int, failure: SourceFailure
) -> None:
    """A read with an error status returns a failure and does not raise."""
    store = StandInStore({'keyed.op': []}, next_statuses=[status])

    async def test(client: StoreClient) -> None:
        assert await client.read(CONFIGURATION_STREAM, 0) == Err(failure)

    run_with_store(store, test)


def test_unreachable_store_returns_an_error() -> None:
    """Reads and registrations report a refused connection."""

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            client = StoreClient('127.0.0.1:1', session, SystemClock())
            outcome = await client.read(CONFIGURATION_STREAM, 0)
            assert outcome == Err(SourceFailure.unavailable)
            assert not await client.register('h', 'a:1')

    asyncio.run(run())


def test_registered_hosts_are_listed() -> None:
    """Hosts are listed with their peer address; invalid records are not."""
    store = StandInStore()

    async def test(client: StoreClient) -> None:
        assert await client.registered_hosts() == Ok({})
        assert await client.register('h1', '10.0.0.1:7340')
        store.topics['keyed.hosts'].append(('foreign', b'not json'))
        assert await client.registered_hosts() == Ok({'h1': '10.0.0.1:7340'})

    run_with_store(store, test)


def test_kept_records_are_read_until_they_are_dropped() -> None:
    """Guards against blocks that hosts which all restart can not read."""
    store = StandInStore()

    async def test(client: StoreClient) -> None:
        assert await client.read_kept() == Ok({})
        assert await client.write_kept('7', b'\x00evidence')
        assert await client.write_kept('8', b'more')
        assert await client.read_kept() == Ok(
            {'7': b'\x00evidence', '8': b'more'}
        )
        assert await client.write_kept('7', None)
        assert await client.read_kept() == Ok({'8': b'more'})
        store.next_statuses = [503, 429]
        assert not await client.write_kept('9', b'x')
        assert await client.read_kept() == Err(SourceFailure.refused)

    run_with_store(store, test)


def run_with_restored_store(
    records: int, copied: int, again: int, position: int
) -> StreamUpdate:
    """Return what a host at a position reads after a restore."""
    store = StandInStore({'keyed.op': [('config', b'0')] * records})
    updates = []

    async def test(client: StoreClient) -> None:
        store.restore({'keyed.op': copied})
        for number in range(again):
            store.write('keyed.op', f'again {number}', b'1')
        result = await client.read(CONFIGURATION_STREAM, position, 0)
        updates.append(result.unwrap())

    run_with_store(store, test)
    return updates[0]


@pytest.mark.parametrize('again', [0, 3, 6, 12])
def test_a_restored_store_is_read_whole(again: int) -> None:
    """Guards against a tail whose offsets were given out again."""
    update = run_with_restored_store(10, 4, again, position=10)
    assert update.is_whole
    assert (update.era, update.end) == (1, 4 + again)
    assert len(update.entries) == 1 + again


@pytest.mark.parametrize('position', [-1, 1])
def test_an_answer_of_an_earlier_era_is_left_out(position: int) -> None:
    """It was under way when the store was restored."""
    store = StandInStore({'keyed.op': [('config', b'0')]})

    async def test(client: StoreClient) -> None:
        outcome = await client.read(CONFIGURATION_STREAM, position, 1)
        assert outcome == Err(SourceFailure.outdated)

    run_with_store(store, test)


class RestoredBetweenPages(StandInStore):
    """A store that is restored after the first page of a read."""

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Respond to one call."""
        if 'after' in request.rel_url.query and not self.era:
            self.restore(self.ends())
        return await super().handle(request)


def test_pages_of_two_eras_are_not_joined() -> None:
    """Guards against a list of servers that never was."""
    store = RestoredBetweenPages(
        {'keyed.servers': [(f's{number}', b'{}') for number in range(4)]},
        page_size=2,
    )

    async def test(client: StoreClient) -> None:
        outcome = await client.read(SERVERS_STREAM, -1)
        assert outcome == Err(SourceFailure.outdated)
        update = (await client.read(SERVERS_STREAM, -1)).unwrap()
        assert (update.era, len(update.entries)) == (1, 4)

    run_with_store(store, test)


@pytest.mark.parametrize('era', ['', 'x', '1.5', '-1', str(1 << 31), '9' * 99])
def test_an_era_that_can_not_be_read_fails_the_call(era: str) -> None:
    """Guards against odd numbers in the messages of the hosts."""

    async def respond(_: web.BaseRequest) -> web.Response:
        return web.json_response(
            {'items': [], 'end': 0}, headers={ERA_HEADER: era}
        )

    store = StandInStore()
    store.handle = respond  # type: ignore[method-assign]

    async def test(client: StoreClient) -> None:
        outcome = await client.read(CONFIGURATION_STREAM, -1)
        assert outcome == Err(SourceFailure.unreadable)

    run_with_store(store, test)
