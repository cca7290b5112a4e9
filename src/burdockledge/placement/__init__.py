"""Which backend server a request goes to, agreed with the servers' leads."""

from __future__ import annotations

from burdockledge.placement._broker import (
    NoSlot,
    Slot,
    SlotBroker,
    SlotRequest,
)
from burdockledge.placement._budget import RatioBudget
from burdockledge.placement._health import HealthBook
from burdockledge.placement._leads import Leads
from burdockledge.placement._rendezvous import lead_of
from burdockledge.placement._servers import ServerBook

__all__ = (
    'HealthBook',
    'Leads',
    'NoSlot',
    'RatioBudget',
    'ServerBook',
    'Slot',
    'SlotBroker',
    'SlotRequest',
    'lead_of',
)
