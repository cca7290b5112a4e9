"""Calls of a host that gets a fifth of a processor while it is observed."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from typing import Final

import pytest

from tests.platform_adapter.front_harness import request_bytes
from tests.platform_adapter.standin_server import send_and_receive

# A front with the metrics of many routes, which tells its addresses.
HOST_PROCESS: Final = """
import asyncio
from tests.platform_adapter.front_harness import respond_ok, run_with_front
from tests.platform_adapter.test_metrics_of_many_routes import observe_routes

async def serve(harness):
    observe_routes(harness.metrics, {route_count})
    settings = harness.settings
    print(settings.caller_address, settings.control_address, flush=True)
    await asyncio.sleep(60)

run_with_front(respond_ok, serve)
"""
ROUTE_COUNT: Final = 392
READERS: Final = 3
CALLS: Final = 40
CALL_PERIOD_SECONDS: Final = 0.1
# Each period of the host, which runs in a fifth of it.
STOPPED_SECONDS: Final = 0.04
RUNNING_SECONDS: Final = 0.01
# The time limit of the route, and the time in which its end must be told.
FINAL_ANSWER_SECONDS: Final = 2.0 + 0.5


async def squeeze(process: asyncio.subprocess.Process) -> None:
    """Stop a process most of the time, until cancelled."""
    try:
        while True:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(STOPPED_SECONDS)
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(RUNNING_SECONDS)
    finally:
        process.send_signal(signal.SIGCONT)


async def read_metrics(address: str) -> None:
    """Fetch the metrics again and again, until cancelled."""
    request = b'GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    while True:
        await send_and_receive(address, request, timeout_seconds=200)


async def call(address: str, number: int) -> float:
    """Send a call, and return the seconds until its final answer."""
    await asyncio.sleep(CALL_PERIOD_SECONDS * number)
    began_at = time.monotonic()
    head = request_bytes().replace(b': r1', b': r%d' % number, 1)
    response = await send_and_receive(
        address,
        head.replace(b'\r\n', b'\r\nConnection: close\r\n', 1),
        timeout_seconds=60,
    )
    assert response.startswith(b'HTTP/1.1 ')
    return time.monotonic() - began_at


async def play() -> list[float]:
    """Return the seconds that each call to a squeezed host took."""
    code = HOST_PROCESS.format(route_count=ROUTE_COUNT)
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-c', code, stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None
    disturbances: list[asyncio.Task[None]] = []
    try:
        line = await process.stdout.readline()
        caller_address, control_address = line.decode().split()
        disturbances = [
            asyncio.create_task(squeeze(process)),
            *(
                asyncio.create_task(read_metrics(control_address))
                for _ in range(READERS)
            ),
        ]
        return await asyncio.gather(
            *(call(caller_address, number) for number in range(CALLS))
        )
    finally:
        for task in disturbances:
            task.cancel()
        await asyncio.gather(*disturbances, return_exceptions=True)
        process.kill()
        await process.wait()


@pytest.mark.timeout(120)
def test_calls_of_a_squeezed_host_end_in_time() -> None:
    """Guards against CONFIG: a host that hangs while its metrics are read."""
    seconds = asyncio.run(play())
    assert max(seconds) <= FINAL_ANSWER_SECONDS
