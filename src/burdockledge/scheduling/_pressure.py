"""
Learns what prefill adds to the pauses of streams, by the tokens prefilled.

An engine prefills prompts in chunks between its steps, and an event of a
stream takes a few steps. So the tokens that are prefilled during a pause
lengthen it in proportion, up to the chunks of all steps of an event.
"""

from __future__ import annotations

import copy
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NamedTuple

from burdockledge.scheduling._estimates import QuantileEstimate

if TYPE_CHECKING:
    from burdockledge.calls import Prompt
    from burdockledge.scheduling._call_start import CallStart
    from burdockledge.scheduling._prefix_cache import CacheUse

# Neutral prior: what a pause of 0.1 s prefills at the prior rate.
_PRIOR_PAUSE_TOKENS: Final = 8000.0
# The bound is estimated high rather than low, as some of the tokens that are
# believed to be pending are already prefilled.
_PAUSE_TOKENS_QUANTILE: Final = 0.7
# Shorter extra pauses are within the precision of arrival times.
_MIN_PAUSE_TOKENS: Final = 50.0
# Starts of calls that are kept for each server. A pause overlaps far fewer.
_MAX_KEPT_STARTS: Final = 32


def prompt_tokens(prompt: Prompt) -> int:
    """Return the size of a prompt, by its parts if they are larger."""
    # Faster than a generator, and done for the calls of all hosts.
    return max(prompt.input_tokens, sum([part[1] for part in prompt.parts]))


def memory_tokens(prompt: Prompt, max_output_tokens: int) -> int:
    """Return the KV memory that a call needs at its end."""
    return prompt_tokens(prompt) + max_output_tokens


class _Backlog(NamedTuple):
    """Pending tokens right after a change; ``added_tokens`` only grows."""

    at: float
    tokens: float
    added_tokens: float


@dataclass(slots=True)
class LoadSample:
    """
    The load of a server at one time, for a call of one urgency.

    ``ahead_seconds`` is the prefill of pending calls that are at least as
    urgent, ``pending_seconds`` that of all. ``prefill_share`` may be some
    milliseconds old. ``prompt_tokens`` is as ``recent_prompt_tokens``,
    ``pause_ratio`` the pauses of this server in relation to its service.
    ``risk`` is the share of recent calls that failed, ``cached_tokens`` what of
    the prompt is cached or in prefill.
    """

    tokens_per_second: float = 1.0
    running_calls: int = 0
    ahead_seconds: float = 0.0
    pending_seconds: float = 0.0
    prefill_share: float = 0.0
    prompt_tokens: float = 0.0
    pause_ratio: float = 1.0
    risk: float = 0.0
    cached_tokens: int = 0


class ServicePressure:
    """
    What is learnt of all servers of a service.

    ``pause_tokens`` is how many tokens an engine prefills at most during a
    pause between two events. ``stream_weights`` holds the summed weights of
    the running streams of the service by their pause targets.
    """

    def __init__(self) -> None:
        """Start from neutral priors."""
        self.stream_weights: dict[float, float] = {}
        self._pause_tokens = QuantileEstimate(
            _PRIOR_PAUSE_TOKENS, _PAUSE_TOKENS_QUANTILE
        )

    def snapshot(self) -> ServicePressure:
        """Return a copy with weights of its own."""
        other = copy.copy(self)
        other.stream_weights = dict(self.stream_weights)
        return other

    @property
    def pause_tokens(self) -> float:
        """The most tokens that are prefilled during a pause."""
        return self._pause_tokens.estimate

    def note_prefill_pause(
        self, extra_tokens: float, begun_with: float, available: float
    ) -> None:
        """
        Learn from a pause during which tokens were pending.

        Only a pause that had at least the bound to prefill from its start on
        shows that the bound is lower. One that was longer than the bound
        shows that it is higher if the pending tokens explain its length.

        :param extra_tokens: the tokens that fit into the extra pause.
        :param begun_with: the tokens pending as the pause began.
        :param available: the same, and those that were added during it.
        """
        bound = self._pause_tokens.estimate
        if begun_with >= bound or bound < extra_tokens <= available:
            self._pause_tokens.add(max(_MIN_PAUSE_TOKENS, extra_tokens))


class ServerPressure:
    """
    The pending prefill of one server over the last starts of calls.

    ``position`` is the place of the server among those of its service in its
    data centre, from 0 to 1, ``salt`` a number of its own. All hosts agree on
    both. ``running_tokens`` is the KV memory that its calls need until they
    end. ``sample`` is the load at the latest choice of a server.
    """

    def __init__(
        self, service: ServicePressure, position: float = 0.5, salt: int = 0
    ) -> None:
        """Create the state of an idle server."""
        self.service = service
        self.position = position
        self.salt = salt
        self.running_tokens = 0
        self.sample = LoadSample()
        self._tokens_by_call: dict[int, int] = {}
        self._uses: dict[int, CacheUse] = {}
        self._backlogs: deque[_Backlog] = deque(maxlen=_MAX_KEPT_STARTS)

    def snapshot(self, service: ServicePressure) -> ServerPressure:
        """Return a copy with a sample of its own."""
        other = copy.copy(self)
        other.service = service
        other.sample = LoadSample()
        other.unshare()
        return other

    def unshare(self) -> None:
        """Stop sharing with another copy what a choice may change."""
        self._tokens_by_call = dict(self._tokens_by_call)
        self._uses = dict(self._uses)

    def start(
        self,
        call: CallStart,
        now: float,
        tokens_per_second: float,
        use: CacheUse | None,
    ) -> None:
        """
        Add the prefill of a call.

        :param use: what the call finds in the cache, if its first event
            will tell whether that is so.
        """
        tokens = call.prefill_tokens
        needed = memory_tokens(call.prompt, call.max_output_tokens)
        self._tokens_by_call[call.call_id] = needed
        self.running_tokens += needed
        # Parts that are fetched from another server arrive later than cached
        # ones, and say nothing of the cache.
        if use is not None and (
            use.tokens
            and use.tokens + tokens >= needed - call.max_output_tokens
        ):
            self._uses[call.call_id] = use
        added = self._backlogs[-1].added_tokens if self._backlogs else 0.0
        pending = self.pending_tokens(now, tokens_per_second)
        self._backlogs.append(_Backlog(now, pending + tokens, added + tokens))

    def end(self, call_id: int) -> None:
        """Free the memory of a call."""
        self.running_tokens -= self._tokens_by_call.pop(call_id, 0)
        self._uses.pop(call_id, None)

    def take_use(self, call_id: int) -> CacheUse | None:
        """Return what a call seemed to find in the cache, once."""
        return self._uses.pop(call_id, None)

    def note_no_backlog(self, now: float) -> None:
        """Record that the prompts of all calls are prefilled."""
        if self._backlogs:
            self._backlogs.append(
                _Backlog(now, 0.0, self._backlogs[-1].added_tokens)
            )

    def note_pause(
        self,
        seconds: float,
        usual_seconds: float,
        now: float,
        tokens_per_second: float,
    ) -> None:
        """Learn from a pause of a stream that ends now."""
        if not self._backlogs:
            return
        began_at = now - seconds
        latest = self._backlogs[-1]
        if latest.at <= began_at and (
            latest.tokens <= (began_at - latest.at) * tokens_per_second
        ):
            return
        begun_with, added = self._at(began_at, tokens_per_second)
        self.service.note_prefill_pause(
            (seconds - usual_seconds) * tokens_per_second,
            begun_with,
            begun_with + latest.added_tokens - added,
        )

    def pending_tokens(self, now: float, tokens_per_second: float) -> float:
        """Return the tokens that are estimated to be pending."""
        if not self._backlogs:
            return 0.0
        latest = self._backlogs[-1]
        return max(0.0, latest.tokens - (now - latest.at) * tokens_per_second)

    def _at(
        self, moment: float, tokens_per_second: float
    ) -> tuple[float, float]:
        """Return the pending tokens at a moment, and those added before."""
        for at, tokens, added in reversed(self._backlogs):
            if at <= moment:
                pending = tokens - (moment - at) * tokens_per_second
                return max(0.0, pending), added
        oldest = self._backlogs[0]
        return 0.0, oldest.added_tokens - oldest.tokens


__all__ = (
    'LoadSample',
    'ServerPressure',
    'ServicePressure',
    'memory_tokens',
    'prompt_tokens',
)
