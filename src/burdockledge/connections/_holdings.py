"""Decides which connections are closed when a bound is exceeded."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

KeyT = TypeVar('KeyT')

# An idle connection counts as if it held this: its protocol, parser, task and
# transport. It also ranks idle connections by the time that they are idle.
_IDLE_BYTES: Final = 16 * 1024
# New holdings count this long at least, so that the largest goes first among
# those that came at once.
_MIN_SECONDS: Final = 0.05
# Closing goes on until the bound has this share free, so that a choice over
# all connections is not made again for each of many that arrive.
_FREED_SHARE: Final = 0.125


class CloseCause(enum.Enum):
    """Why a connection is closed before its caller has been served."""

    memory = 'the connections hold too much'
    connections = 'there are too many connections'
    framing = 'too much framing for its body'
    stalled = 'its body does not grow while other requests wait for room'


@dataclass(frozen=True, slots=True)
class HeldBytes:
    """What a connection holds that is unfinished or unread, by kind."""

    heads: int = 0
    bodies: int = 0
    requests: int = 0
    responses: int = 0

    @property
    def total(self) -> int:
        """The bytes of all kinds."""
        return self.heads + self.bodies + self.requests + self.responses


@dataclass(frozen=True, slots=True)
class Holding(Generic[KeyT]):
    """
    What one connection holds, and for how long.

    An idle connection waits for a request; an answering one has a response
    that its caller does not read.
    """

    key: KeyT
    held_bytes: int
    seconds: float
    is_idle: bool
    is_answering: bool = False

    @property
    def weight(self) -> float:
        """What is held times its duration, 0 for a call that holds nothing."""
        idle_bytes = _IDLE_BYTES if self.is_idle else 0
        size = self.held_bytes + idle_bytes
        return size * max(_MIN_SECONDS, self.seconds)


def choose_closed(
    holdings: Sequence[Holding[KeyT]], max_bytes: int, max_count: int
) -> list[KeyT]:
    """
    Return the connections to close, those that hold most for longest first.

    Within both bounds none is closed. A call in flight that holds nothing is
    never closed. Responses that have begun are broken off only if that does
    not suffice.
    """
    excess = _Excess(
        _excess(sum(one.held_bytes for one in holdings), max_bytes),
        _excess(len(holdings), max_count),
    )
    if not excess.remains:
        return []
    closed: list[KeyT] = []
    for holding in sorted(holdings, key=_rank):
        if not (excess.remains and holding.weight):
            break
        if excess.is_reduced_by(holding):
            closed.append(holding.key)
            excess.bytes -= holding.held_bytes
            excess.count -= 1
    return closed


@dataclass(slots=True)
class _Excess:
    """What has to be freed still."""

    bytes: int
    count: int

    @property
    def remains(self) -> bool:
        return self.bytes > 0 or self.count > 0

    def is_reduced_by(self, holding: Holding[KeyT]) -> bool:
        return self.count > 0 or holding.held_bytes > 0


def _rank(holding: Holding[KeyT]) -> tuple[bool, float]:
    """Return what holdings are sorted by, the one to close first at first."""
    return holding.is_answering, -holding.weight


def _excess(amount: int, bound: int) -> int:
    """Return how much to free, 0 within the bound."""
    if amount <= bound:
        return 0
    return amount - int(bound * (1 - _FREED_SHARE))


__all__ = ('CloseCause', 'HeldBytes', 'Holding', 'choose_closed')
