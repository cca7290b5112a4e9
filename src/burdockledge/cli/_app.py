"""Entry point: finds the subcommand, loads its settings and runs it."""

from __future__ import annotations

import gc
import os
import sys
from typing import TYPE_CHECKING, Any

from result import Err

from burdockledge.cli._command import Command, ExitCode, print_error
from burdockledge.cli._registry import COMMANDS
from burdockledge.settings import describe_settings, load_settings

if TYPE_CHECKING:
    from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """
    Run the command line.

    :return: an exit code, see :class:`ExitCode`.
    """
    arguments = tuple(sys.argv[1:] if argv is None else argv)
    if not arguments or arguments[0] in {'help', '--help', '-h'}:
        sys.stdout.write(_format_command_list())
        return ExitCode.ok if arguments else ExitCode.usage
    command = _find_command(arguments)
    if command is None:
        print_error(f'unknown command {arguments[0]!r}; see `help`')
        return ExitCode.usage
    # ``python -m burdockledge`` disables garbage collection during imports.
    gc.enable()
    rest = arguments[len(command.words) :]
    if rest and rest[0] in {'--help', '-h'}:
        sys.stdout.write(_format_command_help(command))
        return ExitCode.ok
    program = ' '.join(('burdockledge', *command.words))
    loaded = load_settings(
        command.settings_model,
        (program, *rest),
        os.environ,
    )
    if isinstance(loaded, Err):
        for message in loaded.err_value.messages:
            print_error(message)
        return ExitCode.usage
    try:
        return command.run(loaded.ok_value)
    except KeyboardInterrupt:
        return ExitCode.failed


def _find_command(arguments: tuple[str, ...]) -> Command[Any] | None:
    for entry in COMMANDS:
        if arguments[: len(entry.words)] == entry.words:
            return entry.load()
    return None


def _format_command_list() -> str:
    commands = [entry.load() for entry in COMMANDS]
    rows = (
        f'  {" ".join(command.words):<18}{command.summary}'
        for command in commands
    )
    return '\n'.join(
        (
            'usage: burdockledge COMMAND [--flag=value ...]',
            '',
            *rows,
            '',
            '`burdockledge COMMAND --help` lists the flags of a command.',
            '',
        ),
    )


def _format_command_help(command: Command[Any]) -> str:
    rows = (
        f'  {row.flag}  [{row.environment}; {row.default}]\n      {row.text}'
        for row in describe_settings(command.settings_model)
    )
    title = f'burdockledge {" ".join(command.words)}: {command.summary}'
    return '\n'.join((title, '', *rows, ''))


__all__ = ('main',)
