"""
Splits the costs of servers into terms, for operators.

A term is what the cost falls by when its cause is left out, one cause after
another. So the terms always add up to the cost, also when a formula changes.
All of it works on copies, and nothing here is used to place calls.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass, replace
from operator import attrgetter
from typing import TYPE_CHECKING, Final

from burdockledge.scheduling._call_start import urgency_weight
from burdockledge.scheduling._policy import (
    TIE_BREAK_SECONDS,
    PlainComparison,
    ServerView,
    mean_prefill_share,
)
from burdockledge.scheduling._pressure_costs import Candidate, Comparison
from burdockledge.scheduling._pressure_policy import PressurePolicy

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from random import Random

    from burdockledge.calls import ServerInstance
    from burdockledge.scheduling._health import HealthTracker
    from burdockledge.scheduling._load_tracker import LoadTracker
    from burdockledge.scheduling._placement import PlacementRequest

# More tokens than any prompt or memory has.
_MANY_TOKENS: Final = 1 << 60


@dataclass(frozen=True, slots=True)
class ServerCost:
    """
    A server that may get a call, its cost, and the terms of the cost.

    ``cached_tokens`` of the prompt are believed to be cached or in prefill.
    """

    instance: ServerInstance
    cost_seconds: float
    terms: dict[str, float]
    prefill_tokens: int
    cached_tokens: int
    running_calls: int
    cache_source: ServerInstance | None


class _Terms:
    """The terms that were split off a cost."""

    def __init__(self, cost: Callable[[], float], seconds: float) -> None:
        """
        Start from a whole cost.

        :param cost: computes what is left of it.
        """
        self._cost = cost
        self._rest = seconds
        self._seconds: dict[str, float] = {}

    def split(self, name: str) -> None:
        """Record what the cost fell by since the last term."""
        self.move(name, self._rest - self._cost())

    def move(self, name: str, seconds: float) -> None:
        """Record a part of the rest as a term."""
        self._seconds[name] = seconds
        self._rest -= seconds

    def finish(self, name: str) -> dict[str, float]:
        """Record the rest as the last term, and return all."""
        self._seconds[name] = self._rest
        return self._seconds


class _PressureExplanation(Comparison):
    """Explains the costs under load."""

    def costs(self) -> list[ServerCost]:
        """Return the cost of each server; changes the samples of the loads."""
        self._find_cache_holder()
        return [
            self._explain(candidate, seconds, tokens, source)
            for seconds, candidate, tokens, source in self._offers()
        ]

    def split(
        self, candidate: Candidate, seconds: float, prefill_tokens: int
    ) -> dict[str, float]:
        """Split a cost; changes this object and the sample of the server."""
        instance, _, pressure = candidate
        sample = pressure.sample
        terms = _Terms(lambda: self._offer(candidate, 0)[0], seconds)
        terms.split('tie_break')
        self._miss_cost = 0.0
        terms.split('late_first_event')
        sample.risk = 0.0
        terms.split('failures')
        self._request = replace(self._request, data_centre=instance.data_centre)
        terms.split('other_data_centre')
        self._limited_ids = ()
        terms.split('limit')
        self._sensitivity = 0.0
        self._harm_by_tokens = {prefill_tokens: 0.0}
        terms.split('separation')
        self._batch_seconds = 0.0
        terms.split('running_calls')
        pressure.running_tokens = -_MANY_TOKENS
        sample.running_calls = -1
        terms.split('no_room')
        sample.ahead_seconds = 0.0
        sample.pending_seconds = 0.0
        terms.split('wait')
        return terms.finish('prefill')

    def _explain(
        self,
        candidate: Candidate,
        seconds: float,
        prefill_tokens: int,
        source: ServerInstance | None,
    ) -> ServerCost:
        instance, load, pressure = candidate
        sample = pressure.sample
        running_calls = sample.running_calls
        weight = urgency_weight(self._request.urgency)
        own = 0.0
        others = 0.0
        if self._request.pause_target_seconds is not None:
            own = self._loss.own_loss(load, sample)
        if prefill_tokens:
            others = self._loss.loss_of_others(load, sample, prefill_tokens)
        losses = {
            'own_pauses': self._miss_cost / weight * own,
            'pauses_of_others': self._miss_cost / weight * others,
        }
        terms = copy.copy(self).split(candidate, seconds, prefill_tokens)
        return ServerCost(
            instance,
            seconds + sum(losses.values()),
            terms | losses,
            prefill_tokens,
            sample.cached_tokens,
            running_calls,
            source,
        )


class _PlainExplanation(PlainComparison):
    """Explains the costs without pressure."""

    def explain(
        self,
        server: ServerView,
        tie_break_seconds: float,
        failure_rate: float,
        usual_share: float,
    ) -> ServerCost:
        """Return the cost of a server."""
        offer = self.offer(server, tie_break_seconds, failure_rate)
        own = self._own_loss(offer, usual_share)
        choice = self.best_of([offer], usual_share)
        loss_seconds = (
            choice.cost_seconds - offer.cost_seconds if choice else 0.0
        )
        loss = own + self._loss_of_others(offer)
        own_seconds = loss_seconds * own / loss if loss else 0.0
        terms = copy.copy(self).split(
            server, failure_rate, offer.cost_seconds
        ) | {
            'own_pauses': own_seconds,
            'pauses_of_others': loss_seconds - own_seconds,
        }
        return ServerCost(
            server.instance,
            offer.cost_seconds + loss_seconds,
            terms,
            offer.prefill_tokens,
            server.cached_tokens,
            offer.running_calls,
            offer.cache_source,
        )

    def split(
        self, server: ServerView, failure_rate: float, seconds: float
    ) -> dict[str, float]:
        """Split a cost without the loss of pauses; changes this object."""
        terms = _Terms(
            lambda: self.offer(server, 0, failure_rate).cost_seconds, seconds
        )
        terms.split('tie_break')
        failure_rate = 0.0
        terms.split('failures')
        request = self._request
        self._request = replace(
            request, data_centre=server.instance.data_centre
        )
        terms.split('other_data_centre')
        self._limited_instance_ids = ()
        terms.split('limit')
        if request.prompt.parts:
            self._prompt_tokens = 0
            terms.split('prefill')
            wait = server.load.backlog_seconds(request.urgency, self._now)
            terms.move('wait', wait)
        return terms.finish('running_calls')


def explain_costs(
    loads: LoadTracker,
    health: HealthTracker,
    instances: list[ServerInstance],
    request: PlacementRequest,
    now: float,
    limited_instance_ids: Collection[str],
    random: Random,
) -> list[ServerCost]:
    """
    Return the costs by which a call would be placed, the lowest one first.

    Servers that are paused for their health are left out if any other is left.

    :param loads: a snapshot, as its samples are changed.
    :param health: a snapshot, as its counts are changed.
    :param random: must not be the generator by which calls are placed.
    """
    costs: list[ServerCost] = []
    if loads.weighs_pressure and request.prompt.parts:
        policy = PressurePolicy(loads, health, random)
        candidates = policy.candidates_of(instances, request, now)
        if candidates:
            costs = _PressureExplanation(
                request, limited_instance_ids, candidates, random
            ).costs()
    if not costs:
        views = _views(loads, health, instances, request, now)
        explanation = _PlainExplanation(request, now, limited_instance_ids)
        if any(
            not health.is_paused(view.instance.instance_id, now)
            for view in views
        ):
            explanation.find_cache_holder(views)
        usual_share = mean_prefill_share(views)
        costs = [
            explanation.explain(
                view,
                TIE_BREAK_SECONDS * random.random(),
                health.failure_rate(view.instance.instance_id, now),
                usual_share,
            )
            for view in views
        ]
    return sorted(costs, key=attrgetter('cost_seconds'))


def _views(
    loads: LoadTracker,
    health: HealthTracker,
    instances: list[ServerInstance],
    request: PlacementRequest,
    now: float,
) -> list[ServerView]:
    healthy = [
        instance
        for instance in instances
        if not health.is_paused(instance.instance_id, now)
    ]
    views = []
    for instance in healthy or instances:
        load = loads.load_of(instance.instance_id)
        share = (
            None
            if request.pause_target_seconds is None
            else load.prefill_share(now)
        )
        cached_tokens = load.cache.cached_tokens(request.prompt)
        views.append(ServerView(instance, load, cached_tokens, share))
    return views


__all__ = ('ServerCost', 'explain_costs')
