"""Kept connections of callers near the end of their idle time."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Final

import pytest

from burdockledge.calls import CallerLimits
from tests.platform_adapter.front_harness import (
    FrontHarness,
    request_bytes,
    respond_ok,
    run_with_front,
)
from tests.platform_adapter.test_front_stop import connect, read_to_end

IDLE_SECONDS: Final = 0.6
# Callers use a connection again after up to this share of the limit.
USED_SHARE: Final = 0.8
LIMITS: Final = CallerLimits(
    header_timeout_seconds=1.0, idle_timeout_seconds=IDLE_SECONDS
)
LAST: Final = 'Connection: close\r\n'


@pytest.mark.parametrize('is_first', [True, False])
@pytest.mark.parametrize('sent_bytes', [1, 40, len(request_bytes()) - 1])
def test_a_request_that_arrives_as_the_idle_time_ends_is_answered(
    sent_bytes: int, is_first: bool
) -> None:
    """Guards against a close under a request whose head is in time."""

    async def test(harness: FrontHarness) -> None:
        harness.front.apply_limits(LIMITS)
        reader, writer = await connect(harness)
        if not is_first:
            writer.write(request_bytes())
            await reader.readuntil(b'fine')
        await asyncio.sleep(USED_SHARE * IDLE_SECONDS)
        request = request_bytes(extra=LAST)
        writer.write(request[:sent_bytes])
        await asyncio.sleep(0.5 * IDLE_SECONDS)
        writer.write(request[sent_bytes:])
        assert (await read_to_end(reader)).endswith(b'fine')

    run_with_front(respond_ok, test)


def test_a_head_that_stops_near_the_end_of_the_idle_time_gets_408() -> None:
    """The limit on heads still holds."""

    async def test(harness: FrontHarness) -> None:
        harness.front.apply_limits(LIMITS)
        reader, writer = await connect(harness)
        await asyncio.sleep(USED_SHARE * IDLE_SECONDS)
        writer.write(request_bytes()[:40])
        assert b' 408 ' in await read_to_end(reader)

    run_with_front(respond_ok, test)


@pytest.mark.parametrize('is_first', [True, False])
def test_a_longer_idle_time_holds_for_open_connections(is_first: bool) -> None:
    """Guards against a close under callers that know the newer limit."""
    longer = replace(LIMITS, idle_timeout_seconds=2 * IDLE_SECONDS)

    async def test(harness: FrontHarness) -> None:
        harness.front.apply_limits(LIMITS)
        reader, writer = await connect(harness)
        if not is_first:
            writer.write(request_bytes())
            await reader.readuntil(b'fine')
        harness.front.apply_limits(longer)
        await asyncio.sleep(USED_SHARE * longer.idle_timeout_seconds)
        writer.write(request_bytes())
        await reader.readuntil(b'fine')
        idle_since = asyncio.get_running_loop().time()
        assert await read_to_end(reader) == b''
        idle_seconds = asyncio.get_running_loop().time() - idle_since
        assert idle_seconds > USED_SHARE * longer.idle_timeout_seconds

    run_with_front(respond_ok, test)
