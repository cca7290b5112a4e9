"""Test the oracle with records that violate or satisfy each invariant."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.soak._bounds import SHUTDOWN_GRACE_SECONDS
from tests.soak._faults import draw_schedule
from tests.soak._oracle import expected_body, find_violations
from tests.soak._record import (
    EVENT_COUNT,
    Arrival,
    Notice,
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


def spoilt(result: Record) -> Record:
    """Return a record whose servers may have damaged all their answers."""
    for one in result.arrivals:
        one.spoilt = True
    return result


def record_of_attempts(
    statuses: tuple[int | None, ...], runs: tuple[int, ...]
) -> Record:
    """Return a record of attempts with one id.

    :param statuses: what the caller got for each, None for a cut.
    :param runs: the attempts that servers executed; each was also refused.
    """
    outcomes = [
        outcome(
            number=number, status=status, is_cut=status is None,
            sent_at=50 + number, ended_at=50.2 + number,
        )
        for number, status in enumerate(statuses, start=1)
    ]  # fmt: skip
    arrivals = [
        Arrival(
            'r', 'book', 's', 50.1 + number, ran, 'team-a', number=number
        )
        for ran, numbers in (
            (False, range(1, len(statuses) + 1)), (True, runs)
        )
        for number in numbers
    ]  # fmt: skip
    return record(outcomes, arrivals)


def record_of_returning_callers() -> Record:
    """Return a record of many requests that were sent again after refusals."""
    result = record([], [])
    for number in range(80):
        one = record_of_attempts((503, 200), (2,))
        for item in (*one.outcomes, *one.arrivals):
            item.request = f'r{number}'
        one.outcomes[-1].body = expected_body(f'r{number}', 's')
        result.outcomes += one.outcomes
        # Each attempt was sent once.
        result.arrivals += [one.arrivals[0], one.arrivals[-1]]
    return result


def record_of_aborted_request(**changes: object) -> Record:
    """Return a record of a request cut while its host shut down."""
    result = record(
        [outcome(is_cut=True, status=None, ended_at=51, **changes)], [arrival()]
    )
    result.stops[7] = Span(50.5, 50.5 + SHUTDOWN_GRACE_SECONDS)
    return result


def record_with_revoked_key(status: int, **changes: object) -> Record:
    """Return a record of a request whose key was revoked at 45 s."""
    result = record([outcome(status=status, **changes)], [arrival()])
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


def record_with_added_route(
    status: int = 404, since: float = 45, **changes: object
) -> Record:
    """Return a record of a request on a route that was added at 45 s."""
    result = record(
        [outcome(status=status, is_cut=True, route='new', **changes)], []
    )
    result.added['new'] = since
    return result


def record_with_removed_route(status: int, since: float = 45) -> Record:
    """Return a record of a request on a route that was removed at 45 s."""
    result = record_with_added_route(status, 41)
    result.revoked['new'] = since
    return result


def turned_away(result: Record, began: float = 44) -> Record:
    """Return a record whose host the store turns away from some time on."""
    result.rejections['h'] = [Span(began, 70)]
    return result


def record_with_forgotten_route() -> Record:
    """Return a record of a process that refuses a route it had accepted."""
    result = record_with_added_route(since=49, request='q')
    first = outcome(route='new', sent_at=49.1, ended_at=49.2)
    result.outcomes.insert(0, first)
    result.arrivals.append(arrival(at=49.1))
    return result


def record_of_notice(
    *late_sent_at: float, pause_seconds: float | None = None, boot: int = 1
) -> Record:
    """Return a record of a notice at 50 s, and of requests sent after it."""
    result = record([outcome(answered_at=50.1)], [arrival()])
    result.arrivals[0].boot = 1
    result.notices.append(Notice('s', 1, 'r', 50, pause_seconds))
    for number, sent_at in enumerate(late_sent_at):
        request = f'late-{number}'
        result.outcomes.append(
            outcome(
                request=request, sent_at=sent_at, ended_at=sent_at + 0.2,
                body=expected_body(request, 's'),
            )
        )  # fmt: skip
        result.arrivals.append(arrival(request, sent_at + 0.1))
        result.arrivals[-1].boot = boot
    return result


def record_of_paused_sender(pause_seconds: float | None) -> Record:
    """Return a record whose host stands still after a notice."""
    result = record_of_notice(53.5, 53.6, 53.7, pause_seconds=pause_seconds)
    result.host_faults['h'] = [Span(51, 52)]
    return result


def record_of_lost_notice() -> Record:
    """Return a record of a pause that was asked for over a broken link."""
    result = record_of_notice(51, 51.1, 51.2, pause_seconds=4)
    result.link_faults.append(Span(49, 50.1, 's'))
    return result


VIOLATING_RECORDS: dict[str, Callable[[], Record]] = {
    'at_most_once': lambda: record([outcome()], [arrival(), arrival()]),
    'unexecuted_requests_never_run': lambda: record(
        [outcome(status=503)], [arrival()]
    ),
    'requests_are_answered_in_calm': lambda: record_of_cut_request(),
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
    'removed_routes_are_dropped': lambda: record_with_removed_route(200),
    'added_items_are_accepted': record_with_added_route,
    'added_items_stay': record_with_forgotten_route,
    'leaving_notices_are_kept': lambda: record_of_notice(53),
    'pauses_are_kept': lambda: record_of_notice(
        51, 51.1, 51.2, pause_seconds=4
    ),
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


# What callers were told of the attempts with one id, which of them ran, and
# which invariants that violates.
ATTEMPTS: dict[
    str, tuple[tuple[int | None, ...], tuple[int, ...], tuple[str, ...]]
] = {
    'none ran': ((503, 503), (), ()),
    'the later one ran': ((503, 200), (2,), ()),
    'the later one may have run': ((503, 502), (2,), ()),
    'a refused one ran': (
        (503, 502), (1,), ('unexecuted_requests_never_run',),
    ),
    'the later one was refused and ran': (
        (421, 503), (2,), ('unexecuted_requests_never_run',),
    ),
    'both ran': (
        (429, 200), (1, 2), ('at_most_once', 'unexecuted_requests_never_run'),
    ),
    'the later one ran twice': ((503, 200), (2, 2), ('at_most_once',)),
    'the later one was cut': (
        (503, None), (2,), ('requests_are_answered_in_calm',),
    ),
}  # fmt: skip


@pytest.mark.parametrize('case', ATTEMPTS)
def test_each_attempt_is_judged_by_what_its_caller_was_told(case: str) -> None:
    """An id that is used again hides no run of the attempt before."""
    statuses, runs, violated = ATTEMPTS[case]
    violations = find_violations(record_of_attempts(statuses, runs))
    assert tuple(line.partition(':')[0] for line in violations) == violated


def test_caller_that_gives_up_is_judged_by_the_time() -> None:
    """A caller that left got no answer, but its host closed nothing."""
    result = record(
        [outcome(is_cut=True, gave_up=True, status=None, ended_at=54)],
        [arrival()],
    )
    violations = find_violations(result)
    assert [line.partition(':')[0] for line in violations] == [
        'responses_arrive_in_time'
    ]


def record_of_cut_request(**faults: object) -> Record:
    """Return a record of a request that got no answer, with some faults."""
    result = record([outcome(is_cut=True, status=None)], [arrival()])
    for name, value in faults.items():
        setattr(result, name, value)
    return result


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
    'a stream that its server cut': lambda: spoilt(
        record([outcome('draft', events=[1, 2], is_cut=True)], [arrival()])
    ),
    'a request that was not passed on': lambda: record_of_cut_request(
        arrivals=[]
    ),
    'a request that a killed host cut': lambda: record_of_cut_request(
        host_faults={'h': [Span(50.1, 52)]}
    ),
    'a request cut over a broken link': lambda: record_of_cut_request(
        link_faults=[Span(49, 51, 's')]
    ),
    'a request that its server cut': lambda: spoilt(record_of_cut_request()),
    'attempts that are no repeats of hosts': record_of_returning_callers,
    'a refusal that did not run': lambda: record([outcome(status=503)], []),
    'a revoked key': lambda: record_with_revoked_key(401),
    'a key that was just revoked': lambda: record_with_revoked_key(
        500, sent_at=46, ended_at=46.2
    ),
    'an added route': lambda: record_with_added_route(200),
    'a route that was just added': lambda: record_with_added_route(since=48),
    'a route that a host which is turned away does not know yet': (
        lambda: turned_away(record_with_added_route())
    ),
    'a removed route': lambda: record_with_removed_route(404),
    'a route that was just removed': lambda: record_with_removed_route(200, 48),
    'a revoked key, at a host that is turned away': lambda: turned_away(
        record_with_revoked_key(500)
    ),
    'few requests after a notice of leaving': lambda: record_of_notice(52),
    'requests to the next start of a server that left': (
        lambda: record_of_notice(53, boot=2)
    ),
    'a host that stood still after a notice of leaving': (
        lambda: record_of_paused_sender(None)
    ),
    'two requests in a pause': lambda: record_of_notice(
        51, 51.1, pause_seconds=4
    ),
    'requests at the start and after the end of a pause': (
        lambda: record_of_notice(50.2, 50.3, 50.3, 54, 54, pause_seconds=4)
    ),
    'a host that stood still in a pause': lambda: record_of_paused_sender(4),
    'a pause over a broken link': record_of_lost_notice,
    'a paused host': record_of_paused_host,
    'a server that cut during a shutdown': record_of_server_abort,
}


@pytest.mark.parametrize('case', VALID_RECORDS)
def test_valid_record_has_no_violation(case: str) -> None:
    """No violation is reported for a valid record."""
    assert find_violations(VALID_RECORDS[case]()) == []


def test_host_that_is_turned_away_is_judged_in_the_end() -> None:
    """The bound is stretched once, not for as long as the store is closed."""
    result = turned_away(record_with_added_route(sent_at=53, ended_at=53.1))
    assert any('added_items' in line for line in find_violations(result))


def test_schedule_depends_only_on_seed() -> None:
    """Equal seeds give equal schedules; different seeds do not."""
    assert draw_schedule(4, 20) == draw_schedule(4, 20)
    assert draw_schedule(4, 20) != draw_schedule(5, 20)
    assert draw_schedule(4, 20)


def test_schedule_of_some_kinds_has_no_others() -> None:
    """Kinds that are named are played in every seed."""
    kinds = ('stop_host', 'retire_server')
    for seed in range(10):
        schedule = draw_schedule(seed, 20, kinds)
        assert {fault.kind for fault in schedule} <= set(kinds)
        assert 'retire_server' in {fault.kind for fault in schedule}
