"""Parsing of idempotency keys."""

from __future__ import annotations

import pytest
import uuid6

from burdockledge.claims import KeyProblem, parse_key

CREATED_MS = 1_790_000_000_123


@pytest.mark.parametrize(
    ('text', 'problem'),
    [
        ('', KeyProblem.missing),
        ('order 7', KeyProblem.malformed),
        ('6ba7b810-9dad-11d1-80b4-00c04fd430c8', KeyProblem.malformed),
        ('00000000-0000-4000-8000-000000000000', KeyProblem.malformed),
    ],
)
def test_unusable_keys(text: str, problem: KeyProblem) -> None:
    """Only UUIDs of version 7 carry a creation time, so others are rejected."""
    assert parse_key('team', text).err() is problem


def test_key_gives_creation_time_and_digest_per_team() -> None:
    """Two teams that send the same key get different digests."""
    text = str(uuid6.uuid7())
    key = parse_key('team', text).unwrap()
    other = parse_key('other', text).unwrap()
    assert key.created_ms == uuid6.UUID(text).time
    assert key.digest != other.digest
