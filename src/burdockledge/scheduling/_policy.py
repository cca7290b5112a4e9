"""
Chooses the backend server of a call, without network or clock.

Each server gets a cost in seconds, and the lowest cost wins. The cost of a
model call is about the time to its first token: the pending prefill of
calls that are at least as urgent, the prefill of the part of its prompt that
the server's cache lacks, and the calls that share the batch. The predicted
loss is added: the chance that the call's own stream misses its pause target
there, and what its prefill adds to that of the streams that run there. So
streams with short pause targets and long prompts keep apart where the learnt
times of the engines make that worth it. Source of weighing cache hits against
load: Srivatsa et al., "Preble: Efficient Distributed Prompt Scheduling for
LLM Serving", 2024.
"""

from __future__ import annotations

import math
from operator import itemgetter
from typing import TYPE_CHECKING, Final, NamedTuple

from burdockledge.scheduling._call_start import urgency_weight
from burdockledge.scheduling._placement import PlacementChoice, ServerPolicy

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from burdockledge.calls import Prompt, ServerInstance
    from burdockledge.scheduling._health import HealthTracker
    from burdockledge.scheduling._load import ServerLoad
    from burdockledge.scheduling._load_tracker import LoadTracker
    from burdockledge.scheduling._placement import PlacementRequest

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
TIE_BREAK_SECONDS: Final = 0.0002
# Cost of a call at a server that takes only so many a second, for each step
# by which the call is less urgent than the most urgent ones.
_LIMITED_COST_SECONDS: Final = 0.02


class ServerView(NamedTuple):
    """
    A server, and the tokens of the prompt that it caches or prefills.

    ``prefill_share`` is known if the call has a pause target.
    """

    instance: ServerInstance
    load: ServerLoad
    cached_tokens: int
    prefill_share: float | None


class _Offer(NamedTuple):
    """A server that may get the call, at a cost without predicted loss."""

    cost_seconds: float
    server: ServerView
    prefill_tokens: int
    running_calls: int
    cache_source: ServerInstance | None


class _CacheHolder(NamedTuple):
    """A server that has prefilled the first ``tokens`` of the prompt."""

    instance: ServerInstance
    tokens: int


class PlacementPolicy(ServerPolicy):
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
        is_paused = self._health.is_paused
        healthy = [
            instance
            for instance in instances
            if not is_paused(instance.instance_id, now)
        ]
        prompt = request.prompt
        has_target = request.pause_target_seconds is not None
        servers: list[ServerView] = []
        for instance in healthy or instances:
            load = self._loads.load_of(instance.instance_id)
            share = load.prefill_share(now) if has_target else None
            cached_tokens = load.cache.cached_tokens(prompt)
            servers.append(ServerView(instance, load, cached_tokens, share))
        comparison = PlainComparison(request, now, limited_instance_ids)
        if healthy:
            comparison.find_cache_holder(servers)
        random = self._random.random
        failure_rate = self._health.failure_rate
        offers = [
            comparison.offer(
                server,
                # The same as ``uniform``, without its call.
                TIE_BREAK_SECONDS * random(),
                failure_rate(server.instance.instance_id, now),
            )
            for server in servers
        ]
        offers.sort(key=itemgetter(0))
        return comparison.best_of(offers, mean_prefill_share(servers))


class PlainComparison:
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
        self._holder: _CacheHolder | None = None

    def find_cache_holder(self, servers: list[ServerView]) -> None:
        """Find the server that has prefilled the most of the prompt."""
        prompt = self._request.prompt
        most_tokens = 0
        for server in servers:
            # What is prefilled is cached, so most servers are passed here.
            if server.cached_tokens <= most_tokens:
                continue
            instance = server.instance
            tokens = server.load.cache.prefilled_tokens(prompt)
            if (
                tokens > most_tokens
                and instance.instance_id not in self._limited_instance_ids
            ):
                most_tokens = tokens
                self._holder = _CacheHolder(instance, tokens)

    def offer(
        self, server: ServerView, tie_break_seconds: float, failure_rate: float
    ) -> _Offer:
        """Return the cost of a server without the predicted loss."""
        instance, load, cached, _ = server
        request = self._request
        seconds = tie_break_seconds
        if instance.data_centre != request.data_centre:
            seconds += _CROSS_DATA_CENTRE_SECONDS
        seconds += _FAILURE_COST_SECONDS * failure_rate
        if instance.instance_id in self._limited_instance_ids:
            seconds += _LIMITED_COST_SECONDS * request.urgency
        running_calls = load.running_calls(self._now)
        if not request.prompt.parts:
            seconds += (
                _FULL_SLOTS_COST_SECONDS
                * running_calls
                / max(1, instance.slots)
            )
            return _Offer(seconds, server, 0, running_calls, None)
        uncached = max(0, self._prompt_tokens - cached)
        fetched = self._fetched_tokens(instance, cached, uncached)
        uncached -= fetched
        weighted = uncached + _FETCH_COST_RATIO * fetched
        seconds += _PREFILL_WEIGHT * weighted / load.prefill_tokens_per_second
        seconds += load.backlog_seconds(request.urgency, self._now)
        seconds += (
            _BATCH_EVENTS * load.timing.pause_seconds_per_call * running_calls
        )
        source = self._holder.instance if self._holder and fetched else None
        return _Offer(seconds, server, uncached, running_calls, source)

    def best_of(
        self, offers: list[_Offer], usual_share: float
    ) -> PlacementChoice | None:
        """Return the lowest cost with the predicted loss, of sorted offers."""
        best: _Offer | None = None
        least_seconds = 0.0
        for offer in offers:
            # The loss is never negative, so no later server can be better.
            if best is not None and offer.cost_seconds >= least_seconds:
                break
            loss = self._own_loss(offer, usual_share)
            seconds = offer.cost_seconds + _MISS_COST_SECONDS * loss
            if best is None or seconds < least_seconds:
                loss += self._loss_of_others(offer)
                seconds = offer.cost_seconds + _MISS_COST_SECONDS * loss
            if best is None or seconds < least_seconds:
                best = offer
                least_seconds = seconds
        if best is None:
            return None
        return PlacementChoice(
            best.server.instance,
            least_seconds,
            best.prefill_tokens,
            best.running_calls,
            best.cache_source,
        )

    def _fetched_tokens(
        self, instance: ServerInstance, cached: int, uncached: int
    ) -> int:
        """Return the tokens that a server would fetch from the holder."""
        holder = self._holder
        if (
            holder is None
            or holder.instance.instance_id == instance.instance_id
        ):
            return 0
        fetched = min(uncached, holder.tokens - cached)
        return fetched if fetched >= _MIN_FETCH_TOKENS else 0

    def _own_loss(self, offer: _Offer, usual_share: float) -> float:
        """
        Return the weighted chance that the call's stream misses its target.

        Prompts that arrive while it runs are forecast from the recent ones.
        Long prompts keep away from engines with streams like it, but an engine
        without them will get at least the usual share, even if it is idle now.
        So such streams gather at few engines.
        """
        request = self._request
        target_seconds = request.pause_target_seconds
        if target_seconds is None or not request.prompt.parts:
            return 0.0
        _, load, _, prefill_share = offer.server
        if prefill_share is None:
            prefill_share = load.prefill_share(self._now)
        timing = load.timing
        pause_seconds = load.pause_seconds(offer.running_calls + 1)
        if min(load.stream_weights, default=math.inf) > target_seconds:
            prefill_share = max(prefill_share, usual_share)
        miss_rate = (1 - prefill_share) * timing.miss_rate(
            pause_seconds, target_seconds
        ) + prefill_share * timing.miss_rate(
            _usual_prefill_pause(load, pause_seconds, prefill_share),
            target_seconds,
        )
        events = timing.expected_events(request.prompt.max_output_tokens)
        return urgency_weight(request.urgency) * (
            1 - math.exp(-events * miss_rate)
        )

    def _loss_of_others(self, offer: _Offer) -> float:
        """
        Return what a prefill adds to the weighted misses of running streams.

        Streams that the prompts there make miss their target anyway don't
        count, so that at peak load prompts go where their cached parts are.
        """
        _, load, _, prefill_share = offer.server
        if not load.stream_weights or not offer.prefill_tokens:
            return 0.0
        if prefill_share is None:
            prefill_share = load.prefill_share(self._now)
        timing = load.timing
        pause_seconds = load.pause_seconds(offer.running_calls)
        prefill_seconds = offer.prefill_tokens / load.prefill_tokens_per_second
        prefill_pause_seconds = pause_seconds + min(
            timing.prefill_pause_seconds, prefill_seconds
        )
        usual_pause_seconds = _usual_prefill_pause(
            load, pause_seconds, prefill_share
        )
        # A prompt lengthens one pause at least, the last one in part.
        pauses = 1 + prefill_seconds / prefill_pause_seconds
        loss = 0.0
        for target_seconds, weight in load.stream_weights.items():
            rate = timing.miss_rate(pause_seconds, target_seconds)
            added_rate = (
                timing.miss_rate(prefill_pause_seconds, target_seconds) - rate
            )
            usual_rate = (
                1 - prefill_share
            ) * rate + prefill_share * timing.miss_rate(
                usual_pause_seconds, target_seconds
            )
            usual_misses = load.expected_events(target_seconds) * usual_rate
            loss += (
                weight * min(1.0, pauses * added_rate) * math.exp(-usual_misses)
            )
        return loss


def _usual_prefill_pause(
    load: ServerLoad, pause_seconds: float, prefill_share: float
) -> float:
    """Return a stream's pause while recent prompts are in prefill."""
    prompt_seconds = (
        load.recent_prompt_tokens() / load.prefill_tokens_per_second
    )
    # The more of the time prefill takes, the more prompts follow each other
    # without a gap.
    return pause_seconds + min(
        load.timing.prefill_pause_seconds,
        prompt_seconds / (1 - prefill_share),
    )


def mean_prefill_share(servers: list[ServerView]) -> float:
    shares = [
        server.prefill_share
        for server in servers
        if server.prefill_share is not None
    ]
    return sum(shares) / len(shares) if shares else 0.0


def _prompt_tokens(prompt: Prompt) -> int:
    return max(prompt.input_tokens, sum(part.tokens for part in prompt.parts))


__all__ = (
    'PlacementPolicy',
    'PlainComparison',
    'ServerView',
    'TIE_BREAK_SECONDS',
    'mean_prefill_share',
)
