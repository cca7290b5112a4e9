"""Tests of restores: what the soak's store does, and what the oracle says."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from random import Random

import pytest

from tests.soak._configuration import SoakConfiguration
from tests.soak._oracle import expected_body, find_violations
from tests.soak._record import Arrival, Outcome, Record, Restore, Span
from tests.soak._restores import configured_since
from tests.soak._store import DOWN, SERVERS_TOPIC, SoakStore

# The copy of 50 s comes back at 60 s; the operator writes again at 60.5 s.
RESTORE = Restore(50, Span(58, 60), 60.5)


def record_of_request(
    sent_at: float, status: int, *restores: Restore, **changes: object
) -> Record:
    """Return a record of one request at host h, by process 7."""
    outcome = Outcome(
        'r', 'lookup', 'key', 'h', 7, sent_at, sent_at + 0.1, 2, status,
        expected_body('r', 's'), 's', was_sent=True,
    )  # fmt: skip
    for name, value in changes.items():
        setattr(outcome, name, value)
    return Record(
        [], [outcome], {'key': 'team-a'}, starts={7: 0},
        restores=list(restores), started_at=40, ended_at=90,
    )  # fmt: skip


def with_added_route(since: float, result: Record) -> Record:
    """Return the record with a route added, on which its request goes."""
    result.added['new'] = since
    result.outcomes[0].route = 'new'
    return result


def with_rejections(began: float, ended: float, result: Record) -> Record:
    """Return the record with a host that the store turns away for a while."""
    result.rejections['h'] = [Span(began, ended)]
    return result


def with_leaving_server(
    since: float,
    again_at: float | None,
    result: Record,
    started_at: float = 0,
) -> Record:
    """Return the record with a leaving server that gets its request."""
    outcome = result.outcomes[0]
    result.starts[7] = started_at
    result.arrivals.append(
        Arrival('r', 'book', 's', outcome.sent_at, ran=True, team='team-a')
    )
    result.drained['s'] = since
    if again_at is not None:
        result.restores[0] = Restore(50, Span(58, 60), 60.5, {'s': again_at})
    return result


VIOLATING_RECORDS: dict[str, Callable[[], Record]] = {
    'a lost route, later than the bound after it was written again': lambda: (
        with_added_route(55, record_of_request(64, 404, RESTORE))
    ),
    'a lost route, before the store went away': lambda: with_added_route(
        54, record_of_request(57.5, 404, RESTORE)
    ),
    'a route of the copy, once the host is in touch again': lambda: (
        with_added_route(49, record_of_request(64, 404, RESTORE))
    ),
    'a route that was added after the restore': lambda: with_added_route(
        66, record_of_request(69, 404, RESTORE)
    ),
    'a lost route at a host that was admitted in time': lambda: with_rejections(
        57, 60, with_added_route(55, record_of_request(69, 404, RESTORE))
    ),
    'a lost route at a host that is turned away, in the end': lambda: (
        with_rejections(
            57, 70, with_added_route(55, record_of_request(69, 404, RESTORE))
        )
    ),
    'a leaving server that the process had heard of': lambda: (
        with_leaving_server(51, None, record_of_request(59, 200, RESTORE))
    ),
    'a lost leaving, later than the bound after it was said again': lambda: (
        with_leaving_server(57, 61, record_of_request(66, 200, RESTORE))
    ),
    'a leaving that the copy holds, once the host is in touch again': lambda: (
        with_leaving_server(
            49, None, record_of_request(64, 200, RESTORE), started_at=59
        )
    ),
}
VALID_RECORDS: dict[str, Callable[[], Record]] = {
    'a lost route that was not written again yet': lambda: with_added_route(
        55, record_of_request(59, 404, RESTORE)
    ),
    'a lost route, just after it was written again': lambda: with_added_route(
        55, record_of_request(62, 404, RESTORE)
    ),
    'a route of the copy, just after the restore': lambda: with_added_route(
        49, record_of_request(62, 404, RESTORE)
    ),
    'a route that was lost twice': lambda: with_added_route(
        55,
        record_of_request(69, 404, RESTORE, Restore(60.1, Span(64, 65), 67.5)),
    ),
    'a lost route at a host that is turned away': lambda: with_rejections(
        57, 70, with_added_route(55, record_of_request(67, 404, RESTORE))
    ),
    'a route of the copy at a host that is turned away': lambda: (
        with_rejections(
            57, 70, with_added_route(49, record_of_request(69, 404, RESTORE))
        )
    ),
    'a lost leaving that a new process can not know': lambda: (
        with_leaving_server(
            52, 68, record_of_request(66, 200, RESTORE), started_at=59
        )
    ),
    'a leaving that was confirmed just before the store went away': lambda: (
        with_leaving_server(57, 61, record_of_request(62, 200, RESTORE))
    ),
}


@pytest.mark.parametrize('case', VIOLATING_RECORDS)
def test_violation_beside_a_restore_is_reported(case: str) -> None:
    """A restore excuses hosts only until they had the time to follow."""
    (violation,) = find_violations(VIOLATING_RECORDS[case]())
    name = violation.partition(':')[0]
    assert name in {
        'added_items_are_accepted',
        'leaving_servers_get_no_new_requests',
    }


@pytest.mark.parametrize('case', VALID_RECORDS)
def test_valid_record_beside_a_restore_has_no_violation(case: str) -> None:
    """What a host has not heard, or not again, does not bind it."""
    assert find_violations(VALID_RECORDS[case]()) == []


def test_reverting_beside_a_restore_has_no_excuse() -> None:
    """A process that served a route does not refuse it, lost or not."""
    result = with_added_route(55, record_of_request(59, 404, RESTORE))
    served = record_of_request(56, 200).outcomes[0]
    served.request, served.route = 'q', 'new'
    served.body = expected_body('q', 's')
    result.outcomes.insert(0, served)
    assert [line.partition(':')[0] for line in find_violations(result)] == [
        'added_items_stay'
    ]


@pytest.mark.parametrize(
    ('since', 'at', 'expected'),
    [
        (49, 70, 49),
        (55, 57, 55),
        (55, 58, 60.5),
        (59, 70, 60.5),
        (61, 70, 61),
    ],
)
def test_versions_of_the_lost_span_count_from_when_they_are_written_again(
    since: float, at: float, expected: float
) -> None:
    """Those of the copy, and later ones, count from their confirmation."""
    assert configured_since(Record(restores=[RESTORE]), since, at) == expected


def store_with_servers(*servers: str) -> tuple[SoakStore, Record]:
    """Return a store to which servers have written that they are ready."""
    record = Record()
    store = SoakStore(record, Random(1))
    for server in servers:
        store.write_server(server, {'state': 'ready'})
    return store, record


def listed_servers(store: SoakStore) -> set[str]:
    """Return the servers whose newest entry is not a removal."""
    entries = dict(store._store_server.topics[SERVERS_TOPIC])
    return {server for server, content in entries.items() if content}


def test_servers_that_left_in_the_lost_span_come_back_until_they_expire() -> (
    None
):
    """Those that are alive write again and stay."""
    store, record = store_with_servers('left', 'alive')
    copied_at = time.monotonic()
    store.write_server('left', {})
    store.write_server('new', {'state': 'ready'})
    store.go_away(DOWN)
    store.write_server('alive', {'state': 'draining'})
    store.return_from_copy(copied_at)
    assert listed_servers(store) == {'left', 'alive'}
    assert not record.restores[0].left_at
    time.sleep(0.01)
    store.write_server('alive', {'state': 'ready'})
    store.expire_servers(0.01)
    assert listed_servers(store) == {'alive'}
    assert set(record.restores[0].left_at) == {'left'}


def test_operator_writes_the_newest_version_again() -> None:
    """The time of the first write after a restore is recorded."""
    store, record = store_with_servers()
    configuration = SoakConfiguration(store, record)
    configuration.publish()
    copied_at = time.monotonic()
    configuration.publish()
    store.go_away(DOWN)
    configuration.publish()
    store.return_from_copy(copied_at)
    returned_at = time.monotonic()
    store.write_configuration_again()
    configured_at = record.restores[0].configured_at
    assert configured_at >= returned_at
    configuration.publish()
    assert record.restores[0].configured_at == configured_at
    versions = store._store_server.topics['keyed.op']
    assert [json.loads(content)['version'] for _, content in versions] == [
        1,
        3,
        4,
    ]
