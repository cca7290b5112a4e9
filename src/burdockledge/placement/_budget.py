"""
Budgets that limit retries and hedges to a ratio of the successes.

Source: Dean and Barroso, "The Tail at Scale", 2013, on bounded hedging; the
retry budgets of service meshes work in the same way.
"""

from __future__ import annotations

from typing import Final

_DEFAULT_BURST: Final = 10


class RatioBudget:
    """
    A token bucket that successes fill and retries or hedges empty.

    Each success adds ``ratio`` tokens; a retry or hedge takes one. The bucket
    holds at most ``burst`` tokens.
    """

    def __init__(self, ratio: float, burst: float = _DEFAULT_BURST) -> None:
        """Create a full bucket."""
        self.ratio = ratio
        self._burst = burst
        self._balance = burst

    def earn(self) -> None:
        """Add the tokens of one success."""
        self._balance = min(self._burst, self._balance + self.ratio)

    def try_spend(self) -> bool:
        """Take one token; return False if there is none."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


__all__ = ('RatioBudget',)
