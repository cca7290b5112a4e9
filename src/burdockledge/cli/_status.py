"""``burdockledge status``: print the state of an entry host."""

from __future__ import annotations

from result import Err

from burdockledge.cli._client import OperatorSettings, call_host
from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_result,
    run_async,
)


class Status(Command[OperatorSettings]):
    """Print the state of an entry host and its view of the other hosts."""

    words = ('status',)
    summary = 'print the state of an entry host'
    settings_model = OperatorSettings

    def run(self, settings: OperatorSettings) -> ExitCode:
        """Print the state of the host, its schedulers and members."""
        return run_async(self._status(settings))

    async def _status(self, settings: OperatorSettings) -> ExitCode:
        response = await call_host(settings, 'GET', '/admin/status')
        if isinstance(response, Err):
            return response.err_value
        status = response.ok_value.document
        lines = [
            f'{status["host"]} in {status["data_centre"]}: {status["state"]}',
            f'version {status["version"]}, {status["in_flight"]} in flight, '
            f'{status["pending"]} waiting, {status["keys"]} keys',
        ]
        lines.extend(
            f'  scheduler of {name}: {scheduler["running"]} running, '
            f'{scheduler["waiting"]} waiting'
            for name, scheduler in sorted(status['leads'].items())
        )
        lines.extend(
            f'  member {member["host"]} in {member["data_centre"]}: '
            f'{member["status"]}'
            for member in sorted(status['members'], key=_host_name)
        )
        print_result('\n'.join(lines), status, settings.output)
        return ExitCode.ok


def _host_name(member: dict[str, str]) -> str:
    return member['host']


__all__ = ('Status',)
