"""The parts that an engine's cache is assumed to hold."""

from __future__ import annotations

import pytest

from burdockledge.calls import Prompt, PromptPart
from burdockledge.scheduling._prefix_cache import PrefixCacheEstimate
from tests.host_churn import container_sizes

MAX_PARTS = 4096


@pytest.mark.parametrize('tokens', [0, 1, 100])
def test_number_of_parts_is_bounded(tokens: int) -> None:
    """Guards against tiny parts that fill a host's memory, not a cache."""
    cache = PrefixCacheEstimate(1_000_000)
    for part in range(50_000):
        prompt = Prompt((PromptPart(part, tokens),))
        cache.add(prompt)
        cache.mark_prefilled(prompt)
    assert cache.cached_tokens(prompt) == tokens
    assert max(container_sizes(cache).values()) <= MAX_PARTS
