"""Runs an entry host in this process, from its start to its exit."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import aiohttp

from burdockledge.host import RelayHost
from burdockledge.http_client import READ_BYTES, BoundedConnector
from burdockledge.kernel import ExitGuard, LoopWatch, on_stop_signal
from burdockledge.settings_watcher import SettingsWatcher
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from pathlib import Path

    from burdockledge.peers import PeerKeys
    from burdockledge.settings import RelayHostSettings

_log = make_logger('host')


async def serve_host(
    settings: RelayHostSettings,
    settings_path: Path,
    settings_modified_ns: int,
    keys: PeerKeys,
) -> None:
    """
    Run an entry host until SIGTERM or SIGINT, and reload changed settings.

    :param settings_path: the file that is watched for changes.
    :param settings_modified_ns: the modification time of that file when
        ``settings`` were read from it.
    """
    async with aiohttp.ClientSession(
        connector=BoundedConnector(), read_bufsize=READ_BYTES
    ) as session:
        host = RelayHost(settings, keys, session)
        watcher = SettingsWatcher(
            settings_path, settings_modified_ns, host.apply_settings
        )
        host.kernel.register(watcher)
        host.kernel.register(
            LoopWatch(host.metrics, host.clock, time.process_time)
        )
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, watcher.reload_requested.set
        )
        await _run(host)


async def _run(host: RelayHost) -> None:
    stop_requested = asyncio.Event()
    on_stop_signal(stop_requested.set)
    await host.start()
    _log.info('Started.', data_centre=host.settings.data_centre)
    await stop_requested.wait()
    _log.info('Stopping.', in_flight=host.relay.in_flight)
    plan = host.begin_stop()
    guard = ExitGuard(host.clock, plan.exits_at, host.open_at_exit)
    guard.start()
    await host.drain()
    guard.deadline = plan.exits_at
    await host.stop()
    _log.info('Stopped.', in_flight=host.relay.in_flight)


__all__ = ('serve_host',)
