"""Measure the CPU and memory use of hosts: ``python -m tests.soak.cost``."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

from tests.soak._hosts import SoakHost
from tests.soak._run import Plan, SoakRun

_MEASURED_SECONDS = 10.0
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


class _CostRun(SoakRun):
    """A soak run without faults."""

    async def _inject_faults(self) -> None:
        """Measure the hosts while idle, then with callers."""
        for callers in (0, self.plan.callers):
            await self._measure_load(callers)

    async def _wait_until_ready(self, host: SoakHost) -> None:
        await super()._wait_until_ready(host)
        seconds = _cpu_seconds(host.pid)
        sys.stdout.write(f'| {host.name}: start to ready | {seconds:.2f} s |\n')

    async def _measure_load(self, count: int) -> None:
        caller_tasks = self.start_callers(count)
        cpu_seconds_before = {
            host.name: _cpu_seconds(host.pid) for host in self.hosts
        }
        began = time.monotonic()
        outcomes_before = len(self.record.outcomes)
        await asyncio.sleep(_MEASURED_SECONDS)
        seconds = time.monotonic() - began
        rate = (len(self.record.outcomes) - outcomes_before) / seconds
        for host in self.hosts:
            host.record_usage()
            usage = self.record.usages[-1]
            cores = (
                _cpu_seconds(host.pid) - cpu_seconds_before[host.name]
            ) / seconds
            sys.stdout.write(
                f'| {host.name}: {rate:.0f} calls a second at all hosts '
                f'| {cores:.4f} cores, {usage.megabytes:.0f} MB, '
                f'{usage.descriptors} descriptors |\n'
            )
        await self.stop_callers(caller_tasks)


def _cpu_seconds(pid: int) -> float:
    stat = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(stat[11]) + int(stat[12])) / _TICKS_PER_SECOND


def main() -> int:
    """Start three hosts, measure them and print a table."""
    sys.stdout.write('| what | processor time, memory |\n|---|---|\n')
    with tempfile.TemporaryDirectory(prefix='cost-') as work_dir:
        plan = Plan(seed=1, seconds=_MEASURED_SECONDS, hosts=3)
        violations = asyncio.run(_CostRun(plan, Path(work_dir)).run())
    sys.stdout.write(''.join(f'{line}\n' for line in violations))
    return int(bool(violations))


if __name__ == '__main__':
    sys.exit(main())
