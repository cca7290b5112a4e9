"""
Reserves engines for interactive calls, away from long prompts.

An engine prefills a long prompt in chunks between the tokens of all running
streams, which lengthens their pauses. Interactive calls, with a short prompt
and a short pause target, get engines reserved for them, as many as their
demand needs; other calls avoid these. Source of separating the two kinds of
work: Zhong et al., "DistServe", 2024, which separates the phases of a call;
here, whole calls are separated.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from burdockledge.hashing import rank
from burdockledge.scheduling._load import DEFAULT_PREFILL_TOKENS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burdockledge.scheduling._load import CallStart

# A stream with a pause target up to this misses it after a few prefill chunks
# of another call.
MAX_INTERACTIVE_PAUSE_SECONDS: Final = 0.4
# One prefill chunk of the users' engines; a longer prompt takes several.
MAX_INTERACTIVE_PROMPT_TOKENS: Final = 4096
# What one more stream adds to the time of a token step (users' engines).
_SECONDS_PER_OUTPUT_TOKEN: Final = 0.0001
_DECAY_SECONDS: Final = 2.0
# Share of an engine's time that interactive calls may take before another
# engine is reserved.
_MAX_UTILISATION: Final = 0.5
# Most responses end well before their limit of output tokens.
_EXPECTED_OUTPUT_RATIO: Final = 0.3
_MAX_RESERVED_RATIO: Final = 0.5
# In engines. Less demand, such as one call in many seconds, reserves none.
_MIN_DEMAND: Final = 0.005


class InteractiveDemand:
    """
    Estimates the demand of a service's interactive calls, in engines.

    The demand is the engine time of recent calls per second, averaged with
    exponential decay.
    """

    def __init__(self) -> None:
        """Create an estimate without calls."""
        self._work_seconds = 0.0
        self._decayed_at = 0.0

    def add_call(self, call: CallStart, now: float) -> None:
        """Add an interactive call that any host sent."""
        self._decay(now)
        self._work_seconds += (
            call.prefill_tokens / DEFAULT_PREFILL_TOKENS_PER_SECOND
        )
        self._work_seconds += (
            call.max_output_tokens
            * _EXPECTED_OUTPUT_RATIO
            * _SECONDS_PER_OUTPUT_TOKEN
        )

    def reserved_instance_ids(
        self, instance_ids: Sequence[str], now: float
    ) -> frozenset[str]:
        """
        Return the ids of the instances reserved for interactive calls.

        Rendezvous hashing makes all hosts reserve the same instances.
        """
        self._decay(now)
        max_count = int(len(instance_ids) * _MAX_RESERVED_RATIO)
        demand = self._work_seconds / _DECAY_SECONDS
        if demand < _MIN_DEMAND:
            return frozenset()
        count = min(max_count, math.ceil(demand / _MAX_UTILISATION))
        # The hash key decides which instances are chosen; all hosts share it.
        return frozenset(rank('brisk', instance_ids)[:count])

    def _decay(self, now: float) -> None:
        self._work_seconds *= math.exp(
            -max(0.0, now - self._decayed_at) / _DECAY_SECONDS
        )
        self._decayed_at = now


__all__ = (
    'MAX_INTERACTIVE_PAUSE_SECONDS',
    'MAX_INTERACTIVE_PROMPT_TOKENS',
    'InteractiveDemand',
)
