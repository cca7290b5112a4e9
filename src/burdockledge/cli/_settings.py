"""``burdockledge settings``: print every setting of ``serve``."""

from __future__ import annotations

from dataclasses import asdict
from typing import Literal

from pydantic import Field

from burdockledge.cli._command import Command, ExitCode, print_result
from burdockledge.settings import (
    CommandSettings,
    ServeSettings,
    describe_settings,
)


class SettingsSettings(CommandSettings):
    """Settings of ``settings``."""

    output: Literal['text', 'json', 'markdown'] = Field(
        default='text',
        description='output format: text, json or markdown (reference page)',
    )


class Settings(Command[SettingsSettings]):
    """Print the flags, environment variables and defaults of ``serve``."""

    words = ('settings',)
    summary = 'print every setting of `serve`'
    settings_model = SettingsSettings

    def run(self, settings: SettingsSettings) -> ExitCode:
        """Print the settings in the chosen format."""
        rows = describe_settings(ServeSettings)
        if settings.output == 'markdown':
            text = '\n'.join(
                (
                    '| flag | environment | default | meaning |',
                    '|---|---|---|---|',
                    *(
                        f'| `{row.flag}` | `{row.environment}` '
                        f'| `{row.default}` | {row.text} |'
                        for row in rows
                    ),
                ),
            )
        else:
            text = '\n'.join(
                f'{row.flag}  [{row.environment}; {row.default}]\n'
                f'    {row.text}'
                for row in rows
            )
        print_result(text, [asdict(row) for row in rows], settings.output)
        return ExitCode.ok


__all__ = ('Settings',)
