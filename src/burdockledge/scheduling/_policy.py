"""
Chooses the backend server of a call; pure, without network or clock.

A model call goes where its first token is expected first: prompt tokens
still to be read there by calls of its tier or above, its own tokens that
the server's cache does not hold, and the calls that share the batch.
Source of weighing cache hits against load: Srivatsa et al., "Preble:
Efficient Distributed Prompt Scheduling for LLM Serving", 2024.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.scheduling._brisk import (
    BRISK_PAUSE_SECONDS,
    BRISK_PROMPT_TOKENS,
    BriskDemand,
)

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from burdockledge.relay import Prompt, ServerInstance
    from burdockledge.scheduling._evidence import EvidenceBook
    from burdockledge.scheduling._load import CallStart, LoadBook, ServerLoad

# What each call in the batch adds to a token step of all others, in seconds,
# over the few steps up to a first token (engines of the users: 0.1 ms a step).
_BATCH_SECONDS_A_CALL: Final = 0.0005
# Reading a shared part again also takes cache room from others.
_REREAD_WEIGHT: Final = 4.0
# Prompt tokens fetched from another server's cache, against tokens read:
# they cost links, which are priced, and little time.
_FETCH_PART: Final = 0.3
_LEAST_FETCH_TOKENS: Final = 1024
# A call between data centres costs a round trip and priced bytes.
_REMOTE_SECONDS: Final = 0.004
# How long a call that fails is worth waiting elsewhere to avoid it.
_FAILURE_SECONDS: Final = 1.0
# Plain calls wait this long for each full turn of a server's slots.
_TURN_SECONDS: Final = 0.05
_TIE_SECONDS: Final = 0.0002
# A brisk call leaves the engines kept for it when they are this much worse.
_BRISK_SECONDS: Final = 0.4
# Other calls enter these engines when that saves this many of their targets.
_TARGETS: Final = 1.0
# With fewer streams on such an engine there is less harm in entering it.
_BRISK_CROWD: Final = 4
# What each stream of an engine adds to the pauses of a brisk one, with room
# for a slow moment of the engine.
_BRISK_SECONDS_A_CALL: Final = 0.002


@dataclass(frozen=True, slots=True)
class Demand:
    """What a call asks of a server."""

    service: str
    tier: int
    prompt: Prompt
    data_centre: str
    target_seconds: float = 1.0
    pause_seconds: float | None = None

    @property
    def is_brisk(self) -> bool:
        """Whether chunks of long prompts would hurt this call most."""
        return (
            self.pause_seconds is not None
            and self.pause_seconds <= BRISK_PAUSE_SECONDS
            and self.prompt.input_tokens <= BRISK_PROMPT_TOKENS
        )


@dataclass(frozen=True, slots=True)
class Choice:
    """
    A chosen server and the figures that decided it.

    ``source`` is a server that holds more of the prompt, to fetch from.
    """

    instance: ServerInstance
    expected_seconds: float
    unread_tokens: int
    running: int
    source: ServerInstance | None = None


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A server that may get the call; ``is_kept``: for brisk streams."""

    instance: ServerInstance
    load: ServerLoad
    running: int
    is_kept: bool


@dataclass(frozen=True, slots=True)
class _Reading:
    """What a server would read of a prompt, and the weighed time of it."""

    unread_tokens: int
    seconds: float
    source: ServerInstance | None = None


@dataclass(frozen=True, slots=True)
class _Holder:
    """The server that has read most of a prompt."""

    instance: ServerInstance
    tokens: int


class PlacementPolicy:
    """Weighs the servers of a service for one call."""

    def __init__(
        self, loads: LoadBook, evidence: EvidenceBook, random: Random
    ) -> None:
        """Decide by the loads and the evidence of this host."""
        self._loads = loads
        self._evidence = evidence
        self._random = random
        self._brisk: dict[str, BriskDemand] = {}

    def note_start(self, service: str, call: CallStart, now: float) -> None:
        """Count the demand of a call that any host sent."""
        if call.is_brisk:
            demand = self._brisk.setdefault(service, BriskDemand())
            demand.note(call, now)

    def choose(
        self,
        instances: list[ServerInstance],
        demand: Demand,
        tried: Collection[str],
        now: float,
    ) -> Choice | None:
        """
        Return the best server, or None if there is none left to try.

        Paused servers are used only where no other is left.
        """
        fresh = [
            instance
            for instance in instances
            if instance.instance_id not in tried
        ]
        sound = [
            instance
            for instance in fresh
            if not self._evidence.is_paused(instance.instance_id, now)
        ]
        kept = self._kept_for_brisk(sound, demand, now)
        loads = (
            (instance, self._loads.of(instance.instance_id))
            for instance in sound or fresh
        )
        candidates = [
            _Candidate(
                instance, load, load.running(now), instance.instance_id in kept
            )
            for instance, load in loads
        ]
        holder = _best_holder(candidates, demand) if sound else None
        choices = [
            self._weigh(candidate, demand, now, holder)
            for candidate in candidates
        ]
        return min(
            choices, key=lambda choice: choice.expected_seconds, default=None
        )

    def _kept_for_brisk(
        self, instances: list[ServerInstance], demand: Demand, now: float
    ) -> frozenset[str]:
        known = self._brisk.get(demand.service)
        if known is None:
            return frozenset()
        return known.engines(
            [instance.instance_id for instance in instances], now
        )

    def _weigh(
        self,
        candidate: _Candidate,
        demand: Demand,
        now: float,
        holder: _Holder | None,
    ) -> Choice:
        instance = candidate.instance
        seconds = self._random.uniform(0, _TIE_SECONDS)
        if instance.data_centre != demand.data_centre:
            seconds += _REMOTE_SECONDS
        seconds += _FAILURE_SECONDS * self._evidence.failure_share(
            instance.instance_id, now
        )
        running = candidate.running
        if not demand.prompt.parts:
            seconds += _TURN_SECONDS * running / max(1, instance.slots)
            return Choice(instance, seconds, 0, running)
        reading = _reading(candidate, demand, holder)
        seconds += reading.seconds
        seconds += _waiting_seconds(candidate, demand, now)
        seconds += _BATCH_SECONDS_A_CALL * running
        return Choice(
            instance, seconds, reading.unread_tokens, running, reading.source
        )


def _reading(
    candidate: _Candidate, demand: Demand, holder: _Holder | None
) -> _Reading:
    load = candidate.load
    held = load.cache.held_tokens(demand.prompt)
    unread = max(0, _total_tokens(demand.prompt) - held)
    fetched = 0
    if (
        holder is not None
        and holder.instance.instance_id != candidate.instance.instance_id
    ):
        fetched = min(unread, holder.tokens - held)
    if fetched < _LEAST_FETCH_TOKENS:
        return _Reading(unread, _REREAD_WEIGHT * unread / load.speed)
    unread -= fetched
    weighed = unread + _FETCH_PART * fetched
    return _Reading(
        unread,
        _REREAD_WEIGHT * weighed / load.speed,
        None if holder is None else holder.instance,
    )


def _waiting_seconds(
    candidate: _Candidate, demand: Demand, now: float
) -> float:
    load = candidate.load
    seconds = load.backlog_seconds(demand.tier, now)
    if demand.is_brisk:
        seconds += load.backlog_seconds(None, now)
        seconds += _BRISK_SECONDS_A_CALL * candidate.running
        return seconds if candidate.is_kept else seconds + _BRISK_SECONDS
    if candidate.is_kept:
        hurt = min(1.0, candidate.running / _BRISK_CROWD)
        seconds += hurt * _TARGETS * demand.target_seconds
    return seconds


def _best_holder(
    candidates: list[_Candidate], demand: Demand
) -> _Holder | None:
    if not demand.prompt.parts:
        return None
    holders = [
        _Holder(one.instance, one.load.cache.read_tokens(demand.prompt))
        for one in candidates
    ]
    best = max(holders, key=lambda holder: holder.tokens, default=None)
    return best if best is not None and best.tokens else None


def _total_tokens(prompt: Prompt) -> int:
    return max(prompt.input_tokens, sum(part.tokens for part in prompt.parts))


__all__ = ('Choice', 'Demand', 'PlacementPolicy')
