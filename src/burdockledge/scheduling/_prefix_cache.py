"""Estimates what the prefix cache of a model engine holds."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Container

    from burdockledge.calls import Prompt


# A limit of memory for prompts of many tiny parts; a cache holds fewer parts
# of a usual size.
_MAX_PARTS: Final = 4096


class PrefixCacheEstimate:
    """
    The prompt parts that one engine's cache is assumed to hold, with LRU.

    A part counts as cached as soon as a call with it is sent to the engine,
    so that calls with the same part follow to where it is being prefilled.
    """

    def __init__(self, capacity_tokens: int) -> None:
        """Create an estimate of an empty cache."""
        self._capacity_tokens = capacity_tokens
        self._tokens_by_part: OrderedDict[int, int] = OrderedDict()
        self._prefilled: set[int] = set()
        self._total_tokens = 0

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of the leading parts cached or in prefill."""
        return _leading_tokens(prompt, self._tokens_by_part)

    def prefilled_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of the leading parts whose prefill is done."""
        return _leading_tokens(prompt, self._prefilled)

    def mark_prefilled(self, prompt: Prompt) -> None:
        """Record that the prefill of a prompt is done."""
        for part_id, _ in prompt.parts:
            if part_id in self._tokens_by_part:
                self._prefilled.add(part_id)

    def add(self, prompt: Prompt) -> None:
        """Record that a prompt was sent to the engine."""
        held = self._tokens_by_part
        for part_id, tokens in prompt.parts:
            self._total_tokens += tokens - held.pop(part_id, 0)
            held[part_id] = tokens
        self._evict()

    def resize(self, capacity_tokens: int) -> None:
        """Change the capacity, and evict what no longer fits."""
        self._capacity_tokens = capacity_tokens
        self._evict()

    def _evict(self) -> None:
        while self._tokens_by_part and (
            self._total_tokens > self._capacity_tokens
            or len(self._tokens_by_part) > _MAX_PARTS
        ):
            part_id, tokens = self._tokens_by_part.popitem(last=False)
            self._prefilled.discard(part_id)
            self._total_tokens -= tokens


def _leading_tokens(prompt: Prompt, part_ids: Container[int]) -> int:
    total = 0
    for part_id, tokens in prompt.parts:
        if part_id not in part_ids:
            break
        total += tokens
    return total


__all__ = ('PrefixCacheEstimate',)
