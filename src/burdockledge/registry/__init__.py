"""The registry of backend servers that may get calls."""

from __future__ import annotations

from burdockledge.registry._registry import (
    EXPIRY_GRACE_SECONDS,
    OUTAGE_THRESHOLD_SECONDS,
    RESTORE_DOUBT_SECONDS,
    Registration,
    ServerRegistry,
    ServerState,
)

__all__ = (
    'EXPIRY_GRACE_SECONDS',
    'OUTAGE_THRESHOLD_SECONDS',
    'RESTORE_DOUBT_SECONDS',
    'Registration',
    'ServerRegistry',
    'ServerState',
)
