"""``burdockledge bench relay|capacity``: baselines and measurements."""

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

_US: Final = 1_000_000
_HOST_LINES: Final = (
    'core_share',
    'memory_bytes',
    'datagrams',
    'datagram_bytes',
)
_LOAD_LINES: Final = ('core_share', 'peer_frames', 'peer_bytes')
_LOADED_HOSTS: Final = 3


class RelaySettings(CommandSettings):
    """Settings of ``bench relay``."""

    address: str = Field(description='IP:port to listen on')
    engine_url: str = Field(description='URL of the engine')


class CapacitySettings(CommandSettings):
    """Settings of ``bench capacity``."""

    hosts: Path = Field(description='measured hosts, a line of JSON a size')
    load: Path = Field(description='measured load, a line of JSON a rate')
    data: Path = Field(description='file for the recorded measurements')
    page: Path = Field(description='file for the page')
    plot: Path | None = Field(default=None, description='file for the plot')


class BenchRelay(Command[RelaySettings]):
    """Run the bare relay that the product is compared with."""

    words = ('bench', 'relay')
    summary = 'run a bare relay, the baseline of speed'
    settings_model = RelaySettings

    def run(self, settings: RelaySettings) -> ExitCode:
        """Serve until stopped."""
        return run_async(self._relay(settings))

    async def _relay(self, settings: RelaySettings) -> ExitCode:
        await run_relay(settings.address, settings.engine_url)
        return ExitCode.ok


class BenchCapacity(Command[CapacitySettings]):
    """Measure slopes and write the page of capacity."""

    words = ('bench', 'capacity')
    summary = 'measure slopes and write the page of capacity'
    settings_model = CapacitySettings

    def run(self, settings: CapacitySettings) -> ExitCode:
        """Measure, record, and render the page from the record."""
        calibration = measure_calibration_seconds()
        lines = measure_scaling()
        lines.update(_process_lines(settings.hosts, 'hosts', _HOST_LINES, 1))
        lines.update(
            _process_lines(settings.load, 'rate', _LOAD_LINES, _LOADED_HOSTS),
        )
        capacity = CapacityData(calibration_us=calibration * _US, lines=lines)
        settings.data.parent.mkdir(parents=True, exist_ok=True)
        settings.data.write_text(
            f'{capacity.model_dump_json(indent=2)}\n',
            'utf-8',
        )
        settings.page.write_text(render_capacity(capacity), 'utf-8')
        if settings.plot is not None:
            try_plot(partial(_plot, capacity, settings.plot))
        print_result(f'{settings.page} is written', None, 'text')
        return ExitCode.ok


def _process_lines(
    path: Path,
    size_name: str,
    names: Iterable[str],
    hosts: int,
) -> dict[str, LinearFit]:
    """Fit a line a figure; the size is shared by a number of hosts."""
    rows: list[dict[str, Any]] = [
        json.loads(text) for text in path.read_text('utf-8').splitlines()
    ]
    sizes = [row[size_name] / hosts for row in rows]
    kind = 'host' if size_name == 'hosts' else 'loaded_host'
    unit = 'host' if size_name == 'hosts' else 'request_a_second'
    return {
        f'{kind}_{name}_by_{unit}': fit_line(
            sizes,
            [row['measured'][name] for row in rows],
        )
        for name in names
    }


def _plot(capacity: CapacityData, path: Path) -> None:
    from matplotlib.figure import Figure

    columns = 4
    names = sorted(capacity.lines)
    rows = -(-len(names) // columns)
    figure = Figure(figsize=(16, 3 * rows))
    for place, name in enumerate(names, start=1):
        line = capacity.lines[name]
        axes = figure.add_subplot(rows, columns, place)
        axes.plot(line.sizes, line.measured, 'o')
        axes.plot(line.sizes, [line.at(size) for size in line.sizes], '-')
        axes.set_title(name, fontsize=7)
        axes.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, dpi=60)


__all__ = ('BenchCapacity', 'BenchRelay')
