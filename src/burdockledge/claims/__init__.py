"""
Claims of idempotency keys through the platform's append-only log.

The host that claims a key first may run its request; the outcome is recorded
in the same log stream.
"""

from __future__ import annotations

from burdockledge.claims._claim_table import ClaimTable, KeyEntry
from burdockledge.claims._keys import (
    MAX_CLOCK_SKEW_MS,
    IdempotencyKey,
    KeyProblem,
    KeyWindow,
    parse_key,
)
from burdockledge.claims._records import (
    ClaimBatch,
    ClaimEntry,
    FinalEntry,
    Outcome,
)
from burdockledge.claims._service import (
    CLAIM_STREAM,
    AlreadyFinal,
    ClaimResult,
    ClaimService,
    ClaimTimeout,
    Held,
    HeldByOther,
    KeyExpired,
    KeyReused,
)

__all__ = (
    'CLAIM_STREAM',
    'MAX_CLOCK_SKEW_MS',
    'AlreadyFinal',
    'ClaimBatch',
    'ClaimEntry',
    'ClaimResult',
    'ClaimService',
    'ClaimTable',
    'ClaimTimeout',
    'FinalEntry',
    'Held',
    'HeldByOther',
    'IdempotencyKey',
    'KeyEntry',
    'KeyExpired',
    'KeyProblem',
    'KeyReused',
    'KeyWindow',
    'Outcome',
    'parse_key',
)
