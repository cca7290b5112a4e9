"""Tests of the stand-in store: eras, and what a restore takes back."""

from __future__ import annotations

import asyncio
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web

from burdockledge.platform._store_records import encode_record
from tests.platform_adapter.standin_store import ERA_HEADER, StandInStore

TOPIC = 'keyed.op'
READ = f'log-read?topic={TOPIC}&part=0&from='
NEWEST = f'log-newest?topic={TOPIC}&part=0'
APPEND = f'log-append?topic={TOPIC}&part=0'


class Caller:
    """Calls the store and returns whole responses."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Create a caller of one store."""
        self._session = session
        self._address = address

    async def call(
        self, path: str, body: bytes | AsyncIterator[bytes] | None = None
    ) -> aiohttp.ClientResponse:
        """Read, or append if there is a body."""
        response = await self._session.request(
            'GET' if body is None else 'POST',
            f'http://{self._address}/burdockledge/{path}',
            data=body,
        )
        await response.read()
        return response


def run_with_caller(
    store: StandInStore, test: Callable[[Caller], Awaitable[None]]
) -> None:
    """Run a test with a caller of a store that listens on loopback."""

    async def run() -> None:
        runner = web.ServerRunner(web.Server(store.handle))
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        address = f'127.0.0.1:{runner.addresses[0][1]}'
        async with aiohttp.ClientSession() as session:
            await test(Caller(session, address))
        await runner.cleanup()

    asyncio.run(run())


@pytest.mark.parametrize(
    ('path', 'body', 'refusal', 'status'),
    [
        (f'{READ}0', None, None, 200),
        (NEWEST, None, None, 200),
        (APPEND, encode_record('config', b'2'), None, 200),
        (f'{READ}9', None, None, 410),
        ('log-newest?topic=keyed.none&part=0', None, None, 404),
        (f'{READ}0', None, 429, 429),
        (NEWEST, None, 503, 503),
        (APPEND, encode_record('config', b'2'), 503, 503),
    ],
)
def test_all_responses_name_the_era(
    path: str, body: bytes | None, refusal: int | None, status: int
) -> None:
    """Refusals name it, too; it rises by one with each restore."""
    store = StandInStore({TOPIC: [('config', b'1')]})

    async def test(caller: Caller) -> None:
        for era in (0, 1, 2):
            store.next_statuses = [] if refusal is None else [refusal]
            response = await caller.call(path, body)
            assert response.status == status
            assert response.headers[ERA_HEADER] == str(era)
            store.restore(store.ends())

    run_with_caller(store, test)


def test_offsets_are_given_out_again_after_a_restore() -> None:
    """A read from an offset that is not there is refused with the first."""
    store = StandInStore({TOPIC: []})

    async def test(caller: Caller) -> None:
        for content in (b'1', b'2', b'3'):
            await caller.call(APPEND, encode_record('config', content))
        store.restore({TOPIC: 1})
        lost = await caller.call(f'{READ}3')
        assert lost.status == 410
        assert await lost.json() == {'first': 0}
        appended = await caller.call(APPEND, encode_record('config', b'4'))
        assert await appended.json() == {'offset': 1, 'end': 2}
        tail = await caller.call(f'{READ}2')
        assert struct.unpack('>QQ', await tail.read()) == (2, 0)

    run_with_caller(store, test)


def test_restore_takes_back_removals_topics_and_deleted_history() -> None:
    """What was written since the copy is gone, whoever wrote it."""
    store = StandInStore({'keyed.servers': []})
    store.write('keyed.servers', 's1', b'ready')
    copied_at = time.monotonic()
    ends = store.ends()
    store.write('keyed.servers', 's1', b'')
    store.write('keyed.hosts', 'h', b'address')
    store.raw_items['keyed.servers', 1] = 'odd'
    store.first_offsets['keyed.servers'] = 2
    assert store.ends_at(copied_at) == {**ends, 'keyed.hosts': 0}
    lost = store.restore(ends)
    assert lost == {
        'keyed.servers': [('s1', b'')],
        'keyed.hosts': [('h', b'address')],
    }
    assert store.topics == {'keyed.servers': [('s1', b'ready')]}
    assert not store.raw_items
    assert store.first_offsets == {'keyed.servers': 1}


def test_copies_are_found_by_time_in_each_era() -> None:
    """A second restore may go back further than the first one."""
    store = StandInStore()
    times = [time.monotonic()]
    for number in range(4):
        store.write(TOPIC, 'config', str(number).encode())
        times.append(time.monotonic())
    store.restore(store.ends_at(times[3]))
    store.write(TOPIC, 'config', b'again')
    assert store.ends_at(time.monotonic()) == {TOPIC: 4}
    store.restore(store.ends_at(times[2]))
    assert [content for _, content in store.topics[TOPIC]] == [b'0', b'1']
    assert store.era == 2


def test_one_of_two_appends_at_an_end_is_refused() -> None:
    """Guards against a check of the end before the record has arrived."""
    store = StandInStore()

    async def slow_body() -> AsyncIterator[bytes]:
        record = encode_record('k', b'v')
        yield record[:1]
        await asyncio.sleep(0.1)
        yield record[1:]

    async def test(caller: Caller) -> None:
        answers = await asyncio.gather(
            *(caller.call(f'{APPEND}&at=0', slow_body()) for _ in range(2))
        )
        assert sorted(answer.status for answer in answers) == [200, 412]

    run_with_caller(store, test)
