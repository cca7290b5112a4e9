"""The platform's part in ending processes that exceed their memory."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

ENDS_PER_MACHINE = 3


class Platform:
    """Kills a process over its memory, and starts it again."""

    def __init__(self, site, record) -> None:
        self._memory_mb = site.sheet['memory_mb']
        self._record = record
        self.ends = {host.name: 0 for host in site.hosts}
        self.highest = dict.fromkeys(self.ends, 0.0)

    @property
    def is_broken(self) -> bool:
        """A tenth of the machines, two at least, three times each."""
        often = [n for n in self.ends.values() if n >= ENDS_PER_MACHINE]
        return len(often) >= 2

    async def watch(self, host) -> None:
        while True:
            await asyncio.sleep(0.05)
            megabytes = resident_megabytes(host.process.pid)
            self.highest[host.name] = max(self.highest[host.name], megabytes)
            if megabytes <= self._memory_mb:
                continue
            self.ends[host.name] += 1
            self._record.note(
                f'{host.name} holds {megabytes:.0f} MiB of {self._memory_mb} MiB: '
                f'it is killed, for the {self.ends[host.name]}. time'
            )
            await host.end()
            await asyncio.sleep(0.5)
            await host.start()
            await host.wait_ready()


def resident_megabytes(process_id: int) -> float:
    """
    Return the anonymous memory of a process in MiB, 0 without one.

    Pages of files are left out, as other processes may share them.
    """
    with contextlib.suppress(OSError):
        for line in Path(f'/proc/{process_id}/status').read_text().split('\n'):
            if line.startswith('RssAnon'):
                return int(line.split()[1]) / 1024
    return 0.0
