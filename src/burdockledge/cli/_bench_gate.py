"""``burdockledge bench gate``: the cost of checking servers."""

from __future__ import annotations

from dataclasses import asdict

from pydantic import Field

from burdockledge.bench import SERVER_COUNT, measure_gate, render_gate
from burdockledge.cli._command import Command, ExitCode, print_result
from burdockledge.settings import CommandSettings
from burdockledge.telemetry import configure_logs


class GateSettings(CommandSettings):
    """Settings of ``bench gate``."""

    servers: int = Field(
        default=SERVER_COUNT, ge=1, description='servers of the service'
    )
    rounds: int = Field(
        default=2000, ge=1, description='rounds of each of several runs'
    )
    output: str = Field(
        default='text',
        pattern='^(text|json)$',
        description='format of the result: text or json',
    )


class BenchGate(Command[GateSettings]):
    """Measure the check whether servers may be used; fail over its bound."""

    words = ('bench', 'gate')
    summary = 'measure the check whether servers may be used'
    settings_model = GateSettings

    def run(self, settings: GateSettings) -> ExitCode:
        """Measure, and print a table."""
        configure_logs('error', 'bench')
        costs = measure_gate(settings.servers, settings.rounds)
        print_result(render_gate(costs), asdict(costs), settings.output)
        return ExitCode.ok if costs.is_in_bound else ExitCode.failed


__all__ = ('BenchGate',)
