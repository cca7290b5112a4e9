"""
The choice of a backend server for each request.

Each server has a leader host, which grants the server's slots to the hosts
that ask for them.
"""

from __future__ import annotations

from burdockledge.placement._broker import (
    NoSlot,
    Slot,
    SlotBroker,
    SlotRequest,
)
from burdockledge.placement._budget import RatioBudget
from burdockledge.placement._health import HealthTracker
from burdockledge.placement._rendezvous import leader_host
from burdockledge.placement._scheduler_service import SlotSchedulerService
from burdockledge.placement._servers import ServerTable

__all__ = (
    'HealthTracker',
    'NoSlot',
    'RatioBudget',
    'ServerTable',
    'Slot',
    'SlotBroker',
    'SlotRequest',
    'SlotSchedulerService',
    'leader_host',
)
