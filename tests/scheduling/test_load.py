"""Estimates of load, prefix cache, health and interactive demand."""

from __future__ import annotations

import pytest

from burdockledge.relay import Prompt, PromptPart
from burdockledge.scheduling import (
    CALL_EXPIRY_SECONDS,
    CallResult,
    CallStart,
    HealthTracker,
    InteractiveDemand,
    PrefixCacheEstimate,
    ServerLoad,
)


def prompt_of(*part_ids: int, tokens: int = 100) -> Prompt:
    """Return a prompt of parts with these ids and one size."""
    return Prompt(tuple(PromptPart(part, tokens) for part in part_ids))


def call_start(call_id: int, tokens: int, urgency: int = 0) -> CallStart:
    """Return a call whose prompt is a single part of its own."""
    return CallStart(
        call_id, 's/1', urgency, tokens, prompt_of(call_id, tokens=tokens)
    )


@pytest.mark.parametrize(
    ('sent', 'prompt', 'expected_tokens'),
    [
        ((1, 2), (1, 2, 3), 200),
        ((1, 2), (2, 1), 200),
        ((1, 2), (9, 1), 0),
        ((1, 2, 3, 4, 5), (1,), 0),
        ((), (1,), 0),
    ],
)
def test_a_cache_holds_leading_parts(
    sent: tuple[int, ...], prompt: tuple[int, ...], expected_tokens: int
) -> None:
    """Only leading parts count; the least recently used part is evicted."""
    cache = PrefixCacheEstimate(400)
    cache.add(prompt_of(*sent))
    assert cache.cached_tokens(prompt_of(*prompt)) == expected_tokens


def test_shrinking_a_cache_evicts_the_least_recently_used_parts() -> None:
    """A smaller capacity applies at once and keeps the newest parts."""
    cache = PrefixCacheEstimate(400)
    cache.add(prompt_of(1, 2, 3))
    cache.resize(100)
    assert cache.cached_tokens(prompt_of(1)) == 0
    assert cache.cached_tokens(prompt_of(3)) == 100


def test_a_part_counts_as_prefilled_only_after_its_prefill() -> None:
    """Other servers must not try to fetch a part that is still in prefill."""
    cache = PrefixCacheEstimate(1000)
    cache.add(prompt_of(1))
    assert cache.prefilled_tokens(prompt_of(1)) == 0
    cache.mark_prefilled(prompt_of(1))
    assert cache.prefilled_tokens(prompt_of(1)) == 100


def test_elapsed_time_reduces_the_backlog_by_one_prompt_at_most() -> None:
    """An engine that is slower than estimated keeps the rest of its backlog."""
    load = ServerLoad(
        PrefixCacheEstimate(10**6), prefill_tokens_per_second=10_000
    )
    for call_id in range(4):
        load.start(call_start(call_id, 10_000), 0)
    assert load.backlog_seconds(None, 0) == pytest.approx(4)
    assert load.backlog_seconds(None, 60) == pytest.approx(3)
    load.note_first_event(0, 60)
    assert load.backlog_seconds(None, 60) == pytest.approx(3)


@pytest.mark.parametrize(
    ('tokens', 'first_event_seconds', 'prefill_tokens_per_second'),
    [(20_000, 0.435, 58_000), (20_000, 1.035, 52_000), (500, 9.0, 60_000)],
)
def test_only_long_prompts_update_the_prefill_rate(
    tokens: int, first_event_seconds: float, prefill_tokens_per_second: float
) -> None:
    """A short prompt's time says little about the rate."""
    load = ServerLoad(
        PrefixCacheEstimate(10**6), prefill_tokens_per_second=60_000
    )
    load.start(call_start(1, tokens), 0)
    load.note_first_event(1, first_event_seconds)
    assert load.prefill_tokens_per_second == pytest.approx(
        prefill_tokens_per_second, rel=0.02
    )


def test_calls_whose_end_was_lost_expire() -> None:
    """The news of a call's end may be lost with the host that sent it."""
    load = ServerLoad(PrefixCacheEstimate(10), prefill_tokens_per_second=1)
    load.start(call_start(1, 10), 0)
    assert load.running_calls(1) == 1
    assert load.running_calls(CALL_EXPIRY_SECONDS + 1) == 0


@pytest.mark.parametrize(
    ('reporting_hosts', 'is_paused'),
    [
        (('own',), True),
        (('other',), False),
        (('other', 'other'), False),
        (('other', 'third'), True),
    ],
)
def test_a_single_other_host_does_not_pause_a_server(
    reporting_hosts: tuple[str, ...], is_paused: bool
) -> None:
    """The fault may be in that host's own network link."""
    tracker = HealthTracker('own')
    for host in reporting_hosts:
        tracker.record('s', CallResult.unreachable, host, 10)
    assert tracker.is_paused('s', 10.1) is is_paused


def test_pauses_double_until_a_call_is_answered() -> None:
    """A second failure pauses for longer, and an answer ends the pause."""
    tracker = HealthTracker('own')
    tracker.record('s', CallResult.unreachable, 'own', 10)
    assert not tracker.is_paused('s', 10.6)
    tracker.record('s', CallResult.unreachable, 'own', 10.6)
    assert tracker.is_paused('s', 11.5)
    tracker.record('s', CallResult.answered, 'own', 11.5)
    assert not tracker.is_paused('s', 11.5)


def test_failures_lose_weight_with_age() -> None:
    """A server that fails only now and then is judged by recent calls."""
    tracker = HealthTracker('own')
    for _ in range(10):
        tracker.record('s', CallResult.failed, 'own', 0)
    assert tracker.failure_rate('s', 0) > 0.6
    assert tracker.failure_rate('s', 20) < 0.01


@pytest.mark.parametrize(
    ('call_count', 'server_count', 'reserved_count'),
    [(0, 5, 0), (1, 5, 1), (100, 5, 2), (100, 1, 0), (150, 9, 4)],
)
def test_engines_are_reserved_by_demand(
    call_count: int, server_count: int, reserved_count: int
) -> None:
    """Interactive calls get the engines they need, at most half of all."""
    demand = InteractiveDemand()
    for index in range(call_count):
        call = CallStart(index, 's', 0, 1500, Prompt(), 170, True)
        demand.add_call(call, 1)
    instance_ids = [f's{index}' for index in range(server_count)]
    assert len(demand.reserved_instance_ids(instance_ids, 1)) == reserved_count
    assert not demand.reserved_instance_ids(instance_ids, 60)
