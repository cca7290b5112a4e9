"""The memory that the large answers of a host share."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from burdockledge.relay import IncompleteResponseError, OversizedResponseError
from burdockledge.relay._answer_memory import (
    MAX_BODY_BYTES,
    MAX_LARGE_BYTES,
    MAX_SMALL_BYTES,
    AnswerMemory,
    HeldAnswer,
    read_body,
)
from tests.relay.fakes import FakeResponse

LARGE = b'z' * (MAX_SMALL_BYTES + 1)
LARGEST_COUNT = MAX_LARGE_BYTES // MAX_BODY_BYTES


def run_with_full_memory(
    test: Callable[[AnswerMemory, list[HeldAnswer]], Awaitable[None]],
) -> None:
    """Run a test while large answers hold all the memory."""

    async def run() -> None:
        memory = AnswerMemory()
        holders = [HeldAnswer(memory) for _ in range(LARGEST_COUNT)]
        for holder in holders:
            await holder.grow(MAX_SMALL_BYTES + 1, MAX_BODY_BYTES)
        assert not memory.free
        await test(memory, holders)
        for holder in holders:
            holder.shrink(0)
        assert memory.free == MAX_LARGE_BYTES

    asyncio.run(run())


async def read(memory: AnswerMemory, response: FakeResponse) -> bytes:
    """Read a body that is dropped at once."""
    with HeldAnswer(memory) as held:
        return await read_body(response, held)


def test_small_answers_do_not_wait_for_large_ones() -> None:
    """Guards against a server without an end that holds up all others."""

    async def test(memory: AnswerMemory, _: list[HeldAnswer]) -> None:
        small = LARGE[:MAX_SMALL_BYTES]
        assert await read(memory, FakeResponse(body=(small,))) == small

    run_with_full_memory(test)


def test_large_answers_wait_in_turn() -> None:
    """Guards against memory without a bound, and against a lost turn."""

    async def test(memory: AnswerMemory, holders: list[HeldAnswer]) -> None:
        reads = [
            asyncio.ensure_future(read(memory, FakeResponse(body=(LARGE,))))
            for _ in range(3)
        ]
        await asyncio.sleep(0.01)
        assert not any(one.done() for one in reads)
        reads[0].cancel()
        await asyncio.sleep(0.01)
        holders[0].shrink(0)
        assert await asyncio.gather(*reads[1:]) == [LARGE, LARGE]

    run_with_full_memory(test)


def test_memory_of_a_call_that_is_cancelled_in_its_turn_is_free() -> None:
    """Guards against memory that nobody gives back."""

    async def test(memory: AnswerMemory, holders: list[HeldAnswer]) -> None:
        reading = asyncio.ensure_future(
            read(memory, FakeResponse(body=(LARGE,)))
        )
        await asyncio.sleep(0.01)
        holders[0].shrink(0)
        reading.cancel()
        await asyncio.wait((reading,))
        assert reading.cancelled()
        assert memory.free == MAX_BODY_BYTES

    run_with_full_memory(test)


def test_a_whole_answer_keeps_only_its_own_size() -> None:
    """Guards against callers who read slowly and hold up large answers."""

    async def run() -> None:
        memory = AnswerMemory()
        with HeldAnswer(memory) as held:
            await read_body(FakeResponse(body=(LARGE,)), held)
            assert memory.free == MAX_LARGE_BYTES - len(LARGE)
        assert memory.free == MAX_LARGE_BYTES

    asyncio.run(run())


@pytest.mark.parametrize(
    ('body', 'length', 'error'),
    [
        ((b'z' * MAX_BODY_BYTES, b'z'), None, OversizedResponseError),
        ((), MAX_BODY_BYTES + 1, OversizedResponseError),
        ((LARGE, 0.01), None, IncompleteResponseError),
    ],
)
def test_memory_of_a_failed_answer_is_free(
    body: tuple[bytes | float, ...],
    length: int | None,
    error: type[Exception],
) -> None:
    """Guards against memory that each failure takes."""

    async def run() -> None:
        memory = AnswerMemory()
        response = FakeResponse(body=body, is_cut_off=True)
        response.length = length
        with pytest.raises(error):
            await read(memory, response)
        assert memory.free == MAX_LARGE_BYTES

    asyncio.run(run())
