"""Keys by which hosts name the prompt parts of a service."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

_PART_BITS: Final = 32
_PART_MASK: Final = (1 << _PART_BITS) - 1
# Keys are signed 64-bit numbers on the wire.
_SERVICE_MASK: Final = (1 << 31) - 1
# Suspects name at most this many parts, the first ones of their prompts.
_MAX_PARTS: Final = 16
# Keys are computed for every call of every host.
_MAX_CACHED_SERVICES: Final = 256


@dataclass(frozen=True, slots=True)
class PartName:
    """A prompt part of a service; the service is named by its hash."""

    service_hash: int
    part_id: int

    @classmethod
    def from_key(cls, key: int) -> PartName:
        """Return the name that a key stands for."""
        return cls(key >> _PART_BITS, key & _PART_MASK)

    def __str__(self) -> str:
        """Return the id of the part as callers send it."""
        return f'{self.part_id:x}'


def part_key(service: str, part_id: int) -> int:
    """Return the key of a prompt part of a service, at least 2**32."""
    return _first_key(service) | (part_id & _PART_MASK)


def part_keys(service: str, part_ids: Sequence[int]) -> tuple[int, ...]:
    """
    Return the keys of the parts that a prompt shares with others.

    :param part_ids: the ids of all its parts, in order; the last one belongs
        to the prompt alone.
    """
    shared_count = min(len(part_ids) - 1, _MAX_PARTS)
    shared_ids = part_ids[: max(0, shared_count)]
    if not shared_ids:
        return ()
    first = _first_key(service)
    return tuple([first | (part_id & _PART_MASK) for part_id in shared_ids])


@lru_cache(maxsize=_MAX_CACHED_SERVICES)
def _first_key(service: str) -> int:
    """Return the lowest key of the parts of a service."""
    service_hash = xxhash.xxh32_intdigest(service.encode()) & _SERVICE_MASK
    return max(1, service_hash) << _PART_BITS


__all__ = ('PartName', 'part_key', 'part_keys')
