"""
Compare what ordinary calls cost hosts of several source trees.

compare_call_cost.py CALLS ROUNDS TREE TREE

One host process of each tree gets bursts of the same calls in turn, CALLS on
each of its connections, so that both meet the same load of the machine. Printed
are the processor times of a call, and the median of the ratios of all rounds.
"""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

CONNECTIONS = 8
BODY = b'z' * 2000
NS_PER_US = 1000


def processor_ns(pid: int) -> int:
    """Return the processor time that the process has used."""
    return int(Path(f'/proc/{pid}/schedstat').read_text().split()[0])


async def send_calls(ip: str, port: int, count: int) -> None:
    """Send calls one after another on one connection."""
    reader, writer = await asyncio.open_connection(ip, port)
    for number in range(count):
        writer.write(
            b'POST /good/unsafe/x HTTP/1.1\r\nHost: flood.example\r\n'
            b'Burdockledge-Request-Id: %x-%d\r\nContent-Length: %d\r\n\r\n'
            % (id(writer), number, len(BODY))
            + BODY
        )
        head = await reader.readuntil(b'\r\n\r\n')
        if not head.startswith(b'HTTP/1.1 200'):
            raise RuntimeError(head)
        await reader.readexactly(len(b'fine'))
    writer.close()


async def serve_bursts(calls: int) -> None:
    """Print the microseconds of a call for each line of the input."""
    from tests.flood.flooded_host import FloodedHost
    from tests.platform_adapter.front_harness import respond_ok
    from tests.soak._hosts import PORTS

    with tempfile.TemporaryDirectory() as folder:
        host = FloodedHost(Path(folder), 'unsafe')
        await host.start({'good': respond_ok})
        try:
            while await asyncio.to_thread(sys.stdin.readline):
                began = processor_ns(host.host.pid)
                await asyncio.gather(
                    *(
                        send_calls(host.ip, PORTS['front'], calls)
                        for _ in range(CONNECTIONS)
                    )
                )
                spent = processor_ns(host.host.pid) - began
                print(spent / calls / CONNECTIONS / NS_PER_US, flush=True)
        finally:
            await host.stop()


def start_tree(tree: str, calls: str) -> subprocess.Popen[str]:
    """Start the host of a tree under a process of its own."""
    return subprocess.Popen(
        [sys.executable, str(Path(__file__).resolve()), calls],
        cwd=tree,
        env={'PYTHONPATH': f'{tree}:{tree}/src', 'PATH': '/usr/bin:/bin'},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def run_burst(process: subprocess.Popen[str]) -> float:
    """Return what one burst cost the host of a tree."""
    assert process.stdin is not None
    assert process.stdout is not None
    process.stdin.write('\n')
    process.stdin.flush()
    return float(process.stdout.readline())


def main() -> None:
    """Compare the trees of the command line, or run the current one."""
    calls, *rest = sys.argv[1:]
    if not rest:
        asyncio.run(serve_bursts(int(calls)))
        return
    rounds, *trees = rest
    processes = [start_tree(tree, calls) for tree in trees]
    costs: list[list[float]] = []
    try:
        for number in range(int(rounds) + 1):
            costs.append([run_burst(process) for process in processes])
            # Each tree is the first one of a round as often as the others.
            if number % 2:
                costs[-1].reverse()
            processes.reverse()
    finally:
        for process in processes:
            process.communicate()
    # The first round warms up.
    by_tree = list(zip(*costs[1:], strict=True))
    for tree, values in zip(trees, by_tree, strict=True):
        ratio = statistics.median(
            value / first
            for value, first in zip(values, by_tree[0], strict=True)
        )
        print(
            f'{tree}: least {min(values):.1f} us, '
            f'median {statistics.median(values):.1f} us, '
            f'median ratio to the first {ratio:.3f}'
        )


if __name__ == '__main__':
    main()
