"""Work that one host does for all of them, under a lease in the store."""

from __future__ import annotations

from burdockledge.duties._holder import DutyHolder
from burdockledge.duties._ports import (
    CallOutcome,
    Duty,
    DutyApi,
    DutyStore,
    FenceNumber,
    Lease,
    StoreFailure,
    StoreRecord,
    StoreSnapshot,
)
from burdockledge.duties._watch_order import find_place

__all__ = (
    'CallOutcome',
    'Duty',
    'DutyApi',
    'DutyHolder',
    'DutyStore',
    'FenceNumber',
    'Lease',
    'StoreFailure',
    'StoreRecord',
    'StoreSnapshot',
    'find_place',
)
