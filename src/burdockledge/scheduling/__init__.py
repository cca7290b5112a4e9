"""Chooses servers by their loads, prefix caches and health."""

from __future__ import annotations

from burdockledge.scheduling._health import CallResult, HealthTracker
from burdockledge.scheduling._interactive import (
    MAX_INTERACTIVE_PAUSE_SECONDS,
    MAX_INTERACTIVE_PROMPT_TOKENS,
    InteractiveDemand,
)
from burdockledge.scheduling._load import (
    CALL_EXPIRY_SECONDS,
    DEFAULT_PREFILL_TOKENS_PER_SECOND,
    CallStart,
    LoadTracker,
    ServerLoad,
)
from burdockledge.scheduling._policy import (
    PlacementChoice,
    PlacementPolicy,
    PlacementRequest,
)
from burdockledge.scheduling._prefix_cache import PrefixCacheEstimate

__all__ = (
    'CALL_EXPIRY_SECONDS',
    'DEFAULT_PREFILL_TOKENS_PER_SECOND',
    'MAX_INTERACTIVE_PAUSE_SECONDS',
    'MAX_INTERACTIVE_PROMPT_TOKENS',
    'CallResult',
    'CallStart',
    'HealthTracker',
    'InteractiveDemand',
    'LoadTracker',
    'PlacementChoice',
    'PlacementPolicy',
    'PlacementRequest',
    'PrefixCacheEstimate',
    'ServerLoad',
)
