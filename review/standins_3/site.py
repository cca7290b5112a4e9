"""A small deployment on loopback: hosts, their settings and their store."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path

# The scripts start at the root of the repository.
ROOT = Path.cwd()

_SETTINGS = '''
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "a"
region = "north"
internal_ports = [{first_port},{last_port}]
seeds = [{seeds}]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = [{contracts}]
[zones]
a = "north"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
max_fds = {max_fds}
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = {contact_ms}
ack_ms = {ack_ms}
catch_up_s = {catch_up_s}
drain_ms = {drain_ms}
grace_s = 8
loss_slack_ms = 200
config_ms = {config_ms}
rollback_slack_ms = 250
max_skew_ms = {max_skew_ms}
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = {retry_slack}
recover_s = {recover_s}
pass_ms = {pass_ms}
again_s = {again_s}
ttl_max_s = 5
{more_bounds}
[provider]
address = "{store}"
form = "log"
writes_per_s = {writes_per_s}
reads_per_s = {reads_per_s}
parts = 12
append_ms = 2.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
{cloud}
'''

# The sheets of the sites.
FRASER_REACH = {
    'contracts': 'base drain config cost retry recover engine stream tenants'
    ' platform',
    'memory_mb': 150,
    'max_fds': 4100,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'config_ms': 2000,
    'max_skew_ms': 5000,
    'retry_slack': 54,
    'recover_s': 12,
    'pass_ms': 120,
    'again_s': 6.6,
    'writes_per_s': 400,
    'reads_per_s': 2000,
    'more_bounds': '',
    'cloud': '',
}
# The smallest machines of its sheet.
CORDILLERA_PRIMA = {
    'contracts': 'base drain config cost retry recover health pool engine'
    ' stream tenants leader pressure platform',
    'memory_mb': 200,
    'max_fds': 4100,
    'contact_ms': 4000,
    'ack_ms': 6000,
    'catch_up_s': 6,
    'drain_ms': 3000,
    'config_ms': 3000,
    'max_skew_ms': 6000,
    'retry_slack': 212,
    'recover_s': 15,
    'pass_ms': 200,
    'again_s': 10,
    'writes_per_s': 1200,
    'reads_per_s': 6000,
    'more_bounds': 'fencing_required = true\nlease_ms = 3000\n'
    'thaw_ms = 300\nreport_window_s = 5\nusage_tolerance = 0.05\n'
    'usage_late_s = 10',
    'cloud': '[cloud]\naddress = "{cloud_address}"\nrate_per_s = 50.0\n'
    'duties = ["usage_report","autoscale"]\nduties_per_s = 50.0',
}


def free_ports(count: int, ip: str = '127.0.0.2') -> list[int]:
    """Return ports that are free for TCP and UDP now."""
    sockets = []
    ports: list[int] = []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((ip, 0))
        udp = socket.socket(type=socket.SOCK_DGRAM)
        sockets += [tcp, udp]
        with contextlib.suppress(OSError):
            udp.bind((ip, tcp.getsockname()[1]))
            ports.append(tcp.getsockname()[1])
    for one in sockets:
        one.close()
    return ports


class Host:
    """One entry host as a process of its own."""

    def __init__(self, site: 'Site', number: int) -> None:
        self.site = site
        self.ip = f'127.0.0.{number + 1}'
        self.name = f'front-a-{number}'
        self.process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        return self.ip, self.site.ports['front']

    async def start(self) -> None:
        site = self.site
        seeds = ','.join(
            f'"{one.ip}:{site.ports["control"]}"' for one in site.hosts[:3]
        )
        path = site.folder / f'{self.name}.toml'
        sheet = dict(site.sheet)
        sheet['contracts'] = ','.join(
            f'"{word}"' for word in str(sheet['contracts']).split()
        )
        sheet['cloud'] = str(sheet['cloud']).format(
            cloud_address=site.cloud_address
        )
        path.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self.ip,
                first_port=site.ports['internal'],
                last_port=site.ports['internal'] + 15,
                seeds=seeds,
                store=site.store_address,
                front=site.ports['front'],
                ready=site.ports['ready'],
                control=site.ports['control'],
                directory=site.ports['directory'],
                **sheet,
            )
        )
        log = (site.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-S',
            '-m',
            'burdockledge',
            'host',
            f'--settings_file={path}',
            '--peer_keys=entry-hosts-of-one-deployment',
            *site.options,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'BURDOCKLEDGE_BOOT': str(path),
                'SSL_CERT_FILE': '/dev/null',
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    async def is_ready(self) -> bool:
        with contextlib.suppress(OSError, asyncio.TimeoutError, ValueError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.site.ports['ready']
                )
                writer.write(
                    b'GET /burdockledge/ready HTTP/1.1\r\nHost: x\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        return False

    async def wait_ready(self, seconds: float = 15) -> None:
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.send_signal(signal.SIGCONT)
            await self.process.wait()

    def log(self) -> str:
        return (self.site.folder / f'{self.name}.log').read_text()


class Site:
    """The hosts of a deployment; ends them when it is closed."""

    def __init__(
        self,
        host_count: int,
        store_address: str,
        sheet: dict[str, object] = FRASER_REACH,
        cloud_address: str = '',
    ) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store_address = store_address
        self.sheet = sheet
        self.cloud_address = cloud_address
        self.options: list[str] = []
        names = ('front', 'ready', 'control', 'directory')
        self.ports = dict(zip(names, free_ports(4), strict=True))
        self.ports['internal'] = _free_range(16)
        self.hosts = [Host(self, number) for number in range(1, host_count + 1)]

    async def start(self) -> None:
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.wait_ready()

    async def close(self) -> None:
        for host in self.hosts:
            await host.end()
        self._temporary.cleanup()


def _free_range(count: int) -> int:
    start = 21000 + os.getpid() % 500 * count
    for first in range(start, start + 20 * count, count):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        one = stack.enter_context(socket.socket(type=kind))
                        one.bind(('127.0.0.2', port))
            except OSError:
                continue
            return first
    raise OSError('no free ports')
