"""The executable runs with an empty environment and starts no process."""

from __future__ import annotations

import socket
import subprocess
import time
import urllib.error
import urllib.request
from pathlib import Path

BINARY = Path(__file__).parent.parent / 'dist' / 'burdockledge'
TIMEOUT_SECONDS = 30


def free_port() -> int:
    """Return a TCP port that is currently free."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def child_pids(pid: int) -> str:
    """Return the child process ids, separated by spaces."""
    return Path(f'/proc/{pid}/task/{pid}/children').read_text('utf-8').strip()


def wait_for_health_status(port: int, deadline: float) -> int:
    """Poll the health endpoint and return its first HTTP status."""
    while time.monotonic() < deadline:
        try:
            url = f'http://127.0.0.1:{port}/health'
            with urllib.request.urlopen(url, timeout=1) as response:
                return int(response.status)
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            time.sleep(0.05)
    raise AssertionError('health endpoint did not respond before the deadline')


def test_version() -> None:
    """The version command needs no environment variables."""
    version = subprocess.run(
        [BINARY, 'version'], env={}, capture_output=True, check=True
    )
    assert version.stdout.strip()


def test_serves_alone() -> None:
    """The server has no child process and exits with 0 on SIGTERM."""
    port = free_port()
    arguments = [
        '--host_id=h1',
        '--data_centre=dc1',
        f'--caller_address=127.0.0.1:{port}',
        f'--peer_address=127.0.0.1:{free_port()}',
        f'--log_url=http://127.0.0.1:{free_port()}',
        '--peer_keys=0123456789abcdef',
    ]
    process = subprocess.Popen([BINARY, 'serve', *arguments], env={})
    try:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        # No log server runs, so the host has no configuration: not ready.
        assert wait_for_health_status(port, deadline) == 503
        assert child_pids(process.pid) == ''
        process.terminate()
        assert process.wait(TIMEOUT_SECONDS) == 0
    finally:
        process.kill()
