"""``burdockledge bench news``: what the news of other hosts' calls costs."""

from __future__ import annotations

from pathlib import Path

from pydantic import Field

from burdockledge.bench import (
    HOST_COUNTS,
    CapacityData,
    measure_news,
    render_capacity,
    render_news,
)
from burdockledge.cli._command import Command, ExitCode, print_result
from burdockledge.settings import CommandSettings
from burdockledge.telemetry import configure_logs


class NewsSettings(CommandSettings):
    """Settings of ``bench news``."""

    hosts: int = Field(
        default=0, ge=0, description='number of hosts; 0 measures several'
    )
    data: Path | None = Field(
        default=None,
        description='file of the measurements, to which these are added',
    )
    page: Path | None = Field(
        default=None, description='output file for the capacity page'
    )
    output: str = Field(
        default='text',
        pattern='^(text|json)$',
        description='format of the result: text or json',
    )


class BenchNews(Command[NewsSettings]):
    """Measure a host among many by what its processor time is spent on."""

    words = ('bench', 'news')
    summary = "measure what the news of other hosts' calls costs a host"
    settings_model = NewsSettings

    def run(self, settings: NewsSettings) -> ExitCode:
        """Measure, and print a table; add it to the capacity page if asked."""
        configure_logs('error', 'bench')
        counts = (settings.hosts,) if settings.hosts else HOST_COUNTS
        rows = tuple(measure_news(count) for count in counts)
        print_result(
            render_news(rows),
            {'news': [row.model_dump(mode='json') for row in rows]},
            settings.output,
        )
        if settings.data is None or settings.page is None:
            return ExitCode.ok
        capacity = CapacityData.model_validate_json(
            settings.data.read_text('utf-8')
        ).model_copy(update={'news': rows})
        settings.data.write_text(
            f'{capacity.model_dump_json(indent=2)}\n', 'utf-8'
        )
        settings.page.write_text(render_capacity(capacity), 'utf-8')
        return ExitCode.ok


__all__ = ('BenchNews',)
