"""
Measure running entry hosts: measure_hosts.py SECONDS KEY PID=URL ...

Prints the medians over the hosts as a line of JSON: processor seconds,
datagrams, frames and their bytes, each per second, and resident bytes.
"""

from __future__ import annotations

import json
import os
import statistics
import sys
import time
import urllib.request

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
TRAFFIC_METRICS = ('datagrams', 'datagram_bytes', 'peer_frames', 'peer_bytes')


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f'/proc/{pid}/stat', encoding='utf-8') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    with open(f'/proc/{pid}/statm', encoding='utf-8') as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def read_traffic_metrics(url: str, key: str) -> dict[str, float]:
    """Return the traffic counters that a host reports."""
    request = urllib.request.Request(
        f'{url}/metrics',
        headers={'Authorization': f'Bearer {key}'},
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        rows = response.read().decode().splitlines()
    table = dict(row.rsplit(' ', 1) for row in rows)
    return {
        name: float(table[f'burdockledge_{name}']) for name in TRAFFIC_METRICS
    }


def main() -> None:
    """Measure for some seconds and print the medians over the hosts."""
    seconds, key = float(sys.argv[1]), sys.argv[2]
    hosts = [argument.split('=', 1) for argument in sys.argv[3:]]
    before = {
        pid: (
            time.monotonic(),
            processor_seconds(int(pid)),
            read_traffic_metrics(url, key),
        )
        for pid, url in hosts
    }
    time.sleep(seconds)
    rows: dict[str, list[float]] = {}
    for pid, url in hosts:
        started_at, used_seconds, counts = before[pid]
        now, total = time.monotonic(), processor_seconds(int(pid))
        elapsed_seconds = now - started_at
        rows.setdefault('core_share', []).append(
            (total - used_seconds) / elapsed_seconds
        )
        rows.setdefault('memory_bytes', []).append(resident_bytes(int(pid)))
        for name, value in read_traffic_metrics(url, key).items():
            rate = (value - counts[name]) / elapsed_seconds
            rows.setdefault(name, []).append(rate)
    medians = {name: statistics.median(values) for name, values in rows.items()}
    sys.stdout.write(f'{json.dumps(medians)}\n')


main()
