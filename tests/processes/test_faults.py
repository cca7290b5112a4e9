"""
Test real processes under load with kill -9 and other signals.

The outcomes reported to callers are compared with what the services executed.
Run with ``make processes``; it waits in real time, so it is not part of the
suite.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import time
import urllib.request
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import Any

import pytest

from burdockledge.configuration import hash_key
from tests.ports import free_port

TEAM_KEY = 'process-team'
OPERATOR_KEY = 'process-operator'
HOSTS = ('h1', 'h2', 'h3')
TIMEOUT_SECONDS = 60
LOAD_SECONDS = 12
SEEDS = (1, 2, 3)


class ClusterProcesses:
    """The processes of a small cluster and their ports."""

    def __init__(self, stack: ExitStack, folder: Path) -> None:
        """Assign ports; each process will log to a file in ``folder``."""
        self._stack = stack
        self._folder = folder
        self.ports = {
            name: free_port()
            for name in ('log', 'e1', 'e2', 's1', 's2', *HOSTS)
        }
        self.peer_ports = {name: free_port() for name in HOSTS}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.environment = {
            **os.environ,
            'BURDOCKLEDGE_PEER_KEYS': 'a key of the processes',
            'BURDOCKLEDGE_OPERATOR_KEY_HASHES': hash_key(OPERATOR_KEY),
            'BURDOCKLEDGE_LOG_URL': self.url('log'),
            'BURDOCKLEDGE_OPERATOR_KEY': OPERATOR_KEY,
        }

    def url(self, name: str) -> str:
        """Return the URL of a process."""
        return f'http://127.0.0.1:{self.ports[name]}'

    def start(self, name: str, *arguments: str) -> None:
        """Start a process that is killed when the test ends."""
        log = (self._folder / f'{name}.log').open('ab')
        process = subprocess.Popen(
            ('burdockledge', *arguments),
            env=self.environment,
            stdout=log,
            stderr=log,
        )
        self.processes[name] = process
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)

    def start_host(self, name: str) -> None:
        """Start an entry host."""
        seeds = ','.join(
            f'127.0.0.1:{port}' for port in self.peer_ports.values()
        )
        self.start(
            name,
            'serve',
            f'--host_id={name}',
            '--data_centre=dc1',
            f'--caller_address=127.0.0.1:{self.ports[name]}',
            f'--peer_address=127.0.0.1:{self.peer_ports[name]}',
            f'--seeds={seeds}',
        )

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(signal_number)


def start_cluster(stack: ExitStack, folder: Path) -> ClusterProcesses:
    """Start all processes and publish the configuration."""
    cluster = ClusterProcesses(stack, folder)
    for name, kind in (
        ('log', 'log'),
        ('e1', 'engine'),
        ('e2', 'engine'),
        ('s1', 'service'),
        ('s2', 'service'),
    ):
        address = f'--address=127.0.0.1:{cluster.ports[name]}'
        cluster.start(name, 'standin', kind, address)
    for name in HOSTS:
        cluster.start_host(name)
    wait_until_ready([cluster.url(name) for name in HOSTS])
    path = folder / 'configuration.json'
    path.write_text(json.dumps(configuration(cluster)), 'utf-8')
    subprocess.run(
        (
            'burdockledge',
            'config',
            'patch',
            '--base=0',
            f'--file={path}',
            f'--entry_host={cluster.url("h1")}',
        ),
        env=cluster.environment,
        check=True,
    )
    return cluster


def wait_until_ready(urls: list[str]) -> None:
    """Wait until the health endpoint of every host returns 200."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    for url in urls:
        while not is_ready(url):
            assert time.monotonic() < deadline, f'{url} is not ready'
            time.sleep(0.1)


def is_ready(url: str) -> bool:
    """Return whether the health endpoint of a host returns 200."""
    try:
        with urllib.request.urlopen(f'{url}/health', timeout=1) as response:
            return bool(response.status == 200)
    except OSError:
        return False


def configuration(cluster: ClusterProcesses) -> dict[str, Any]:
    """Return a configuration with two request classes."""
    servers: dict[str, Any] = {
        name: {
            'kind': 'engine',
            'url': cluster.url(name),
            'data_centre': 'dc1',
            'models': ['m'],
        }
        for name in ('e1', 'e2')
    }
    for name in ('s1', 's2'):
        servers[name] = {
            'kind': 'service',
            'url': cluster.url(name),
            'data_centre': 'dc1',
            'service': 'ledger',
        }
    class_defaults = {'tier': 0, 'first_token_ms': 2000, 'total_ms': 15_000}
    return {
        'servers': servers,
        'classes': {
            'counter': {**class_defaults, 'servers': ['e1', 'e2']},
            'payment': {**class_defaults, 'servers': ['s1', 's2']},
        },
        'teams': {
            'a': {
                'key_hashes': [hash_key(TEAM_KEY)],
                'classes': ['counter', 'payment'],
            },
        },
    }


def workload(seed: int) -> dict[str, Any]:
    """Return a load of payments and generations."""
    common = {'team_key': TEAM_KEY}
    return {
        'seed': seed,
        'phases': [{'seconds': LOAD_SECONDS, 'factor': 1}],
        'first_token_ms': {'counter': 2000, 'payment': 2000},
        'streams': [
            {
                **common,
                'name': 'reply',
                'class_name': 'counter',
                'rate': 15,
                'model': 'm',
                'tokens': 40,
            },
            {
                **common,
                'name': 'payment',
                'class_name': 'payment',
                'kind': 'service',
                'rate': 15,
                'service': 'ledger',
            },
        ],
    }


def inject_faults(cluster: ClusterProcesses, random: Random) -> None:
    """Kill, pause, restart and drain processes while the load runs."""
    killed_host, other_host, drained_host = random.sample(HOSTS, 3)
    time.sleep(2)
    cluster.signal(killed_host, signal.SIGKILL)
    time.sleep(1)
    paused_process = random.choice(('s1', 's2', other_host, 'log', 'e1'))
    cluster.signal(paused_process, signal.SIGSTOP)
    time.sleep(2)
    cluster.signal(paused_process, signal.SIGCONT)
    cluster.start_host(killed_host)
    wait_until_ready([cluster.url(killed_host)])
    cluster.signal(drained_host, signal.SIGTERM)
    time.sleep(1)
    cluster.signal('e1', signal.SIGKILL)


@pytest.mark.parametrize('seed', SEEDS)
def test_reported_outcomes_match_executions(seed: int, tmp_path: Path) -> None:
    """Each key runs at most once and every reported outcome is true."""
    with ExitStack() as stack:
        cluster = start_cluster(stack, tmp_path)
        path = tmp_path / 'workload.json'
        path.write_text(json.dumps(workload(seed)), 'utf-8')
        load = subprocess.Popen(
            (
                'burdockledge',
                'load',
                f'--workload={path}',
                '--entry_hosts='
                f'{",".join(cluster.url(name) for name in HOSTS)}',
                f'--audit_services={cluster.url("s1")},{cluster.url("s2")}',
                f'--report={tmp_path / "report.json"}',
            ),
            env=cluster.environment,
        )
        stack.callback(load.kill)
        inject_faults(cluster, Random(seed))
        assert load.wait(TIMEOUT_SECONDS) == 0
        report = json.loads((tmp_path / 'report.json').read_text('utf-8'))
        print(f'seed {seed}: {json.dumps(report)}')
        assert report['wrong_answers'] == 0
        assert report['untrue_outcomes'] == 0
