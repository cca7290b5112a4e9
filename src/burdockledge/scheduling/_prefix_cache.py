"""Estimates what the prefix cache of a model engine holds."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Container

    from burdockledge.calls import Prompt


# A limit of memory for prompts of many tiny parts; a cache holds fewer parts
# of a usual size.
_MAX_PARTS: Final = 4096


# What refutes a belief may be a slow engine, so the capacity that is assumed
# moves by this share towards what a refuted belief shows, and back by another
# with each belief that holds.
_REFUTED_STEP: Final = 0.3
_CONFIRMED_STEP: Final = 0.02
_MIN_CAPACITY_SHARE: Final = 0.3
# Parts whose successors fill less than this share of the cache are held for
# sure; the chance falls to a half at the whole cache.
_SURE_SHARE: Final = 0.7
_LEAST_CHANCE: Final = 0.5


class CacheUse(NamedTuple):
    """
    The leading tokens of a prompt that a call found to be cached.

    ``used_at`` is the least recent of the positions of the parts in the order
    of use, ``newer_tokens`` what was added to the cache since.
    """

    tokens: int
    used_at: int
    newer_tokens: int


class PrefixCacheEstimate:
    """
    The prompt parts that one engine's cache is assumed to hold, with LRU.

    A part counts as cached as soon as a call with it is sent to the engine,
    so that calls with the same part follow to where it is being prefilled.
    ``tokens_by_part`` holds the parts that are cached or in prefill, the least
    recently used one first, ``capacity_tokens`` is the size of the KV cache.
    """

    def __init__(self, capacity_tokens: int) -> None:
        """Create an estimate of an empty cache."""
        self.capacity_tokens = capacity_tokens
        self.tokens_by_part: OrderedDict[int, int] = OrderedDict()
        self._prefilled: set[int] = set()
        self._total_tokens = 0
        # The tokens that had been added when a part was used last.
        self._used_at: dict[int, int] = {}
        self._added_tokens = 0
        self._capacity_share = 1.0

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of the leading parts cached or in prefill."""
        return _leading_tokens(prompt, self.tokens_by_part)

    def prefilled_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of the leading parts whose prefill is done."""
        return _leading_tokens(prompt, self._prefilled)

    def mark_prefilled(self, prompt: Prompt) -> None:
        """Record that the prefill of a prompt is done."""
        for part_id, _ in prompt.parts:
            if part_id in self.tokens_by_part:
                self._prefilled.add(part_id)

    def add(self, prompt: Prompt) -> None:
        """Record that a prompt was sent to the engine."""
        held = self.tokens_by_part
        for part_id, tokens in prompt.parts:
            added = tokens - held.pop(part_id, 0)
            self._total_tokens += added
            # Each use counts, so that later uses have higher positions.
            self._added_tokens += max(1, added)
            held[part_id] = tokens
            self._used_at[part_id] = self._added_tokens
        self._evict()

    def resize(self, capacity_tokens: int) -> None:
        """Change the capacity, and evict what no longer fits."""
        self.capacity_tokens = capacity_tokens
        self._evict()

    def use_of(self, prompt: Prompt) -> CacheUse | None:
        """Return what a prompt would find in the cache, None if nothing."""
        if (
            not prompt.parts
            or prompt.parts[0].part_id not in self.tokens_by_part
        ):
            return None
        tokens = 0
        used_at = self._added_tokens
        for part_id, part_tokens in prompt.parts:
            if part_id not in self._prefilled:
                break
            tokens += part_tokens
            used_at = min(used_at, self._used_at[part_id])
        return CacheUse(tokens, used_at, self._added_tokens - used_at)

    def chance_held(self, prompt: Prompt) -> float:
        """Return the chance that the cached leading parts are still held."""
        use = self.use_of(prompt)
        if use is None:
            return 1.0
        share = use.newer_tokens / max(
            1.0, self._capacity_share * self.capacity_tokens
        )
        doubt = (share - _SURE_SHARE) / (1 - _SURE_SHARE)
        return 1 - (1 - _LEAST_CHANCE) * min(1.0, max(0.0, doubt))

    def refute(self, use: CacheUse) -> None:
        """Drop the parts that were used before parts that were not held."""
        shown = use.newer_tokens / max(1, self.capacity_tokens)
        if shown < self._capacity_share:
            self._capacity_share = max(
                _MIN_CAPACITY_SHARE,
                self._capacity_share
                + _REFUTED_STEP * (shown - self._capacity_share),
            )
        for part_id in tuple(self.tokens_by_part):
            if self._used_at[part_id] > use.used_at:
                break
            self._drop(part_id)
        self._evict()

    def confirm(self, use: CacheUse) -> None:
        """Assume a larger capacity again, as parts were held."""
        if use.tokens:
            self._capacity_share += _CONFIRMED_STEP * (1 - self._capacity_share)

    def _evict(self) -> None:
        capacity = self.capacity_tokens * self._capacity_share
        while self.tokens_by_part and (
            self._total_tokens > capacity
            or len(self.tokens_by_part) > _MAX_PARTS
        ):
            self._drop(next(iter(self.tokens_by_part)))

    def _drop(self, part_id: int) -> None:
        self._total_tokens -= self.tokens_by_part.pop(part_id)
        self._prefilled.discard(part_id)
        self._used_at.pop(part_id)


def _leading_tokens(prompt: Prompt, part_ids: Container[int]) -> int:
    total = 0
    for part_id, tokens in prompt.parts:
        if part_id not in part_ids:
            break
        total += tokens
    return total


__all__ = ('CacheUse', 'PrefixCacheEstimate')
