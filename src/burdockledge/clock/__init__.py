"""Clocks, and an event loop with virtual time for simulations."""

from __future__ import annotations

from burdockledge.clock._clock import Clock, SystemClock
from burdockledge.clock._virtual import (
    SIMULATED_PROCESS,
    VirtualClock,
    VirtualTimeLoop,
)

__all__ = (
    'SIMULATED_PROCESS',
    'Clock',
    'SystemClock',
    'VirtualClock',
    'VirtualTimeLoop',
)
