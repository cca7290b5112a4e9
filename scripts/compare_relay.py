"""
Compare targets: compare_relay.py REQUESTS NAME=URL=PID ...

Sends the same streamed generations to each target in turn, sequentially for
latency and concurrently for throughput, and prints ratios. The first target
must be the engine itself, with PID 0, and the last one the entry host.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import time

import aiohttp

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
LATENCY_REQUESTS = 200
CONCURRENT_REQUESTS = 32
OPEN_STREAMS = 64
ROUNDS = 3
BODY = {
    'model': 'small',
    'stream': True,
    'messages': [{'role': 'user', 'content': 'hello'}],
    'metadata': {'tokens': 20},
}
HEADERS = {'Authorization': 'Bearer bench-team-key', 'X-Request-Id': 'bench'}


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    if not pid:
        return 0
    with open(f'/proc/{pid}/stat', encoding='utf-8') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    with open(f'/proc/{pid}/statm', encoding='utf-8') as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


async def stream_generation(
    session: aiohttp.ClientSession, url: str, tokens: int
) -> float:
    """Stream one generation and return the seconds until its first byte."""
    body = {**BODY, 'metadata': {'tokens': tokens}}
    started_at = time.perf_counter()
    async with session.post(
        f'{url}/v1/chat/completions',
        data=json.dumps(body),
        headers=HEADERS,
    ) as response:
        first = 0.0
        async for chunk in response.content.iter_any():
            first = first or time.perf_counter() - started_at
            last = chunk
        if not last.endswith(b'data: [DONE]\n\n'):
            raise RuntimeError(f'incomplete stream, last chunk: {last!r}')
    return first


async def measure_latency(session: aiohttp.ClientSession, url: str) -> float:
    """Return the median seconds to the first byte of sequential requests."""
    times = [
        await stream_generation(session, url, 5)
        for _ in range(LATENCY_REQUESTS)
    ]
    return statistics.median(times)


async def measure_throughput(
    session: aiohttp.ClientSession,
    url: str,
    pid: int,
    requests: int,
) -> float:
    """Return the requests per processor second of the target."""
    remaining = iter(range(requests))
    used_seconds = processor_seconds(pid)

    async def worker() -> None:
        for _ in remaining:
            await stream_generation(session, url, 20)

    await asyncio.gather(*(worker() for _ in range(CONCURRENT_REQUESTS)))
    return requests / max(
        processor_seconds(pid) - used_seconds, 1 / TICKS_PER_SECOND
    )


async def measure_stream_memory(
    session: aiohttp.ClientSession,
    url: str,
    pid: int,
) -> float:
    """Return the resident bytes that each open stream adds."""
    before = resident_bytes(pid)
    tasks = [
        asyncio.create_task(stream_generation(session, url, 3000))
        for _ in range(OPEN_STREAMS)
    ]
    await asyncio.sleep(1.5)
    grown = resident_bytes(pid) - before
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return grown / OPEN_STREAMS


async def main() -> None:
    """Measure the targets in several rounds; print medians and ratios."""
    requests = int(sys.argv[1])
    targets = [argument.split('=') for argument in sys.argv[2:]]
    latencies: dict[str, list[float]] = {}
    rates: dict[str, list[float]] = {}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for _ in range(ROUNDS):
            for name, url, pid in targets:
                await stream_generation(session, url, 1)
                latencies.setdefault(name, []).append(
                    await measure_latency(session, url)
                )
                if int(pid):
                    rate = await measure_throughput(
                        session, url, int(pid), requests // ROUNDS
                    )
                    rates.setdefault(name, []).append(rate)
        _, host_url, host_pid = targets[-1]
        settled_bytes = resident_bytes(int(host_pid))
        memory = await measure_stream_memory(session, host_url, int(host_pid))
        await measure_throughput(session, host_url, int(host_pid), requests)
        grown = resident_bytes(int(host_pid)) - settled_bytes
    direct, relay, host = (
        statistics.median(values) for values in latencies.values()
    )
    rate = {name: statistics.median(values) for name, values in rates.items()}
    rows = (
        (
            'added median latency, host over relay',
            (host - direct) / (relay - direct),
            'at most 2',
        ),
        (
            'requests per CPU-second, host over relay',
            rate['host'] / rate['relay'],
            'at least 0.5',
        ),
        ('KB per open stream', memory / 1024, 'at most 64'),
        (
            f'KB of growth over {requests} more requests',
            grown / 1024,
            'no lasting growth',
        ),
    )
    sys.stdout.write(
        f'first byte, ms: direct {direct * 1e3:.2f}, '
        f'relay {relay * 1e3:.2f}, host {host * 1e3:.2f}\n'
    )
    sys.stdout.write(
        f'requests per CPU-second: relay {rate["relay"]:.0f}, '
        f'host {rate["host"]:.0f}\n'
    )
    for name, value, target in rows:
        sys.stdout.write(f'{name:<42}{value:>9.2f}   {target}\n')


asyncio.run(main())
