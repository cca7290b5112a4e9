"""``burdockledge serve``: run an entry host."""

from __future__ import annotations

from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_error,
    run_async,
)
from burdockledge.peers import PeerKeysError
from burdockledge.serving import serve
from burdockledge.settings import ServeSettings
from burdockledge.telemetry import configure_logs


class Serve(Command[ServeSettings]):
    """Run an entry host until SIGTERM, then complete requests in flight."""

    words = ('serve',)
    summary = 'run an entry host'
    settings_model = ServeSettings

    def run(self, settings: ServeSettings) -> ExitCode:
        """Serve until the graceful shutdown is complete."""
        configure_logs(settings.log_level, settings.host_id)
        try:
            return run_async(self._serve(settings))
        except (OSError, PeerKeysError) as error:
            print_error(f'the host failed to start: {error}')
            return ExitCode.failed

    async def _serve(self, settings: ServeSettings) -> ExitCode:
        await serve(settings)
        return ExitCode.ok


__all__ = ('Serve',)
