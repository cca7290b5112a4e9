"""``burdockledge load``: generate load and check every response."""

from __future__ import annotations

import json
import sys
import time
from functools import partial
from pathlib import Path
from typing import Final, Literal

import aiohttp
from pydantic import Field, ValidationError

from burdockledge.cli._client import make_ssl
from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_error,
    print_result,
    run_async,
    try_plot,
)
from burdockledge.loadgen import (
    LoadReport,
    LoadRunner,
    RunResults,
    Workload,
    audit_executions,
    plot_report,
    render_table,
)
from burdockledge.settings import CommaList, CommandSettings

_PROGRESS_SECONDS: Final = 1


class LoadSettings(CommandSettings):
    """Settings of ``load``."""

    workload: Path = Field(description='workload file, JSON')
    entry_hosts: CommaList = Field(
        min_length=1,
        description='URLs of entry hosts to ask first',
    )
    audit_services: CommaList = Field(
        default=(),
        description='URLs of plain service stand-ins whose executions are '
        'compared with the outcomes reported to callers',
    )
    ca: Path | None = Field(
        default=None,
        description='PEM authority that signs the entry hosts',
    )
    report: Path | None = Field(
        default=None,
        description='output file for the report as JSON',
    )
    plot: Path | None = Field(
        default=None,
        description='output file for the plot, PNG; needs matplotlib',
    )
    output: Literal['text', 'json'] = Field(
        default='text',
        description='output format: text or json',
    )


class Load(Command[LoadSettings]):
    """Send an open-loop workload to the entry hosts."""

    words = ('load',)
    summary = 'generate load and check every response'
    settings_model = LoadSettings

    def run(self, settings: LoadSettings) -> ExitCode:
        """Run the workload; fail if a response or an outcome is wrong."""
        try:
            text = settings.workload.read_text('utf-8')
            workload = Workload.model_validate_json(text)
        except (OSError, ValidationError) as error:
            print_error(f'workload: {error}')
            return ExitCode.usage
        return run_async(self._load(settings, workload))

    async def _load(
        self,
        settings: LoadSettings,
        workload: Workload,
    ) -> ExitCode:
        connector = aiohttp.TCPConnector(limit=0, ssl=make_ssl(settings.ca))
        async with aiohttp.ClientSession(connector=connector) as session:
            runner = LoadRunner(
                session,
                workload,
                settings.entry_hosts,
                _ProgressLine(),
            )
            run_results = await runner.run()
            execution_counts = [
                await _fetch_execution_counts(session, url)
                for url in settings.audit_services
            ]
        findings = (
            audit_executions(run_results, execution_counts)
            if execution_counts
            else []
        )
        for finding in findings:
            print_error(
                f'wrong outcome: {finding.key} was reported as '
                f'{finding.outcome} and ran {finding.executions} times',
            )
        report = LoadReport.from_results(
            run_results, workload.first_token_ms, len(findings)
        )
        _write_report(settings, run_results, report)
        print_result(render_table(report), report.as_dict(), settings.output)
        return ExitCode.ok if report.is_correct else ExitCode.failed


class _ProgressLine:
    """Prints the progress on standard error at most once a second."""

    def __init__(self) -> None:
        self._printed_at = time.monotonic()

    def __call__(self, done: int, total: int) -> None:
        now = time.monotonic()
        if now - self._printed_at < _PROGRESS_SECONDS and done < total:
            return
        self._printed_at = now
        sys.stderr.write(f'\r{done} of {total} requests completed')
        if done >= total:
            sys.stderr.write('\n')
        sys.stderr.flush()


async def _fetch_execution_counts(
    session: aiohttp.ClientSession,
    url: str,
) -> dict[str, int]:
    async with session.get(f'{url}/executions') as response:
        execution_counts: dict[str, int] = await response.json()
    return execution_counts


def _write_report(
    settings: LoadSettings,
    run_results: RunResults,
    report: LoadReport,
) -> None:
    if settings.report is not None:
        text = json.dumps(report.as_dict(), indent=2)
        settings.report.write_text(f'{text}\n', 'utf-8')
    if settings.plot is not None:
        try_plot(partial(plot_report, run_results, settings.plot))


__all__ = ('Load',)
