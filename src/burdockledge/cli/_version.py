"""``burdockledge version``: print the version."""

from __future__ import annotations

from burdockledge import VERSION
from burdockledge.cli._command import Command, ExitCode, print_result
from burdockledge.settings import CommandSettings


class Version(Command[CommandSettings]):
    """Print the version of this program."""

    words = ('version',)
    summary = 'print the version'
    settings_model = CommandSettings

    def run(self, settings: CommandSettings) -> ExitCode:
        """Print the version."""
        print_result(VERSION, None, 'text')
        return ExitCode.ok


__all__ = ('Version',)
