"""
Chooses the backend server of a call, without network or clock.

Each server gets a cost in seconds, and the lowest cost wins. The cost of a
model call is about the time to its first token: the pending prefill of
calls that are at least as urgent, the prefill of the part of its prompt that
the server's cache lacks, and the calls that share the batch. Source of
weighing cache hits against load: Srivatsa et al., "Preble: Efficient
Distributed Prompt Scheduling for LLM Serving", 2024.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.scheduling._interactive import (
    MAX_INTERACTIVE_PAUSE_SECONDS,
    MAX_INTERACTIVE_PROMPT_TOKENS,
    InteractiveDemand,
)

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from burdockledge.relay import Prompt, ServerInstance
    from burdockledge.scheduling._health import HealthTracker
    from burdockledge.scheduling._load import CallStart, LoadTracker, ServerLoad

# What each call in the batch adds to the token steps up to a first token (a
# few steps; 0.1 ms a step at the users' engines).
_BATCH_SECONDS_PER_CALL: Final = 0.0005
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
# Cost of a plain call at a server that has as many calls as slots; it grows
# in proportion to the calls.
_FULL_SLOTS_COST_SECONDS: Final = 0.05
_TIE_BREAK_SECONDS: Final = 0.0002
# An interactive call leaves the reserved engines only if another engine is
# better by more than this.
_UNRESERVED_COST_SECONDS: Final = 0.4
# Other calls use the reserved engines only if that saves more than this
# multiple of their latency target.
_RESERVED_COST_TARGETS: Final = 1.0
# At a reserved engine with fewer calls than this, a long prompt disturbs
# fewer streams, so the cost of using it is lower in proportion.
_FULL_COST_CALLS: Final = 4
# What each call at an engine adds to the pauses of an interactive stream,
# with a margin for slow phases of the engine.
_INTERACTIVE_SECONDS_PER_CALL: Final = 0.002


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """
    The properties of a call that decide on its server.

    Urgency 0 is the highest priority.
    """

    service: str
    urgency: int
    prompt: Prompt
    data_centre: str
    latency_target_seconds: float = 1.0
    pause_target_seconds: float | None = None

    @property
    def is_interactive(self) -> bool:
        """Whether the prompt and the pause target are both short."""
        return (
            self.pause_target_seconds is not None
            and self.pause_target_seconds <= MAX_INTERACTIVE_PAUSE_SECONDS
            and self.prompt.input_tokens <= MAX_INTERACTIVE_PROMPT_TOKENS
        )


@dataclass(frozen=True, slots=True)
class PlacementChoice:
    """
    A server with its cost and the figures behind it.

    ``prefill_tokens`` is what the server would have to prefill,
    ``running_calls`` the calls that it has already. It would fetch cached
    parts of the prompt from ``cache_source``, if any.
    """

    instance: ServerInstance
    cost_seconds: float
    prefill_tokens: int
    running_calls: int
    cache_source: ServerInstance | None = None


@dataclass(frozen=True, slots=True)
class _Candidate:
    """
    A server that may get the call.

    ``is_reserved``: whether it is reserved for interactive calls.
    """

    instance: ServerInstance
    load: ServerLoad
    running_calls: int
    is_reserved: bool


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


class PlacementPolicy:
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
        self._interactive_demand: dict[str, InteractiveDemand] = {}

    def note_start(self, service: str, call: CallStart, now: float) -> None:
        """Add a call that any host sent to the service's demand."""
        if call.is_interactive:
            demand = self._interactive_demand.setdefault(
                service, InteractiveDemand()
            )
            demand.add_call(call, now)

    def choose(
        self,
        instances: list[ServerInstance],
        request: PlacementRequest,
        tried_instance_ids: Collection[str],
        now: float,
    ) -> PlacementChoice | None:
        """
        Return the server with the lowest cost, None if none is left to try.

        Paused servers are used only if no other is left.

        :param tried_instance_ids: instances that must not be chosen.
        """
        untried = [
            instance
            for instance in instances
            if instance.instance_id not in tried_instance_ids
        ]
        healthy = [
            instance
            for instance in untried
            if not self._health.is_paused(instance.instance_id, now)
        ]
        reserved = self._reserved_instance_ids(healthy, request, now)
        loads = (
            (instance, self._loads.load_of(instance.instance_id))
            for instance in healthy or untried
        )
        candidates = [
            _Candidate(
                instance,
                load,
                load.running_calls(now),
                instance.instance_id in reserved,
            )
            for instance, load in loads
        ]
        holder = _best_cache_holder(candidates, request) if healthy else None
        choices = [
            self._score(candidate, request, now, holder)
            for candidate in candidates
        ]
        return min(
            choices, key=lambda choice: choice.cost_seconds, default=None
        )

    def _reserved_instance_ids(
        self,
        instances: list[ServerInstance],
        request: PlacementRequest,
        now: float,
    ) -> frozenset[str]:
        interactive_demand = self._interactive_demand.get(request.service)
        if interactive_demand is None:
            return frozenset()
        return interactive_demand.reserved_instance_ids(
            [instance.instance_id for instance in instances], now
        )

    def _score(
        self,
        candidate: _Candidate,
        request: PlacementRequest,
        now: float,
        holder: _CacheHolder | None,
    ) -> PlacementChoice:
        instance = candidate.instance
        seconds = self._random.uniform(0, _TIE_BREAK_SECONDS)
        if instance.data_centre != request.data_centre:
            seconds += _CROSS_DATA_CENTRE_SECONDS
        seconds += _FAILURE_COST_SECONDS * self._health.failure_rate(
            instance.instance_id, now
        )
        running_calls = candidate.running_calls
        if not request.prompt.parts:
            seconds += (
                _FULL_SLOTS_COST_SECONDS
                * running_calls
                / max(1, instance.slots)
            )
            return PlacementChoice(instance, seconds, 0, running_calls)
        prefill = _estimate_prefill(candidate, request, holder)
        seconds += prefill.seconds
        seconds += _wait_cost_seconds(candidate, request, now)
        seconds += _BATCH_SECONDS_PER_CALL * running_calls
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


def _wait_cost_seconds(
    candidate: _Candidate, request: PlacementRequest, now: float
) -> float:
    load = candidate.load
    seconds = load.backlog_seconds(request.urgency, now)
    if request.is_interactive:
        seconds += load.backlog_seconds(None, now)
        seconds += _INTERACTIVE_SECONDS_PER_CALL * candidate.running_calls
        return (
            seconds
            if candidate.is_reserved
            else seconds + _UNRESERVED_COST_SECONDS
        )
    if candidate.is_reserved:
        crowding = min(1.0, candidate.running_calls / _FULL_COST_CALLS)
        seconds += (
            crowding * _RESERVED_COST_TARGETS * request.latency_target_seconds
        )
    return seconds


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
    ]
    best = max(holders, key=lambda holder: holder.tokens, default=None)
    return best if best is not None and best.tokens else None


def _prompt_tokens(prompt: Prompt) -> int:
    return max(prompt.input_tokens, sum(part.tokens for part in prompt.parts))


__all__ = ('PlacementChoice', 'PlacementPolicy', 'PlacementRequest')
