"""Small hostile crowds leave a host its memory and its descriptors."""

from __future__ import annotations

import asyncio
import itertools
import time
from pathlib import Path
from typing import Final

import pytest

from tests.flood.endless_answers import endless_handler, events
from tests.flood.flooded_host import FloodedHost, request_bytes
from tests.flood.hostile_crowds import CROWDS, Crowd, hold_connection
from tests.platform_adapter.front_harness import respond_ok
from tests.platform_adapter.standin_server import Handler, response_bytes
from tests.soak._hosts import PORTS

MEMORY_MEBIBYTES: Final = 80
MAX_DESCRIPTORS: Final = 400
# The crowds stay this long; the host closes late heads after 3 s.
CROWD_SECONDS: Final = 2.5
POLL_SECONDS: Final = 0.05
# The last call may wait for what the crowd has left to do.
ANSWER_SECONDS: Final = 10
LARGE_BYTES: Final = 3 * 1024 * 1024
HANDLERS: Final[dict[str, Handler]] = {
    'good': respond_ok,
    'events': endless_handler(events, lambda size: None),
}


async def respond_largely(
    head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send a large answer."""
    writer.write(response_bytes(head, b'z' * LARGE_BYTES))


def crowd_id(crowd: Crowd) -> str:
    """Return the name of a crowd and of the listener that it meets."""
    return f'{crowd.name}, {crowd.port}'


async def note_most_descriptors(host: FloodedHost, found: list[int]) -> None:
    """Append the number of open descriptors again and again."""
    while True:
        found.append(host.open_descriptors())
        await asyncio.sleep(POLL_SECONDS)


@pytest.mark.parametrize('crowd', CROWDS, ids=crowd_id)
def test_a_hostile_crowd_leaves_a_host_its_resources(
    crowd: Crowd, tmp_path: Path
) -> None:
    """Guards against a host that a small crowd fills or occupies."""

    async def run() -> tuple[float, float, int, bytes]:
        host = FloodedHost(
            tmp_path,
            'unsafe',
            {'memory_mb': MEMORY_MEBIBYTES, 'max_fds': MAX_DESCRIPTORS},
        )
        await host.start({**HANDLERS, 'large': respond_largely})
        try:
            calm = host.resident_mebibytes()
            host.forget_peak()
            descriptors: list[int] = []
            watch = asyncio.create_task(
                note_most_descriptors(host, descriptors)
            )
            tasks = [
                asyncio.create_task(
                    hold_connection(host.ip, PORTS[crowd.port], crowd)
                )
                for _ in range(crowd.count)
            ]
            await asyncio.sleep(CROWD_SECONDS)
            answer = await call_beside(host)
            watch.cancel()
            for task in tasks:
                task.cancel()
            await asyncio.gather(watch, *tasks, return_exceptions=True)
            peak = host.peak_mebibytes()
        finally:
            await host.stop()
        assert not host.record.ended_alone
        return calm, peak, max(descriptors), answer

    calm, peak, descriptors, answer = asyncio.run(run())
    print(
        f'{crowd_id(crowd)}: calm {calm:.0f} MiB, peak {peak:.0f} MiB, '
        f'{descriptors} descriptors, answer {answer[:12]!r}'
    )
    assert peak < MEMORY_MEBIBYTES
    assert descriptors < MAX_DESCRIPTORS
    assert answer.startswith(b'HTTP/1.1 200')


async def call_beside(host: FloodedHost) -> bytes:
    """Call until an answer comes, while the crowd stays."""
    stop_at = time.monotonic() + ANSWER_SECONDS
    for number in itertools.count():
        answer = await host.call(request_bytes('/good/unsafe/', f'g{number}'))
        if answer or time.monotonic() > stop_at:
            return answer
    raise AssertionError
