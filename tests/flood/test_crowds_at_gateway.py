"""Small hostile crowds leave ``serve`` its memory and its descriptors."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Final

import pytest

from tests.flood.crowded_gateway import HEALTH_REQUEST, CrowdedGateway
from tests.flood.hostile_crowds import (
    Crowd,
    endless,
    hold_connection,
    once,
    unfinished_head,
)

# The least of the process in calm is 56 MiB.
MEMORY_MEBIBYTES: Final = 80
MAX_DESCRIPTORS: Final = 400
CROWD_SECONDS: Final = 2.5
ANSWER_SECONDS: Final = 10
POST: Final = b'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n'
CROWDS: Final = (
    Crowd('unfinished heads', 'serve', 320, once(unfinished_head(60 * 1024))),
    Crowd('empty lines', 'serve', 48, endless(b'', b'\r\n' * 8192)),
    Crowd(
        'half bodies',
        'serve',
        320,
        once(POST + b'Content-Length: 400000\r\n\r\n' + b'z' * 300_000),
    ),
    Crowd(
        'requests sent ahead',
        'serve',
        320,
        once(HEALTH_REQUEST.replace(b'Connection: close\r\n', b'') * 9000),
    ),
    Crowd(
        'one-byte chunks',
        'serve',
        24,
        endless(
            POST + b'Transfer-Encoding: chunked\r\n\r\n',
            b'1\r\nx\r\n' * 4000,
        ),
    ),
    Crowd('idle connections', 'serve', 420, once(b'')),
)


@pytest.mark.parametrize('crowd', CROWDS, ids=lambda crowd: crowd.name)
def test_a_hostile_crowd_leaves_a_gateway_its_resources(
    crowd: Crowd, tmp_path: Path
) -> None:
    """Guards against a gateway that a small crowd fills or occupies."""

    async def run() -> tuple[float, float, int, bytes]:
        gateway = CrowdedGateway(
            tmp_path,
            {'memory_mb': MEMORY_MEBIBYTES, 'max_fds': MAX_DESCRIPTORS},
        )
        await gateway.start()
        try:
            calm = gateway.mebibytes('VmRSS')
            tasks = [
                asyncio.create_task(
                    hold_connection(gateway.ip, gateway.port, crowd)
                )
                for _ in range(crowd.count)
            ]
            descriptors = 0
            stop_at = time.monotonic() + CROWD_SECONDS
            while time.monotonic() < stop_at:
                descriptors = max(descriptors, gateway.open_descriptors())
                await asyncio.sleep(0.05)
            answer = b''
            stop_at = time.monotonic() + ANSWER_SECONDS
            while not answer and time.monotonic() < stop_at:
                answer = await gateway.call(HEALTH_REQUEST)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            assert gateway.process.returncode is None
            return calm, gateway.mebibytes('VmHWM'), descriptors, answer
        finally:
            await gateway.stop()

    calm, peak, descriptors, answer = asyncio.run(run())
    print(
        f'{crowd.name}: calm {calm:.0f} MiB, peak {peak:.0f} MiB, '
        f'{descriptors} descriptors, answer {answer[:12]!r}'
    )
    assert peak < MEMORY_MEBIBYTES
    assert descriptors < MAX_DESCRIPTORS
    assert answer.startswith(b'HTTP/1.1 200')
