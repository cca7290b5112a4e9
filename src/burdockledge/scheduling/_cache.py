"""What the prefix cache of a model engine is believed to hold."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockledge.relay import Prompt


class PrefixCache:
    """
    The believed cache of one engine, the least recently used parts yield.

    A part counts from the moment at which a call with it was sent there,
    so that followers of a cold part go where it is being read.
    """

    def __init__(self, capacity_tokens: int) -> None:
        """Create an empty cache."""
        self._capacity = capacity_tokens
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def held_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of the leading parts that are held."""
        held = 0
        for part in prompt.parts:
            if part.part not in self._parts:
                break
            held += part.tokens
        return held

    def use(self, prompt: Prompt) -> None:
        """Note that the parts of a prompt are read here."""
        for part in prompt.parts:
            self._tokens += part.tokens - self._parts.pop(part.part, 0)
            self._parts[part.part] = part.tokens
        while self._tokens > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


__all__ = ('PrefixCache',)
