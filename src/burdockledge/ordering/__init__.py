"""
The order in which the slots of a backend server are granted.

Each server has one slot scheduler, on the host that is the server's leader.
"""

from __future__ import annotations

from burdockledge.ordering._fair_queue import FairQueue
from burdockledge.ordering._slot_scheduler import (
    LEASE_SECONDS,
    OutgoingMessage,
    SlotScheduler,
)
from burdockledge.ordering._tiers import TierQueues
from burdockledge.ordering._waiting_offer import WaitingOffer

__all__ = (
    'LEASE_SECONDS',
    'FairQueue',
    'OutgoingMessage',
    'SlotScheduler',
    'TierQueues',
    'WaitingOffer',
)
