"""Where forwarded calls go: loads, cache knowledge, evidence and policy."""

from __future__ import annotations

from burdockledge.scheduling._brisk import (
    BRISK_PAUSE_SECONDS,
    BRISK_PROMPT_TOKENS,
    BriskDemand,
)
from burdockledge.scheduling._cache import PrefixCache
from burdockledge.scheduling._evidence import CallResult, EvidenceBook
from burdockledge.scheduling._load import (
    FORGET_CALL_SECONDS,
    PREFILL_TOKENS_PER_SECOND,
    CallStart,
    LoadBook,
    ServerLoad,
)
from burdockledge.scheduling._policy import Choice, Demand, PlacementPolicy

__all__ = (
    'BRISK_PAUSE_SECONDS',
    'BRISK_PROMPT_TOKENS',
    'FORGET_CALL_SECONDS',
    'PREFILL_TOKENS_PER_SECOND',
    'BriskDemand',
    'CallResult',
    'CallStart',
    'Choice',
    'Demand',
    'EvidenceBook',
    'LoadBook',
    'PlacementPolicy',
    'PrefixCache',
    'ServerLoad',
)
