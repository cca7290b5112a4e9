"""Tells where a call would go now, and why, without sending it."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from burdockledge.calls import Prompt, RouteKind, Team
from burdockledge.quarantine import Verdict
from burdockledge.relay._placer import ALL_BUSY, HOLD_LATENCY_TARGETS
from burdockledge.relay._planned_stop import STOPPING
from burdockledge.relay._replicated_state import STREAMS
from burdockledge.relay._served_call import urgency_of
from burdockledge.relay._server_gate import Obstacle, ServerGate
from burdockledge.scheduling import (
    LoadTracker,
    PlacementRequest,
    ServerCost,
    explain_costs,
)

if TYPE_CHECKING:
    from burdockledge.calls import Route, ServerInstance
    from burdockledge.clock import Clock
    from burdockledge.relay._replicated_state import ReplicatedRoutingState
    from burdockledge.relay._routes import RouteIndex
    from burdockledge.replication import GossipExchange

_MS_PER_SECOND = 1000


class ProbeOutcome(enum.Enum):
    """What would happen to a call."""

    sent = 'sent'
    waits = 'waits'
    refused = 'refused'
    not_configured = 'not configured'


@dataclass(frozen=True, slots=True)
class ProbeQuestion:
    """
    A call that is asked about.

    The route is found by its name, or by HTTP host and path if that is empty.
    Without ``service``, the one with the largest share of the route is taken;
    without ``urgency``, that of the team and the route.
    """

    route: str = ''
    http_host: str = ''
    path: str = ''
    team: str = ''
    service: str = ''
    prompt: Prompt = field(default_factory=Prompt)
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class ExcludedServer:
    """
    A server that must not get the call.

    ``seconds`` is the time until that ends, None if it is not known.
    """

    instance: ServerInstance
    obstacle: str
    seconds: float | None = None


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """
    What would happen to a call, and why.

    ``seconds`` is how long it would wait, or when the caller of a refused
    call may come back, None if that is not known. The first candidate would
    get the call. ``ages`` is the age of the knowledge by stream in seconds.
    """

    outcome: ProbeOutcome
    reason: str
    version: int
    ages: dict[str, float]
    seconds: float | None = None
    route: str = ''
    service: str = ''
    urgency: int = 0
    candidates: tuple[ServerCost, ...] = ()
    excluded: tuple[ExcludedServer, ...] = ()


@dataclass(frozen=True, slots=True)
class _Call:
    """A call that is asked about, with what the configuration says of it."""

    service: str
    route: Route
    urgency: int
    prompt: Prompt


class PlacementProbe:
    """
    Answers questions about calls from snapshots, so that nothing changes.

    ``would_cut_off`` returns whether the planned stop of the host may cut off
    a call of some seconds.
    """

    def __init__(
        self,
        state: ReplicatedRoutingState,
        exchange: GossipExchange,
        data_centre: str,
        clock: Clock,
        would_cut_off: Callable[[float], bool],
    ) -> None:
        """Create a probe of the state of a host."""
        self._state = state
        self._exchange = exchange
        self._data_centre = data_centre
        self._clock = clock
        self._would_cut_off = would_cut_off

    def ask(self, question: ProbeQuestion) -> ProbeAnswer:
        """Return what would happen to a call that comes now."""
        routes = self._state.routes()
        if routes is None:
            return self._not_configured('no configuration yet')
        call = _find_call(routes, question)
        if isinstance(call, str):
            return self._not_configured(call)
        return self._explain(call)

    def _explain(self, call: _Call) -> ProbeAnswer:
        now = self._clock.monotonic()
        gate = self._state.gate.snapshot()
        loads = self._state.loads.snapshot()
        usable, excluded = self._select(call, gate, loads, now)
        verdict, blocked_seconds = self._state.parts.preview(
            call.service, call.prompt
        )
        if verdict is Verdict.blocked:
            excluded.extend(
                ExcludedServer(instance, 'blocked_part', blocked_seconds)
                for instance in usable
            )
            usable = []
        costs = explain_costs(
            loads,
            self._state.health.snapshot(),
            usable,
            PlacementRequest(
                call.service,
                call.urgency,
                call.prompt,
                self._data_centre,
                call.route.latency_target_seconds,
                call.route.pause_target_seconds,
            ),
            now,
            gate.limited_ids,
            Random(0),
        )
        compared = {cost.instance.instance_id for cost in costs}
        excluded.extend(
            ExcludedServer(instance, 'health')
            for instance in usable
            if instance.instance_id not in compared
        )
        outcome, reason, seconds = ProbeOutcome.sent, 'lowest cost', None
        if self._would_cut_off(call.route.timeout_seconds):
            outcome, reason = ProbeOutcome.refused, STOPPING
        elif verdict is Verdict.blocked:
            outcome = ProbeOutcome.refused
            reason = 'a part of its prompt crashes servers'
            seconds = blocked_seconds
        elif verdict is Verdict.deferred:
            outcome = ProbeOutcome.waits
            reason = 'a part of its prompt may crash servers'
        elif not costs:
            outcome, reason, seconds = _without_server(call, gate, now)
        return ProbeAnswer(
            outcome,
            reason,
            self._state.configuration_version(),
            self._ages(),
            seconds,
            call.route.name,
            call.service,
            call.urgency,
            tuple(costs),
            tuple(excluded),
        )

    def _select(
        self, call: _Call, gate: ServerGate, loads: LoadTracker, now: float
    ) -> tuple[list[ServerInstance], list[ExcludedServer]]:
        """Return the servers that may get a call, and the others."""
        instances = gate.select(call.service, (), now).instances
        departures = self._state.server_records.departures
        lasting = instances
        if call.route.kind is RouteKind.stream:
            lasting = departures.lasting(
                instances,
                lambda instance: loads.load_of(
                    instance.instance_id
                ).stream_seconds(call.prompt, now),
                now,
            )
        excluded = [
            self._exclude(instance, gate, now, is_lasting=False)
            if instance in instances
            else self._exclude(instance, gate, now)
            for instance in gate.registry.all_instances(now)
            if instance.service == call.service and instance not in lasting
        ]
        return lasting, excluded

    def _exclude(
        self,
        instance: ServerInstance,
        gate: ServerGate,
        now: float,
        *,
        is_lasting: bool = True,
    ) -> ExcludedServer:
        """Return why a server must not get a call, and until when."""
        instance_id = instance.instance_id
        if not is_lasting:
            departures = self._state.server_records.departures
            return ExcludedServer(
                instance,
                Obstacle.departure.name,
                departures.seconds_left(instance_id, now),
            )
        obstacle = gate.obstacle_to_send(instance, now) or Obstacle.limit
        if obstacle is Obstacle.unregistered:
            return ExcludedServer(instance, 'draining')
        seconds = None
        if obstacle is not Obstacle.leaving:
            seconds = gate.wait_seconds(instance_id, now)
        return ExcludedServer(instance, obstacle.name, seconds)

    def _not_configured(self, reason: str) -> ProbeAnswer:
        return ProbeAnswer(
            ProbeOutcome.not_configured,
            reason,
            self._state.configuration_version(),
            self._ages(),
        )

    def _ages(self) -> dict[str, float]:
        now = self._clock.monotonic()
        return {
            stream: self._exchange.state(stream).age_ms(now) / _MS_PER_SECOND
            for stream in STREAMS
        }


def _without_server(
    call: _Call, gate: ServerGate, now: float
) -> tuple[ProbeOutcome, str, float | None]:
    """Return what happens to a call that no server may get now."""
    seconds = gate.seconds_until_usable(call.service, (), now)
    if seconds is None:
        return ProbeOutcome.refused, 'no server is known', None
    hold = HOLD_LATENCY_TARGETS * call.route.latency_target_seconds
    outcome = ProbeOutcome.refused if seconds > hold else ProbeOutcome.waits
    return outcome, ALL_BUSY, seconds


def _find_call(routes: RouteIndex, question: ProbeQuestion) -> _Call | str:
    """Return what the configuration says of a call, or what it lacks."""
    route = routes.match(question.http_host, question.path)
    if question.route:
        route = next(
            (
                known
                for known in routes.document.routes
                if known.name == question.route
            ),
            None,
        )
    if route is None:
        return 'no route has this name, or serves this host and path'
    team: Team | None = None
    if question.team:
        teams = routes.document.teams_by_api_key.values()
        team = next((one for one in teams if one.name == question.team), None)
        if team is None:
            return f'no team is named {question.team}'
    largest = max(route.shares, key=lambda share: share.weight)
    service = question.service or largest.service
    if all(share.service != service for share in route.shares):
        return f'the route has no service {service}'
    urgency = question.urgency
    if urgency is None:
        urgency = urgency_of(route, team)
    return _Call(service, route, urgency, question.prompt)


__all__ = (
    'ExcludedServer',
    'PlacementProbe',
    'ProbeAnswer',
    'ProbeOutcome',
    'ProbeQuestion',
)
