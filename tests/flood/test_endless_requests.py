"""Callers that send without an end do not fill the memory of a host."""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path
from typing import Final

import pytest

from tests.flood.flooded_host import FloodedHost, request_bytes
from tests.platform_adapter.front_harness import respond_ok
from tests.platform_adapter.standin_server import response_bytes

CALLERS: Final = 48
SECONDS: Final = 2.5
MEBIBYTE: Final = 1024 * 1024
# The users' bound of a host.
MAX_MEBIBYTES: Final = 128
MIN_SENT_MEBIBYTES: Final = 10
HEAD: Final = b'POST /bad/unsafe/x HTTP/1.1\r\n'
KEPT_REQUEST: Final = request_bytes('/bad/unsafe/', 'r').replace(
    b'Connection: close\r\n', b''
)
# The first bytes of a connection, and what then follows without an end.
ENDLESS: Final[dict[str, tuple[bytes, bytes]]] = {
    'requests that are not waited for': (b'', KEPT_REQUEST * 200),
    'short requests': (b'', b'G / HTTP/1.1\r\nHost:\r\n\r\n' * 2000),
    'header lines': (HEAD, b'X-Filler: y\r\n' * 1000),
    'long header lines': (HEAD, (b'X: ' + b'y' * 16000 + b'\r\n') * 4),
    'one header': (HEAD + b'X-Filler: ', b'y' * 65536),
    'bytes that are no request': (b'', b'\x00\xff' * 32768),
}  # fmt: skip


async def respond_late(
    head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Keep the callers waiting."""
    await asyncio.sleep(1.5)
    writer.write(response_bytes(head))


@pytest.mark.parametrize('name', ENDLESS)
def test_endless_requests_leave_a_host_its_memory(
    name: str, tmp_path: Path
) -> None:
    """Guards against a host that ends, and all its calls with it."""
    first, rest = ENDLESS[name]
    sent = 0

    async def flood(host: FloodedHost, stop_at: float) -> None:
        nonlocal sent
        while time.monotonic() < stop_at:
            writer = await host.open_silent_caller()
            writer.write(first)
            with contextlib.suppress(TimeoutError, OSError):
                async with asyncio.timeout(stop_at - time.monotonic()):
                    while True:
                        writer.write(rest)
                        await writer.drain()
                        sent += len(rest)
                        await asyncio.sleep(0)
            writer.transport.abort()

    async def call_soundly(host: FloodedHost, stop_at: float) -> None:
        count = 0
        while time.monotonic() < stop_at:
            count += 1
            answer = await host.call(
                request_bytes('/good/unsafe/', f'g{count}'), 5
            )
            assert answer.startswith(b'HTTP/1.1 200')

    async def run() -> None:
        host = FloodedHost(tmp_path, 'unsafe')
        await host.start({'bad': respond_late, 'good': respond_ok})
        try:
            host.forget_peak()
            stop_at = time.monotonic() + SECONDS
            await asyncio.gather(
                call_soundly(host, stop_at),
                *(flood(host, stop_at) for _ in range(CALLERS)),
            )
            peak = host.peak_mebibytes()
        finally:
            await host.stop()
        assert not host.record.ended_alone
        assert peak < MAX_MEBIBYTES

    asyncio.run(run())
    assert sent > MIN_SENT_MEBIBYTES * MEBIBYTE
