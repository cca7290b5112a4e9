"""
The placement policy written step by step, the reference for the fast one.

``test_equal_choices.py`` compares the two; a change of a decision is made in
both.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from burdockledge.scheduling import PlacementChoice
from burdockledge.scheduling._call_start import urgency_weight

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from burdockledge.calls import Prompt, ServerInstance
    from burdockledge.scheduling import PlacementRequest
    from burdockledge.scheduling._health import HealthTracker
    from burdockledge.scheduling._load import ServerLoad
    from burdockledge.scheduling._load_tracker import LoadTracker

# The first tokens of a call take a few steps, each longer with every call in
# the batch.
_BATCH_EVENTS: Final = 2.0
# Prefilling a part that another server caches also displaces other parts
# from this server's cache, so it costs more than its time.
_PREFILL_WEIGHT: Final = 4.0
# Cost of a token fetched from another server's cache, as a share of the cost
# of prefilling it: a fetch takes little time, but network traffic is billed.
_FETCH_COST_RATIO: Final = 0.3
_MIN_FETCH_TOKENS: Final = 1024
# A call to another data centre costs a round trip and billed traffic.
_CROSS_DATA_CENTRE_SECONDS: Final = 0.004
# The wait at another server that is worth it to avoid a certain failure.
_FAILURE_COST_SECONDS: Final = 1.0
# The wait that is worth it to avoid that a stream of the highest urgency
# misses its pause target.
_MISS_COST_SECONDS: Final = 10.0
# Cost of a plain call at a server that has as many calls as slots; it grows
# in proportion to the calls.
_FULL_SLOTS_COST_SECONDS: Final = 0.05
_TIE_BREAK_SECONDS: Final = 0.0002
# Cost of a call at a server that takes only so many a second, for each step
# by which the call is less urgent than the most urgent ones.
_LIMITED_COST_SECONDS: Final = 0.02


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A server that may get the call."""

    instance: ServerInstance
    load: ServerLoad
    running_calls: int
    is_limited: bool = False


@dataclass(frozen=True, slots=True)
class _PrefillEstimate:
    """What a server would have to prefill, and its cost in seconds."""

    prefill_tokens: int
    seconds: float
    cache_source: ServerInstance | None = None


@dataclass(frozen=True, slots=True)
class _CacheHolder:
    """A server that has prefilled the first ``tokens`` of the prompt."""

    instance: ServerInstance
    tokens: int


class ReferencePolicy:
    """Chooses the server with the lowest cost for a call."""

    def __init__(
        self, loads: LoadTracker, health: HealthTracker, random: Random
    ) -> None:
        """
        Create a policy that reads loads and health as they change.

        :param random: breaks ties between servers of equal cost.
        """
        self._loads = loads
        self._health = health
        self._random = random

    def choose(
        self,
        instances: list[ServerInstance],
        request: PlacementRequest,
        now: float,
        limited_instance_ids: Collection[str] = (),
    ) -> PlacementChoice | None:
        """
        Return the server with the lowest cost, None if there is none.

        Paused servers are used only if no other is left.

        :param limited_instance_ids: instances that take only so many calls a
            second. They are left to the calls that gain most there, and no
            parts are fetched from their caches.
        """
        healthy = [
            instance
            for instance in instances
            if not self._health.is_paused(instance.instance_id, now)
        ]
        loads = (
            (instance, self._loads.load_of(instance.instance_id))
            for instance in healthy or instances
        )
        candidates = [
            _Candidate(
                instance,
                load,
                load.running_calls(now),
                instance.instance_id in limited_instance_ids,
            )
            for instance, load in loads
        ]
        holder = _best_cache_holder(candidates, request) if healthy else None
        costs = sorted(
            (
                (self._cost(candidate, request, now, holder), candidate)
                for candidate in candidates
            ),
            key=lambda cost: cost[0].cost_seconds,
        )
        usual_share = _mean_prefill_share(candidates, request, now)
        best: PlacementChoice | None = None
        for choice, candidate in costs:
            # The loss is never negative, so no later server can be better.
            if best is not None and choice.cost_seconds >= best.cost_seconds:
                break
            loss = _predicted_loss(
                candidate, request, now, usual_share, choice.prefill_tokens
            )
            cost_seconds = choice.cost_seconds + _MISS_COST_SECONDS * loss
            if best is None or cost_seconds < best.cost_seconds:
                best = replace(choice, cost_seconds=cost_seconds)
        return best

    def _cost(
        self,
        candidate: _Candidate,
        request: PlacementRequest,
        now: float,
        holder: _CacheHolder | None,
    ) -> PlacementChoice:
        """Return the cost of a server without the predicted loss."""
        instance = candidate.instance
        seconds = self._random.uniform(0, _TIE_BREAK_SECONDS)
        if instance.data_centre != request.data_centre:
            seconds += _CROSS_DATA_CENTRE_SECONDS
        seconds += _FAILURE_COST_SECONDS * self._health.failure_rate(
            instance.instance_id, now
        )
        if candidate.is_limited:
            seconds += _LIMITED_COST_SECONDS * request.urgency
        running_calls = candidate.running_calls
        if not request.prompt.parts:
            seconds += (
                _FULL_SLOTS_COST_SECONDS
                * running_calls
                / max(1, instance.slots)
            )
            return PlacementChoice(instance, seconds, 0, running_calls)
        prefill = _estimate_prefill(candidate, request, holder)
        load = candidate.load
        seconds += prefill.seconds
        seconds += load.backlog_seconds(request.urgency, now)
        seconds += (
            _BATCH_EVENTS * load.timing.pause_seconds_per_call * running_calls
        )
        return PlacementChoice(
            instance,
            seconds,
            prefill.prefill_tokens,
            running_calls,
            prefill.cache_source,
        )


def _estimate_prefill(
    candidate: _Candidate,
    request: PlacementRequest,
    holder: _CacheHolder | None,
) -> _PrefillEstimate:
    load = candidate.load
    cached = load.cache.cached_tokens(request.prompt)
    uncached = max(0, _prompt_tokens(request.prompt) - cached)
    fetched = 0
    if (
        holder is not None
        and holder.instance.instance_id != candidate.instance.instance_id
    ):
        fetched = min(uncached, holder.tokens - cached)
    if fetched < _MIN_FETCH_TOKENS:
        return _PrefillEstimate(
            uncached,
            _PREFILL_WEIGHT * uncached / load.prefill_tokens_per_second,
        )
    uncached -= fetched
    weighted = uncached + _FETCH_COST_RATIO * fetched
    return _PrefillEstimate(
        uncached,
        _PREFILL_WEIGHT * weighted / load.prefill_tokens_per_second,
        None if holder is None else holder.instance,
    )


def _mean_prefill_share(
    candidates: list[_Candidate], request: PlacementRequest, now: float
) -> float:
    if request.pause_target_seconds is None or not candidates:
        return 0.0
    shares = [candidate.load.prefill_share(now) for candidate in candidates]
    return sum(shares) / len(shares)


def _predicted_loss(
    candidate: _Candidate,
    request: PlacementRequest,
    now: float,
    usual_share: float,
    prefill_tokens: int,
) -> float:
    """Return the weighted misses of pause targets that a choice adds."""
    if not request.prompt.parts:
        return 0.0
    return _own_loss(candidate, request, now, usual_share) + _loss_of_others(
        candidate, prefill_tokens, now
    )


def _own_loss(
    candidate: _Candidate,
    request: PlacementRequest,
    now: float,
    usual_share: float,
) -> float:
    """
    Return the weighted chance that the call's stream misses its pause target.

    Prompts that arrive while it runs are forecast from the recent ones. Long
    prompts keep away from engines with streams like it, but an engine without
    them will get at least the usual share, even if it is idle now. So such
    streams gather at few engines.
    """
    target_seconds = request.pause_target_seconds
    if target_seconds is None:
        return 0.0
    load = candidate.load
    timing = load.timing
    pause_seconds = load.pause_seconds(candidate.running_calls + 1)
    prefill_share = load.prefill_share(now)
    if all(other > target_seconds for other in load.stream_weights):
        prefill_share = max(prefill_share, usual_share)
    miss_rate = _miss_rate(load, pause_seconds, prefill_share, target_seconds)
    events = timing.expected_events(request.prompt.max_output_tokens)
    return urgency_weight(request.urgency) * (1 - math.exp(-events * miss_rate))


def _miss_rate(
    load: ServerLoad,
    pause_seconds: float,
    prefill_share: float,
    target_seconds: float,
) -> float:
    """Return the share of a stream's pauses that will exceed its target."""
    timing = load.timing
    prompt_seconds = (
        load.recent_prompt_tokens() / load.prefill_tokens_per_second
    )
    # The more of the time prefill takes, the more prompts follow each other
    # without a gap.
    prefill_pause_seconds = pause_seconds + min(
        timing.prefill_pause_seconds, prompt_seconds / (1 - prefill_share)
    )
    return (1 - prefill_share) * timing.miss_rate(
        pause_seconds, target_seconds
    ) + prefill_share * timing.miss_rate(prefill_pause_seconds, target_seconds)


def _loss_of_others(
    candidate: _Candidate, prefill_tokens: int, now: float
) -> float:
    """
    Return what a prefill adds to the weighted misses of running streams.

    Streams that the prompts there make miss their target anyway don't count,
    so that at peak load prompts go where their cached parts are.
    """
    load = candidate.load
    if not load.stream_weights or not prefill_tokens:
        return 0.0
    timing = load.timing
    pause_seconds = load.pause_seconds(candidate.running_calls)
    prefill_share = load.prefill_share(now)
    prefill_seconds = prefill_tokens / load.prefill_tokens_per_second
    prefill_pause_seconds = pause_seconds + min(
        timing.prefill_pause_seconds, prefill_seconds
    )
    # A prompt lengthens one pause at least, the last one in part.
    pauses = 1 + prefill_seconds / prefill_pause_seconds
    loss = 0.0
    for target_seconds, weight in load.stream_weights.items():
        added_rate = timing.miss_rate(
            prefill_pause_seconds, target_seconds
        ) - timing.miss_rate(pause_seconds, target_seconds)
        usual_misses = load.expected_events(target_seconds) * _miss_rate(
            load, pause_seconds, prefill_share, target_seconds
        )
        loss += weight * min(1.0, pauses * added_rate) * math.exp(-usual_misses)
    return loss


def _best_cache_holder(
    candidates: list[_Candidate], request: PlacementRequest
) -> _CacheHolder | None:
    if not request.prompt.parts:
        return None
    holders = [
        _CacheHolder(
            candidate.instance,
            candidate.load.cache.prefilled_tokens(request.prompt),
        )
        for candidate in candidates
        if not candidate.is_limited
    ]
    best = max(holders, key=lambda holder: holder.tokens, default=None)
    return best if best is not None and best.tokens else None


def _prompt_tokens(prompt: Prompt) -> int:
    return max(prompt.input_tokens, sum(part.tokens for part in prompt.parts))


__all__ = ('ReferencePolicy',)
