"""
Rendezvous hashing: every host ranks names alike without communication.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", 1998.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names sorted by their hash weight for a key, highest first."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode()),
        reverse=True,
    )


__all__ = ('rank',)
