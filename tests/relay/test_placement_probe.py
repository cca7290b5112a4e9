"""Questions where a call would go, on hosts with calls and faults."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from burdockledge.calls import Prompt, PromptPart
from burdockledge.clock import Clock
from burdockledge.quarantine import part_key
from burdockledge.registry import Registration, ServerState
from burdockledge.relay import (
    PlacementProbe,
    ProbeAnswer,
    ProbeOutcome,
    ProbeQuestion,
)
from burdockledge.scheduling import CallResult
from burdockledge.wire import CrashSuspect
from tests.relay.fleet import SERVICE, Fleet, FleetHost

ASKED = 10_000
BAD_PART = 77
QUESTION = ProbeQuestion(
    route='once',
    team='team',
    prompt=Prompt((PromptPart(1, 5000), PromptPart(9, 900)), 5900, 60),
)


class LaterClock(Clock):
    """A clock ahead of another one, so that calls and entries are expired."""

    def __init__(self, clock: Clock, seconds: float) -> None:
        """Run ahead by some seconds."""
        self._clock = clock
        self._seconds = seconds

    def monotonic(self) -> float:
        """Return the later time."""
        return self._clock.monotonic() + self._seconds

    def wall_ms(self) -> int:
        """Return the time of the other clock."""
        return self._clock.wall_ms()


def _is_data(found: object) -> bool:
    module = type(found).__module__
    return module.startswith('burdockledge.') and '.clock' not in module


def dump(root: object) -> dict[str, str]:
    """Return the data that an object refers to, by the way to it."""
    dumped: dict[str, str] = {}
    seen: set[int] = set()

    def walk(way: str, found: Any) -> None:
        if isinstance(found, Random):
            dumped[way] = repr(found.getstate())
        elif isinstance(found, dict):
            dumped[way] = repr(list(found))
            for key, held in found.items():
                walk(f'{way}[{key!r}]', held)
        elif isinstance(found, str | int | float | bytes | set | None):
            dumped[way] = repr(found)
        elif isinstance(found, list | tuple | deque):
            dumped[way] = str(len(found))
            for number, item in enumerate(found):
                walk(f'{way}[{number}]', item)
        elif _is_data(found) and id(found) not in seen:
            seen.add(id(found))
            for name in getattr(found, '__slots__', ()) or vars(found):
                walk(f'{way}.{name}', getattr(found, name, None))

    walk('', root)
    return dumped


def probe_of(host: FleetHost, later_seconds: float = 0) -> PlacementProbe:
    """Return a probe of a host, whose clock is ahead."""
    state = host.state
    clock = LaterClock(vars(state)['_clock'], later_seconds)
    vars(state.parts)['_clock'] = clock
    return PlacementProbe(state, host.exchange, 'dc0', clock, lambda _: False)


def on_loaded_host(
    act: Callable[[FleetHost], None], weighs_pressure: bool = True
) -> Fleet:
    """Call a function with a host under load, and let all calls end."""
    fleet = Fleet(2, 7, weighs_pressure=weighs_pressure)

    async def run() -> None:
        async with fleet.running():
            await asyncio.sleep(2)
            act(await prepare(fleet))
            await asyncio.sleep(10)

    fleet.loop.run_until_complete(run())
    return fleet


async def prepare(fleet: Fleet) -> FleetHost:
    """Put some load on the hosts, and let engines give notice and limits."""
    engines = list(fleet.engines.values())
    engines[0].limit = 0.5
    engines[1].is_leaving = True
    engines[2].refuses_until = fleet.loop.time() + 6
    engines[2].pause_seconds = 30
    for number in range(60):
        fleet.call(number % 3)
        await asyncio.sleep(0.04)
    host = fleet.hosts['h0']
    suspects = [CrashSuspect(3, 503, [part_key(SERVICE, 78)], True, 200, 0)]
    suspects += [
        CrashSuspect(
            call,
            server,
            [part_key(SERVICE, BAD_PART), 1000 + call],
            True,
            200,
            age_ms,
        )
        for call, server, age_ms in ((1, 501, 2000), (2, 502, 500))
    ]
    host.state.parts.quarantine.merge(suspects, [], fleet.loop.time())
    # So that the next verdict and choice find something to drop.
    await asyncio.sleep(2)
    for _ in range(8):
        fleet.call(1, host='h0')
    await asyncio.sleep(0.2)
    # An entry that expires, as an outage of the store delays its removal.
    host.state.registry.note_restore(fleet.loop.time())
    host.state.registry.remove('e3', fleet.loop.time())
    now = fleet.loop.time()
    state = host.state
    state.registry.register(
        Registration(engines[5].instance, ServerState.draining)
    )
    state.server_records.departures.note(
        engines[6].instance.instance_id, 10, now, 0
    )
    state.health.record(
        engines[4].instance.instance_id, CallResult.unreachable, 'h0', now
    )
    return host


@pytest.mark.parametrize('weighs_pressure', [True, False])
@pytest.mark.parametrize('later_seconds', [0, 1000])
def test_ten_thousand_questions_change_nothing(
    later_seconds: float, weighs_pressure: bool
) -> None:
    """Guards against a question that moves what the host knows or draws."""
    changed: list[str] = []

    def act(host: FleetHost) -> None:
        probe = probe_of(host, later_seconds)
        before = dump(host.state)
        for _ in range(ASKED):
            probe.ask(QUESTION)
        after = dump(host.state)
        changed.extend(
            way
            for way in {**before, **after}
            if before.get(way) != after.get(way)
        )

    on_loaded_host(act, weighs_pressure)
    assert not changed


def test_the_answer_names_candidates_and_what_excludes_the_others() -> None:
    """Guards against servers that are left out without a reason."""
    answers: list[ProbeAnswer] = []
    fleet = on_loaded_host(
        lambda host: answers.append(probe_of(host).ask(QUESTION))
    )
    answer = answers[0]
    assert answer.outcome is ProbeOutcome.sent
    named = [cost.instance for cost in answer.candidates]
    named += [excluded.instance for excluded in answer.excluded]
    assert len(set(named)) == len(fleet.engines)
    excluded = {
        excluded.instance.server_id: excluded.obstacle
        for excluded in answer.excluded
    }
    assert excluded == {
        'e0': 'limit',
        'e1': 'leaving',
        'e2': 'pause',
        'e4': 'health',
        'e5': 'draining',
        'e6': 'departure',
    }


@pytest.mark.parametrize(
    ('question', 'outcome', 'reason'),
    [
        (QUESTION, ProbeOutcome.sent, 'lowest cost'),
        (
            ProbeQuestion(http_host='h', path='/again/x'),
            ProbeOutcome.sent,
            'lowest cost',
        ),
        (
            ProbeQuestion(
                route='once',
                prompt=Prompt((PromptPart(BAD_PART, 9), PromptPart(5, 9))),
            ),
            ProbeOutcome.refused,
            'crashes servers',
        ),
        (ProbeQuestion(route='x'), ProbeOutcome.not_configured, 'no route'),
        (
            ProbeQuestion(route='once', team='x'),
            ProbeOutcome.not_configured,
            'no team',
        ),
        (
            ProbeQuestion(route='once', service='x'),
            ProbeOutcome.not_configured,
            'no service',
        ),
    ],
)
def test_outcomes(
    question: ProbeQuestion, outcome: ProbeOutcome, reason: str
) -> None:
    """Guards against an outcome that a call would not have."""
    answers: list[ProbeAnswer] = []
    on_loaded_host(lambda host: answers.append(probe_of(host).ask(question)))
    assert answers[0].outcome is outcome
    assert reason in answers[0].reason


@pytest.mark.parametrize(
    ('pause_seconds', 'outcome'),
    [(0.3, ProbeOutcome.waits), (5, ProbeOutcome.refused)],
)
def test_calls_wait_for_short_pauses_only(
    pause_seconds: float, outcome: ProbeOutcome
) -> None:
    """Guards against a wait that differs from that of a real call."""
    fleet = Fleet(1)
    answers: list[ProbeAnswer] = []

    async def run() -> None:
        async with fleet.running():
            await asyncio.sleep(2)
            state = fleet.hosts['h0'].state
            for instance_id in fleet.engines:
                state.gate.notices.note_pause(
                    instance_id, pause_seconds, fleet.loop.time()
                )
            answers.append(probe_of(fleet.hosts['h0']).ask(QUESTION))

    fleet.loop.run_until_complete(run())
    assert answers[0].outcome is outcome
    assert answers[0].seconds == pytest.approx(pause_seconds)
