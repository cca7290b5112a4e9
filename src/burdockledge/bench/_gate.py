"""Measures the check whether servers may be used, beside a placement."""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Final

from burdockledge.calls import Prompt, PromptPart, ServerInstance
from burdockledge.registry import Registration, ServerRegistry, ServerState
from burdockledge.relay import ServerGate
from burdockledge.scheduling import (
    CallStart,
    HealthTracker,
    LoadTracker,
    PlacementPolicy,
    PlacementRequest,
    ServerNotice,
    ServerRateLimits,
)

if TYPE_CHECKING:
    from collections.abc import Callable

# The number of servers and the bound of issue 32.
SERVER_COUNT: Final = 45
MAX_CHECK_US: Final = 2.0
_REPEATS: Final = 7
_NOW: Final = 1000.0
_SERVICE: Final = 'model'
_CALLS_PER_SERVER: Final = 3
_PART_TOKENS: Final = 400
_PART_COUNT: Final = 4
_OUTPUT_TOKENS: Final = 60
_PAUSE_TARGET_SECONDS: Final = 0.1
_PAUSE_SECONDS: Final = 60.0
_CALLS_PER_SECOND: Final = 1.0
# Of every four servers that give notice, one leaves, one asks for a pause,
# one names a limit, and one says nothing.
_NOTICE_KINDS: Final = 4
_US_PER_SECOND: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class GateCosts:
    """
    Processor time in microseconds, the least of several runs.

    A check is that of one placed call before it is sent. A selection is that
    of all servers of a service, without any notice and with many; a placement
    chooses one of the selected servers.
    """

    servers: int
    check: float
    quiet_selection: float
    busy_selection: float
    placement: float

    @property
    def check_us(self) -> float:
        """The higher one of the costs for a server."""
        return max(self.check, self.busy_selection / self.servers)

    @property
    def is_in_bound(self) -> bool:
        """Whether checking a server costs less than the bound."""
        return self.check_us < MAX_CHECK_US


def measure_gate(server_count: int, rounds: int) -> GateCosts:
    """Measure a gate over a number of servers, each step in some rounds."""
    instances = [_make_instance(number) for number in range(server_count)]
    registry = ServerRegistry()
    for instance in instances:
        registry.register(Registration(instance, ServerState.ready))
    quiet_gate = ServerGate(registry, ServerRateLimits())
    busy_gate = _make_busy_gate(registry, instances)
    place = partial(
        _make_policy(instances).choose, instances, _make_request(), _NOW
    )
    return GateCosts(
        server_count,
        _least_us(partial(_check_all, busy_gate, instances), rounds)
        / server_count,
        _least_us(partial(quiet_gate.select, _SERVICE, (), _NOW), rounds),
        _least_us(partial(busy_gate.select, _SERVICE, (), _NOW), rounds),
        _least_us(place, rounds),
    )


def render_gate(costs: GateCosts) -> str:
    """Return the costs as a table."""
    rows = (
        ('check of a server before a send', costs.check),
        ('selection, for a server', costs.busy_selection / costs.servers),
        ('selection, without notices', costs.quiet_selection),
        ('selection, with notices', costs.busy_selection),
        ('placement', costs.placement),
    )
    lines = [
        f'| {costs.servers} servers | us | share of a placement |',
        '|---|---|---|',
        *(
            f'| {name} | {cost:.2f} | {cost / costs.placement:.3f} |'
            for name, cost in rows
        ),
    ]
    verdict = 'met' if costs.is_in_bound else 'missed'
    lines.append(f'\nless than {MAX_CHECK_US:g} us for a server: {verdict}')
    return '\n'.join(lines)


def _make_instance(number: int) -> ServerInstance:
    return ServerInstance(
        f'i-{number}', 1, _SERVICE, f'10.0.0.{number}:80', 'dc', 32
    )


def _make_busy_gate(
    registry: ServerRegistry, instances: list[ServerInstance]
) -> ServerGate:
    limits = ServerRateLimits()
    gate = ServerGate(registry, limits)
    for number, instance in enumerate(instances):
        if number % _NOTICE_KINDS == 0:
            gate.note(instance, ServerNotice(is_leaving=True), _NOW)
        elif number % _NOTICE_KINDS == 1:
            notice = ServerNotice(pause_seconds=_PAUSE_SECONDS)
            gate.note(instance, notice, _NOW)
        elif number % _NOTICE_KINDS == 2:
            limits.note_answer(
                instance.instance_id, _CALLS_PER_SECOND, _NOW, _NOW
            )
    return gate


def _make_policy(instances: list[ServerInstance]) -> PlacementPolicy:
    random = Random(1)
    loads = LoadTracker()
    for instance in instances:
        for _ in range(_CALLS_PER_SERVER):
            prompt = _make_prompt(random)
            call = CallStart(
                random.getrandbits(31), instance.instance_id, 1,
                _PART_TOKENS, prompt, _OUTPUT_TOKENS, _PAUSE_TARGET_SECONDS,
            )  # fmt: skip
            loads.start(call, _NOW)
    return PlacementPolicy(loads, HealthTracker('host'), random)


def _make_request() -> PlacementRequest:
    return PlacementRequest(
        _SERVICE,
        1,
        _make_prompt(Random(2)),
        'dc',
        pause_target_seconds=_PAUSE_TARGET_SECONDS,
    )


def _make_prompt(random: Random) -> Prompt:
    return Prompt(
        tuple(
            PromptPart(random.getrandbits(31), _PART_TOKENS)
            for _ in range(_PART_COUNT)
        ),
        _PART_TOKENS * _PART_COUNT,
        _OUTPUT_TOKENS,
    )


def _check_all(gate: ServerGate, instances: list[ServerInstance]) -> None:
    for instance in instances:
        gate.obstacle_to_send(instance, _NOW)


def _least_us(step: Callable[[], object], rounds: int) -> float:
    """Return the processor time of a step, the least of several runs."""
    least_seconds = min(_run_seconds(step, rounds) for _ in range(_REPEATS))
    return least_seconds / rounds * _US_PER_SECOND


def _run_seconds(step: Callable[[], object], rounds: int) -> float:
    started_at = time.process_time()
    for _ in range(rounds):
        step()
    return time.process_time() - started_at


__all__ = ('SERVER_COUNT', 'GateCosts', 'measure_gate', 'render_gate')
