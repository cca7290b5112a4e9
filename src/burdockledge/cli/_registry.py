"""All subcommands, in the order in which ``help`` lists them."""

from __future__ import annotations

import importlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from burdockledge.cli._command import Command


@dataclass(frozen=True, slots=True)
class CommandEntry:
    """A subcommand whose module is imported on first use."""

    words: tuple[str, ...]
    module: str
    class_name: str

    def load(self) -> Command[Any]:
        """Import the module and return an instance of the command class."""
        module = importlib.import_module(f'burdockledge.cli.{self.module}')
        command: Command[Any] = getattr(module, self.class_name)()
        return command


def _entry(words: str, module: str, class_name: str) -> CommandEntry:
    return CommandEntry(tuple(words.split()), module, class_name)


COMMANDS: tuple[CommandEntry, ...] = (
    _entry('serve', '_serve', 'Serve'),
    _entry('host', '_host', 'Host'),
    _entry('config show', '_config', 'ConfigShow'),
    _entry('config patch', '_config', 'ConfigPatch'),
    _entry('config history', '_config', 'ConfigHistory'),
    _entry('status', '_status', 'Status'),
    _entry('drain', '_drain', 'Drain'),
    _entry('timeline', '_timeline', 'Timeline'),
    _entry('parts list', '_parts', 'Parts'),
    _entry('parts release', '_parts', 'ReleasePart'),
    _entry('place', '_place', 'Place'),
    _entry('explain', '_explain', 'Explain'),
    _entry('load', '_load', 'Load'),
    _entry('bench relay', '_bench', 'BenchRelay'),
    _entry('bench capacity', '_bench', 'BenchCapacity'),
    _entry('bench policy', '_bench_policy', 'BenchPolicy'),
    _entry('bench policy-page', '_bench_policy', 'BenchPolicyPage'),
    _entry('bench gate', '_bench_gate', 'BenchGate'),
    _entry('bench news', '_bench_news', 'BenchNews'),
    _entry('bench results', '_bench_results', 'BenchResults'),
    _entry('standin engine', '_stand_in', 'StandInEngine'),
    _entry('standin service', '_stand_in', 'StandInService'),
    _entry('standin log', '_stand_in', 'StandInLog'),
    _entry('standin hosts', '_stand_in', 'StandInHosts'),
    _entry('settings', '_settings', 'Settings'),
    _entry('version', '_version', 'Version'),
)

__all__ = ('COMMANDS', 'CommandEntry')
