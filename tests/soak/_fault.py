"""A scheduled fault, and the type of what injects it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from tests.soak._run import SoakRun


@dataclass(frozen=True)
class Fault:
    """A scheduled fault; ``draw`` seeds the choice of its target."""

    at: float
    kind: str
    seconds: float
    draw: int


Injector: TypeAlias = 'Callable[[SoakRun, Fault, Random], Awaitable[None]]'
