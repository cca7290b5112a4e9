"""Tracks the load that all entry hosts put on each backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.scheduling._prefix_cache import PrefixCacheEstimate

if TYPE_CHECKING:
    from burdockledge.relay import Prompt, ServerInstance

# Assumed prefill rate until calls have shown it. The users' engines prefill
# 112 to 157 tokens in a millisecond, less what running streams take.
DEFAULT_PREFILL_TOKENS_PER_SECOND: Final = 80_000.0
# A call is dropped after the users' longest time limit, as the news of its
# end may be lost with the host that sent it.
CALL_EXPIRY_SECONDS: Final = 12.0
_DEFAULT_CACHE_TOKENS: Final = 500_000
# Time from the send to the first event that doesn't depend on the prompt's
# length: 31 ms at the users' engines, plus the network.
_FIRST_EVENT_OVERHEAD_SECONDS: Final = 0.035
# The prefill rate is measured only with prompts of more than one chunk.
_MIN_SAMPLE_TOKENS: Final = 6000
_RATE_SAMPLE_WEIGHT: Final = 0.2
_MIN_TOKENS_PER_SECOND: Final = 10_000.0
_MAX_TOKENS_PER_SECOND: Final = 400_000.0


@dataclass(frozen=True, slots=True)
class CallStart:
    """
    A call that any host sent to a server.

    ``prefill_tokens`` is the part of the prompt that the server has to
    prefill. Urgency 0 is the highest priority.
    """

    call_id: int
    instance_id: str
    urgency: int
    prefill_tokens: int
    prompt: Prompt
    max_output_tokens: int = 0
    is_interactive: bool = False


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


class ServerLoad:
    """
    The load on one server instance.

    Times are in seconds of the monotonic clock.
    """

    def __init__(
        self, cache: PrefixCacheEstimate, prefill_tokens_per_second: float
    ) -> None:
        """Create the load of an idle instance."""
        self.cache = cache
        self.prefill_tokens_per_second = prefill_tokens_per_second
        self._sent_at: dict[int, float] = {}
        self._pending: dict[int, _PendingPrefill] = {}
        self._prefill_since = 0.0

    def start(self, call: CallStart, now: float) -> None:
        """Add a call that was sent to this instance."""
        if not self._pending:
            self._prefill_since = now
        self._sent_at[call.call_id] = now
        self._pending[call.call_id] = _PendingPrefill(
            call.urgency,
            call.prefill_tokens,
            call.prompt,
            now,
            not self._pending,
        )
        self.cache.add(call.prompt)

    def note_first_event(self, call_id: int, now: float) -> None:
        """
        Record the first event of a call, which shows that prefill is done.

        If the prompt was long and prefilled alone, its time also updates
        the estimated prefill rate.
        """
        pending = self._pending.pop(call_id, None)
        if pending is None:
            return
        self.cache.mark_prefilled(pending.prompt)
        self._prefill_since = now
        prefill_seconds = now - pending.sent_at - _FIRST_EVENT_OVERHEAD_SECONDS
        if not pending.had_no_backlog or pending.tokens < _MIN_SAMPLE_TOKENS:
            return
        if prefill_seconds > 0:
            prefill_tokens_per_second = min(
                _MAX_TOKENS_PER_SECOND,
                max(_MIN_TOKENS_PER_SECOND, pending.tokens / prefill_seconds),
            )
            self.prefill_tokens_per_second += _RATE_SAMPLE_WEIGHT * (
                prefill_tokens_per_second - self.prefill_tokens_per_second
            )

    def end(self, call_id: int) -> None:
        """Remove a call."""
        self._sent_at.pop(call_id, None)
        self._pending.pop(call_id, None)

    def running_calls(self, now: float) -> int:
        """Return the number of calls at the instance, without lost ones."""
        while self._sent_at:
            oldest = next(iter(self._sent_at))
            if now - self._sent_at[oldest] <= CALL_EXPIRY_SECONDS:
                break
            self.end(oldest)
        return len(self._sent_at)

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
            largest_tokens = max(largest_tokens, pending.tokens)
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


class LoadTracker:
    """The loads of all server instances."""

    def __init__(self) -> None:
        """Create a tracker without instances."""
        self._loads: dict[str, ServerLoad] = {}
        self._cache_sizes: dict[str, int] = {}

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
                PrefixCacheEstimate(tokens), self._mean_prefill_rate()
            )
            self._loads[instance_id] = load
        return load

    def start(self, call: CallStart, now: float) -> None:
        """Add a call that this host or another one sent."""
        self.load_of(call.instance_id).start(call, now)

    def note_first_event(
        self, instance_id: str, call_id: int, now: float
    ) -> None:
        """Record the first event of a call."""
        load = self._loads.get(instance_id)
        if load is not None:
            load.note_first_event(call_id, now)

    def end(self, instance_id: str, call_id: int) -> None:
        """Remove a call that ended."""
        load = self._loads.get(instance_id)
        if load is not None:
            load.end(call_id)

    def retain(self, instances: list[ServerInstance]) -> None:
        """Drop the loads of all instances but these."""
        known = {instance.instance_id for instance in instances}
        for instance_id in tuple(self._loads):
            if instance_id not in known:
                self._loads.pop(instance_id)
                self._cache_sizes.pop(instance_id, None)

    def _mean_prefill_rate(self) -> float:
        if not self._loads:
            return DEFAULT_PREFILL_TOKENS_PER_SECOND
        rates = [
            load.prefill_tokens_per_second for load in self._loads.values()
        ]
        return sum(rates) / len(rates)


__all__ = (
    'CALL_EXPIRY_SECONDS',
    'DEFAULT_PREFILL_TOKENS_PER_SECOND',
    'CallStart',
    'LoadTracker',
    'ServerLoad',
)
