"""
Keeps prompt parts that crash engines away from them.

The decisions are made without network or clock; the messages of suspects and
clearances are those of the wire.
"""

from __future__ import annotations

from burdockledge.quarantine._assessment import (
    Assessment,
    Crash,
    CrashedCall,
    PartCase,
    assess,
)
from burdockledge.quarantine._evidence import CrashEvidence
from burdockledge.quarantine._parts import PartName, part_key, part_keys
from burdockledge.quarantine._quarantine import (
    Quarantine,
    QuarantineEvent,
    Verdict,
)

__all__ = (
    'Assessment',
    'Crash',
    'CrashEvidence',
    'CrashedCall',
    'PartCase',
    'PartName',
    'Quarantine',
    'QuarantineEvent',
    'Verdict',
    'assess',
    'part_key',
    'part_keys',
)
