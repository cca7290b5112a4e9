"""The explanation of a choice says the same as the choice."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from burdockledge.calls import Prompt
from burdockledge.scheduling import (
    CallResult,
    HealthTracker,
    LoadTracker,
    PlacementOptions,
    PlacementRequest,
    explain_costs,
    make_policy,
)
from tests.scheduling.pressure_fleet import PressureFleet, chat, draft


def request_of(random: Random, own: int) -> PlacementRequest:
    """Return a chat, a draft, a draft without pause target or a plain call."""
    drafted = draft(random.randrange(4), own)
    return random.choice(
        (
            chat(own),
            drafted,
            replace(drafted, pause_target_seconds=None),
            replace(drafted, data_centre='b', urgency=1),
            replace(drafted, prompt=Prompt()),
        )
    )


@pytest.mark.parametrize('weighs_pressure', [True, False])
@pytest.mark.parametrize('seed', range(6))
def test_the_cheapest_explained_server_is_the_one_that_is_chosen(
    seed: int, weighs_pressure: bool
) -> None:
    """Guards against terms or an order that differ from the real costs."""
    random = Random(seed)
    options = PlacementOptions(weighs_pressure=weighs_pressure)
    fleet = PressureFleet(server_count=6, slots=6)
    if not weighs_pressure:
        fleet.loads = LoadTracker(options)
        fleet.loads.retain(fleet.instances)
    health = HealthTracker('own')
    ids = [instance.instance_id for instance in fleet.instances]
    health.record(ids[0], CallResult.failed, 'own', fleet.now)
    health.record(ids[1], CallResult.unreachable, 'own', fleet.now)
    for own in range(100, 200):
        fleet.now += random.expovariate(20)
        request = request_of(random, own)
        choice = make_policy(options, fleet.loads, health, Random(own)).choose(
            fleet.instances, request, fleet.now, {ids[2]}
        )
        costs = explain_costs(
            fleet.loads.snapshot(),
            health.snapshot(),
            fleet.instances,
            request,
            fleet.now,
            {ids[2]},
            Random(own),
        )
        assert choice is not None
        assert costs[0].instance is choice.instance
        assert costs[0].cost_seconds == pytest.approx(choice.cost_seconds)
        assert costs[0].prefill_tokens == choice.prefill_tokens
        assert costs[0].running_calls == choice.running_calls
        assert costs[0].cache_source is choice.cache_source
        for cost in costs:
            assert sum(cost.terms.values()) == pytest.approx(cost.cost_seconds)
            assert min(cost.terms.values()) > -1e-9
        fleet.start(
            fleet.instances.index(choice.instance),
            request,
            choice.prefill_tokens,
            has_first_event=random.random() < 0.7,
        )
