"""
Real processes under load: kill -9, SIGSTOP and SIGCONT, SIGTERM.

What callers were told is compared with what the plain services executed.
Run by ``make processes``; it takes real time and is not part of the suite.
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
from tests.gateway.running_host import free_port

TEAM_KEY = 'process-team'
OPERATOR_KEY = 'process-operator'
HOSTS = ('h1', 'h2', 'h3')
LIMIT_SECONDS = 60
LOAD_SECONDS = 12
SEEDS = (1, 2, 3)


class Processes:
    """The processes of a small site."""

    def __init__(self, stack: ExitStack, folder: Path) -> None:
        """Start them with logs in a folder."""
        self._stack = stack
        self._folder = folder
        self.ports = {
            name: free_port()
            for name in ('log', 'e1', 'e2', 's1', 's2', *HOSTS)
        }
        self.peers = {name: free_port() for name in HOSTS}
        self.running: dict[str, subprocess.Popen[bytes]] = {}
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
        """Start a process, ended with the test."""
        log = (self._folder / f'{name}.log').open('ab')
        process = subprocess.Popen(
            ('burdockledge', *arguments),
            env=self.environment,
            stdout=log,
            stderr=log,
        )
        self.running[name] = process
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)

    def start_host(self, name: str) -> None:
        """Start an entry host."""
        seeds = ','.join(f'127.0.0.1:{port}' for port in self.peers.values())
        self.start(
            name,
            'serve',
            f'--host_id={name}',
            '--data_centre=dc1',
            f'--caller_address=127.0.0.1:{self.ports[name]}',
            f'--peer_address=127.0.0.1:{self.peers[name]}',
            f'--seeds={seeds}',
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.running[name].send_signal(number)


def start_site(stack: ExitStack, folder: Path) -> Processes:
    """Start everything and publish the configuration."""
    site = Processes(stack, folder)
    for name, kind in (
        ('log', 'log'),
        ('e1', 'engine'),
        ('e2', 'engine'),
        ('s1', 'service'),
        ('s2', 'service'),
    ):
        address = f'--address=127.0.0.1:{site.ports[name]}'
        site.start(name, 'standin', kind, address)
    for name in HOSTS:
        site.start_host(name)
    wait_ready([site.url(name) for name in HOSTS])
    path = folder / 'configuration.json'
    path.write_text(json.dumps(configuration(site)), 'utf-8')
    subprocess.run(
        (
            'burdockledge',
            'config',
            'patch',
            '--base=0',
            f'--file={path}',
            f'--entry_host={site.url("h1")}',
        ),
        env=site.environment,
        check=True,
    )
    return site


def wait_ready(urls: list[str]) -> None:
    """Wait until every host answers that it is ready."""
    deadline = time.monotonic() + LIMIT_SECONDS
    for url in urls:
        while not is_ready(url):
            assert time.monotonic() < deadline, f'{url} is not ready'
            time.sleep(0.1)


def is_ready(url: str) -> bool:
    """Tell whether a host is ready."""
    try:
        with urllib.request.urlopen(f'{url}/health', timeout=1) as answer:
            return bool(answer.status == 200)
    except OSError:
        return False


def configuration(site: Processes) -> dict[str, Any]:
    """Return a configuration of two classes."""
    servers: dict[str, Any] = {
        name: {
            'kind': 'engine',
            'url': site.url(name),
            'data_centre': 'dc1',
            'models': ['m'],
        }
        for name in ('e1', 'e2')
    }
    for name in ('s1', 's2'):
        servers[name] = {
            'kind': 'service',
            'url': site.url(name),
            'data_centre': 'dc1',
            'service': 'ledger',
        }
    class_of = {'tier': 0, 'first_token_ms': 2000, 'total_ms': 15_000}
    return {
        'servers': servers,
        'classes': {
            'counter': {**class_of, 'servers': ['e1', 'e2']},
            'payment': {**class_of, 'servers': ['s1', 's2']},
        },
        'teams': {
            'a': {
                'key_hashes': [hash_key(TEAM_KEY)],
                'classes': ['counter', 'payment'],
            },
        },
    }


def workload(seed: int) -> dict[str, Any]:
    """Return payments and generations for some seconds."""
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


def disturb(site: Processes, random: Random) -> None:
    """Kill, pause and stop processes while the load runs."""
    first, second, third = random.sample(HOSTS, 3)
    time.sleep(2)
    site.signal(first, signal.SIGKILL)
    time.sleep(1)
    paused = random.choice(('s1', 's2', second, 'log', 'e1'))
    site.signal(paused, signal.SIGSTOP)
    time.sleep(2)
    site.signal(paused, signal.SIGCONT)
    site.start_host(first)
    wait_ready([site.url(first)])
    site.signal(third, signal.SIGTERM)
    time.sleep(1)
    site.signal('e1', signal.SIGKILL)


@pytest.mark.parametrize('seed', SEEDS)
def test_what_is_told_is_true(seed: int, tmp_path: Path) -> None:
    """No key runs twice, and every told outcome is true."""
    with ExitStack() as stack:
        site = start_site(stack, tmp_path)
        path = tmp_path / 'workload.json'
        path.write_text(json.dumps(workload(seed)), 'utf-8')
        load = subprocess.Popen(
            (
                'burdockledge',
                'load',
                f'--workload={path}',
                f'--entry_hosts={",".join(site.url(name) for name in HOSTS)}',
                f'--audit_services={site.url("s1")},{site.url("s2")}',
                f'--report={tmp_path / "report.json"}',
            ),
            env=site.environment,
        )
        stack.callback(load.kill)
        disturb(site, Random(seed))
        assert load.wait(LIMIT_SECONDS) == 0
        report = json.loads((tmp_path / 'report.json').read_text('utf-8'))
        print(f'seed {seed}: {json.dumps(report)}')
        assert report['wrong_answers'] == 0
        assert report['untrue_outcomes'] == 0
