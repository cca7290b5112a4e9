"""A small deployment: hosts by the command of the deploy file, and a record."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

from standins.wire import encode, read_message

ROOT = Path(__file__).resolve().parents[2]
# Bounds of the sheet of blackvale-hq.
BOUNDS = {
    'seed_lag_s': 3, 'reuse_after_s': 2, 'contact_ms': 3000, 'ack_ms': 4000,
    'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 8, 'loss_slack_ms': 200,
    'config_ms': 2000, 'rollback_slack_ms': 250, 'max_skew_ms': 5000,
    'strict_revoke': False, 'revoke_ms': 5000, 'retry_budget_ratio': 0.2,
    'budget_window_s': 10, 'retry_budget_slack': 58, 'recover_s': 12,
    'pass_ms': 120, 'again_s': 9.5, 'ttl_max_s': 5,
}  # fmt: skip
CONFIG_SECONDS = 2.0
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0


class CannotRunError(Exception):
    """The case could not run on this machine."""


class Record:
    """Writes what was sent, answered and run, one JSON line each."""

    def __init__(self, path: Path) -> None:
        """Create the file, empty."""
        self._file = path.open('w', encoding='utf-8')
        self._started_at = time.monotonic()

    def __call__(self, who: str, what: str, **details: object) -> None:
        """Write a line with the seconds since the start."""
        at = round(time.monotonic() - self._started_at, 3)
        line = {'at': at, 'who': who, 'what': what, **details}
        self._file.write(json.dumps(line) + '\n')
        self._file.flush()


def _free_ports(ip: str, count: int) -> list[int]:
    """Return TCP ports that are free on a loopback address."""
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((ip, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def _free_udp_pair(ips: list[str]) -> int:
    """Return a UDP port that is free with the next one on all addresses."""
    for _ in range(100):
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            )
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
            try:
                for ip in ips:
                    for number in (port, port + 1):
                        if (ip, number) == (ips[0], port):
                            continue
                        other = stack.enter_context(
                            socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                        )
                        other.bind((ip, number))
            except (OSError, OverflowError):
                continue
            return port
    raise CannotRunError('no free ports')


class Host:
    """One entry host: its settings file and its process."""

    def __init__(
        self, name: str, zone: str, folder: Path, record: Record, peer_ip: str
    ) -> None:
        """Draw ports; the process is started later."""
        self.name = name
        self.zone = zone
        self.ip = peer_ip
        self.folder = folder
        self.record = record
        front, readiness, control, directory = _free_ports(peer_ip, 4)
        self.front = f'{peer_ip}:{front}'
        self.readiness = f'{peer_ip}:{readiness}'
        self.control = f'{peer_ip}:{control}'
        self.directory = f'{peer_ip}:{directory}'
        self.settings = folder / f'{name}.toml'
        self.log = folder / f'{name}.log'
        self.process: subprocess.Popen | None = None

    def write_settings(
        self, store: str, seeds: list[str], port: int
    ) -> None:
        """Write the file as the platform does."""
        bounds = '\n'.join(
            f'{name} = {json.dumps(value)}' for name, value in BOUNDS.items()
        )
        self.settings.write_text(f"""
node_name = "{self.name}"
role = "entry"
machine_class = "front"
serves = ["front", "directory", "control"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "midlands"
internal_ports = [{port}, {port + 15}]
seeds = {json.dumps(seeds)}
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
leicester = "midlands"
coventry = "midlands"
derby = "midlands"
[listen]
front = "{self.front}"
readiness = "{self.readiness}"
control = "{self.control}"
directory = "{self.directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
{bounds}
[provider]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
""")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        command = [
            f'--settings_file={self.settings}'
            if word.startswith('--settings_file=')
            else word
            for word in role['run'].split(' ')
        ]
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment.update(role.get('env', {}))
        environment['BURDOCKLEDGE_BOOT'] = str(self.settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(  # noqa: S603
                command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )  # fmt: skip
        self.record('operator', 'starts', host=self.name, pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Signal the process."""
        assert self.process is not None
        self.record('operator', 'signals', host=self.name, signal=number.name)
        self.process.send_signal(number)

    async def ready(self) -> bool:
        """Ask the readiness address once."""
        try:
            async with asyncio.timeout(1):
                answer = await call(self.readiness, 'GET', '/burdockledge/ready')
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_ready(self, seconds: float = 20) -> None:
        """Wait until the host is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process is not None and self.process.poll() is not None:
                raise CannotRunError(f'{self.name} has ended at its start')
            if await self.ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f'{self.name} is not ready')

    def end(self) -> None:
        """End the process by its id."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait(10)


async def call(
    address: str,
    method: str,
    path: str,
    headers: list[tuple[str, str]] | None = None,
    body: bytes = b'',
):
    """Call on a new channel and return the answer."""
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(
            encode(
                f'{method} {path} HTTP/1.1',
                [*([] if any(name == 'Host' for name, _ in headers or []) else [('Host', address)]), *(headers or [])],
                body,
            )
        )
        return await read_message(reader)
    finally:
        writer.close()


class Deployment:
    """Hosts with a store; use it as a context, which ends all processes."""

    def __init__(self, record: Record, store_address: str, count: int) -> None:
        """Create hosts, each on a loopback address of its own."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        zones = ('leicester', 'coventry', 'derby')
        self.hosts = [
            Host(
                f'front-{zones[number % 3]}-{number // 3 + 1}',
                zones[number % 3], self.folder, record, f'127.0.0.{11 + number}',
            )
            for number in range(count)
        ]  # fmt: skip
        port = _free_udp_pair([host.ip for host in self.hosts])
        seeds = [host.control for host in self.hosts[:3]]
        for host in self.hosts:
            host.write_settings(store_address, seeds, port)

    def __enter__(self) -> Deployment:
        """Return the deployment."""
        return self

    def __exit__(self, *_: object) -> None:
        """End every process and remove the folder."""
        for host in self.hosts:
            host.end()
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def start(self) -> None:
        """Start all hosts and wait until they are ready."""
        for host in self.hosts:
            host.start()
        await asyncio.gather(*(host.wait_ready() for host in self.hosts))


class Caller:
    """Sends requests on new channels, and records what comes back."""

    _ids = itertools.count(1)

    def __init__(self, record: Record) -> None:
        """Create a caller."""
        self._record = record

    def new_id(self) -> str:
        """Return a request id that no caller has used before."""
        return f'{os.getpid():08x}{next(self._ids):08x}'

    async def send(
        self,
        host: Host,
        method: str,
        path: str,
        key: str | None = None,
        deadline_ms: int = 4000,
        body: bytes = b'',
        headers: list[tuple[str, str]] | None = None,
    ) -> tuple[str, int]:
        """Send a request; return its id and status, 0 for a closed channel."""
        request_id = self.new_id()
        sent = [
            ('Burdockledge-Request-Id', request_id),
            ('Burdockledge-Deadline-Ms', str(deadline_ms)),
            *(headers or []),
        ]
        if key is not None:
            sent.append(('Authorization', f'Token {key}'))
        self._record(
            'caller', 'sends', id=request_id, host=host.name, path=path, key=key
        )
        status, text = 0, ''
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                answer = await call(host.front, method, path, sent, body)
            status = answer.status if answer.is_complete else 0
            text = answer.body[:80].decode('latin-1')
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            text = repr(error)
        self._record('caller', 'gets', id=request_id, status=status, body=text)
        return request_id, status


class KeptChannels:
    """Sends requests on channels that are kept open, as consumers do."""

    def __init__(self, record: Record, prefix: str) -> None:
        """Create a set without channels; ids begin with the prefix."""
        self._record = record
        self._prefix = prefix
        self._count = 0
        self._idle: dict[str, list] = {}

    async def send(
        self,
        host: Host,
        method: str,
        path: str,
        key: str,
        deadline_ms: int,
        body: bytes,
        http_host: str,
    ) -> tuple[str, bool, str]:
        """
        Send a request and read its answer.

        Return its id, whether its channel had served a request before, and
        how it ended: ``answered``, ``cut`` in the answer, ``closed`` by the
        host without a byte of an answer, or ``left`` by this caller.
        """
        self._count += 1
        request_id = f'{self._prefix}{self._count:07x}'
        idle = self._idle.setdefault(host.front, [])
        is_kept = bool(idle)
        ip, _, port = host.front.rpartition(':')
        self._record(
            'caller', 'sends', id=request_id, host=host.name, path=path,
            kept=is_kept,
        )  # fmt: skip
        writer = None
        end = 'closed'
        status = 0
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = (
                    idle.pop()
                    if is_kept
                    else await asyncio.open_connection(ip, int(port))
                )
                writer.write(
                    encode(
                        f'{method} {path} HTTP/1.1',
                        [
                            ('Host', http_host),
                            ('Burdockledge-Request-Id', request_id),
                            ('Burdockledge-Deadline-Ms', str(deadline_ms)),
                            ('Authorization', f'Token {key}'),
                        ],
                        body,
                    )
                )
                answer = await read_message(reader)
            status = answer.status
            end = 'answered' if answer.is_complete else 'cut'
            if answer.is_complete and answer.get('Connection') != 'close':
                idle.append((reader, writer))
                writer = None
        except TimeoutError:
            end = 'left'
        except asyncio.IncompleteReadError as error:
            end = 'cut' if error.partial else 'closed'
        except OSError:
            end = 'closed'
        finally:
            if writer is not None:
                writer.close()
        self._record('caller', end, id=request_id, status=status)
        return request_id, is_kept, end


# Exit codes of case.py; run.sh maps the first one to 1, so that an error of
# the interpreter is not taken for a broken rule.
BROKEN, HELD, NOT_RUN = 10, 0, 2


def run_case(work) -> int:
    """Run a case and return its exit code."""
    # A stop from outside ends the hosts and removes the folder, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        return BROKEN if asyncio.run(work) else HELD
    except KeyboardInterrupt:
        print('the case was stopped')
    except CannotRunError as error:
        print(f'the case could not run: {error}')
    except Exception:
        traceback.print_exc()
    return NOT_RUN
