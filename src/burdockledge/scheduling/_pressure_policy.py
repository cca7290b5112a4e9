"""
Chooses servers by what a call does to a loaded fleet, and the fleet to it.

The cost of a server is in seconds, as in ``PlacementPolicy``, with other terms.
A prompt and those that are pending at the server together lengthen the next
pauses there, by their uncached tokens up to a learnt bound. Streams whose
pause target such a pause exceeds prefer the first servers of the order of the
service, prompts that cause such pauses the last ones. What a cached prefix
saves is weighed against the wait at its server: pending prompts, a full batch
and full memory.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockledge.scheduling._placement import ServerPolicy
from burdockledge.scheduling._policy import PlacementPolicy
from burdockledge.scheduling._pressure_costs import Comparison

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from burdockledge.calls import ServerInstance
    from burdockledge.scheduling._health import HealthTracker
    from burdockledge.scheduling._load_tracker import LoadTracker
    from burdockledge.scheduling._placement import (
        PlacementChoice,
        PlacementOptions,
        PlacementRequest,
    )
    from burdockledge.scheduling._pressure_costs import Candidate


class PressurePolicy(ServerPolicy):
    """Chooses the server with the lowest cost for a call, under load."""

    def __init__(
        self, loads: LoadTracker, health: HealthTracker, random: Random
    ) -> None:
        """
        Create a policy that reads loads and health as they change.

        :param loads: a tracker that weighs pressure.
        :param random: chooses among servers of nearly equal cost.
        """
        self._loads = loads
        self._health = health
        self._random = random
        self._plain_policy = PlacementPolicy(loads, health, random)

    def choose(
        self,
        instances: list[ServerInstance],
        request: PlacementRequest,
        now: float,
        limited_instance_ids: Collection[str] = (),
    ) -> PlacementChoice | None:
        """
        Return the server with the lowest cost, None if there is none.

        Calls without a prompt are placed as by ``PlacementPolicy``, and so are
        all calls while every server is paused.
        """
        candidates: list[Candidate] = []
        if request.prompt.parts:
            candidates = self.candidates_of(instances, request, now)
        if not candidates:
            return self._plain_policy.choose(
                instances, request, now, limited_instance_ids
            )
        comparison = Comparison(
            request, limited_instance_ids, candidates, self._random
        )
        return comparison.best()

    def candidates_of(
        self,
        instances: list[ServerInstance],
        request: PlacementRequest,
        now: float,
    ) -> list[Candidate]:
        """Return the servers that aren't paused."""
        load_of = self._loads.load_of
        risk_of = self._health.risk
        prompt = request.prompt
        first_part = prompt.parts[0].part_id
        urgency = request.urgency
        candidates: list[Candidate] = []
        for instance in instances:
            instance_id = instance.instance_id
            risk = risk_of(instance_id, now)
            if risk is None:
                continue
            load = load_of(instance_id)
            pressure = load.pressure
            if pressure is None:
                message = 'the loads must be tracked with pressure'
                raise ValueError(message)
            sample = pressure.sample
            load.measure(sample, urgency, now)
            sample.risk = risk
            sample.cached_tokens = (
                load.cache.cached_tokens(prompt)
                if first_part in load.cache.tokens_by_part
                else 0
            )
            candidates.append((instance, load, pressure))
        return candidates


def make_policy(
    options: PlacementOptions,
    loads: LoadTracker,
    health: HealthTracker,
    random: Random,
) -> ServerPolicy:
    """Create the policy that the options name."""
    if options.weighs_pressure:
        return PressurePolicy(loads, health, random)
    return PlacementPolicy(loads, health, random)


__all__ = ('PressurePolicy', 'make_policy')
