"""Test the oracle with records that violate or satisfy each invariant."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.soak._faults import draw_schedule
from tests.soak._oracle import (
    SHUTDOWN_GRACE_SECONDS,
    expected_body,
    find_violations,
)
from tests.soak._record import (
    EVENT_COUNT,
    Arrival,
    Outcome,
    Record,
    Span,
    Usage,
)


def arrival(request: str = 'r', at: float = 50, server: str = 's') -> Arrival:
    """Return a request that a server executed."""
    return Arrival(request, 'book', server, at, ran=True, team='team-a')


def outcome(kind: str = 'order', **changes: object) -> Outcome:
    """Return a correctly answered order, with some fields changed."""
    result = Outcome(
        'r', kind, 'key', 'h', 7, 50, 50.2, 2, 200,
        expected_body('r', 's'), 's', was_sent=True,
    )  # fmt: skip
    for name, value in changes.items():
        setattr(result, name, value)
    return result


def record(outcomes: list[Outcome], arrivals: list[Arrival]) -> Record:
    """Return a record of requests that use one key."""
    return Record(
        arrivals, outcomes, {'key': 'team-a'}, started_at=40, ended_at=70
    )


def record_of_aborted_request(**changes: object) -> Record:
    """Return a record of a request cut while its host shut down."""
    result = record(
        [outcome(is_cut=True, status=None, ended_at=51, **changes)], [arrival()]
    )
    result.stops[7] = Span(50.5, 50.5 + SHUTDOWN_GRACE_SECONDS)
    return result


def record_with_revoked_key(status: int, **changes: object) -> Record:
    """Return a record of a request whose key was revoked at 45 s."""
    result = record(
        [outcome(status=status, is_cut=True, **changes)], [arrival()]
    )
    result.revoked['key'] = 45
    return result


def record_of_starvation() -> Record:
    """Return a record of one unserved kind while another was served."""
    served_outcomes = [
        outcome('lookup', request=f'l{n}', sent_at=41 + n, ended_at=41.2 + n,
                body=expected_body(f'l{n}', 's'))
        for n in range(28)
    ]  # fmt: skip
    refused_outcomes = [
        outcome('order', request=f'o{n}', sent_at=41 + n, ended_at=41.2 + n,
                status=503)
        for n in range(28)
    ]  # fmt: skip
    return record([*served_outcomes, *refused_outcomes], [])


VIOLATING_RECORDS: dict[str, Callable[[], Record]] = {
    'at_most_once': lambda: record([outcome()], [arrival(), arrival()]),
    'unexecuted_requests_never_run': lambda: record(
        [outcome(status=503)], [arrival()]
    ),
    'responses_are_complete': lambda: record(
        [outcome(body=b'half')], [arrival()]
    ),
    'streams_are_complete': lambda: record(
        [outcome('draft', events=[1, 2, 2])], [arrival()]
    ),
    'teams_match_keys': lambda: record([outcome(key='other')], [arrival()]),
    'leaving_servers_get_no_new_requests': lambda: Record(
        [arrival(at=55)], [], drained={'s': 50}, teams={'': 'team-a'}
    ),
    'shutdowns_abort_no_requests': record_of_aborted_request,
    'shutdowns_end_in_time': lambda: Record(
        stops={7: Span(50, 58)}, ends={7: 59.0}
    ),
    'revoked_keys_are_rejected': lambda: record_with_revoked_key(500),
    'configuration_never_reverts': lambda: record(
        [
            outcome(status=401, sent_at=48, ended_at=48.1),
            outcome(request='q', body=expected_body('q', 's')),
        ],
        [arrival('q')],
    ),
    'valid_requests_are_accepted': lambda: record([outcome(status=404)], []),
    'responses_arrive_in_time': lambda: record(
        [outcome(ended_at=56)], [arrival()]
    ),
    'retries_stay_in_budget': lambda: record(
        [outcome('lookup')], [arrival() for _ in range(60)]
    ),
    'no_kind_starves': record_of_starvation,
    'host_resources_are_bounded': lambda: Record(
        usages=[Usage('h', 50, 40, 900)]
    ),
    'hosts_exit_only_on_signal': lambda: Record(ended_alone=['h ended: 3']),
}


@pytest.mark.parametrize('invariant', VIOLATING_RECORDS)
def test_violation_is_reported(invariant: str) -> None:
    """A violation is reported under the name of its invariant."""
    violated = {
        line.partition(':')[0]
        for line in find_violations(VIOLATING_RECORDS[invariant]())
    }
    assert invariant in violated


def record_of_paused_host() -> Record:
    """Return a record of a late response by a host that was paused."""
    result = record([outcome(ended_at=56)], [arrival()])
    result.host_faults['h'] = [Span(50, 54)]
    return result


def record_of_server_abort() -> Record:
    """Return a record of a server's cut while the host shut down."""
    result = record_of_aborted_request()
    result.arrivals[0].spoilt = True
    return result


VALID_RECORDS: dict[str, Callable[[], Record]] = {
    'an answer': lambda: record([outcome()], [arrival()]),
    'a stream': lambda: record(
        [outcome('draft', events=list(range(1, EVENT_COUNT + 1)))], [arrival()]
    ),
    'a cut stream': lambda: record(
        [outcome('draft', events=[1, 2], is_cut=True)], [arrival()]
    ),
    'a refusal that did not run': lambda: record([outcome(status=503)], []),
    'a revoked key': lambda: record_with_revoked_key(401),
    'a key that was just revoked': lambda: record_with_revoked_key(
        500, sent_at=46, ended_at=46.2
    ),
    'a paused host': record_of_paused_host,
    'a server that cut during a shutdown': record_of_server_abort,
}


@pytest.mark.parametrize('case', VALID_RECORDS)
def test_valid_record_has_no_violation(case: str) -> None:
    """No violation is reported for a valid record."""
    assert find_violations(VALID_RECORDS[case]()) == []


def test_schedule_depends_only_on_seed() -> None:
    """Equal seeds give equal schedules; different seeds do not."""
    assert draw_schedule(4, 20) == draw_schedule(4, 20)
    assert draw_schedule(4, 20) != draw_schedule(5, 20)
    assert draw_schedule(4, 20)
