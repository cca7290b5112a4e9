"""Tracks the load that all entry hosts put on each backend server."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NamedTuple

from burdockledge.scheduling._demand import ServiceDemand
from burdockledge.scheduling._prefix_cache import PrefixCacheEstimate
from burdockledge.scheduling._timing import ServiceTiming

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from burdockledge.calls import Prompt, ServerInstance

# A call is dropped after this time, as the news of its end may be lost with
# the host that sent it; the longest time limit of the routes replaces it.
DEFAULT_CALL_EXPIRY_SECONDS: Final = 30.0
_DEFAULT_CACHE_TOKENS: Final = 500_000
_SPEED_SAMPLE_WEIGHT: Final = 0.2
_PAUSE_RATIO_SAMPLE_WEIGHT: Final = 0.02
_EVENTS_SAMPLE_WEIGHT: Final = 0.1
# Bounds of the speed of a server in relation to others of its service.
_MIN_SPEED_RATIO: Final = 0.1
_MAX_SPEED_RATIO: Final = 4.0
# The prefill of a call is forecast from that of this time before it.
_PREFILL_SHARE_SECONDS: Final = 2.0
_MAX_PREFILL_SHARE: Final = 0.95
_MIN_SECONDS: Final = 0.001
# Sums of weights below this are rounding errors.
_MIN_WEIGHT: Final = 1e-6
# Each step of urgency counts for less by this factor.
_WEIGHT_RATIO: Final = 0.75


def urgency_weight(urgency: int) -> float:
    """Return the loss if a call misses its target, 1 for the most urgent."""
    return float(_WEIGHT_RATIO**urgency)


class CallStart(NamedTuple):
    """
    A call that any host sent to a server.

    ``prefill_tokens`` is the part of the prompt that the server has to
    prefill. Urgency 0 is the highest priority. A stream whose events pause
    for longer than ``pause_target_seconds`` is late.
    """

    call_id: int
    instance_id: str
    urgency: int
    prefill_tokens: int
    prompt: Prompt
    max_output_tokens: int = 0
    pause_target_seconds: float | None = None

    @property
    def weight(self) -> float:
        """The loss if the call misses its target, 1 for the most urgent."""
        return urgency_weight(self.urgency)


@dataclass(slots=True)
class _PendingPrefill:
    """
    A call whose prefill isn't done.

    ``had_no_backlog``: whether no other prefill was pending at its start.
    """

    urgency: int
    tokens: int
    prompt: Prompt
    sent_at: float
    had_no_backlog: bool


class _RunningCall(NamedTuple):
    """A call at the instance, sent at a time of the monotonic clock."""

    sent_at: float
    weight: float
    pause_target_seconds: float | None


class ServerLoad:
    """
    The load on one server instance, and its speed.

    ``speed_ratio`` is its prefill rate in relation to that of its service.
    ``stream_weights`` holds the summed weights of the running streams by
    their pause targets. Times are in seconds of the monotonic clock.
    """

    def __init__(
        self,
        cache: PrefixCacheEstimate,
        timing: ServiceTiming,
        call_expiry_seconds: float = DEFAULT_CALL_EXPIRY_SECONDS,
    ) -> None:
        """Create the load of an idle instance of a service."""
        self.cache = cache
        self.timing = timing
        self.call_expiry_seconds = call_expiry_seconds
        self.speed_ratio = 1.0
        self.stream_weights: dict[float, float] = {}
        self._stream_events: dict[float, float] = {}
        self._pause_ratio = 1.0
        self._running: dict[int, _RunningCall] = {}
        self._pending: dict[int, _PendingPrefill] = {}
        self._prefill_since = 0.0
        self._recent_tokens = 0.0
        self._recent_token_squares = 0.0
        self._recent_at = 0.0

    @property
    def prefill_tokens_per_second(self) -> float:
        """The estimated prefill rate of this instance."""
        return self.timing.prefill_tokens_per_second * self.speed_ratio

    def start(self, call: CallStart, now: float) -> None:
        """Add a call that was sent to this instance."""
        had_no_backlog = not self._pending
        if had_no_backlog:
            self._prefill_since = now
        weight = call.weight
        self._running[call.call_id] = _RunningCall(
            now, weight, call.pause_target_seconds
        )
        if call.pause_target_seconds is not None:
            self._add_stream(call.pause_target_seconds, weight)
            self._note_stream_events(call)
        self._pending[call.call_id] = _PendingPrefill(
            call.urgency,
            call.prefill_tokens,
            call.prompt,
            now,
            had_no_backlog,
        )
        self._decay_recent(now)
        self._recent_tokens += call.prefill_tokens
        self._recent_token_squares += call.prefill_tokens**2
        self.cache.add(call.prompt)

    def note_first_event(
        self, call_id: int, now: float, seconds: float = 0
    ) -> None:
        """
        Record the first event of a call, which shows that prefill is done.

        If the prompt was prefilled alone, its time also updates the
        estimates.

        :param seconds: the time since the call was sent, 0 if unknown.
        """
        pending = self._pending.pop(call_id, None)
        if pending is None:
            return
        self.cache.mark_prefilled(pending.prompt)
        self._prefill_since = now
        if seconds and pending.had_no_backlog and pending.prompt.parts:
            self._learn_speed(pending.tokens, seconds)

    def note_pause(self, seconds: float, now: float) -> None:
        """Learn from a pause of a stream that ends now."""
        began_at = now - seconds
        running_calls = self.running_calls(now)
        if self._pending:
            oldest = next(iter(self._pending.values()))
            if oldest.sent_at <= began_at and self.backlog_seconds(None, now):
                self.timing.note_prefill_pause(running_calls, seconds)
        elif self._prefill_since <= began_at:
            expected_seconds = self.timing.pause_seconds(running_calls)
            ratio = min(_MAX_SPEED_RATIO, seconds / expected_seconds)
            self._pause_ratio += _PAUSE_RATIO_SAMPLE_WEIGHT * (
                ratio - self._pause_ratio
            )
            self.timing.note_pause(running_calls, seconds)

    def end(self, call_id: int) -> None:
        """Remove a call."""
        running = self._running.pop(call_id, None)
        self._pending.pop(call_id, None)
        if running is not None and running.pause_target_seconds is not None:
            self._add_stream(running.pause_target_seconds, -running.weight)

    def pause_seconds(self, running_calls: int) -> float:
        """Return the mean pause of a stream, without prompts in prefill."""
        return self._pause_ratio * self.timing.pause_seconds(running_calls)

    def stream_seconds(self, prompt: Prompt, now: float) -> float:
        """
        Return the expected duration of a new stream, rather long than short.

        The prompt counts as not cached, and all prompts that are pending as
        ahead of it.
        """
        running_calls = self.running_calls(now) + 1
        return (
            self.backlog_seconds(None, now)
            + self.timing.first_event_seconds
            + prompt.input_tokens / self.prefill_tokens_per_second
            + self.timing.expected_events(prompt.max_output_tokens)
            * self.pause_seconds(running_calls)
        )

    def expected_events(self, pause_target_seconds: float) -> float:
        """Return the usual number of events of streams with a pause target."""
        return self._stream_events.get(pause_target_seconds, 1.0)

    def prefill_share(self, now: float) -> float:
        """Return the share of time that prefill took lately, below 1."""
        self._decay_recent(now)
        return min(
            _MAX_PREFILL_SHARE,
            self._recent_tokens
            / self.prefill_tokens_per_second
            / _PREFILL_SHARE_SECONDS,
        )

    def recent_prompt_tokens(self) -> float:
        """Return the mean size of the prompt that a prefilled token is of."""
        if not self._recent_tokens:
            return 0.0
        return self._recent_token_squares / self._recent_tokens

    def running_calls(self, now: float) -> int:
        """Return the number of calls at the instance, without lost ones."""
        while self._running:
            oldest = next(iter(self._running))
            if now - self._running[oldest].sent_at <= self.call_expiry_seconds:
                break
            self.end(oldest)
        return len(self._running)

    def backlog_seconds(self, urgency: int | None, now: float) -> float:
        """
        Return the estimated time until pending prompts are prefilled.

        :param urgency: count only calls that are at least as urgent; None
            counts all.
        """
        if not self._pending:
            return 0.0
        ahead_tokens = 0
        largest_tokens = 0
        for pending in self._pending.values():
            if pending.tokens > largest_tokens:
                largest_tokens = pending.tokens
            if urgency is None or pending.urgency <= urgency:
                ahead_tokens += pending.tokens
        # Servers don't report how far they are with the prompt in prefill.
        # It is estimated from the time since the latest first event of any
        # call, and is at most one prompt, the largest.
        prefilled = min(
            (now - self._prefill_since) * self.prefill_tokens_per_second,
            largest_tokens,
        )
        return (
            max(0.0, ahead_tokens - prefilled) / self.prefill_tokens_per_second
        )

    def _learn_speed(self, tokens: int, seconds: float) -> None:
        timing = self.timing
        prefill_seconds = max(0.0, seconds - timing.first_event_seconds)
        expected_seconds = tokens / timing.prefill_tokens_per_second
        timing.note_first_event(tokens, seconds)
        # The time of a short prompt says little about the rate.
        if expected_seconds < timing.first_event_seconds:
            return
        ratio = expected_seconds / max(prefill_seconds, _MIN_SECONDS)
        self.speed_ratio += _SPEED_SAMPLE_WEIGHT * (
            min(_MAX_SPEED_RATIO, max(_MIN_SPEED_RATIO, ratio))
            - self.speed_ratio
        )

    def _add_stream(self, pause_target_seconds: float, weight: float) -> None:
        total = self.stream_weights.get(pause_target_seconds, 0.0) + weight
        if total > _MIN_WEIGHT:
            self.stream_weights[pause_target_seconds] = total
        else:
            self.stream_weights.pop(pause_target_seconds, None)

    def _note_stream_events(self, call: CallStart) -> None:
        events = self.timing.expected_events(call.max_output_tokens)
        target_seconds = call.pause_target_seconds or 0.0
        known = self._stream_events.get(target_seconds, events)
        self._stream_events[target_seconds] = known + _EVENTS_SAMPLE_WEIGHT * (
            events - known
        )

    def _decay_recent(self, now: float) -> None:
        if now == self._recent_at:
            return
        factor = math.exp(
            -max(0.0, now - self._recent_at) / _PREFILL_SHARE_SECONDS
        )
        self._recent_tokens *= factor
        self._recent_token_squares *= factor
        self._recent_at = now


class LoadTracker:
    """The loads of all server instances."""

    def __init__(self) -> None:
        """Create a tracker without instances."""
        self._loads: dict[str, ServerLoad] = {}
        self._cache_sizes: dict[str, int] = {}
        self._services: dict[str, str] = {}
        self._timings: dict[str, ServiceTiming] = {}
        self._demands: dict[str, ServiceDemand] = {}
        self._call_expiry_seconds = DEFAULT_CALL_EXPIRY_SECONDS

    def set_call_expiry(self, seconds: float) -> None:
        """Drop calls after this time, the longest that any may run."""
        self._call_expiry_seconds = seconds
        for load in self._loads.values():
            load.call_expiry_seconds = seconds

    def set_cache_size(self, instance_id: str, cache_tokens: int) -> None:
        """Set the size of an instance's prefix cache."""
        self._cache_sizes[instance_id] = cache_tokens
        load = self._loads.get(instance_id)
        if load is not None:
            load.cache.resize(cache_tokens)

    def load_of(self, instance_id: str) -> ServerLoad:
        """Return the load of an instance, a new idle one if it is unknown."""
        load = self._loads.get(instance_id)
        if load is None:
            tokens = self._cache_sizes.get(instance_id, _DEFAULT_CACHE_TOKENS)
            load = ServerLoad(
                PrefixCacheEstimate(tokens),
                self._timing_of(instance_id),
                self._call_expiry_seconds,
            )
            self._loads[instance_id] = load
        return load

    def start(self, call: CallStart, now: float) -> None:
        """Add a call that this host or another one sent."""
        self.load_of(call.instance_id).start(call, now)
        if self._demands:
            demand = self._demands.get(self._services.get(call.instance_id, ''))
            if demand is not None:
                demand.add(call, now)

    def count_demand(self, services: Collection[str]) -> None:
        """Count the demand of these services, and of no others."""
        self._demands = {
            service: self._demands.get(service) or ServiceDemand()
            for service in services
        }

    def demand_of(self, service: str) -> ServiceDemand | None:
        """Return the demand of a service, None if it is not counted."""
        return self._demands.get(service)

    def timing_of(self, service: str) -> ServiceTiming | None:
        """Return what was learnt of a service, None before its first call."""
        return self._timings.get(service)

    def running_calls(
        self, instances: Iterable[ServerInstance], now: float
    ) -> int:
        """Return the number of calls at these instances, without lost ones."""
        return sum(
            self._loads[instance.instance_id].running_calls(now)
            for instance in instances
            if instance.instance_id in self._loads
        )

    def note_first_event(
        self, instance_id: str, call_id: int, now: float, seconds: float = 0
    ) -> None:
        """
        Record the first event of a call.

        :param seconds: the time since the call was sent, 0 if unknown.
        """
        load = self._loads.get(instance_id)
        if load is not None:
            load.note_first_event(call_id, now, seconds)

    def note_pause(self, instance_id: str, seconds: float, now: float) -> None:
        """Learn from a pause of a stream of an instance that ends now."""
        load = self._loads.get(instance_id)
        if load is not None:
            load.note_pause(seconds, now)

    def note_stream_end(
        self, instance_id: str, max_output_tokens: int, events: int
    ) -> None:
        """Learn from a complete stream how many events it had."""
        load = self._loads.get(instance_id)
        if load is not None:
            load.timing.note_stream_end(max_output_tokens, events)

    def end(self, instance_id: str, call_id: int) -> None:
        """Remove a call that ended."""
        load = self._loads.get(instance_id)
        if load is not None:
            load.end(call_id)

    def retain(self, instances: list[ServerInstance]) -> None:
        """Drop the loads of all instances but these."""
        self._services = {
            instance.instance_id: instance.service for instance in instances
        }
        for table in (self._loads, self._cache_sizes):
            for instance_id in tuple(table):
                if instance_id not in self._services:
                    table.pop(instance_id)

    def retain_services(self, services: Collection[str]) -> None:
        """Drop what was learnt of services without instances but these."""
        in_use = {*services, *self._services.values()}
        for service in tuple(self._timings):
            if service not in in_use:
                self._timings.pop(service)

    def _timing_of(self, instance_id: str) -> ServiceTiming:
        service = self._services.get(instance_id, '')
        timing = self._timings.get(service)
        if timing is None:
            timing = ServiceTiming()
            self._timings[service] = timing
        return timing


__all__ = (
    'DEFAULT_CALL_EXPIRY_SECONDS',
    'CallStart',
    'LoadTracker',
    'ServerLoad',
    'urgency_weight',
)
