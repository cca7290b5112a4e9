"""``burdockledge bench relay|capacity``: baseline and resource use."""

from __future__ import annotations

import json
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from pydantic import Field

from burdockledge.bench import (
    CapacityData,
    LinearFit,
    fit_line,
    measure_calibration_seconds,
    measure_scaling,
    render_capacity,
    run_relay,
)
from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_result,
    run_async,
    try_plot,
)
from burdockledge.settings import CommandSettings

if TYPE_CHECKING:
    from collections.abc import Iterable

_US_PER_SECOND: Final = 1_000_000
_HOST_METRICS: Final = (
    'core_share',
    'memory_bytes',
    'datagrams',
    'datagram_bytes',
)
_LOAD_METRICS: Final = ('core_share', 'peer_frames', 'peer_bytes')
_LOAD_TEST_HOSTS: Final = 3


class RelaySettings(CommandSettings):
    """Settings of ``bench relay``."""

    address: str = Field(description='IP:port to listen on')
    engine_url: str = Field(description='URL of the engine')


class CapacitySettings(CommandSettings):
    """Settings of ``bench capacity``."""

    hosts: Path = Field(
        description='JSON Lines file: resource use for each number of hosts',
    )
    load: Path = Field(
        description='JSON Lines file: resource use for each request rate',
    )
    data: Path = Field(
        description='output file for the measurements and fitted lines',
    )
    page: Path = Field(description='output file for the capacity page')
    plot: Path | None = Field(
        default=None,
        description='output file for the plot; needs matplotlib',
    )


class BenchRelay(Command[RelaySettings]):
    """Run a minimal relay, the baseline for latency comparisons."""

    words = ('bench', 'relay')
    summary = 'run a minimal relay, the baseline for latency comparisons'
    settings_model = RelaySettings

    def run(self, settings: RelaySettings) -> ExitCode:
        """Serve until stopped."""
        return run_async(self._relay(settings))

    async def _relay(self, settings: RelaySettings) -> ExitCode:
        await run_relay(settings.address, settings.engine_url)
        return ExitCode.ok


class BenchCapacity(Command[CapacitySettings]):
    """Measure resource use against load and write the capacity page."""

    words = ('bench', 'capacity')
    summary = 'measure resource use against load; write the capacity page'
    settings_model = CapacitySettings

    def run(self, settings: CapacitySettings) -> ExitCode:
        """Measure, save the measurements, and render the page from them."""
        calibration = measure_calibration_seconds()
        lines = measure_scaling()
        lines.update(
            _fit_process_metrics(settings.hosts, 'hosts', _HOST_METRICS, 1)
        )
        lines.update(
            _fit_process_metrics(
                settings.load, 'rate', _LOAD_METRICS, _LOAD_TEST_HOSTS
            ),
        )
        capacity = CapacityData(
            calibration_us=calibration * _US_PER_SECOND, lines=lines
        )
        settings.data.parent.mkdir(parents=True, exist_ok=True)
        settings.data.write_text(
            f'{capacity.model_dump_json(indent=2)}\n',
            'utf-8',
        )
        settings.page.write_text(render_capacity(capacity), 'utf-8')
        if settings.plot is not None:
            try_plot(partial(_plot_capacity, capacity, settings.plot))
        print_result(f'{settings.page} written', None, 'text')
        return ExitCode.ok


def _fit_process_metrics(
    path: Path,
    size_field: str,
    metrics: Iterable[str],
    host_count: int,
) -> dict[str, LinearFit]:
    """
    Fit one line for each metric against the size per host.

    The sizes in the file are totals over ``host_count`` hosts.
    """
    rows: list[dict[str, Any]] = [
        json.loads(text) for text in path.read_text('utf-8').splitlines()
    ]
    sizes = [row[size_field] / host_count for row in rows]
    kind = 'host' if size_field == 'hosts' else 'loaded_host'
    unit = 'host' if size_field == 'hosts' else 'request_a_second'
    return {
        f'{kind}_{metric}_by_{unit}': fit_line(
            sizes,
            [row['measured'][metric] for row in rows],
        )
        for metric in metrics
    }


def _plot_capacity(capacity: CapacityData, path: Path) -> None:
    from matplotlib.figure import Figure

    columns = 4
    metrics = sorted(capacity.lines)
    rows = -(-len(metrics) // columns)
    figure = Figure(figsize=(16, 3 * rows))
    for position, metric in enumerate(metrics, start=1):
        line = capacity.lines[metric]
        axes = figure.add_subplot(rows, columns, position)
        axes.plot(line.sizes, line.measured, 'o')
        axes.plot(line.sizes, [line.at(size) for size in line.sizes], '-')
        axes.set_title(metric, fontsize=7)
        axes.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, dpi=60)


__all__ = ('BenchCapacity', 'BenchRelay')
