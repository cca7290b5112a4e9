"""Compares servers for one call, by their costs in seconds under load."""

from __future__ import annotations

import math
from operator import itemgetter
from typing import TYPE_CHECKING, Final, TypeAlias

from burdockledge.scheduling._call_start import urgency_weight
from burdockledge.scheduling._pause_loss import (
    USUAL_RUNNING_CALLS,
    PauseLoss,
)
from burdockledge.scheduling._placement import PlacementChoice
from burdockledge.scheduling._pressure import memory_tokens, prompt_tokens

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from burdockledge.calls import ServerInstance
    from burdockledge.scheduling._load import ServerLoad
    from burdockledge.scheduling._placement import PlacementRequest
    from burdockledge.scheduling._pressure import ServerPressure

# The first tokens of a call take a few steps, each longer with every call in
# the batch.
_BATCH_EVENTS: Final = 2.0
# Prefilling a part that another server caches also displaces other parts
# from this server's cache, so it costs more than its time.
_PREFILL_WEIGHT: Final = 3.0
# A prefill delays those that follow it the more, the busier the server is: in
# proportion to the mean queue of a server with random arrivals.
_QUEUE_WEIGHT: Final = 6.0
# Cost of a token fetched from another server's cache, as a share of the cost
# of prefilling it: a fetch takes little time, but network traffic is billed.
_FETCH_COST_RATIO: Final = 0.3
_MIN_FETCH_TOKENS: Final = 1024
# A call to another data centre costs a round trip and billed traffic.
_CROSS_DATA_CENTRE_SECONDS: Final = 0.004
# The wait at another server that is worth it to avoid a certain failure.
_FAILURE_COST_SECONDS: Final = 1.0
# The wait that is worth it to avoid that a call of the highest urgency misses
# its target.
_MISS_COST_SECONDS: Final = 10.0
# The chance of a late first event rises with this power of the predicted time
# over the target: half the target is late in 1 of 64 cases.
_LATENESS_POWER: Final = 6
# The wait that is worth it to avoid that a running stream loses its memory.
_PREEMPTION_SECONDS: Final = 1.0
# Hosts that decide at the same time from the same state differ by this.
_TIE_BREAK_SECONDS: Final = 0.005
# Hosts agree by this on the first reader of a long prefix that no server
# holds. Prefixes below the size are read by each.
_FIRST_READER_SECONDS: Final = 0.02
_MIN_FIRST_READ_TOKENS: Final = 2000
# Cost of a call at a server that takes only so many a second, for each step
# by which the call is less urgent than the most urgent ones.
_LIMITED_COST_SECONDS: Final = 0.02
# The wait that is worth it to keep long prompts and short pauses apart, at
# the other end of the order of servers.
_SEPARATION_SECONDS: Final = 0.15
_MIN_TARGET_SECONDS: Final = 0.001
# Bits of a product of a part and a salt, as a share of all.
_HASH_BITS: Final = 32
_HASH_FACTOR: Final = 2_654_435_761


# Plain tuples, as several are built for each server and choice: a server, its
# load, and its pressure with the sample of this choice.
Candidate: TypeAlias = tuple['ServerInstance', 'ServerLoad', 'ServerPressure']
# A cost without the predicted loss of pauses, the server, the tokens that it
# would prefill, and the server that it would fetch from.
_Offer: TypeAlias = tuple[float, Candidate, int, 'ServerInstance | None']


class Comparison:
    """Compares the servers of one service for one call."""

    def __init__(
        self,
        request: PlacementRequest,
        limited_instance_ids: Collection[str],
        candidates: list[Candidate],
        random: Random,
    ) -> None:
        """
        Compute what is the same for all servers.

        :param candidates: one at least, all with pressure.
        """
        self._request = request
        self._limited_ids = limited_instance_ids
        self._candidates = candidates
        self._random = random
        weight = urgency_weight(request.urgency)
        prompt = request.prompt
        self._prompt_tokens = prompt_tokens(prompt)
        self._memory_tokens = max(
            1, memory_tokens(prompt, prompt.max_output_tokens)
        )
        _, first_load, first_pressure = candidates[0]
        timing = first_load.timing
        events = timing.expected_events(prompt.max_output_tokens)
        self._call_seconds = events * timing.pause_seconds(USUAL_RUNNING_CALLS)
        self._first_event_seconds = timing.first_event_seconds
        self._batch_seconds = _BATCH_EVENTS * timing.pause_seconds_per_call
        self._miss_cost = _MISS_COST_SECONDS * weight
        self._target_seconds = max(
            _MIN_TARGET_SECONDS, request.latency_target_seconds
        )
        shares = sum(
            pressure.sample.prefill_share for _, _, pressure in candidates
        )
        self._loss = PauseLoss(
            first_pressure.service,
            timing,
            request.pause_target_seconds,
            weight,
            events,
            shares / len(candidates),
        )
        self._harm_by_tokens = self._loss.harm_by_tokens
        self._sensitivity = _SEPARATION_SECONDS * self._loss.sensitivity
        self._holder: ServerInstance | None = None
        self._holder_tokens = 0

    def best(self) -> PlacementChoice:
        """Return the lowest cost with the predicted loss of pauses."""
        self._find_cache_holder()
        offers = self._offers()
        offers.sort(key=itemgetter(0))
        best = offers[0]
        least_seconds = math.inf
        has_pause_target = self._request.pause_target_seconds is not None
        loss = self._loss
        for offer in offers:
            seconds, candidate, prefill_tokens, _ = offer
            _, load, pressure = candidate
            sample = pressure.sample
            # The loss is never negative, so no later server can be better.
            if seconds >= least_seconds:
                break
            if has_pause_target:
                seconds += _MISS_COST_SECONDS * loss.own_loss(load, sample)
            if seconds < least_seconds and prefill_tokens:
                seconds += _MISS_COST_SECONDS * loss.loss_of_others(
                    load, sample, prefill_tokens
                )
            if seconds < least_seconds:
                best = offer
                least_seconds = seconds
        _, (instance, _, pressure), prefill_tokens, source = best
        return PlacementChoice(
            instance,
            least_seconds,
            prefill_tokens,
            pressure.sample.running_calls,
            source,
        )

    def _find_cache_holder(self) -> None:
        """Find the server that has prefilled the most of the prompt."""
        for instance, load, pressure in self._candidates:
            # What is prefilled is cached, so most servers are passed here.
            if pressure.sample.cached_tokens <= self._holder_tokens:
                continue
            tokens = load.cache.prefilled_tokens(self._request.prompt)
            if (
                tokens > self._holder_tokens
                and instance.instance_id not in self._limited_ids
            ):
                self._holder = instance
                self._holder_tokens = tokens

    def _offers(self) -> list[_Offer]:
        """Return the costs of all servers without the loss of pauses."""
        draw = self._random.random
        reader_key = self._first_reader_key()
        if reader_key is None:
            return [
                self._offer(candidate, _TIE_BREAK_SECONDS * draw())
                for candidate in self._candidates
            ]
        return [
            self._offer(
                candidate,
                _FIRST_READER_SECONDS * _mix(reader_key, candidate[2].salt),
            )
            for candidate in self._candidates
        ]

    def _offer(self, candidate: Candidate, tie_break_seconds: float) -> _Offer:
        """Return the cost of a server without the loss of pauses."""
        request = self._request
        instance, load, pressure = candidate
        sample = pressure.sample
        cached = sample.cached_tokens
        rate = sample.tokens_per_second
        share = sample.prefill_share
        seconds = tie_break_seconds + _FAILURE_COST_SECONDS * sample.risk
        if instance.data_centre != request.data_centre:
            seconds += _CROSS_DATA_CENTRE_SECONDS
        if self._limited_ids and instance.instance_id in self._limited_ids:
            seconds += _LIMITED_COST_SECONDS * request.urgency
        wait = sample.ahead_seconds
        uncached = self._prompt_tokens
        unsure: float = uncached
        source = None
        if cached:
            cache = load.cache
            uncached = max(0, uncached - cached)
            unsure = uncached + cached * (1 - cache.chance_held(request.prompt))
            if cache.prefilled_tokens(request.prompt) < cached:
                # Another call is reading the rest; it may be less urgent.
                wait = sample.pending_seconds
        weighted = unsure
        if self._holder is not None and self._holder is not instance:
            fetched = min(uncached, self._holder_tokens - cached)
            if fetched >= _MIN_FETCH_TOKENS:
                uncached -= fetched
                unsure -= fetched
                weighted -= (1 - _FETCH_COST_RATIO) * fetched
                source = self._holder
        seconds += (
            (_PREFILL_WEIGHT + _QUEUE_WEIGHT * share / (1 - share))
            * weighted
            / rate
        )
        over = (
            pressure.running_tokens
            + self._memory_tokens
            - load.cache.capacity_tokens
        )
        if over > 0 or 0 < instance.slots <= sample.running_calls:
            wait += self._wait_for_room(candidate, over)
            seconds += _PREEMPTION_SECONDS * min(
                1.0, max(0.0, over / self._memory_tokens)
            )
        lateness = (
            wait + unsure / rate + self._first_event_seconds
        ) / self._target_seconds
        if lateness > 1:
            lateness = 1.0
        position = pressure.position
        harm = self._harm_by_tokens.get(uncached)
        if harm is None:
            harm = self._loss.harm_of(uncached)
        seconds += (
            wait
            + self._batch_seconds * sample.running_calls
            + self._miss_cost * lateness**_LATENESS_POWER
            + self._sensitivity * position
            + _SEPARATION_SECONDS * harm * (1 - position)
        )
        return seconds, candidate, uncached, source

    def _wait_for_room(self, candidate: Candidate, over_tokens: int) -> float:
        """Return the time until enough calls end at a full server."""
        # Calls end one after another, spread over the length of one.
        instance, load, pressure = candidate
        slots = max(1, instance.slots)
        calls = max(0, pressure.sample.running_calls - slots + 1)
        capacity = max(1, load.cache.capacity_tokens)
        return self._call_seconds * max(
            calls / slots, min(1.0, over_tokens / capacity)
        )

    def _first_reader_key(self) -> int | None:
        """Return what hosts agree by on who reads a new prefix, if any."""
        prompt = self._request.prompt
        shared = sum(part.tokens for part in prompt.shared_parts)
        if shared < _MIN_FIRST_READ_TOKENS or any(
            pressure.sample.cached_tokens for _, _, pressure in self._candidates
        ):
            return None
        return prompt.parts[0].part_id


def _mix(key: int, salt: int) -> float:
    """Return a number from 0 to 1 that is the same on all hosts."""
    mixed = ((key ^ salt) * _HASH_FACTOR) & ((1 << _HASH_BITS) - 1)
    return mixed / (1 << _HASH_BITS)


__all__ = ('Candidate', 'Comparison')
