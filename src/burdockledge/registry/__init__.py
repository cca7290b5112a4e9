"""The registry of backend servers that come, drain, vanish and return."""

from __future__ import annotations

from burdockledge.registry._registry import (
    LAPSE_GRACE_SECONDS,
    OUTAGE_GAP_SECONDS,
    Registration,
    ServerRegistry,
    ServerState,
)

__all__ = (
    'LAPSE_GRACE_SECONDS',
    'OUTAGE_GAP_SECONDS',
    'Registration',
    'ServerRegistry',
    'ServerState',
)
