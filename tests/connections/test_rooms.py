"""Which requests get room, and what happens to those that do not."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import pytest
from result import Err, Result

from burdockledge.clock import VirtualTimeLoop
from burdockledge.connections import (
    CALL_BYTES,
    WAITING_BYTES,
    Room,
    RoomKeeper,
    RoomRefusal,
)

MEBIBYTE: Final = 1024 * 1024
LIMIT: Final = 8 * MEBIBYTE
# Two thirds of what large bodies may take.
LARGE: Final = 4 * MEBIBYTE
SMALL: Final = 1000
Outcome = Result[Room[str], RoomRefusal]


class Requests:
    """Requests by name, and the keeper that they ask for room."""

    def __init__(self, other_bytes: int = 0) -> None:
        """Begin without requests."""
        self.loop = asyncio.get_running_loop()
        self.closed: list[str] = []
        self.rooms: dict[str, Room[str]] = {}
        self.keeper: RoomKeeper[str] = RoomKeeper(
            self.loop.time, LIMIT, lambda: other_bytes, self._close, int
        )

    async def take(
        self, name: str, size: int, *, is_whole: bool = False
    ) -> bool:
        """Return whether a request got room."""
        taken = await self.keeper.take(name, size, is_whole=is_whole)
        if isinstance(taken, Err):
            assert 0.5 <= taken.err_value.retry_after_seconds <= 10
            return False
        self.rooms[name] = taken.ok_value
        return True

    def _close(self, name: str) -> None:
        self.closed.append(name)
        self.loop.call_soon(self.rooms[name].close)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario in virtual time."""
    loop = VirtualTimeLoop()
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


@pytest.mark.parametrize(
    ('held', 'other_bytes', 'size', 'is_whole', 'expected'),
    [
        pytest.param((), 0, LARGE, False, True, id='in calm'),
        pytest.param((), 0, 2 * LIMIT, False, True, id='alone'),
        pytest.param((), LIMIT, SMALL, True, True, id='others hold much'),
        pytest.param((LARGE,), 0, LARGE, False, False, id='a second large one'),
        pytest.param((LARGE,), 0, SMALL, True, True, id='a whole one'),
        pytest.param(
            (LARGE, LARGE // 3), 0, LARGE // 3, True, True, id='kept for whole'
        ),
        pytest.param(
            (LARGE, LARGE // 3), 0, LARGE // 3, False, False, id='not kept'
        ),
    ],
)
def test_room_is_given(
    held: tuple[int, ...],
    other_bytes: int,
    size: int,
    is_whole: bool,
    expected: bool,
) -> None:
    """Guards against bodies that together exceed the memory."""

    async def scenario() -> None:
        requests = Requests(other_bytes)
        for number, held_bytes in enumerate(held):
            assert await requests.take(str(number), held_bytes, is_whole=False)
            requests.rooms[str(number)].is_receiving = False
        assert await requests.take('own', size, is_whole=is_whole) is expected
        for room in requests.rooms.values():
            room.close()
        assert requests.keeper.taken_bytes == 0
        assert requests.keeper.request_count == 0
        assert requests.keeper.waiting_bytes == 0

    run(scenario)


@pytest.mark.parametrize(
    ('received', 'closed', 'expected'),
    [
        pytest.param(0, ['slow'], True, id='stalled'),
        pytest.param(5_000, [], False, id='grows'),
    ],
)
def test_a_body_that_does_not_grow_makes_room(
    received: int, closed: list[str], expected: bool
) -> None:
    """Guards against crowds that stop short of their end, and for the slow."""

    async def scenario() -> None:
        requests = Requests()
        assert await requests.take('slow', LARGE)
        newcomer = asyncio.ensure_future(requests.take('new', LARGE))
        while not newcomer.done():
            await asyncio.sleep(0.1)
            requests.rooms['slow'].note_received(received)
        assert newcomer.result() is expected
        assert requests.closed == closed

    run(scenario)


def test_whole_requests_go_first_and_a_cancelled_one_takes_nothing() -> None:
    """Guards against small calls that wait behind the bodies of a crowd."""

    async def scenario() -> None:
        requests = Requests()
        assert await requests.take('held', 2 * LIMIT)
        requests.rooms['held'].is_receiving = False
        order = ('large', 'gone', 'whole')
        tasks = {
            name: asyncio.ensure_future(
                requests.take(name, LARGE, is_whole=name == 'whole')
            )
            for name in order
        }
        await asyncio.sleep(0.2)
        requests.rooms['held'].close()
        tasks['gone'].cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)
        assert set(requests.rooms) == {'held', 'whole'}
        assert requests.keeper.taken_bytes == LARGE + CALL_BYTES

    run(scenario)


def test_a_full_queue_refuses_the_last_body_for_a_whole_request() -> None:
    """Guards against requests that fill the memory as they wait."""

    async def scenario() -> None:
        requests = Requests()
        assert await requests.take('held', 2 * LIMIT)
        requests.rooms['held'].is_receiving = False
        places = LIMIT // 4 // WAITING_BYTES
        tasks = [
            asyncio.ensure_future(requests.take(f'{number}', LARGE))
            for number in range(places + 1)
        ]
        await asyncio.sleep(0.1)
        assert [task.done() for task in tasks].index(True) == places
        whole = asyncio.ensure_future(
            requests.take('whole', SMALL, is_whole=True)
        )
        await asyncio.sleep(0.1)
        assert tasks[places - 1].done()
        requests.rooms['held'].close()
        assert await whole
        assert await tasks[0]
        await asyncio.gather(*tasks)

    run(scenario)


def test_of_bodies_that_wait_to_grow_the_oldest_is_completed() -> None:
    """Guards against bodies of unknown length that wait for each other."""

    async def scenario() -> None:
        requests = Requests()
        names = ('old', 'young')
        for name in names:
            assert await requests.take(name, LARGE // 2)
        rooms = [requests.rooms[name] for name in names]
        grown = [
            asyncio.ensure_future(requests.keeper.grow(room, LARGE))
            for room in rooms
        ]
        refusal = (await grown[1]).unwrap_err()
        assert refusal.retry_after_seconds > 0
        rooms[1].close()
        assert isinstance(await grown[0], Err) is False
        assert rooms[0].size == LARGE // 2 + CALL_BYTES + LARGE

    run(scenario)


@pytest.mark.parametrize('is_answered', [True, False])
def test_a_body_counts_until_it_is_kept_no_longer(is_answered: bool) -> None:
    """Guards against a body that is still sent after its answer."""

    async def scenario() -> None:
        requests = Requests()
        assert await requests.take('a', LARGE)
        room = requests.rooms['a']
        end_body = room.keep_body()
        if is_answered:
            room.close()
            assert requests.keeper.taken_bytes == LARGE
        end_body()
        expected = 0 if is_answered else CALL_BYTES
        assert requests.keeper.taken_bytes == expected

    run(scenario)


def test_a_whole_request_that_fits_does_not_wait_behind_a_body() -> None:
    """Guards against small calls that are late though there is room."""

    async def scenario() -> None:
        requests = Requests()
        assert await requests.take('held', LARGE)
        requests.rooms['held'].is_receiving = False
        body = asyncio.ensure_future(requests.take('body', LARGE))
        await asyncio.sleep(0)
        assert requests.keeper.take_now('whole', SMALL, is_whole=True)
        assert requests.keeper.take_now('other', SMALL, is_whole=False) is None
        assert not await body

    run(scenario)
