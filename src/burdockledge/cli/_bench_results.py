"""``burdockledge bench results``: the page of benchmark results."""

from __future__ import annotations

from functools import partial
from pathlib import Path

from pydantic import Field
from result import Err

from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_error,
    try_plot,
)
from burdockledge.platform.results import (
    plot_results,
    read_journal,
    render_results,
)
from burdockledge.settings import CommandSettings


class ResultsSettings(CommandSettings):
    """Settings of ``bench results``."""

    journal: Path = Field(description='directory of the journal entries')
    page: Path = Field(description='output file for the results page')
    plot: Path | None = Field(
        default=None,
        description='output file for the plot; needs matplotlib',
    )


class BenchResults(Command[ResultsSettings]):
    """Write the table and the plot of all runs of the users' benchmark."""

    words = ('bench', 'results')
    summary = "write the results page of the users' benchmark"
    settings_model = ResultsSettings

    def run(self, settings: ResultsSettings) -> ExitCode:
        """Read the journal, render and plot."""
        loaded = read_journal(settings.journal)
        if isinstance(loaded, Err):
            print_error(f'journal: {loaded.err_value}')
            return ExitCode.usage
        settings.page.write_text(render_results(loaded.ok_value), 'utf-8')
        if settings.plot is None:
            return ExitCode.ok
        plot = partial(plot_results, loaded.ok_value, settings.plot)
        return ExitCode.ok if try_plot(plot) else ExitCode.failed


__all__ = ('BenchResults',)
