"""Measure the choice of a server with and without pressure; print a table."""

from __future__ import annotations

import sys
import time
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Final, NamedTuple

from burdockledge.calls import Prompt, PromptPart, ServerInstance
from burdockledge.scheduling import (
    CallStart,
    HealthTracker,
    LoadTracker,
    PlacementOptions,
    PlacementRequest,
    ServerPolicy,
    make_policy,
)

if TYPE_CHECKING:
    from collections.abc import Callable

SERVER_COUNT: Final = 50
# docs/design/hard-load.md, section "Cost".
MAX_CHOICE_US: Final = 150.0
_CALLS_PER_SERVER: Final = 12
_PENDING_PER_SERVER: Final = 2
_ROUNDS: Final = 200
_REPEATS: Final = 15
_US_PER_SECOND: Final = 1_000_000
_NOW: Final = 1000.0
_FAMILIES: Final = 25
# A host makes a few choices a second; what decays has to be computed anew.
_PERIOD_SECONDS: Final = 0.06
_PRESSURE: Final = PlacementOptions(weighs_pressure=True)


class _Kind(NamedTuple):
    """The sizes of a kind of call, in tokens, and its targets in seconds."""

    name: str
    shared: int
    own: int
    output: int
    urgency: int
    latency_target: float
    pause_target: float


_KINDS: Final = (
    _Kind('long draft', 13_300, 3720, 400, 2, 2.5, 1.2),
    _Kind('summary', 6300, 2890, 250, 1, 0.8, 0.5),
    _Kind('chat', 350, 1110, 170, 0, 0.5, 0.3),
)


def measure_choices() -> list[tuple[str, float, float]]:
    """Return the least processor times in us by kind, without and with."""
    rows: list[tuple[str, float, float]] = []
    for kind in _KINDS:
        # Both in turn, as the machine may be busy at times.
        times = [
            (
                _run_us(_make_choices(PlacementOptions(), kind)),
                _run_us(_make_choices(_PRESSURE, kind)),
            )
            for _ in range(_REPEATS)
        ]
        rows.append(
            (
                kind.name,
                min(one for one, _ in times),
                min(two for _, two in times),
            )
        )
    return rows


def _make_choices(
    options: PlacementOptions, requested: _Kind
) -> Callable[[], object]:
    random = Random(1)
    loads = LoadTracker(options)
    instances = [
        ServerInstance(
            f'i-{number}', 1, 'engines', '10.0.0.1:80', 'abc'[number % 3], 48
        )
        for number in range(SERVER_COUNT)
    ]
    loads.retain(instances)
    for instance in instances:
        for number in range(_CALLS_PER_SERVER):
            kind = random.choice(_KINDS)
            call_id = random.getrandbits(31)
            loads.start(
                CallStart(
                    call_id,
                    instance.instance_id,
                    kind.urgency,
                    kind.own,
                    _make_prompt(kind, random),
                    kind.output,
                    kind.pause_target,
                ),
                _NOW - random.random(),
            )
            if number >= _PENDING_PER_SERVER:
                loads.note_first_event(instance.instance_id, call_id, _NOW)
    policy = make_policy(options, loads, HealthTracker('host'), random)
    return partial(_choose, policy, instances, _make_requests(requested))


def _make_requests(kind: _Kind) -> list[PlacementRequest]:
    random = Random(2)
    return [
        PlacementRequest(
            'engines',
            kind.urgency,
            _make_prompt(kind, random),
            'a',
            kind.latency_target,
            kind.pause_target,
        )
        for _ in range(_ROUNDS)
    ]


def _make_prompt(kind: _Kind, random: Random) -> Prompt:
    family = hash((kind.shared, random.randrange(_FAMILIES)))
    parts = (
        PromptPart(family, kind.shared),
        PromptPart(random.getrandbits(31), kind.own),
    )
    return Prompt(parts, kind.shared + kind.own, kind.output)


def _choose(
    policy: ServerPolicy,
    instances: list[ServerInstance],
    requests: list[PlacementRequest],
) -> None:
    now = _NOW
    for request in requests:
        now += _PERIOD_SECONDS
        policy.choose(instances, request, now)


def _run_us(step: Callable[[], object]) -> float:
    began_at = time.thread_time()
    step()
    return (time.thread_time() - began_at) / _ROUNDS * _US_PER_SECOND


def _render(rows: list[tuple[str, float, float]]) -> str:
    lines = [
        f'| {SERVER_COUNT} servers, us a choice | without | with | ratio |',
        '|---|---|---|---|',
        *(
            f'| {name} | {one:.1f} | {two:.1f} | {two / one:.2f} |'
            for name, one, two in rows
        ),
    ]
    is_met = all(two < MAX_CHOICE_US for _, _, two in rows)
    lines.append(
        f'\nless than {MAX_CHOICE_US:g} us: {"met" if is_met else "missed"}'
    )
    return '\n'.join(lines)


if __name__ == '__main__':
    sys.stdout.write(f'{_render(measure_choices())}\n')
