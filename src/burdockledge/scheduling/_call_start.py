"""The start of a call at a server, as hosts tell it each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from burdockledge.calls import Prompt

# Sums of weights below this are rounding errors.
_MIN_WEIGHT: Final = 1e-6
# Each step of urgency counts for less by this factor.
_WEIGHT_RATIO: Final = 0.75


def urgency_weight(urgency: int) -> float:
    """Return the loss if a call misses its target, 1 for the most urgent."""
    return float(_WEIGHT_RATIO**urgency)


class CallStart(NamedTuple):
    """
    A call that any host sent to a server.

    ``prefill_tokens`` is the part of the prompt that the server has to
    prefill. Urgency 0 is the highest priority. A stream whose events pause
    for longer than ``pause_target_seconds`` is late.
    """

    call_id: int
    instance_id: str
    urgency: int
    prefill_tokens: int
    prompt: Prompt
    max_output_tokens: int = 0
    pause_target_seconds: float | None = None

    @property
    def weight(self) -> float:
        """The loss if the call misses its target, 1 for the most urgent."""
        return urgency_weight(self.urgency)


def add_weight(
    weights: dict[float, float], pause_target_seconds: float, weight: float
) -> None:
    """Add to the summed weights of streams by their pause targets."""
    total = weights.get(pause_target_seconds, 0.0) + weight
    if total > _MIN_WEIGHT:
        weights[pause_target_seconds] = total
    else:
        weights.pop(pause_target_seconds, None)


__all__ = ('CallStart', 'add_weight', 'urgency_weight')
