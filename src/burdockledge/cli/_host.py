"""``burdockledge host``: run an entry host on the users' platform."""

from __future__ import annotations

import gc
from dataclasses import replace
from pathlib import Path

from pydantic import Field
from result import Err

from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_error,
    run_async,
)
from burdockledge.host_process import serve_host
from burdockledge.peers import PeerKeys, PeerKeysError
from burdockledge.platform import load_host_settings
from burdockledge.settings import (
    CommaList,
    CommandSettings,
    RelayHostSettings,
)
from burdockledge.settings_watcher import file_modified_ns
from burdockledge.telemetry import configure_logs


class HostSettings(CommandSettings):
    """Settings of ``burdockledge host``."""

    settings_file: Path = Field(
        description='settings file that the platform wrote for this host',
    )
    peer_keys: CommaList = Field(
        description='keys shared by all entry hosts; the first one signs',
    )
    suspend_server_orders: bool = Field(
        default=False,
        description='plan and log orders of servers, but send none',
    )
    log_level: str = Field(
        default='info',
        pattern='^(debug|info|warning|error)$',
        description='lowest level logged: debug, info, warning or error',
    )


class Host(Command[HostSettings]):
    """Run an entry host until SIGTERM, then complete requests in flight."""

    words = ('host',)
    summary = "run an entry host on the users' platform"
    settings_model = HostSettings

    def run(self, settings: HostSettings) -> ExitCode:
        """Serve until the graceful shutdown is complete."""
        # Imported objects live as long as the process: exempt them from
        # garbage collection.
        gc.freeze()
        settings_modified_ns = file_modified_ns(settings.settings_file)
        loaded = load_host_settings(settings.settings_file)
        if isinstance(loaded, Err):
            print_error(f'settings_file: {loaded.err_value}')
            return ExitCode.usage
        host_settings = replace(
            loaded.ok_value, suspends_orders=settings.suspend_server_orders
        )
        configure_logs(settings.log_level, host_settings.host)
        try:
            keys = PeerKeys(settings.peer_keys, None)
            return run_async(
                self._serve(settings, host_settings, settings_modified_ns, keys)
            )
        except (OSError, PeerKeysError) as error:
            print_error(f'the host failed to start: {error}')
            return ExitCode.failed

    async def _serve(
        self,
        settings: HostSettings,
        host_settings: RelayHostSettings,
        settings_modified_ns: int,
        keys: PeerKeys,
    ) -> ExitCode:
        await serve_host(
            host_settings,
            settings.settings_file,
            settings_modified_ns,
            keys,
        )
        return ExitCode.ok


__all__ = ('Host',)
