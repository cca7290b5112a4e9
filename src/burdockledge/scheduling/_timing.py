"""
Learns how fast the engines of a service prefill prompts and generate tokens.

An engine with continuous batching generates a token of each running call in
every step, and prefills waiting prompts in chunks between the steps. So the
pause between two events of a stream grows with the running calls, is longer
while a prompt is in prefill, and is longer at random when the engine is slow
for a moment. Source: Agrawal et al., "Taming Throughput-Latency Tradeoff in
LLM Inference with Sarathi-Serve", 2024.
"""

from __future__ import annotations

import math
from typing import Final

from burdockledge.scheduling._estimates import LineEstimate, QuantileEstimate

# Priors, until calls have shown the figures of a service's engines.
DEFAULT_PREFILL_TOKENS_PER_SECOND: Final = 80_000.0
_PRIOR_FIRST_EVENT_SECONDS: Final = 0.04
_PRIOR_PAUSE_SECONDS: Final = 0.02
_PRIOR_PAUSE_SECONDS_PER_CALL: Final = 0.0003
_PRIOR_PREFILL_PAUSE_SECONDS: Final = 0.1
_PRIOR_SLOW_RATIO: Final = 2.0
_PRIOR_EVENTS_PER_TOKEN: Final = 0.05
_TYPICAL_PROMPT_TOKENS: Final = 4000.0
_TYPICAL_RUNNING_CALLS: Final = 10.0
# Pauses are frequent, first events without a backlog are not.
_PAUSE_RETENTION: Final = 0.998
_FIRST_EVENT_RETENTION: Final = 0.97
# A pause under prefill is estimated high rather than low, as prompts that are
# nearly done count as in prefill, too.
_PREFILL_PAUSE_QUANTILE: Final = 0.7
_SLOW_QUANTILE: Final = 0.97
_MIN_SLOW_RATIO: Final = 1.2
# Shorter extra pauses are within the precision of arrival times.
_MIN_PREFILL_PAUSE_SECONDS: Final = 0.001
# A sample counts as at most this multiple of its estimate, and at least as
# one by it: it may come from a paused server.
_MAX_SAMPLE_RATIO: Final = 8.0
_MIN_TOKENS_PER_SECOND: Final = 1000.0
_MAX_TOKENS_PER_SECOND: Final = 2_000_000.0


class ServiceTiming:
    """
    The times of the engines of one service, learnt from their streams.

    ``prefill_tokens_per_second`` is the prefill rate of an engine without
    other prompts. All times are in seconds.
    """

    def __init__(self) -> None:
        """Start from neutral priors."""
        self._first_event = LineEstimate(
            _PRIOR_FIRST_EVENT_SECONDS,
            1 / DEFAULT_PREFILL_TOKENS_PER_SECOND,
            _TYPICAL_PROMPT_TOKENS,
            _FIRST_EVENT_RETENTION,
        )
        self.prefill_tokens_per_second = DEFAULT_PREFILL_TOKENS_PER_SECOND
        self._pause = LineEstimate(
            _PRIOR_PAUSE_SECONDS,
            _PRIOR_PAUSE_SECONDS_PER_CALL,
            _TYPICAL_RUNNING_CALLS,
            _PAUSE_RETENTION,
        )
        self._prefill_pause = QuantileEstimate(
            _PRIOR_PREFILL_PAUSE_SECONDS, _PREFILL_PAUSE_QUANTILE
        )
        self._slow_ratio = QuantileEstimate(_PRIOR_SLOW_RATIO, _SLOW_QUANTILE)
        self._tail_exponent = _tail_exponent(_PRIOR_SLOW_RATIO)
        self._events_per_token = QuantileEstimate(_PRIOR_EVENTS_PER_TOKEN, 0.5)

    @property
    def first_event_seconds(self) -> float:
        """The time to a first event that doesn't depend on the prompt."""
        return self._first_event.intercept

    @property
    def slow_ratio(self) -> float:
        """How many times as long as usual the pauses of slow moments are."""
        return self._slow_ratio.estimate

    @property
    def tail_exponent(self) -> float:
        """The power of a pause over its target in ``miss_rate``."""
        return self._tail_exponent

    @property
    def pause_seconds_per_call(self) -> float:
        """What one more running call adds to the pauses of the others."""
        return self._pause.slope

    @property
    def prefill_pause_seconds(self) -> float:
        """What prefill throughout a pause adds to it."""
        return self._prefill_pause.estimate

    def pause_seconds(self, running_calls: int) -> float:
        """Return the mean pause of a stream, without prompts in prefill."""
        return self._pause.at(running_calls)

    def expected_events(self, max_output_tokens: int) -> float:
        """Return about how many events a stream will have."""
        return max(1.0, max_output_tokens * self._events_per_token.estimate)

    def miss_rate(self, pause_seconds: float, target_seconds: float) -> float:
        """
        Return the share of pauses over a target, given their mean.

        Slow moments of an engine make pauses heavy-tailed. The tail is taken
        as a Pareto distribution through the learnt high quantile.
        """
        if pause_seconds >= target_seconds:
            return 1.0
        return float((pause_seconds / target_seconds) ** self._tail_exponent)

    def note_first_event(self, tokens: int, seconds: float) -> None:
        """Learn from a call whose prompt was prefilled alone."""
        self._first_event.add(
            tokens, _limit_sample(seconds, self._first_event.at(tokens))
        )
        self.prefill_tokens_per_second = min(
            _MAX_TOKENS_PER_SECOND,
            max(_MIN_TOKENS_PER_SECOND, 1 / self._first_event.slope),
        )

    def note_pause(self, running_calls: int, seconds: float) -> None:
        """Learn from a pause without a prompt in prefill."""
        expected_seconds = self.pause_seconds(running_calls)
        seconds = _limit_sample(seconds, expected_seconds)
        self._slow_ratio.add(seconds / expected_seconds)
        self._tail_exponent = _tail_exponent(self._slow_ratio.estimate)
        self._pause.add(running_calls, seconds)

    def note_prefill_pause(self, running_calls: int, seconds: float) -> None:
        """Learn from a pause with a prompt in prefill throughout."""
        extra_seconds = seconds - self.pause_seconds(running_calls)
        self._prefill_pause.add(max(_MIN_PREFILL_PAUSE_SECONDS, extra_seconds))

    def note_stream_end(self, max_output_tokens: int, events: int) -> None:
        """Learn how many events a complete stream had."""
        if max_output_tokens > 0:
            self._events_per_token.add(events / max_output_tokens)


def _tail_exponent(slow_ratio: float) -> float:
    """Return the Pareto exponent with which few pauses exceed the ratio."""
    return -math.log(1 - _SLOW_QUANTILE) / math.log(
        max(_MIN_SLOW_RATIO, slow_ratio)
    )


def _limit_sample(sample: float, estimate: float) -> float:
    return min(
        estimate * _MAX_SAMPLE_RATIO, max(estimate / _MAX_SAMPLE_RATIO, sample)
    )


__all__ = ('DEFAULT_PREFILL_TOKENS_PER_SECOND', 'ServiceTiming')
