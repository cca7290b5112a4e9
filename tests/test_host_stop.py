"""The end of a host process within its grace time."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from dataclasses import replace
from functools import partial
from typing import Final

import aiohttp
import pytest

from burdockledge.clock import Clock
from burdockledge.host import RelayHost
from burdockledge.peers import PeerKeys
from burdockledge.stop_plan import StopPlan
from tests.platform_adapter.front_harness import make_settings

PEER_KEYS: Final = PeerKeys(('a key of sixteen characters',), None)
# Ends by itself only much later.
GUARDED_PROCESS: Final = """
import time
from burdockledge.clock import SystemClock
from burdockledge.kernel import ExitGuard
from burdockledge.telemetry import configure_logs

configure_logs('info', 'h')
clock = SystemClock()
guard = ExitGuard(clock, clock.monotonic() + 0.3, {describe})
guard.start()
{work}
"""

# A host whose membership blocks or hangs as it stops.
HOST_PROCESS: Final = """
import asyncio, os, signal, time
from dataclasses import replace
from pathlib import Path
from burdockledge.host_process import serve_host
from burdockledge.membership import Membership
from burdockledge.peers import PeerKeys
from burdockledge.telemetry import configure_logs
from tests.platform_adapter.front_harness import make_settings
from tests.ports import free_port

async def hang(_):
    {work}

async def run():
    loop = asyncio.get_running_loop()
    loop.call_later(0.5, os.kill, os.getpid(), signal.SIGTERM)
    loop.call_later(0.5, print, 'SIGTERM')
    keys = PeerKeys(('a key of sixteen characters',), None)
    settings = replace(
        make_settings(), exchange_port=free_port(), grace_seconds=2.0
    )
    await serve_host(settings, Path('/nonexistent'), 0, keys)

configure_logs('info', 'h')
Membership.stop = hang
asyncio.run(run())
"""


async def hang(how: str) -> None:
    """Never end, or fail."""
    if how == 'fails':
        raise OSError
    while True:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            if how == 'hangs':
                raise


@pytest.mark.parametrize('how', ['hangs', 'swallows its cancellation', 'fails'])
@pytest.mark.parametrize('name', ['front', 'evidence-keeper', 'membership'])
def test_a_service_that_does_not_stop_is_left_behind(
    how: str, name: str
) -> None:
    """Guards against hosts that the platform kills at the end of the grace."""

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            settings = replace(make_settings(), grace_seconds=1.5)
            host = RelayHost(settings, PEER_KEYS, session)
            services = (
                host.front,
                host.membership,
                host.exchange,
                host.store_reader,
                host.evidence_keeper,
            )
            stopped: list[str] = []
            for service in services:
                vars(service)['start'] = partial(asyncio.sleep, 0)
                vars(service)['stop'] = (
                    partial(hang, how)
                    if service.name == name
                    else partial(
                        asyncio.to_thread, stopped.append, service.name
                    )
                )
            await host.start()
            started_at = time.monotonic()
            async with asyncio.timeout(5):
                await host.drain()
                await host.stop()
            assert time.monotonic() - started_at < settings.grace_seconds
            assert len(stopped) == len(services) - 1
            left = [] if how == 'fails' else [name]
            assert host.open_at_exit()['services'] == left

    loop = asyncio.new_event_loop()
    try:
        loop.run_until_complete(run())
    finally:
        # Nothing ends a task that swallows its cancellation.
        loop.close()


@pytest.mark.parametrize(
    ('describe', 'work', 'line'),
    [
        ("lambda: {'services': ['front']}", 'time.sleep(60)', 'front'),
        ('lambda: 1 / 0', 'while True: pass', ''),
    ],
)
def test_the_process_ends_at_the_deadline(
    describe: str, work: str, line: str
) -> None:
    """Guards against a blocked event loop that outlasts the grace time."""
    program = GUARDED_PROCESS.format(describe=describe, work=work)
    ended = subprocess.run(  # noqa: S603
        (sys.executable, '-c', program),
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert ended.returncode == 0
    assert line in ended.stdout.decode()


@pytest.mark.parametrize(
    'work', ['time.sleep(60)', 'await asyncio.sleep(60)', 'pass']
)
def test_a_host_process_ends_within_its_grace_time(work: str) -> None:
    """Guards against hosts that are still there when the platform kills."""
    with subprocess.Popen(  # noqa: S603
        (sys.executable, '-u', '-c', HOST_PROCESS.format(work=work)),
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    ) as process:
        assert process.stdout is not None
        try:
            while b'SIGTERM' not in process.stdout.readline():
                assert process.poll() is None
            stopped_at = time.monotonic()
            process.stdout.read()
            assert process.wait(30) == 0
            assert time.monotonic() - stopped_at < 2.0
        finally:
            process.kill()


class SteppedClock(Clock):
    """A clock that a test sets."""

    now = 100.0

    def monotonic(self) -> float:
        """Return the time that the test set."""
        return self.now

    def wall_ms(self) -> int:
        """Return a fixed time."""
        return 0


@pytest.mark.parametrize(
    ('lags', 'drain_seconds', 'exit_seconds'),
    [
        ((), 7.4, 7.75),
        # As before in calm, and after one stall.
        ((0.01, 0.02, 0.01), 7.4, 7.75),
        ((3.0, 0.01), 7.4, 7.75),
        ((0.3, 0.2, 0.25), 7.0, 7.6),
        # Calls keep most of the grace time however slow the machine is.
        ((3.0, 2.0), 6.4, 7.36),
    ],
)
def test_margins_grow_with_the_lag_of_timers(
    lags: tuple[float, ...], drain_seconds: float, exit_seconds: float
) -> None:
    """Guards against fixed margins that are too short on half a core."""
    plan = StopPlan(SteppedClock(), 8.0)
    for lag in lags:
        plan.note_lag(lag)
    assert plan.drain_ends_at == pytest.approx(100 + drain_seconds)
    assert plan.exits_at == pytest.approx(100 + exit_seconds)
