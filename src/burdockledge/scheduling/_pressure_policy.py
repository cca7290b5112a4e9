"""
Chooses servers by the pauses that prompts of any size cause, under load.

The cost of a server is as in ``PlacementPolicy``, with another prediction of
pauses: a prompt and those that are pending at the server together lengthen
the next pauses there, by their uncached tokens up to a learnt bound. Streams
whose pause target such a pause exceeds prefer the first servers of the order
of the service, prompts that cause such pauses the last ones.
"""

from __future__ import annotations

import math
from operator import itemgetter
from typing import TYPE_CHECKING, Final, NamedTuple

from burdockledge.scheduling._call_start import urgency_weight
from burdockledge.scheduling._placement import PlacementChoice, ServerPolicy
from burdockledge.scheduling._policy import PlacementPolicy

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from burdockledge.calls import Prompt, ServerInstance
    from burdockledge.scheduling._health import HealthTracker
    from burdockledge.scheduling._load import ServerLoad
    from burdockledge.scheduling._load_tracker import LoadTracker
    from burdockledge.scheduling._placement import (
        PlacementOptions,
        PlacementRequest,
    )
    from burdockledge.scheduling._pressure import ServerPressure

# The first tokens of a call take a few steps, each longer with every call in
# the batch.
_BATCH_EVENTS: Final = 2.0
# Prefilling a part that another server caches also displaces other parts
# from this server's cache, so it costs more than its time.
_PREFILL_WEIGHT: Final = 2.0
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
# The wait that is worth it to avoid that a stream of the highest urgency
# misses its pause target.
_MISS_COST_SECONDS: Final = 10.0
# Hosts that decide at the same time from the same state differ by this.
_TIE_BREAK_SECONDS: Final = 0.005
# Cost of a call at a server that takes only so many a second, for each step
# by which the call is less urgent than the most urgent ones.
_LIMITED_COST_SECONDS: Final = 0.02
# The wait that is worth it to keep long prompts and short pauses apart, at
# the other end of the order of servers.
_SEPARATION_SECONDS: Final = 0.15
# Running calls of a usual server, for what doesn't depend on the server.
_USUAL_RUNNING_CALLS: Final = 10


class _Offer(NamedTuple):
    """A server that may get the call, at a cost without predicted loss."""

    cost_seconds: float
    instance: ServerInstance
    load: ServerLoad
    pressure: ServerPressure
    prefill_tokens: int
    running_calls: int
    cache_source: ServerInstance | None


class _Candidate(NamedTuple):
    """A server, and the tokens of the prompt that it caches or prefills."""

    instance: ServerInstance
    load: ServerLoad
    pressure: ServerPressure
    cached_tokens: int


class PressurePolicy(ServerPolicy):
    """Chooses the server with the lowest cost for a call, under load."""

    def __init__(
        self, loads: LoadTracker, health: HealthTracker, random: Random
    ) -> None:
        """
        Create a policy that reads loads and health as they change.

        :param loads: a tracker that weighs pressure.
        :param random: chooses among servers of nearly equal cost.
        """
        self._loads = loads
        self._health = health
        self._random = random
        self._plain_policy = PlacementPolicy(loads, health, random)

    def choose(
        self,
        instances: list[ServerInstance],
        request: PlacementRequest,
        now: float,
        limited_instance_ids: Collection[str] = (),
    ) -> PlacementChoice | None:
        """
        Return the server with the lowest cost, None if there is none.

        Calls without a prompt are placed as by ``PlacementPolicy``.
        """
        if not request.prompt.parts:
            return self._plain_policy.choose(
                instances, request, now, limited_instance_ids
            )
        is_paused = self._health.is_paused
        healthy = [
            instance
            for instance in instances
            if not is_paused(instance.instance_id, now)
        ]
        candidates: list[_Candidate] = []
        for instance in healthy or instances:
            load = self._loads.load_of(instance.instance_id)
            if load.pressure is None:
                message = 'the loads must be tracked with pressure'
                raise ValueError(message)
            cached = load.cache.cached_tokens(request.prompt)
            candidates.append(_Candidate(instance, load, load.pressure, cached))
        if not candidates:
            return None
        comparison = _Comparison(request, now, limited_instance_ids)
        comparison.prepare(candidates, may_fetch=bool(healthy))
        random = self._random.random
        failure_rate = self._health.failure_rate
        offers = [
            comparison.offer(
                candidate,
                _TIE_BREAK_SECONDS * random(),
                failure_rate(candidate.instance.instance_id, now),
            )
            for candidate in candidates
        ]
        offers.sort(key=itemgetter(0))
        return comparison.best_of(offers)


class _Comparison:
    """Compares servers for one call at one time."""

    def __init__(
        self,
        request: PlacementRequest,
        now: float,
        limited_instance_ids: Collection[str],
    ) -> None:
        self._request = request
        self._now = now
        self._limited_instance_ids = limited_instance_ids
        self._prompt_tokens = _prompt_tokens(request.prompt)
        self._holder: ServerInstance | None = None
        self._holder_tokens = 0
        self._usual_share = 0.0
        self._sensitivity = 0.0
        # The harm to other streams by the tokens that are prefilled: few
        # amounts differ among servers.
        self._harm_by_tokens: dict[int, float] = {}

    def prepare(self, candidates: list[_Candidate], *, may_fetch: bool) -> None:
        """Compute what is the same for all servers."""
        if may_fetch:
            self._find_cache_holder(candidates)
        target_seconds = self._request.pause_target_seconds
        if target_seconds is None:
            return
        now = self._now
        shares = [
            candidate.load.rough_prefill_share(now) for candidate in candidates
        ]
        self._usual_share = sum(shares) / len(shares)
        _, load, pressure, _ = candidates[0]
        pause = load.timing.pause_seconds(_USUAL_RUNNING_CALLS)
        self._sensitivity = load.timing.miss_rate(
            pause
            + pressure.service.pause_tokens
            / load.timing.prefill_tokens_per_second,
            target_seconds,
        )

    def offer(
        self,
        candidate: _Candidate,
        tie_break_seconds: float,
        failure_rate: float,
    ) -> _Offer:
        """Return the cost of a server without the predicted loss."""
        instance, load, pressure, cached = candidate
        request = self._request
        seconds = tie_break_seconds + _FAILURE_COST_SECONDS * failure_rate
        if instance.data_centre != request.data_centre:
            seconds += _CROSS_DATA_CENTRE_SECONDS
        if instance.instance_id in self._limited_instance_ids:
            seconds += _LIMITED_COST_SECONDS * request.urgency
        running_calls = load.running_calls(self._now)
        uncached = max(0, self._prompt_tokens - cached)
        source = None
        weighted: float = uncached
        if self._holder is not None and self._holder is not instance:
            fetched = min(uncached, self._holder_tokens - cached)
            if fetched >= _MIN_FETCH_TOKENS:
                uncached -= fetched
                weighted = uncached + _FETCH_COST_RATIO * fetched
                source = self._holder
        share = load.rough_prefill_share(self._now)
        seconds += (
            (_PREFILL_WEIGHT + _QUEUE_WEIGHT * share / (1 - share))
            * weighted
            / load.prefill_tokens_per_second
        )
        seconds += load.backlog_seconds(request.urgency, self._now)
        seconds += (
            _BATCH_EVENTS * load.timing.pause_seconds_per_call * running_calls
        )
        position = pressure.position
        seconds += _SEPARATION_SECONDS * (
            self._sensitivity * position
            + self._harm_of(load, pressure, uncached) * (1 - position)
        )
        return _Offer(
            seconds, instance, load, pressure, uncached, running_calls, source
        )

    def best_of(self, offers: list[_Offer]) -> PlacementChoice:
        """Return the lowest cost with the predicted loss, of sorted offers."""
        best = offers[0]
        least_seconds = math.inf
        for offer in offers:
            # The loss is never negative, so no later server can be better.
            if offer.cost_seconds >= least_seconds:
                break
            loss = self._own_loss(offer)
            seconds = offer.cost_seconds + _MISS_COST_SECONDS * loss
            if seconds < least_seconds:
                loss += self._loss_of_others(offer)
                seconds = offer.cost_seconds + _MISS_COST_SECONDS * loss
            if seconds < least_seconds:
                best = offer
                least_seconds = seconds
        return PlacementChoice(
            best.instance,
            least_seconds,
            best.prefill_tokens,
            best.running_calls,
            best.cache_source,
        )

    def _find_cache_holder(self, candidates: list[_Candidate]) -> None:
        """Find the server that has prefilled the most of the prompt."""
        for candidate in candidates:
            # What is prefilled is cached, so most servers are passed here.
            if candidate.cached_tokens <= self._holder_tokens:
                continue
            instance = candidate.instance
            tokens = candidate.load.cache.prefilled_tokens(self._request.prompt)
            if (
                tokens > self._holder_tokens
                and instance.instance_id not in self._limited_instance_ids
            ):
                self._holder = instance
                self._holder_tokens = tokens

    def _harm_of(
        self, load: ServerLoad, pressure: ServerPressure, tokens: int
    ) -> float:
        """Return the share of the service's streams that a prefill harms."""
        harm = self._harm_by_tokens.get(tokens)
        if harm is not None:
            return harm
        service = pressure.service
        timing = load.timing
        pause = timing.pause_seconds(_USUAL_RUNNING_CALLS)
        longer_pause = (
            pause
            + min(tokens, service.pause_tokens)
            / timing.prefill_tokens_per_second
        )
        weights = service.stream_weights
        harm = sum(
            weight
            * (
                timing.miss_rate(longer_pause, target_seconds)
                - timing.miss_rate(pause, target_seconds)
            )
            for target_seconds, weight in weights.items()
        )
        harm /= max(1.0, sum(weights.values()))
        self._harm_by_tokens[tokens] = harm
        return harm

    def _own_loss(self, offer: _Offer) -> float:
        """
        Return the weighted chance that the call's stream misses its target.

        Prompts that arrive while it runs are forecast from the recent ones; a
        server without streams like it will get at least the usual share of
        them. Less urgent prompts that are pending now are prefilled after
        the first event, and lengthen the pauses after it.
        """
        request = self._request
        target_seconds = request.pause_target_seconds
        if target_seconds is None:
            return 0.0
        load = offer.load
        timing = load.timing
        rate = load.prefill_tokens_per_second
        bound = offer.pressure.service.pause_tokens / rate
        pause = load.pause_seconds(offer.running_calls + 1)
        share = load.rough_prefill_share(self._now)
        if min(load.stream_weights, default=math.inf) > target_seconds:
            share = max(share, self._usual_share)
        # The more of the time prefill takes, the more prompts follow each
        # other without a gap.
        prompt_seconds = load.recent_prompt_tokens() / rate
        prefill_pause = pause + min(bound, prompt_seconds / (1 - share))
        pause_miss_rate = timing.miss_rate(pause, target_seconds)
        # Fewer events end in a second with prefill.
        event_share = (
            share * pause / (share * pause + (1 - share) * prefill_pause)
        )
        events = timing.expected_events(request.prompt.max_output_tokens)
        misses = events * (
            (1 - event_share) * pause_miss_rate
            + event_share * timing.miss_rate(prefill_pause, target_seconds)
        )
        behind = load.backlog_seconds(None, self._now) - load.backlog_seconds(
            request.urgency, self._now
        )
        if behind > 0:
            next_pause = pause + min(bound, behind)
            misses += (1 + behind / next_pause) * timing.miss_rate(
                next_pause, target_seconds
            )
        return urgency_weight(request.urgency) * (1 - math.exp(-misses))

    def _loss_of_others(self, offer: _Offer) -> float:
        """
        Return what a prefill adds to the weighted misses of running streams.

        The prompts that are pending and this one act as one long prompt.
        Streams that the pending ones alone make late don't count.
        """
        load = offer.load
        if not load.stream_weights or not offer.prefill_tokens:
            return 0.0
        timing = load.timing
        rate = load.prefill_tokens_per_second
        bound = offer.pressure.service.pause_tokens / rate
        pause = load.pause_seconds(offer.running_calls)
        pending = load.backlog_seconds(None, self._now)
        prefill = offer.prefill_tokens / rate
        pause_before = pause + min(bound, pending)
        pause_after = pause + min(bound, pending + prefill)
        # A prompt lengthens one pause at least, the last one in part.
        pauses = 1 + prefill / pause_after
        loss = 0.0
        for target_seconds, weight in load.stream_weights.items():
            added_rate = timing.miss_rate(
                pause_after, target_seconds
            ) - timing.miss_rate(pause_before, target_seconds)
            loss += weight * min(1.0, pauses * added_rate)
        return loss


def _prompt_tokens(prompt: Prompt) -> int:
    return max(prompt.input_tokens, sum(part.tokens for part in prompt.parts))


def make_policy(
    options: PlacementOptions,
    loads: LoadTracker,
    health: HealthTracker,
    random: Random,
) -> ServerPolicy:
    """Create the policy that the options name."""
    if options.weighs_pressure:
        return PressurePolicy(loads, health, random)
    return PlacementPolicy(loads, health, random)


__all__ = ('PressurePolicy', 'make_policy')
