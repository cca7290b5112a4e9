"""Faults that the control endpoint of a stand-in injects."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, Field

if TYPE_CHECKING:
    from collections.abc import Callable


class FaultCommand(BaseModel):
    """Enables a fault for some seconds; 0 disables it."""

    model_config = ConfigDict(extra='forbid')

    fault: str
    seconds: float = Field(default=3600, ge=0)
    factor: float = Field(default=1, ge=0)
    probability: float = Field(default=1, ge=0, le=1)
    text: str = ''


@dataclass(frozen=True, slots=True)
class _ActiveFault:
    command: FaultCommand
    ends_at: float


class FaultInjector:
    """Keeps the active faults and when each ends, in seconds of a clock."""

    def __init__(self, now: Callable[[], float], random: Random) -> None:
        """Start without faults."""
        self._now = now
        self._random = random
        self._active: dict[str, _ActiveFault] = {}

    def apply(self, command: FaultCommand) -> None:
        """Enable or disable a fault."""
        ends_at = self._now() + command.seconds
        self._active[command.fault] = _ActiveFault(command, ends_at)

    def is_triggered(self, fault: str) -> bool:
        """Return whether an active fault applies to this call, at random."""
        command = self._active_command(fault)
        return (
            command is not None and self._random.random() < command.probability
        )

    def factor(self, fault: str) -> float:
        """Return the factor of a fault, or 1 if it is not active."""
        command = self._active_command(fault)
        return 1 if command is None else command.factor

    def text(self, fault: str) -> str:
        """Return the text of a fault, empty if it is not active."""
        command = self._active_command(fault)
        return '' if command is None else command.text

    def _active_command(self, fault: str) -> FaultCommand | None:
        active = self._active.get(fault)
        if active is None or self._now() >= active.ends_at:
            return None
        return active.command


__all__ = ('FaultCommand', 'FaultInjector')
