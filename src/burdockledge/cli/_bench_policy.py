"""``burdockledge bench policy|policy-page``: compare placement policies."""

from __future__ import annotations

import json
from functools import partial
from itertools import product
from pathlib import Path

from pydantic import Field

from burdockledge.bench import (
    SCENARIOS,
    SIZES,
    load_runs,
    plot_policy,
    render_policy,
    run_policies,
)
from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_result,
    try_plot,
)
from burdockledge.settings import CommandSettings
from burdockledge.telemetry import configure_logs


class PolicySettings(CommandSettings):
    """Settings of ``bench policy``."""

    seed: int = Field(default=1, description='seed of arrivals and faults')
    file: Path = Field(description='output file for the results as JSON')


class PolicyPageSettings(CommandSettings):
    """Settings of ``bench policy-page``."""

    runs: Path = Field(description='directory of results, one file per seed')
    data: Path = Field(description='output file for the results of all seeds')
    page: Path = Field(description='output file for the comparison page')
    plot: Path | None = Field(
        default=None,
        description='output file for the plot; needs matplotlib',
    )


class BenchPolicy(Command[PolicySettings]):
    """Run every policy on every scenario and cluster size for one seed."""

    words = ('bench', 'policy')
    summary = 'compare placement policies in virtual time'
    settings_model = PolicySettings

    def run(self, settings: PolicySettings) -> ExitCode:
        """Run the simulations and write their results."""
        configure_logs('error', 'bench')
        results = [
            run.as_dict()
            for size, scenario in product(SIZES, SCENARIOS)
            for run in run_policies(scenario, size, settings.seed)
        ]
        settings.file.write_text(json.dumps(results), 'utf-8')
        return ExitCode.ok


class BenchPolicyPage(Command[PolicyPageSettings]):
    """Merge the results of all seeds and write the comparison page."""

    words = ('bench', 'policy-page')
    summary = 'write the policy comparison page from saved results'
    settings_model = PolicyPageSettings

    def run(self, settings: PolicyPageSettings) -> ExitCode:
        """Save the merged results, render the page and draw the plot."""
        merged = [
            json.dumps(run)
            for path in sorted(settings.runs.glob('*.json'))
            for run in json.loads(path.read_text('utf-8'))
        ]
        text = ',\n'.join(merged)
        settings.data.write_text(f'[\n{text}\n]\n', 'utf-8')
        runs = load_runs(settings.data)
        settings.page.write_text(render_policy(runs), 'utf-8')
        if settings.plot is not None:
            try_plot(partial(plot_policy, runs, settings.plot))
        print_result(f'{settings.page} written', None, 'text')
        return ExitCode.ok


__all__ = ('BenchPolicy', 'BenchPolicyPage')
