"""The command-line interface: ``burdockledge COMMAND [--flag=value ...]``."""

from __future__ import annotations

from burdockledge.cli._app import main
from burdockledge.cli._command import Command, ExitCode

__all__ = ('Command', 'ExitCode', 'main')
