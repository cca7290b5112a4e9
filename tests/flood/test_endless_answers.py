"""Servers that send without an end do not fill the memory of a host."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

import pytest

from burdockledge.http_client import READ_BYTES
from burdockledge.relay import MAX_LARGE_BYTES, MAX_SMALL_BYTES
from tests.flood.endless_answers import ENDLESS, endless_handler, events
from tests.flood.flooded_host import FloodedHost, request_bytes
from tests.platform_adapter.front_harness import respond_ok
from tests.platform_adapter.test_hostile_servers import Pieces

CALLS: Final = 48
SECONDS: Final = 2.5
MEBIBYTE: Final = 1024 * 1024
# The users' bound of a host.
MAX_MEBIBYTES: Final = 128
# What the limits of the product add up to for some calls at once; a buffer that
# grows may have twice the memory of its bytes.
MAX_GROWTH_MEBIBYTES: Final = (
    2
    * (MAX_LARGE_BYTES + CALLS * (MAX_SMALL_BYTES + 3 * READ_BYTES))
    / MEBIBYTE
)
MIN_SENT_MEBIBYTES: Final = 10

Flood = Callable[[FloodedHost, int, float], Awaitable[None]]


async def call_until(host: FloodedHost, number: int, stop_at: float) -> None:
    """Send one call after another to the server that has no end."""
    count = 0
    while time.monotonic() < stop_at:
        count += 1
        await host.call(
            request_bytes(f'/bad/{host.kind}/', f'b{number}-{count}'), 3
        )


async def call_without_reading(
    host: FloodedHost, number: int, stop_at: float
) -> None:
    """Let the host answer into a connection that is not read."""
    while time.monotonic() < stop_at:
        writer = await host.open_silent_caller()
        writer.write(request_bytes(f'/bad/{host.kind}/', f's{number}'))
        await asyncio.sleep(SECONDS / 2)
        writer.transport.abort()


async def leave_early(host: FloodedHost, number: int, stop_at: float) -> None:
    """Leave as the answer begins."""
    while time.monotonic() < stop_at:
        writer = await host.open_silent_caller()
        writer.write(request_bytes(f'/bad/{host.kind}/', f'l{number}'))
        await asyncio.sleep(0.1)
        writer.transport.abort()


def measure(
    folder: Path, pieces: Pieces, kind: str, flood: Flood
) -> tuple[float, float]:
    """
    Flood a host; return its peak memory and the growth to it, in MiB.

    Meanwhile every call to a sound server must succeed.
    """
    sent = 0

    def on_sent(size: int) -> None:
        nonlocal sent
        sent += size

    async def call_sound_server(host: FloodedHost, stop_at: float) -> None:
        count = 0
        while time.monotonic() < stop_at:
            count += 1
            answer = await host.call(
                request_bytes('/good/unsafe/', f'g{count}'), 5
            )
            assert answer.startswith(b'HTTP/1.1 200')
            await asyncio.sleep(0.02)

    async def run() -> tuple[float, float]:
        host = FloodedHost(folder, kind)
        await host.start(
            {'bad': endless_handler(pieces, on_sent), 'good': respond_ok}
        )
        try:
            before = host.resident_mebibytes()
            host.forget_peak()
            stop_at = time.monotonic() + SECONDS
            await asyncio.gather(
                call_sound_server(host, stop_at),
                *(flood(host, number, stop_at) for number in range(CALLS)),
            )
            peak = host.peak_mebibytes()
        finally:
            await host.stop()
        assert not host.record.ended_alone
        assert sent > MIN_SENT_MEBIBYTES * MEBIBYTE
        return peak, peak - before

    return asyncio.run(run())


@pytest.mark.parametrize(('pieces', 'kind'), ENDLESS)
def test_endless_answers_leave_a_host_its_memory(
    pieces: Pieces, kind: str, tmp_path: Path
) -> None:
    """Guards against a host that ends, and all its calls with it."""
    peak, growth = measure(tmp_path, pieces, kind, call_until)
    assert peak < MAX_MEBIBYTES
    assert growth < MAX_GROWTH_MEBIBYTES


@pytest.mark.parametrize('flood', [call_without_reading, leave_early])
def test_endless_streams_of_absent_callers_leave_a_host_its_memory(
    flood: Flood, tmp_path: Path
) -> None:
    """Guards against events that are kept for callers who do not read."""
    peak, growth = measure(tmp_path, events, 'streaming', flood)
    assert peak < MAX_MEBIBYTES
    assert growth < MAX_GROWTH_MEBIBYTES
