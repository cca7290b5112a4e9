"""
Usage of teams: how many of their calls servers began to run.

Each host counts its own calls; the host that holds the duty collects the
counts and reports them for each window of time.
"""

from __future__ import annotations

from burdockledge.usage._collector import UsageCollector
from burdockledge.usage._counter import UsageCounter
from burdockledge.usage._fleet_clock import FleetClock
from burdockledge.usage._gossip import UsageGossip
from burdockledge.usage._ports import UsageReportFormat, UsageSource
from burdockledge.usage._reporter import UsageReporter

__all__ = (
    'FleetClock',
    'UsageCollector',
    'UsageCounter',
    'UsageGossip',
    'UsageReportFormat',
    'UsageReporter',
    'UsageSource',
)
