"""
Idempotency keys that carry their creation time.

Source: the IETF draft "The Idempotency-Key HTTP Header Field"; a key is a
UUID of version 7 as in RFC 9562.
"""

from __future__ import annotations

import enum
import hashlib
import uuid
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

MAX_CLOCK_SKEW_MS: Final = 60_000
_UUID_VERSION: Final = 7
_BITS_BELOW_TIMESTAMP: Final = 80
_DIGEST_BYTES: Final = 16


class KeyProblem(enum.Enum):
    """Why a key cannot be used."""

    missing = 'missing'
    malformed = 'malformed'
    expired = 'expired'
    from_the_future = 'from_the_future'


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """
    An idempotency key of a team.

    ``digest`` identifies team and key in the log; ``created_ms`` is the wall
    clock time of the caller when it created the key, in milliseconds since
    the epoch; ``text`` is the UUID in its canonical form.
    """

    digest: str
    created_ms: int
    text: str


@dataclass(frozen=True, slots=True)
class KeyWindow:
    """
    The time window in which a key may be claimed, by the log's clock.

    Every reader of the log ignores a claim outside the window. Whenever a
    claim succeeds, the log therefore still holds any earlier claim of the key.
    """

    lifetime_ms: int

    def check(self, created_ms: int, log_time_ms: int) -> KeyProblem | None:
        """Return why a key cannot be claimed at a log time, or None."""
        if created_ms > log_time_ms + MAX_CLOCK_SKEW_MS:
            return KeyProblem.from_the_future
        if created_ms < log_time_ms - self.lifetime_ms:
            return KeyProblem.expired
        return None


def parse_key(team: str, text: str) -> Result[IdempotencyKey, KeyProblem]:
    """
    Parse the value of an Idempotency-Key header.

    The same value gives different digests for different teams.
    """
    if not text:
        return Err(KeyProblem.missing)
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return Err(KeyProblem.malformed)
    if parsed.version != _UUID_VERSION:
        return Err(KeyProblem.malformed)
    scoped_key = f'{team}\0{parsed}'.encode()
    digest = hashlib.blake2b(scoped_key, digest_size=_DIGEST_BYTES).hexdigest()
    return Ok(
        IdempotencyKey(digest, parsed.int >> _BITS_BELOW_TIMESTAMP, str(parsed))
    )


__all__ = (
    'MAX_CLOCK_SKEW_MS',
    'IdempotencyKey',
    'KeyProblem',
    'KeyWindow',
    'parse_key',
)
