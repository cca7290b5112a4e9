"""Estimates of load, prefix cache and health."""

from __future__ import annotations

import pytest

from burdockledge.calls import Prompt, PromptPart
from burdockledge.scheduling import (
    DEFAULT_CALL_EXPIRY_SECONDS,
    CallResult,
    CallStart,
    HealthTracker,
    LoadTracker,
    PrefixCacheEstimate,
    ServerLoad,
    ServiceTiming,
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


def new_load(cache_tokens: int = 10**6) -> ServerLoad:
    """Return the load of an idle instance of a service without calls."""
    return ServerLoad(PrefixCacheEstimate(cache_tokens), ServiceTiming())


def test_elapsed_time_reduces_the_backlog_by_one_prompt_at_most() -> None:
    """An engine that is slower than estimated keeps the rest of its backlog."""
    load = new_load()
    prompt_seconds = 10_000 / load.prefill_tokens_per_second
    for call_id in range(4):
        load.start(call_start(call_id, 10_000), 0)
    assert load.backlog_seconds(None, 0) == pytest.approx(4 * prompt_seconds)
    assert load.backlog_seconds(None, 60) == pytest.approx(3 * prompt_seconds)
    load.note_first_event(0, 60)
    assert load.backlog_seconds(None, 60) == pytest.approx(3 * prompt_seconds)


@pytest.mark.parametrize(
    ('tokens', 'prefill_factor', 'has_company', 'expected_change'),
    [
        (20_000, 2.0, False, -1),
        (20_000, 0.5, False, 1),
        (20_000, 2.0, True, 0),
        (100, 9.0, False, 0),
    ],
)
def test_only_long_prompts_that_are_alone_change_the_speed(
    tokens: int, prefill_factor: float, has_company: bool, expected_change: int
) -> None:
    """A short prompt's time, or that of two prompts, says little of it."""
    load = new_load()
    timing = load.timing
    seconds = (
        timing.first_event_seconds
        + prefill_factor * tokens / timing.prefill_tokens_per_second
    )
    if has_company:
        load.start(call_start(0, 100), 0)
    load.start(call_start(1, tokens), 0)
    load.note_first_event(1, seconds, seconds)
    change = load.speed_ratio - 1
    assert (change > 0) - (change < 0) == expected_change


def test_calls_whose_end_was_lost_expire() -> None:
    """The news of a call's end may be lost with the host that sent it."""
    load = new_load()
    load.start(call_start(1, 10), 0)
    assert load.running_calls(1) == 1
    assert load.running_calls(DEFAULT_CALL_EXPIRY_SECONDS + 1) == 0


def test_the_expiry_follows_the_longest_time_limit() -> None:
    """Long streams of a slow service don't vanish while they run."""
    loads = LoadTracker()
    loads.start(call_start(1, 10), 0)
    loads.set_call_expiry(90)
    assert loads.load_of('s/1').running_calls(80) == 1
    assert loads.load_of('s/1').running_calls(91) == 0


def test_the_weights_of_streams_go_with_their_calls() -> None:
    """Ended streams leave nothing that a prompt could disturb."""
    load = new_load()
    for call_id in range(3):
        load.start(
            CallStart(
                call_id, 's/1', call_id, 10, Prompt(), 0, pause_target_seconds=1
            ),
            0,
        )
    assert load.stream_weights[1] > 1
    for call_id in range(3):
        load.end(call_id)
    assert not load.stream_weights


def test_the_prefill_share_is_that_of_recent_prompts() -> None:
    """An engine is forecast to prefill about what it prefilled lately."""
    load = new_load()
    assert load.prefill_share(0) == 0
    load.start(call_start(1, int(load.prefill_tokens_per_second)), 0)
    assert 0.3 < load.prefill_share(0) < 0.7
    assert load.prefill_share(20) < 0.01
    assert load.recent_prompt_tokens() == pytest.approx(
        load.prefill_tokens_per_second, rel=0.01
    )


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


def test_cache_size_goes_with_a_server_that_got_no_call() -> None:
    """Guards against one entry for each server that was ever registered."""
    tracker = LoadTracker()
    tracker.set_cache_size('gone/1', 100)
    tracker.retain([])
    prompt = Prompt((PromptPart(1, 200),))
    cache = tracker.load_of('gone/1').cache
    cache.add(prompt)
    assert cache.cached_tokens(prompt) == 200
