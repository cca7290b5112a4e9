"""The fast placement policy decides as the one written step by step."""

from __future__ import annotations

import math
from random import Random

import pytest

from burdockledge.calls import Prompt, PromptPart, ServerInstance
from burdockledge.scheduling import (
    CallResult,
    CallStart,
    HealthTracker,
    LoadTracker,
    PlacementOptions,
    PlacementRequest,
    make_policy,
)
from tests.scheduling.reference_policy import ReferencePolicy

STEPS = 60
SHARED_PARTS = 12
PAUSE_TARGETS = (None, 0.05, 0.12, 1.2)


class RandomState:
    """A random number of servers under random calls."""

    def __init__(
        self, seed: int, options: PlacementOptions | None = None
    ) -> None:
        """Create idle servers of one service, some with small caches."""
        self.random = Random(seed)
        self.now = self.random.uniform(0, 1000)
        self.loads = LoadTracker(options)
        self.health = HealthTracker('own')
        self.instances = [
            ServerInstance(
                f's{number}', 1, 'service', f'10.0.0.{number}:80',
                f'dc{number % 3}', self.random.choice((0, 4, 64)),
            )
            for number in range(self.random.randint(0, 50))
        ]  # fmt: skip
        self.loads.retain(self.instances)
        for instance in self.instances[::3]:
            self.loads.set_cache_size(instance.instance_id, 40_000)

    def prompt(self) -> Prompt:
        """Return a prompt of shared parts and one of its own, or of none."""
        random = self.random
        shared = random.randrange(SHARED_PARTS)
        ids = [shared * 10 + at for at in range(random.randrange(4))]
        if random.random() < 0.8:
            ids.append(random.getrandbits(31))
        parts = tuple(
            PromptPart(part, random.choice((100, 1500, 9000))) for part in ids
        )
        return Prompt(parts, random.randrange(9000), random.randrange(400))

    def happen(self) -> None:
        """Let something happen at a server, and time pass."""
        random = self.random
        self.now += random.choice((0, 0.001, 0.3))
        if not self.instances:
            return
        instance_id = random.choice(self.instances).instance_id
        call_id = random.randrange(30)
        self.loads.start(
            CallStart(
                call_id, instance_id, random.randrange(5),
                random.randrange(9000), self.prompt(), random.randrange(400),
                random.choice(PAUSE_TARGETS),
            ),
            self.now,
        )  # fmt: skip
        for step in random.choices(('event', 'pause', 'end', 'result'), k=2):
            self.happen_to(step, instance_id, random.randrange(30))

    def happen_to(self, step: str, instance_id: str, call_id: int) -> None:
        """Record an event of a call or a result of a server."""
        random = self.random
        seconds = random.uniform(0.01, 0.4)
        if step == 'event':
            self.loads.note_first_event(instance_id, call_id, self.now, seconds)
        elif step == 'pause':
            self.loads.note_pause(instance_id, seconds, self.now)
        elif step == 'end':
            self.loads.end(instance_id, call_id)
        else:
            self.health.record(
                instance_id,
                random.choice(tuple(CallResult)),
                random.choice(('own', 'h1', 'h2')),
                self.now,
            )

    def request(self) -> PlacementRequest:
        """Return a request with a random prompt and targets."""
        random = self.random
        return PlacementRequest(
            'service', random.randrange(5), self.prompt(), 'dc0', 1.0,
            random.choice(PAUSE_TARGETS),
        )  # fmt: skip

    def next_arguments(
        self,
    ) -> tuple[list[ServerInstance], PlacementRequest, float, set[str]]:
        """Let some time pass, and return what a policy has to choose from."""
        for _ in range(self.random.randrange(6)):
            self.happen()
        limited_ids = {
            instance.instance_id
            for instance in self.instances
            if self.random.random() < 0.1
        }
        return self.instances, self.request(), self.now, limited_ids


@pytest.mark.parametrize('seed', range(60))
def test_choices_are_equal(seed: int) -> None:
    """
    Guards against a faster policy that decides, rounds or draws otherwise.

    Also against terms for load that take effect without the option.
    """
    one, other = RandomState(seed), RandomState(seed)
    fast = make_policy(PlacementOptions(), one.loads, one.health, Random(seed))
    reference = ReferencePolicy(other.loads, other.health, Random(seed))
    for _ in range(STEPS):
        choice = fast.choose(*one.next_arguments())
        assert choice == reference.choose(*other.next_arguments())


@pytest.mark.parametrize('seed', range(30))
def test_pressure_bears_any_state(seed: int) -> None:
    """Guards against a state without a choice, and sums that drift apart."""
    options = PlacementOptions(weighs_pressure=True)
    state = RandomState(seed, options)
    policy = make_policy(options, state.loads, state.health, Random(seed))
    for _ in range(STEPS):
        instances, request, now, limited_ids = state.next_arguments()
        choice = policy.choose(instances, request, now, limited_ids)
        if instances:
            assert choice is not None and math.isfinite(choice.cost_seconds)
    pressures = [
        state.loads.load_of(instance.instance_id).pressure
        for instance in state.instances
    ]
    state.loads.retain([])
    for pressure in pressures:
        assert pressure is not None
        assert not pressure.running_tokens
        assert not pressure.service.stream_weights
