"""Test the invariants of duties with calls that keep or violate them."""

from __future__ import annotations

import math

import pytest

from tests.soak._duty_oracle import DUTY_INVARIANTS
from tests.soak._record import DutyCall, Record

_FIRST_REPORT = '{"counts": {"team-a": 1}, "window_id": 7}'
_OTHER_REPORT = '{"counts": {"team-a": 2}, "window_id": 7}'


def report(
    host: str,
    token: int,
    at: float,
    *,
    content: str = _FIRST_REPORT,
    late: float = 0,
    fenced_at: float = math.inf,
) -> DutyCall:
    """Return a usage report, carried out some seconds late."""
    return DutyCall('usage', host, token, at, 7, content, at + late, fenced_at)


def order(count: int) -> DutyCall:
    """Return an order of servers."""
    content = f'{{"desired_count": {count}}}'
    return DutyCall('book a', 'h1', 1, 1, None, content, 1)


def violated(calls: list[DutyCall]) -> set[str]:
    """Return the names of the invariants that calls violate."""
    record = Record(duty_calls=calls)
    return {one.__name__ for one in DUTY_INVARIANTS if any(one(record))}


@pytest.mark.parametrize(
    'calls',
    [
        [report('h1', 1, 1), report('h2', 2, 5), report('h1', 3, 9)],
        # The same bytes again, and a call that was refused just before.
        [report('h1', 1, 1, fenced_at=1.1), report('h1', 1, 1.2)],
        # An earlier call that was never carried out.
        [report('h1', 1, 1, late=math.inf), report('h2', 2, 5)],
        [order(0), order(8)],
    ],
    ids=['holders', 'concurrent calls', 'not carried out', 'orders'],
)
def test_correct_calls_violate_nothing(calls: list[DutyCall]) -> None:
    """Guards against false alarms."""
    assert violated(calls) == set()


@pytest.mark.parametrize(
    ('invariant', 'calls'),
    [
        (
            'windows_have_one_report',
            [report('h1', 1, 1), report('h2', 2, 5, content=_OTHER_REPORT)],
        ),
        ('tokens_have_one_holder', [report('h1', 1, 1), report('h2', 1, 5)]),
        (
            'accepted_tokens_never_fall',
            [report('h1', 2, 1), report('h2', 1, 5)],
        ),
        (
            'accepted_tokens_never_fall',
            [report('h1', 1, 1, late=9), report('h2', 2, 5)],
        ),
        (
            'refused_tokens_are_not_used_again',
            [report('h1', 1, 1, fenced_at=1.1), report('h1', 1, 5)],
        ),
        (
            'holders_do_not_alternate',
            [report('h1', 1, 1), report('h2', 2, 1.5), report('h1', 3, 2)],
        ),
        ('orders_keep_the_maximum', [order(9)]),
        ('orders_keep_the_maximum', [order(-1)]),
    ],
)
def test_each_violation_is_found(invariant: str, calls: list[DutyCall]) -> None:
    """Guards against an oracle that sees nothing."""
    assert violated(calls) == {invariant}
