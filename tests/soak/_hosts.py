"""Entry hosts as child processes; signals are sent only to these."""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import signal
import sys
import time
from pathlib import Path

from tests.soak._bounds import (
    CONFIGURATION_SECONDS,
    DRAIN_SECONDS,
    LEASE_SECONDS,
    RETRY_RATIO,
    RETRY_SLACK,
    RETRY_WINDOW_SECONDS,
    SHUTDOWN_GRACE_SECONDS,
    USAGE_WINDOW_SECONDS,
)
from tests.soak._record import Record, Span, Usage

ROOT = Path(__file__).resolve().parents[2]
PORTS = {'front': 8227, 'readiness': 8220, 'control': 8229, 'directory': 8224}
_INTERNAL_PORT_RANGE = (7340, 7355)
_RESTART_SECONDS = 0.3
_RESTART_POLL_SECONDS = 0.02
_STARTUP_SECONDS = 0.15
_MEGABYTE = 1024 * 1024


class SoakHost:
    """An entry host: its settings file, log file and process."""

    def __init__(
        self, name: str, ip: str, zone: str, folder: Path, record: Record
    ) -> None:
        """Create a host without starting its process."""
        self.name = name
        self.ip = ip
        self._zone = zone
        self._settings = folder / f'{name}.toml'
        self._log = folder / f'{name}.log'
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._is_shutting_down = False
        self._started_at = 0.0
        self._supervisor: asyncio.Task[None] | None = None
        record.host_faults[name] = []

    @property
    def pid(self) -> int:
        """The id of the current or last process, 0 before the start."""
        return 0 if self._process is None else self._process.pid

    def resident_mebibytes(self) -> float:
        """Return what the process holds now, 0 if it does not run."""
        try:
            text = Path(f'/proc/{self.pid}/statm').read_text()
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / _MEGABYTE

    @property
    def directory_address(self) -> str:
        """The address of the directory where callers resolve hosts."""
        return f'{self.ip}:{PORTS["directory"]}'

    def write_settings(
        self, store: str, seeds: list[str], ttl_seconds: float,
        limits: dict[str, int] | None = None,
        duty_api: str = '', *, checks_tokens: bool = False,
    ) -> None:  # fmt: skip
        """
        Write the settings file that the platform adapter reads.

        :param limits: of the process, in the table of that name.
        :param duty_api: the address of the API for duties, empty for none.
        """
        cloud = f"""[cloud]
address = "{duty_api}"
duties = ["usage_report", "autoscale"]
duties_per_s = 50
"""
        listen = '\n'.join(
            f'{role} = "{self.ip}:{port}"' for role, port in PORTS.items()
        )
        limit_lines = '\n'.join(
            f'{name} = {limit}' for name, limit in (limits or {}).items()
        )
        seed_list = ', '.join(f'"{ip}:{PORTS["control"]}"' for ip in seeds)
        self._settings.write_text(f"""
node_name = "{self.name}"
ip = "{self.ip}"
zone = "{self._zone}"
internal_ports = [{_INTERNAL_PORT_RANGE[0]}, {_INTERNAL_PORT_RANGE[1]}]
seeds = [{seed_list}]
[listen]
{listen}
[bounds]
config_ms = {CONFIGURATION_SECONDS * 1000}
drain_ms = {DRAIN_SECONDS * 1000}
grace_s = {SHUTDOWN_GRACE_SECONDS}
retry_budget_ratio = {RETRY_RATIO}
retry_budget_slack = {RETRY_SLACK}
budget_window_s = {RETRY_WINDOW_SECONDS}
ttl_max_s = {ttl_seconds}
fencing_required = {str(checks_tokens).lower()}
lease_ms = {LEASE_SECONDS * 1000}
report_window_s = {USAGE_WINDOW_SECONDS}
[provider]
address = "{store}"
[limits]
{limit_lines}
{cloud if duty_api else ''}""")

    async def start(self, mutation: str | None = None) -> None:
        """Start the process, which is restarted whenever it exits."""
        self._supervisor = asyncio.create_task(self._supervise(mutation))
        while self._process is None:
            await asyncio.sleep(0.01)

    def send_signal(
        self, signal_number: signal.Signals, seconds: float
    ) -> None:
        """Send a signal and record a host fault of some seconds."""
        now = time.monotonic()
        if (
            signal_number == signal.SIGHUP
            and now - self._started_at < _STARTUP_SECONDS
        ):
            # SIGHUP kills a process that has not installed its handler yet.
            return
        self._record.host_faults[self.name].append(Span(now, now + seconds))
        if signal_number == signal.SIGTERM:
            stop = Span(now, now + SHUTDOWN_GRACE_SECONDS)
            self._record.stops.setdefault(self.pid, stop)
        if signal_number == signal.SIGSTOP:
            pause = Span(now, now + seconds)
            self._record.pauses.setdefault(self.name, []).append(pause)
        if signal_number in {signal.SIGKILL, signal.SIGSTOP}:
            self._record.killed.add(self.pid)
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, signal_number)

    async def restart(self, signal_number: signal.Signals) -> None:
        """Stop the process with a signal; return once it was replaced."""
        pid = self.pid
        self.send_signal(signal_number, math.inf)
        fault = self._record.host_faults[self.name][-1]
        while self.pid == pid:
            await asyncio.sleep(_RESTART_POLL_SECONDS)
        fault.ended = time.monotonic()

    def record_usage(self) -> None:
        """Record the resident memory and open descriptors of the process."""
        with contextlib.suppress(OSError):
            statm = Path(f'/proc/{self.pid}/statm').read_text().split()
            resident = int(statm[1]) * os.sysconf('SC_PAGE_SIZE') / _MEGABYTE
            count = len(os.listdir(f'/proc/{self.pid}/fd'))
            self._record.usages.append(
                Usage(self.name, time.monotonic(), resident, count)
            )

    async def shut_down(self) -> None:
        """Terminate the process and do not restart it."""
        self._is_shutting_down = True
        process = self._process
        if process is not None and process.returncode is None:
            self.send_signal(signal.SIGCONT, 0)
            self.send_signal(signal.SIGTERM, SHUTDOWN_GRACE_SECONDS)
            try:
                async with asyncio.timeout(SHUTDOWN_GRACE_SECONDS + 1):
                    await process.wait()
            except TimeoutError:
                # The oracle reports the exit as too late.
                os.kill(process.pid, signal.SIGKILL)
                await process.wait()
        if self._supervisor is not None:
            # The supervisor records the exit before it returns.
            await self._supervisor

    async def _supervise(self, mutation: str | None) -> None:
        while not self._is_shutting_down:
            with self._log.open('ab') as log:
                process = await asyncio.create_subprocess_exec(
                    *_command(mutation),
                    f'--settings_file={self._settings}',
                    '--peer_keys=the-hosts-of-one-soak',
                    stdout=log,
                    stderr=log,
                    env={**os.environ, 'PYTHONPATH': _python_path()},
                    start_new_session=True,
                )
            self._process = process
            self._started_at = time.monotonic()
            self._record.starts[process.pid] = self._started_at
            exit_code = await process.wait()
            pid = process.pid
            self._record.ends[pid] = time.monotonic()
            was_signalled = (
                pid in self._record.stops or pid in self._record.killed
            )
            if not was_signalled:
                self._record.ended_alone.append(
                    f'{self.name} ended: {exit_code}'
                )
            if not self._is_shutting_down:
                await asyncio.sleep(_RESTART_SECONDS)


def _python_path() -> str:
    return os.pathsep.join((str(ROOT / 'src'), str(ROOT)))


def _command(mutation: str | None) -> tuple[str, ...]:
    if mutation is None:
        return (sys.executable, '-m', 'burdockledge', 'host')
    return (sys.executable, '-m', 'tests.soak.mutated_host', mutation)
