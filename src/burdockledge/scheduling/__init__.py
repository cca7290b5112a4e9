"""Chooses servers by their loads, prefix caches, timing and health."""

from __future__ import annotations

from burdockledge.scheduling._call_start import CallStart
from burdockledge.scheduling._demand import (
    HISTORY_SECONDS,
    PERIOD_SECONDS,
    ServiceDemand,
    Work,
    total_work,
)
from burdockledge.scheduling._departures import ServerDepartures
from burdockledge.scheduling._explained_costs import (
    ServerCost,
    explain_costs,
)
from burdockledge.scheduling._health import CallResult, HealthTracker
from burdockledge.scheduling._load import (
    DEFAULT_CALL_EXPIRY_SECONDS,
    ServerLoad,
)
from burdockledge.scheduling._load_tracker import LoadTracker
from burdockledge.scheduling._notices import ServerNotice, ServerNotices
from burdockledge.scheduling._placement import (
    PlacementChoice,
    PlacementOptions,
    PlacementRequest,
    ServerPolicy,
)
from burdockledge.scheduling._policy import PlacementPolicy
from burdockledge.scheduling._prefix_cache import PrefixCacheEstimate
from burdockledge.scheduling._pressure_policy import PressurePolicy, make_policy
from burdockledge.scheduling._rate_limits import LimitChange, ServerRateLimits
from burdockledge.scheduling._timing import (
    DEFAULT_PREFILL_TOKENS_PER_SECOND,
    ServiceTiming,
)

__all__ = (
    'DEFAULT_CALL_EXPIRY_SECONDS',
    'DEFAULT_PREFILL_TOKENS_PER_SECOND',
    'HISTORY_SECONDS',
    'PERIOD_SECONDS',
    'CallResult',
    'CallStart',
    'HealthTracker',
    'LimitChange',
    'LoadTracker',
    'PlacementChoice',
    'PlacementOptions',
    'PlacementPolicy',
    'PlacementRequest',
    'PrefixCacheEstimate',
    'ServerCost',
    'ServerDepartures',
    'PressurePolicy',
    'ServerLoad',
    'ServerNotice',
    'ServerNotices',
    'ServerPolicy',
    'ServerRateLimits',
    'ServiceDemand',
    'ServiceTiming',
    'Work',
    'explain_costs',
    'total_work',
    'make_policy',
)
