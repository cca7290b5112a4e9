"""``burdockledge drain``: start a graceful shutdown of an entry host."""

from __future__ import annotations

from result import Err

from burdockledge.cli._client import OperatorSettings, call_host
from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_result,
    run_async,
)


class Drain(Command[OperatorSettings]):
    """Tell an entry host to complete its requests in flight and stop."""

    words = ('drain',)
    summary = 'start a graceful shutdown of an entry host'
    settings_model = OperatorSettings

    def run(self, settings: OperatorSettings) -> ExitCode:
        """Request the shutdown without waiting for its end."""
        return run_async(self._drain(settings))

    async def _drain(self, settings: OperatorSettings) -> ExitCode:
        response = await call_host(settings, 'POST', '/admin/drain')
        if isinstance(response, Err):
            return response.err_value
        print_result('draining', response.ok_value.document, settings.output)
        return ExitCode.ok


__all__ = ('Drain',)
