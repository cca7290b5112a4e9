"""The base class of subcommands, exit codes and output helpers."""

from __future__ import annotations

import asyncio
import enum
import json
import sys
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, ClassVar, Generic, TypeVar

from burdockledge.settings import CommandSettings

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

SettingsT = TypeVar('SettingsT', bound=CommandSettings)


class ExitCode(enum.IntEnum):
    """
    Exit codes of all commands.

    ``refused`` is a request that the entry host rejected, ``undecided`` one
    whose outcome is not known.
    """

    ok = 0
    failed = 1
    usage = 2
    unreachable = 3
    refused = 4
    undecided = 5


class Command(ABC, Generic[SettingsT]):
    """
    A subcommand of the command line.

    ``words`` are the one or two words that select it, and ``settings_model``
    declares its flags.
    """

    words: ClassVar[tuple[str, ...]]
    summary: ClassVar[str]
    settings_model: type[SettingsT]

    @abstractmethod
    def run(self, settings: SettingsT) -> ExitCode:
        """Run the command with validated settings."""


def run_async(coroutine: Coroutine[Any, Any, ExitCode]) -> ExitCode:
    """Run a coroutine on a new event loop and return its exit code."""
    with asyncio.Runner() as runner:
        return runner.run(coroutine)


def print_result(text: str, document: object, output: str) -> None:
    """Print the document as JSON if the output is ``json``, else the text."""
    if output == 'json':
        sys.stdout.write(f'{json.dumps(document, indent=2)}\n')
    else:
        sys.stdout.write(f'{text}\n')


def print_error(message: str) -> None:
    """Print a message with the program's name on standard error."""
    sys.stderr.write(f'burdockledge: {message}\n')


def try_plot(plot: Callable[[], None]) -> bool:
    """
    Draw a plot; print an error if matplotlib is not installed.

    :return: whether it was drawn.
    """
    try:
        plot()
    except ImportError:
        print_error('plot: matplotlib is not installed')
        return False
    return True


__all__ = (
    'Command',
    'ExitCode',
    'print_error',
    'print_result',
    'run_async',
    'try_plot',
)
