"""The load that all entry hosts put on one backend server."""

from __future__ import annotations

import copy
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NamedTuple

from burdockledge.scheduling._call_start import add_weight

if TYPE_CHECKING:
    from burdockledge.calls import Prompt
    from burdockledge.scheduling._call_start import CallStart
    from burdockledge.scheduling._prefix_cache import PrefixCacheEstimate
    from burdockledge.scheduling._pressure import LoadSample, ServerPressure
    from burdockledge.scheduling._timing import ServiceTiming

# A call is dropped after this time, as the news of its end may be lost with
# the host that sent it; the longest time limit of the routes replaces it.
DEFAULT_CALL_EXPIRY_SECONDS: Final = 30.0
_SPEED_SAMPLE_WEIGHT: Final = 0.2
_PAUSE_RATIO_SAMPLE_WEIGHT: Final = 0.02
_EVENTS_SAMPLE_WEIGHT: Final = 0.1
# Bounds of the speed of a server in relation to others of its service.
_MIN_SPEED_RATIO: Final = 0.1
_MAX_SPEED_RATIO: Final = 4.0
# The prefill of a call is forecast from that of this time before it.
_PREFILL_SHARE_SECONDS: Final = 2.0
_MAX_PREFILL_SHARE: Final = 0.95
# A cached prompt is refuted by a first event that took this share of the time
# that its prefill takes, and longer than in slow moments of an engine, if that
# time is long beside a first event without a prompt.
_REFUTED_SHARE: Final = 0.8
_MIN_REFUTED_FIRST_EVENTS: Final = 1.5
# An exponential for each server and choice costs more than this error.
_ROUGH_SECONDS: Final = 0.05
_MIN_SECONDS: Final = 0.001


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
    their pause targets. ``pressure`` is None unless it is weighed. Times are in
    seconds of the monotonic clock.
    """

    def __init__(
        self,
        cache: PrefixCacheEstimate,
        timing: ServiceTiming,
        call_expiry_seconds: float = DEFAULT_CALL_EXPIRY_SECONDS,
        pressure: ServerPressure | None = None,
    ) -> None:
        """Create the load of an idle instance of a service."""
        self.cache = cache
        self.pressure = pressure
        self.timing = timing
        self.call_expiry_seconds = call_expiry_seconds
        self.speed_ratio = 1.0
        self.stream_weights: dict[float, float] = {}
        self._stream_events: dict[float, float] = {}
        self._pause_ratio = 1.0
        self._sampled_at = 0.0
        self._running: dict[int, _RunningCall] = {}
        self._pending: dict[int, _PendingPrefill] = {}
        self._prefill_since = 0.0
        self._recent_tokens = 0.0
        self._recent_token_squares = 0.0
        self._recent_at = 0.0

    def snapshot(self, pressure: ServerPressure | None) -> ServerLoad:
        """Return a copy that may forget calls without a change here."""
        other = copy.copy(self)
        other.unshare()
        other.pressure = pressure
        return other

    def unshare(self) -> None:
        """Stop sharing with another copy what a choice may change."""
        self.stream_weights = dict(self.stream_weights)
        self._running = dict(self._running)
        self._pending = dict(self._pending)

    @property
    def prefill_tokens_per_second(self) -> float:
        """The estimated prefill rate of this instance."""
        return self.timing.prefill_tokens_per_second * self.speed_ratio

    def start(self, call: CallStart, now: float) -> None:
        """Add a call that was sent to this instance."""
        if self.pressure is not None and call.call_id in self._running:
            # The news of a start may come twice, and counts once.
            self.end(call.call_id)
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
        if self.pressure is not None:
            self.pressure.start(
                call,
                now,
                self.prefill_tokens_per_second,
                self.cache.use_of(call.prompt) if had_no_backlog else None,
            )
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
        if self.pressure is not None:
            if not self._pending:
                self.pressure.note_no_backlog(now)
            if seconds and self._is_refuted(call_id, pending.tokens, seconds):
                return
        if seconds and pending.had_no_backlog and pending.prompt.parts:
            self._learn_speed(pending.tokens, seconds)

    def note_pause(self, seconds: float, now: float) -> None:
        """Learn from a pause of a stream that ends now."""
        began_at = now - seconds
        running_calls = self.running_calls(now)
        if self.pressure is not None:
            self.pressure.note_pause(
                seconds,
                self.pause_seconds(running_calls),
                now,
                self.prefill_tokens_per_second,
            )
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
        if self.pressure is not None:
            self.pressure.end(call_id)
        if running is not None and running.pause_target_seconds is not None:
            self._add_stream(running.pause_target_seconds, -running.weight)

    def drop_calls(self) -> None:
        """Remove all calls, as the server is gone."""
        for call_id in tuple(self._running):
            self.end(call_id)

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

    def measure(self, sample: LoadSample, urgency: int, now: float) -> None:
        """Write what a choice for a call of an urgency needs of this load."""
        # Done for each server and choice, so in one call and without a new
        # object what ``running_calls``, ``backlog_seconds``,
        # ``prefill_share`` and ``recent_prompt_tokens`` do.
        rate = self.timing.prefill_tokens_per_second * self.speed_ratio
        sample.tokens_per_second = rate
        sample.pause_ratio = self._pause_ratio
        if now - self._sampled_at > _ROUGH_SECONDS:
            self._sampled_at = now
            self._decay_recent(now)
            self.running_calls(now)
        sample.running_calls = len(self._running)
        recent = self._recent_tokens
        share = recent / (rate * _PREFILL_SHARE_SECONDS)
        sample.prefill_share = (
            share if share < _MAX_PREFILL_SHARE else _MAX_PREFILL_SHARE
        )
        sample.prompt_tokens = (
            self._recent_token_squares / recent if recent else 0.0
        )
        ahead = 0.0
        pending = 0.0
        if self._pending:
            largest = 0
            for call in self._pending.values():
                tokens = call.tokens
                pending += tokens
                if tokens > largest:
                    largest = tokens
                if call.urgency <= urgency:
                    ahead += tokens
            # As in ``backlog_seconds``.
            prefilled = min((now - self._prefill_since) * rate, largest)
            ahead -= prefilled
            pending -= prefilled
        sample.ahead_seconds = ahead / rate if ahead > 0 else 0.0
        sample.pending_seconds = pending / rate if pending > 0 else 0.0

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

    def pending_calls(self, urgency: int) -> int:
        """Return the calls without a first event that are as urgent."""
        return sum(
            1
            for pending in self._pending.values()
            if pending.urgency <= urgency
        )

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

    def _is_refuted(self, call_id: int, tokens: int, seconds: float) -> bool:
        """
        Return whether a first event came too late for what seemed cached.

        The parts are cached now, but those that were used before them are
        not, as the least recently used ones are evicted first.
        """
        if self.pressure is None:
            return False
        use = self.pressure.take_use(call_id)
        if use is None:
            return False
        rate = self.prefill_tokens_per_second
        usual = self.timing.first_event_seconds
        if use.tokens / rate < _MIN_REFUTED_FIRST_EVENTS * usual:
            return False
        cached = usual + tokens / rate
        if seconds > max(
            cached + _REFUTED_SHARE * use.tokens / rate,
            cached * self.timing.slow_ratio,
        ):
            self.cache.refute(use)
            return True
        self.cache.confirm(use)
        return False

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
        add_weight(self.stream_weights, pause_target_seconds, weight)
        if self.pressure is not None:
            add_weight(
                self.pressure.service.stream_weights,
                pause_target_seconds,
                weight,
            )

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


__all__ = ('DEFAULT_CALL_EXPIRY_SECONDS', 'ServerLoad')
