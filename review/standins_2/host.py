"""Entry hosts, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

from standins_2.http import message, read_head

# The scripts run at the root of the repository.
ROOT = Path.cwd()


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free for TCP and UDP, with free neighbours."""
    ports: list[int] = []
    while len(ports) < count:
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((ip, 0))
            port = first.getsockname()[1]
            if port > 60000 or any(abs(port - one) < 20 for one in ports):
                continue
            try:
                for number in range(port, port + 16):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        if number == port and kind == socket.SOCK_STREAM:
                            continue
                        one = stack.enter_context(
                            socket.socket(socket.AF_INET, kind)
                        )
                        one.bind((ip, number))
            except OSError:
                continue
        ports.append(port)
    return ports


class Host:
    """One process ``burdockledge host`` and its settings file."""

    def __init__(
        self, name: str, ip: str, zone: str, folder: Path, memory_mb: int
    ) -> None:
        self.name = name
        self.ip = ip
        self._zone = zone
        self._folder = folder
        self._memory_mb = memory_mb
        front, ready, control, directory, internal = free_ports(ip, 5)
        self._ports = (front, ready, control, directory)
        self.internal_port = internal
        self.front = (ip, front)
        self.control = (ip, control)
        self._settings = folder / f'{name}.toml'
        self.log = folder / f'{name}.log'
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(
        self, store: str, seeds: list[str], extra: str = ''
    ) -> None:
        """Write the settings with the bounds of blackvale-hq."""
        front, ready, control, directory = self._ports
        listed = ', '.join(f'"{seed}"' for seed in seeds)
        self._settings.write_text(f"""
node_name = "{self.name}"
role = "entry"
machine_class = "front"
serves = ["front","control","directory"]
ip = "{self.ip}"
zone = "{self._zone}"
region = "midlands"
internal_ports = [{self.internal_port}, {self.internal_port + 15}]
seeds = [{listed}]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[listen]
front = "{self.ip}:{front}"
readiness = "{self.ip}:{ready}"
control = "{self.ip}:{control}"
directory = "{self.ip}:{directory}"
[limits]
memory_mb = {self._memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 58
recover_s = 12
pass_ms = 120
ttl_max_s = 5
[provider]
address = "{store}"
form = "log"
{extra}
""")

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        words = [
            f'--settings_file={self._settings}'
            if word.startswith('--settings_file=')
            else word
            for word in role['run'].split()
        ]
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'BURDOCKLEDGE_BOOT': str(self._settings),
            **role.get('env', {}),
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    def anonymous_bytes(self) -> int:
        """Return the resident memory without pages of files."""
        assert self.process is not None
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text()
            return int(text.split('RssAnon:')[1].split()[0]) * 1024
        except (OSError, IndexError):
            return 0

    async def wait_ready(self, seconds: float = 15) -> None:
        """Wait for a 200 of the readiness address."""
        stop_at = time.monotonic() + seconds
        while time.monotonic() < stop_at:
            if await get_status(self.ip, self._ports[1], '/burdockledge/ready') == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{self.name} is not ready')

    def stop(self) -> None:
        """End the process, at once if it has not ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def get_status(ip: str, port: int, path: str) -> int:
    """Return the status of a GET, 0 without an answer."""
    try:
        reader, writer = await asyncio.open_connection(ip, port)
    except OSError:
        return 0
    try:
        writer.write(message(f'GET {path} HTTP/1.1', {'Host': 'h'}))
        async with asyncio.timeout(1):
            head = await read_head(reader)
        return 0 if head is None else int(head.line.split()[1])
    except (OSError, TimeoutError):
        return 0
    finally:
        writer.close()
