"""Admission control under loads of all kinds, in simulated time."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest

from burdockledge.admission import (
    AdmissionCall,
    AdmissionController,
    Forecast,
    RefusalReason,
    ServiceView,
)
from tests.admission.overload import Attempt, Kind, Overload, Traffic

DRAFT = Kind('draft', 2, 4000, 1.0, 2.5, 5.0)
SUMMARY = Kind('summary', 1, 2000, 1.0, 0.8, 4.0)
CHAT = Kind('chat', 0, 1000, 0.5, 0.5, 2.0)
PLAIN = Kind('plain', 1, 0, 0.5, 0.5, 3.0)
# 12 slots, of which this traffic takes half.
USUAL = (Traffic(DRAFT, 2), Traffic(SUMMARY, 2), Traffic(CHAT, 3))
BURST = (8.0, 14.0)


@dataclass(frozen=True)
class Case:
    """A load, and bounds of what callers see."""

    traffic: tuple[Traffic, ...]
    setting: dict[str, Any] = field(default_factory=dict)
    # Shares of the first calls of all kinds.
    refused: tuple[float, float] = (0.0, 0.0)
    least_in_time: float = 0.0


CASES = {
    'calm': Case(USUAL, least_in_time=1.0),
    'calm, a plain service': Case(
        (Traffic(PLAIN, 15),), {'slots': 6, 'queue_limit': 3}, least_in_time=1.0
    ),
    'calm, a third of the servers slower': Case(
        (Traffic(DRAFT, 2), Traffic(SUMMARY, 1), Traffic(CHAT, 2)),
        {'slow_servers': 1},
        least_in_time=0.9,
    ),
    'a burst of long drafts': Case(
        (*USUAL, Traffic(DRAFT, 15, *BURST)), {}, (0.01, 0.2), 0.85
    ),
    'a burst of chats': Case(
        (*USUAL, Traffic(CHAT, 30, *BURST)), {}, (0.01, 0.2), 0.75
    ),
    'twice what servers can do': Case(
        (Traffic(DRAFT, 24),), {}, (0.4, 0.9), 0.2
    ),
    'callers that repeat at once': Case(
        (Traffic(DRAFT, 24),), {'repeats_at_once': True}, (0.4, 0.9), 0.2
    ),
    'callers that leave early': Case(
        (Traffic(DRAFT, 24),), {'leaves_after': 0.3}
    ),
    'a plain service that is full': Case(
        (Traffic(PLAIN, 20), Traffic(PLAIN, 40, *BURST)),
        {'slots': 6, 'queue_limit': 3},
        (0.1, 0.3),
        0.65,
    ),
}


@pytest.mark.parametrize('name', CASES)
def test_calls_are_refused_in_overload_only(name: str) -> None:
    """Guards against refusals in calm, and servers that are full of calls."""
    case = CASES[name]
    attempts = Overload(**case.setting).run(*case.traffic)
    first = [attempt for attempt in attempts if not attempt.is_second]
    refused = sum(attempt.refusal is not None for attempt in first)
    low, high = case.refused
    assert low <= refused / len(first) <= high
    # The later call of a caller counts as its answer, too.
    in_time = sum(attempt.is_in_time for attempt in attempts)
    assert in_time / len(first) >= case.least_in_time
    for attempt in attempts:
        if attempt.refusal is not None:
            assert attempt.taken_share >= 0.5
            seconds = attempt.refusal.retry_after_seconds
            assert 0 < seconds <= attempt.kind.time_limit / 3


def test_hosts_with_the_same_stale_view_refuse_a_part() -> None:
    """Guards against hosts that all refuse, or all admit, in turn."""
    overload = Overload(host_count=40, staleness=0.4)
    attempts = overload.run(Traffic(DRAFT, 24))
    shares = []
    for second in range(8, 20):
        decided = [
            attempt for attempt in attempts if second <= attempt.at < second + 1
        ]
        refused = sum(attempt.refusal is not None for attempt in decided)
        shares.append(refused / len(decided))
    assert min(shares) > 0.2
    assert max(shares) < 0.95
    # 12 slots for 20 seconds.
    assert sum(attempt.is_in_time for attempt in attempts) > 0.85 * 240


def test_calls_that_came_back_are_refused_last() -> None:
    """Guards against callers that come back as told and get nothing."""
    overload = Overload(host_count=4, returns_to_same_host=True)
    attempts = overload.run(Traffic(DRAFT, 24))
    assert _refused_share(attempts, is_second=True) < 0.75 * _refused_share(
        attempts, is_second=False
    )


def test_no_kind_is_refused_more_often_than_a_less_urgent_one() -> None:
    """Guards against urgent kinds that are served less often."""
    overload = Overload()
    attempts = overload.run(
        Traffic(DRAFT, 8), Traffic(SUMMARY, 6), Traffic(CHAT, 12)
    )
    in_time = Counter(
        attempt.kind.name for attempt in attempts if attempt.is_in_time
    )
    callers = Counter(
        attempt.kind.name for attempt in attempts if not attempt.is_second
    )
    shares = [
        in_time[kind.name] / callers[kind.name]
        for kind in (CHAT, SUMMARY, DRAFT)
    ]
    for urgent, less_urgent in zip(shares, shares[1:], strict=False):
        assert urgent >= less_urgent - 0.05


def test_a_team_at_six_times_its_usual_is_refused_first() -> None:
    """Guards against a team that takes the share of the others."""
    teams = [
        Kind('draft', 2, 4000, 1.0, 0.5, 5.0, f'team {number}')
        for number in range(6)
    ]
    overload = Overload(host_count=2)
    attempts = overload.run(
        *(Traffic(kind, 1.8, 0, 40) for kind in teams),
        Traffic(teams[0], 9.0, 30, 36),
    )
    late = [attempt for attempt in attempts if 31 < attempt.at < 36]
    shares = [
        _refused_share([a for a in late if a.kind is kind], is_second=False)
        for kind in teams
    ]
    assert shares[0] > 0.1
    assert shares[0] > 1.5 * max(shares[1:])
    by_team = Counter(
        attempt.kind.team
        for attempt in late
        if attempt.refusal is not None
        and attempt.refusal.reason is RefusalReason.team_share
    )
    assert list(by_team) == ['team 0']


FULL = ServiceView(12, 12, 6, 1.5)
IN_TIME = Forecast(0.3, 0.1, 1.0)
LATE = Forecast(1.0, 0.1, 1.0)
HOPELESS = Forecast(9.0, 0.1, 1.0)


@pytest.mark.parametrize(
    ('view', 'forecast', 'has_returned', 'reason'),
    [
        (ServiceView(12, 6, 0, 0.4), HOPELESS, False, None),
        (FULL, IN_TIME, False, None),
        (FULL, LATE, False, None),
        (FULL, HOPELESS, False, RefusalReason.time_limit),
        (FULL, HOPELESS, True, RefusalReason.time_limit),
        (FULL, Forecast(2.9, 0.1, 1.0), False, RefusalReason.time_limit),
        (FULL, Forecast(2.9, 0.1, 1.0), True, None),
        (
            FULL,
            Forecast(1.0, 0.1, 1.0, 9),
            False,
            RefusalReason.urgent_waiting,
        ),
        (FULL, Forecast(1.0, 0.1, 1.0, 9), True, None),
    ],
)
def test_decision(
    view: ServiceView,
    forecast: Forecast,
    *,
    has_returned: bool,
    reason: RefusalReason | None,
) -> None:
    """A late call is admitted, one that is of no use is refused."""
    controller = AdmissionController(Random(1))
    call = AdmissionCall('s', 't', 1, 4.0, 0.8, 0.5, has_returned=has_returned)
    refusal = controller.decide(call, view, forecast, 1.0)
    assert (refusal and refusal.reason) is reason


@pytest.mark.parametrize(
    ('refused_at', 'fill', 'is_refused'),
    [
        (None, 0.0, False),
        (10.0, 1.5, True),
        # It refused for another reason, or too long ago.
        (10.0, 0.2, False),
        (1.0, 1.5, False),
    ],
)
def test_a_plain_service_is_full_only_if_its_servers_say_so(
    refused_at: float | None, fill: float, *, is_refused: bool
) -> None:
    """
    Guards against refusals for the calls of hosts that were killed.

    After a kill of all 86 hosts of a load test, 211 calls were refused while
    no server of their service had refused any.
    """
    controller = AdmissionController(Random(1))
    if refused_at is not None:
        controller.history_of('s').note_server_refusal(fill, refused_at)
    call = AdmissionCall('s', 't', 1, 4.0, 0.8, 0.5, is_plain=True)
    refusal = controller.decide(call, FULL, HOPELESS, 12.0)
    assert (refusal is not None) is is_refused


@pytest.mark.parametrize(('urgency', 'is_refused'), [(0, False), (2, True)])
def test_less_urgent_calls_share_refusals(
    urgency: int, *, is_refused: bool
) -> None:
    """Guards against an urgent kind that alone is refused."""
    controller = AdmissionController(Random(1))
    history = controller.history_of('s')
    for _ in range(10):
        history.note_decision(1, 1.0, is_refused=True)
    call = AdmissionCall('s', 't', urgency, 4.0, 0.8, 0.5)
    refusal = controller.decide(call, FULL, IN_TIME, 1.0)
    assert (refusal is not None) == is_refused


@pytest.mark.parametrize(
    ('wait_seconds', 'is_refused'), [(0.0, False), (0.1, False), (0.3, True)]
)
def test_a_long_prefill_alone_is_no_lack_of_room(
    wait_seconds: float, *, is_refused: bool
) -> None:
    """Guards against refusals of long prompts while servers have free slots."""
    controller = AdmissionController(Random(1))
    history = controller.history_of('s')
    for _ in range(10):
        history.note_decision(0, 1.0, is_refused=True)
    call = AdmissionCall('s', 't', 1, 4.0, 0.8, 0.5)
    view = ServiceView(12, 8, 0, 0.5)
    refusal = controller.decide(
        call, view, Forecast(wait_seconds, 0.9, 1.0), 1.0
    )
    assert (refusal is not None) == is_refused


def _refused_share(attempts: list[Attempt], *, is_second: bool) -> float:
    counted = [
        attempt for attempt in attempts if attempt.is_second == is_second
    ]
    refused = sum(attempt.refusal is not None for attempt in counted)
    return refused / max(1, len(counted))
