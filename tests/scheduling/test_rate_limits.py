"""Limits of calls a second that hold for all hosts together."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import pytest

from burdockledge.scheduling import LimitChange, ServerRateLimits

SERVER = 's/1'
WINDOW_SECONDS = 4.0
# The users' rule LIMIT.
EXCESS_FACTOR = 1.5
EXCESS_CALLS = 5


@dataclass(frozen=True)
class Case:
    """Hosts that want many calls at a server, and how they hear each other."""

    hosts: int
    limit: float
    calls_per_second: float
    delay: float = 0.002
    loss: float = 0.0
    seconds: float = 30.0
    # Hosts that hear nobody, and know it.
    isolated: int = 0
    restarts_every: float = math.inf


CASES = {
    'nine hosts': Case(9, 1.0, 50),
    'decimal': Case(9, 1.9, 50),
    'less than one': Case(9, 0.25, 50),
    'none': Case(9, 0.0, 50),
    'many': Case(9, 40.0, 400),
    'lost news': Case(9, 2.0, 50, loss=0.1),
    'slow network': Case(9, 2.0, 50, delay=0.02),
    'all hosts are cut off from each other': Case(9, 2.0, 50, isolated=9),
    'hosts restart all the time': Case(9, 2.0, 50, restarts_every=3.0),
    '200 hosts': Case(200, 1.0, 250, delay=0.005),
    '200 hosts, less than one': Case(200, 0.25, 250, delay=0.005),
    '200 hosts, decimal': Case(200, 7.5, 250, delay=0.005, loss=0.01),
    '200 hosts restart': Case(200, 2.0, 250, restarts_every=3.0),
}


def new_limits(case: Case, number: int, now: float) -> ServerRateLimits:
    """Return what a host knows that has just heard of the limit."""
    limits = ServerRateLimits()
    if number < case.isolated:
        limits.share = lambda: 1 / case.hosts
    limits.note_answer(SERVER, case.limit, now, now)
    return limits


def play(case: Case) -> list[float]:
    """Return the times at which the server got calls."""
    random = Random(1)
    hosts = [new_limits(case, number, 0) for number in range(case.hosts)]
    news: list[tuple[float, int]] = []
    calls: list[float] = []
    now, restart_at = 0.0, case.restarts_every
    while now < case.seconds:
        now += random.expovariate(case.calls_per_second)
        while news and news[0][0] <= now:
            heard_at, listener = heapq.heappop(news)
            hosts[listener].note_call(SERVER, heard_at)
        if now > restart_at:
            restarted = random.randrange(case.hosts)
            hosts[restarted] = new_limits(case, restarted, now)
            restart_at += case.restarts_every / case.hosts
        sender = random.randrange(case.hosts)
        if SERVER in hosts[sender].exhausted_ids(now):
            continue
        calls.append(now)
        hosts[sender].note_call(SERVER, now)
        for listener in range(case.isolated, case.hosts):
            is_heard = sender >= case.isolated and random.random() >= case.loss
            if listener != sender and is_heard:
                heapq.heappush(news, (now + case.delay, listener))
    return calls


@pytest.mark.parametrize('case', CASES.values(), ids=CASES)
def test_all_hosts_together_keep_to_a_limit(case: Case) -> None:
    """Guards against one bucket for each host, and against fresh ones."""
    calls = play(case)
    most = max(
        sum(start <= at < start + WINDOW_SECONDS for at in calls)
        for start in calls
    )
    assert most <= EXCESS_FACTOR * WINDOW_SECONDS * case.limit + EXCESS_CALLS


@pytest.mark.parametrize('name', ['nine hosts', 'many', '200 hosts, decimal'])
def test_a_server_gets_what_it_takes(name: str) -> None:
    """Guards against hosts that leave a server in need idle."""
    case = CASES[name]
    expected = case.limit * case.seconds
    assert len(play(case)) == pytest.approx(expected, rel=0.15)


def learn(limits: ServerRateLimits, limit: float | None, now: float) -> object:
    """Learn from an answer to a call that was sent just now."""
    return limits.note_answer(SERVER, limit, now, now)


def test_limits_are_learnt_changed_and_ended() -> None:
    """Guards against limits of the past, and against late news of none."""
    limits = ServerRateLimits()
    assert learn(limits, None, 1) is None
    assert learn(limits, 2.0, 2) == LimitChange(SERVER, None, 2.0)
    assert learn(limits, 2.0, 3) is None
    assert learn(limits, math.nan, 4) is None
    assert learn(limits, 0.5, 5) == LimitChange(SERVER, 2.0, 0.5)
    assert limits.note_answer(SERVER, None, 4.9, 6) is None
    assert limits.limit_of(SERVER) == 0.5
    assert learn(limits, None, 7) == LimitChange(SERVER, 0.5, None)
    assert not limits.exhausted_ids(7)


@pytest.mark.parametrize(
    ('limit', 'seconds'), [(2.0, 0.5), (0.25, 4.0), (0.0, 10.0), (1e9, 0.0)]
)
def test_a_server_is_asked_again(limit: float, seconds: float) -> None:
    """Guards against a limit that never ends, as the server gets no call."""
    limits = ServerRateLimits()
    learn(limits, limit, 0)
    assert limits.seconds_until_room([SERVER], 0) == pytest.approx(
        seconds, abs=1e-6
    )
    assert SERVER in limits.exhausted_ids(seconds * 0.9)
    assert SERVER not in limits.exhausted_ids(seconds * 1.01 + 0.001)


def test_calls_of_other_hosts_at_the_same_moment_are_paid_back() -> None:
    """Guards against bursts that add up to more than the limit."""
    limits = ServerRateLimits()
    learn(limits, 1.0, 0)
    for _ in range(4):
        limits.note_call(SERVER, 2.0)
    assert SERVER in limits.exhausted_ids(5.4)
    assert SERVER not in limits.exhausted_ids(5.6)


def test_debt_is_bounded() -> None:
    """Guards against a server that gets nothing for minutes after a burst."""
    limits = ServerRateLimits()
    learn(limits, 1.0, 0)
    for _ in range(1000):
        limits.note_call(SERVER, 1.0)
    assert (limits.seconds_until_room([SERVER], 1.0) or 0) <= 10


def test_only_registered_instances_are_remembered() -> None:
    """Guards against memory of servers that are gone, and of their debts."""
    limits = ServerRateLimits()
    for number in range(5):
        limits.note_answer(f's{number}/1', 1.0, 0, 0)
    limits.retain(['s3/1', 's3/2'])
    assert list(limits.limited_ids) == ['s3/1']
    assert 's3/2' not in limits.exhausted_ids(0)


ROOM: dict[str, tuple[Callable[[ServerRateLimits], object], float | None]] = {
    'no limits': (lambda limits: None, None),
    'one of two': (lambda limits: learn(limits, 2.0, 0), 0.5),
}


@pytest.mark.parametrize('name', ROOM)
def test_the_wait_for_room(name: str) -> None:
    """It is that of the first server that has room."""
    prepare, seconds = ROOM[name]
    limits = ServerRateLimits()
    prepare(limits)
    limits.note_answer('other/1', 0.5, 0, 0)
    ids = [SERVER, 'other/1'] if seconds else ['third/1']
    assert limits.seconds_until_room(ids, 0) == seconds
