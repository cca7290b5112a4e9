"""Learning the times of unlike engines from their streams."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Final

import pytest

from burdockledge.calls import Prompt, PromptPart
from burdockledge.scheduling import (
    CallStart,
    PrefixCacheEstimate,
    ServerLoad,
    ServiceTiming,
)


@dataclass(frozen=True)
class EngineProfile:
    """The arithmetic of a test engine; times are in seconds."""

    step: float
    step_per_call: float
    tokens_per_event: int
    prefill_tokens_per_second: float
    chunk_tokens: int
    first_event: float
    slow_share: float
    slow_factor: float


FAST: Final = EngineProfile(0.0035, 0.00005, 5, 140_000, 4096, 0.03, 0, 1)
MIDDLE: Final = EngineProfile(0.005, 0.00008, 4, 75_000, 1024, 0.07, 0.15, 2.5)
SLOW: Final = EngineProfile(0.03, 0.0004, 2, 20_000, 512, 0.25, 0.05, 3)
PROFILES: Final = (FAST, MIDDLE, SLOW)
# The calls after which the estimates must be right.
CALL_COUNT: Final = 150


class SimulatedEngine:
    """Runs calls on virtual time, and reports them to the load of a server."""

    def __init__(self, profile: EngineProfile, load: ServerLoad) -> None:
        """Create an idle engine."""
        self._profile = profile
        self._load = load
        self._random = Random(7)
        self._call_id = 0
        self._now = 10.0

    def run(self, call_count: int) -> None:
        """Run streams, one after the other, beside some that only run on."""
        for _ in range(call_count):
            running = self._random.randrange(12)
            companions = [self._start(0) for _ in range(running)]
            for companion in companions:
                self._load.note_first_event(companion, self._now)
            self._run_stream(running + 1)
            self._run_prefill(running + 2)
            for companion in companions:
                self._load.end(companion)
            self._now += 1

    def pause_seconds(self, running_calls: int) -> float:
        """Return the pause of the engine while it is not slow."""
        profile = self._profile
        return profile.tokens_per_event * (
            profile.step + profile.step_per_call * running_calls
        )

    def prefill_pause_seconds(self) -> float:
        """Return what prefill throughout a pause adds to it."""
        profile = self._profile
        return (
            profile.tokens_per_event
            * profile.chunk_tokens
            / profile.prefill_tokens_per_second
        )

    def _run_stream(self, running_calls: int) -> None:
        profile = self._profile
        tokens = self._random.randrange(200, 12_000)
        call_id = self._start(tokens)
        seconds = (
            profile.first_event + tokens / profile.prefill_tokens_per_second
        )
        self._now += seconds
        self._load.note_first_event(call_id, self._now, seconds)
        for _ in range(20):
            self._pause(self.pause_seconds(running_calls))
        self._load.timing.note_stream_end(200, 20)
        self._load.end(call_id)

    def _run_prefill(self, running_calls: int) -> None:
        """Pause streams by a long prompt that stays in prefill."""
        call_id = self._start(10**6)
        for _ in range(4):
            self._pause(
                self.pause_seconds(running_calls) + self.prefill_pause_seconds()
            )
        self._load.end(call_id)

    def _pause(self, seconds: float) -> None:
        if self._random.random() < self._profile.slow_share:
            seconds *= self._profile.slow_factor
        self._now += seconds
        self._load.note_pause(seconds, self._now)

    def _start(self, tokens: int) -> int:
        self._call_id += 1
        prompt = Prompt((PromptPart(self._call_id, tokens),), tokens)
        start = CallStart(self._call_id, 's/1', 0, tokens, prompt)
        self._load.start(start, self._now)
        return self._call_id


def learnt(profile: EngineProfile) -> tuple[ServerLoad, SimulatedEngine]:
    """Return the load of a server after calls at such an engine."""
    load = ServerLoad(PrefixCacheEstimate(10**6), ServiceTiming())
    engine = SimulatedEngine(profile, load)
    engine.run(CALL_COUNT)
    return load, engine


@pytest.mark.parametrize('profile', PROFILES)
def test_first_events_are_learnt(profile: EngineProfile) -> None:
    """The prefill rate and the rest of the time come within a fifth."""
    load, _ = learnt(profile)
    assert load.timing.first_event_seconds == pytest.approx(
        profile.first_event, rel=0.2
    )
    assert load.prefill_tokens_per_second == pytest.approx(
        profile.prefill_tokens_per_second, rel=0.2
    )


@pytest.mark.parametrize('profile', PROFILES)
@pytest.mark.parametrize('running_calls', [2, 8])
def test_pauses_are_learnt(profile: EngineProfile, running_calls: int) -> None:
    """The mean pause comes within a fifth, slow moments included."""
    load, engine = learnt(profile)
    mean_factor = 1 + profile.slow_share * (profile.slow_factor - 1)
    assert load.timing.pause_seconds(running_calls) == pytest.approx(
        mean_factor * engine.pause_seconds(running_calls), rel=0.2
    )


@pytest.mark.parametrize('profile', PROFILES)
def test_pauses_under_prefill_are_learnt(profile: EngineProfile) -> None:
    """What a chunk adds to a pause is seen in pauses under prefill."""
    load, engine = learnt(profile)
    assert load.timing.prefill_pause_seconds == pytest.approx(
        engine.prefill_pause_seconds(), rel=0.35
    )


@pytest.mark.parametrize('profile', PROFILES)
def test_targets_far_off_are_rarely_missed(profile: EngineProfile) -> None:
    """Misses get rarer with the target, and sure below the mean pause."""
    load, engine = learnt(profile)
    timing = load.timing
    pause = engine.pause_seconds(4)
    rates = [timing.miss_rate(pause, pause * ratio) for ratio in (0.9, 2, 4, 8)]
    assert rates[0] == 1
    assert rates == sorted(rates, reverse=True)
    assert rates[-1] < 0.05


def test_a_slow_server_differs_from_its_service() -> None:
    """Two servers of a service: each one's speed is told apart."""
    timing = ServiceTiming()
    loads = [ServerLoad(PrefixCacheEstimate(10**6), timing) for _ in range(2)]
    engines = [
        SimulatedEngine(profile, load)
        for profile, load in zip((MIDDLE, SLOW), loads, strict=True)
    ]
    for _ in range(CALL_COUNT):
        for engine in engines:
            engine.run(1)
    fast, slow = loads
    assert fast.prefill_tokens_per_second > 2 * slow.prefill_tokens_per_second
    assert slow.pause_seconds(4) > 2 * fast.pause_seconds(4)


@pytest.mark.parametrize('factor', [1000.0, 0.001])
def test_a_single_wild_sample_does_little(factor: float) -> None:
    """A paused or lying server can't spoil the service's estimates."""
    load, engine = learnt(MIDDLE)
    load.timing.note_pause(4, engine.pause_seconds(4) * factor)
    load.timing.note_first_event(4000, 0.12 * factor)
    assert 0.5 < load.timing.pause_seconds(4) / engine.pause_seconds(4) < 2
    rate = load.timing.prefill_tokens_per_second
    assert 0.5 < rate / MIDDLE.prefill_tokens_per_second < 2
