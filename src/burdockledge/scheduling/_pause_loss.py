"""Predicts the streams that miss their pause targets for a choice."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from burdockledge.scheduling._load import ServerLoad
    from burdockledge.scheduling._pressure import LoadSample, ServicePressure
    from burdockledge.scheduling._timing import ServiceTiming

# Running calls of a usual server, for what doesn't depend on the server.
USUAL_RUNNING_CALLS: Final = 10
_MIN_TARGET_SECONDS: Final = 0.001


class PauseLoss:
    """
    Predicts missed pause targets at the servers of a service for one call.

    ``sensitivity`` is the chance that a pause full of prefill is too long for
    the call, 0 without a pause target. ``harm_by_tokens`` keeps the results of
    ``harm_of``, as few amounts of tokens differ among servers.
    """

    def __init__(
        self,
        service: ServicePressure,
        timing: ServiceTiming,
        target_seconds: float | None,
        weight: float,
        events: float,
        usual_share: float,
    ) -> None:
        """
        Compute what is the same for all servers.

        :param weight: the loss if the call misses its target.
        :param events: the expected events of the call.
        :param usual_share: the mean share of time that prefill takes.
        """
        self._service = service
        self._timing = timing
        self._target_seconds = target_seconds
        self._weight = weight
        self._events = events
        self._usual_share = usual_share
        self._exponent = timing.tail_exponent
        self._scales: dict[float, float] = {}
        self._idle_pause = timing.pause_seconds(0)
        self._pause_per_call = timing.pause_seconds_per_call
        self.harm_by_tokens: dict[int, float] = {}
        self.sensitivity = self._sensitivity()

    def _sensitivity(self) -> float:
        """Return the chance that a pause full of prefill is too long."""
        target_seconds = self._target_seconds
        if target_seconds is None:
            return 0.0
        timing = self._timing
        return timing.miss_rate(
            timing.pause_seconds(USUAL_RUNNING_CALLS)
            + self._service.pause_tokens / timing.prefill_tokens_per_second,
            target_seconds,
        )

    def harm_of(self, tokens: int) -> float:
        """Return the share of the service's streams that a prefill harms."""
        timing = self._timing
        pause = timing.pause_seconds(USUAL_RUNNING_CALLS)
        longer_pause = (
            pause
            + min(tokens, self._service.pause_tokens)
            / timing.prefill_tokens_per_second
        )
        weights = self._service.stream_weights
        harm = sum(
            weight
            * (
                timing.miss_rate(longer_pause, target_seconds)
                - timing.miss_rate(pause, target_seconds)
            )
            for target_seconds, weight in weights.items()
        )
        harm /= max(1.0, sum(weights.values()))
        self.harm_by_tokens[tokens] = harm
        return harm

    def own_loss(self, load: ServerLoad, sample: LoadSample) -> float:
        """
        Return the weighted chance that the call's stream misses its target.

        Prompts that arrive while it runs are forecast from the recent ones; a
        server without streams like it will get at least the usual share of
        them. Less urgent prompts that are pending now are prefilled after
        the first event, and lengthen the pauses after it.
        """
        target_seconds = self._target_seconds or 0.0
        rate = sample.tokens_per_second
        share = sample.prefill_share
        bound = self._service.pause_tokens / rate
        pause = self._pause_seconds(sample, sample.running_calls + 1)
        if share < self._usual_share and (
            min(load.stream_weights, default=math.inf) > target_seconds
        ):
            share = self._usual_share
        # The more of the time prefill takes, the more prompts follow each
        # other without a gap.
        prompt_seconds = sample.prompt_tokens / (rate * (1 - share))
        prefill_pause = pause + min(bound, prompt_seconds)
        # Fewer events end in a second with prefill.
        pause_share = share * pause
        event_share = pause_share / (pause_share + (1 - share) * prefill_pause)
        exponent = self._exponent
        scale = self._scale_of(target_seconds)
        usual_rate = scale * pause**exponent
        prefill_rate = scale * prefill_pause**exponent
        if prefill_rate > 1:
            prefill_rate = 1.0
            usual_rate = min(1.0, usual_rate)
        misses = self._events * (
            (1 - event_share) * usual_rate + event_share * prefill_rate
        )
        behind = sample.pending_seconds - sample.ahead_seconds
        if behind > 0:
            next_pause = pause + min(bound, behind)
            misses += (1 + behind / next_pause) * min(
                1.0, scale * next_pause**exponent
            )
        return self._weight * (1 - math.exp(-misses))

    def _scale_of(self, target_seconds: float) -> float:
        """Return what a power of a pause is multiplied by for a miss rate."""
        # As ``ServiceTiming.miss_rate``, but one power serves all targets.
        scale = self._scales.get(target_seconds)
        if scale is None:
            scale = max(_MIN_TARGET_SECONDS, target_seconds) ** -self._exponent
            self._scales[target_seconds] = scale
        return scale

    def _pause_seconds(self, sample: LoadSample, running_calls: int) -> float:
        return sample.pause_ratio * (
            self._idle_pause + self._pause_per_call * running_calls
        )

    def loss_of_others(
        self, load: ServerLoad, sample: LoadSample, prefill_tokens: int
    ) -> float:
        """
        Return what a prefill adds to the weighted misses of running streams.

        The prompts that are pending and this one act as one long prompt.
        Streams that the pending ones alone make late don't count.
        """
        weights = load.stream_weights
        if not weights:
            return 0.0
        rate = sample.tokens_per_second
        pending = sample.pending_seconds
        bound = self._service.pause_tokens / rate
        pause = self._pause_seconds(sample, sample.running_calls)
        prefill = prefill_tokens / rate
        pause_after = pause + min(bound, pending + prefill)
        # A prompt lengthens one pause at least, the last one in part.
        pauses = 1 + prefill / pause_after
        before = (pause + min(bound, pending)) ** self._exponent
        after = pause_after**self._exponent
        loss = 0.0
        for target_seconds, weight in weights.items():
            scale = self._scale_of(target_seconds)
            if before * scale < 1:
                added = min(1.0, after * scale) - before * scale
                loss += weight * min(1.0, pauses * added)
        return loss


__all__ = ('USUAL_RUNNING_CALLS', 'PauseLoss')
