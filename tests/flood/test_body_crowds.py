"""Crowds with bodies leave a host its memory, also once they are gone."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Final

import pytest

from tests.flood.body_crowds import (
    BODY_CROWDS,
    HANDLERS,
    call_until_answered,
    crowded,
    upload,
)
from tests.flood.flooded_host import FloodedHost, request_bytes
from tests.flood.hostile_crowds import Crowd
from tests.flood.test_uncontrolled_callers import (
    crowd_id,
    note_most_descriptors,
)

# The memory of the smallest host, and the descriptors for 500 callers.
MEMORY_MEBIBYTES: Final = 88
MAX_DESCRIPTORS: Final = 1400
ANSWER_SECONDS: Final = 20
UPLOAD_BYTES: Final = 1_000_000
ROUNDS: Final = 5
SETTLE_SECONDS: Final = 3
# Of the memory beyond what the host holds in calm, after crowds have left.
MAX_KEPT_SHARE: Final = 0.5
# The same for what the host does not count while a crowd stays.
MAX_UNCOUNTED_SHARE: Final = 0.3


KEPT_CROWDS: Final = (BODY_CROWDS[0], BODY_CROWDS[4])


def make_host(folder: Path) -> FloodedHost:
    """Return a host with the limits of these tests."""
    return FloodedHost(
        folder,
        'unsafe',
        {'memory_mb': MEMORY_MEBIBYTES, 'max_fds': MAX_DESCRIPTORS},
    )


async def call_small(host: FloodedHost) -> bytes:
    """Make an ordinary call."""
    return await host.call(request_bytes('/good/unsafe/', 'g', body=b'z' * 99))


@pytest.mark.parametrize('crowd', BODY_CROWDS, ids=crowd_id)
def test_a_crowd_with_bodies_leaves_a_host_its_resources(
    crowd: Crowd, tmp_path: Path
) -> None:
    """Guards against a host that is killed for its memory."""

    async def run() -> None:
        host = make_host(tmp_path)
        await host.start(HANDLERS)
        descriptors: list[int] = []
        watch = asyncio.create_task(note_most_descriptors(host, descriptors))
        try:
            calm = host.resident_mebibytes()
            host.forget_peak()
            async with crowded(host, crowd):
                answer = await call_until_answered(
                    lambda: call_small(host), ANSWER_SECONDS
                )
            uploaded = await call_until_answered(
                lambda: upload(host, UPLOAD_BYTES), ANSWER_SECONDS
            )
            peak = host.peak_mebibytes()
        finally:
            watch.cancel()
            await host.stop()
        print(
            f'{crowd_id(crowd)}: calm {calm:.0f} MiB, peak {peak:.0f} MiB, '
            f'{max(descriptors)} descriptors, {answer[:12]!r}, '
            f'{uploaded[:12]!r}'
        )
        assert not host.record.ended_alone
        assert peak < MEMORY_MEBIBYTES
        assert max(descriptors) < MAX_DESCRIPTORS
        assert answer.startswith(b'HTTP/1.1 200')
        assert uploaded.startswith(b'HTTP/1.1 200')

    asyncio.run(run())


@pytest.mark.parametrize('crowd', KEPT_CROWDS, ids=crowd_id)
def test_the_memory_of_crowds_that_left_is_free_again(
    crowd: Crowd, tmp_path: Path
) -> None:
    """Guards against a host that keeps what crowds have filled."""

    async def run() -> None:
        host = make_host(tmp_path)
        await host.start(HANDLERS)
        kept: list[float] = []
        try:
            calm = host.anonymous_mebibytes()
            room = MEMORY_MEBIBYTES - host.resident_mebibytes()
            for _ in range(ROUNDS):
                async with crowded(host, crowd):
                    """Let the crowd leave."""
                await asyncio.sleep(SETTLE_SECONDS)
                kept.append(host.anonymous_mebibytes() - calm)
        finally:
            await host.stop()
        print(
            f'{crowd_id(crowd)}: calm {calm:.0f} MiB, room {room:.0f} MiB, '
            f'kept {[round(size) for size in kept]} MiB'
        )
        assert not host.record.ended_alone
        assert max(kept) < room * MAX_KEPT_SHARE

    asyncio.run(run())


@pytest.mark.parametrize('crowd', KEPT_CROWDS, ids=crowd_id)
def test_the_memory_of_a_crowd_is_counted(crowd: Crowd, tmp_path: Path) -> None:
    """Guards against a budget that counts less than the process holds."""

    async def run() -> None:
        host = make_host(tmp_path)
        await host.start(HANDLERS)
        try:
            calm = host.anonymous_mebibytes()
            room = MEMORY_MEBIBYTES - host.resident_mebibytes()
            uncounted: list[float] = []
            async with crowded(host, crowd):
                # Freed memory is returned after a while.
                for _ in range(SETTLE_SECONDS):
                    growth = host.anonymous_mebibytes() - calm
                    uncounted.append(growth - await host.counted_mebibytes())
                    await asyncio.sleep(1)
        finally:
            await host.stop()
        print(
            f'{crowd_id(crowd)}: room {room:.0f} MiB, uncounted '
            f'{[round(size) for size in uncounted]} MiB'
        )
        assert not host.record.ended_alone
        assert min(uncounted) < room * MAX_UNCOUNTED_SHARE

    asyncio.run(run())
