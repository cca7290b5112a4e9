"""Invariants checked against what callers and backend servers recorded."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from tests.soak._bounds import (
    NOT_EXECUTED_STATUSES,
    RETRY_RATIO,
    RETRY_SLACK,
    RETRY_WINDOW_SECONDS,
    SHUTDOWN_GRACE_SECONDS,
    host_had_fault,
    may_be_cut_by_server,
    tolerance_seconds,
)
from tests.soak._configuration_oracle import CONFIGURATION_INVARIANTS
from tests.soak._duty_oracle import DUTY_INVARIANTS
from tests.soak._record import (
    AT_MOST_ONCE_KINDS,
    EVENT_COUNT,
    STREAM_KINDS,
    Attempt,
    Record,
)
from tests.soak._server_oracle import SERVER_INVARIANTS

MAX_MEGABYTES = 128.0
# A host holds one connection per caller and a few per server.
MAX_DESCRIPTORS = 250
STARVATION_SECONDS = 8.0


def expected_body(request: str, server: str) -> bytes:
    """Return the body with which a server answers a plain request."""
    return f'{request} by {server} '.encode() * 40


def find_violations(record: Record) -> list[str]:
    """Return all violations, each as ``invariant: description``."""
    return [
        f'{invariant.__name__}: {violation}'
        for invariant in INVARIANTS
        for violation in invariant(record)
    ]


def at_most_once(record: Record) -> Iterator[str]:
    """An at-most-once request is executed once in all its attempts.

    Its caller uses the id again only after a promise that it has not run, so
    an attempt that was refused and ran counts like one that ran twice.
    """
    execution_counts = Counter(
        arrival.request for arrival in record.arrivals if arrival.ran
    )
    requests = {
        outcome.request: None
        for outcome in record.outcomes
        if outcome.kind in AT_MOST_ONCE_KINDS
    }
    for request in requests:
        if execution_counts[request] > 1:
            yield f'{request} ran {execution_counts[request]} times'


def unexecuted_requests_never_run(record: Record) -> Iterator[str]:
    """An attempt answered with a not-executed status never runs.

    A later attempt with the same id may run.
    """
    executed = {arrival.attempt for arrival in record.arrivals if arrival.ran}
    for outcome in record.outcomes:
        was_refused = (
            outcome.status in NOT_EXECUTED_STATUSES
            and outcome.kind in AT_MOST_ONCE_KINDS
        )
        if was_refused and outcome.attempt in executed:
            yield f'{outcome.request} got {outcome.status} and ran'


def requests_are_answered_in_calm(record: Record) -> Iterator[str]:
    """A request that a host passed on does not end without an answer.

    Calm means no fault of its host, and no server or link that broke off.
    Callers that gave up are judged by ``responses_arrive_in_time``.
    """
    passed_on = {arrival.attempt for arrival in record.arrivals}
    for outcome in record.outcomes:
        if (
            outcome.is_cut
            and not outcome.gave_up
            and outcome.attempt in passed_on
            and not host_had_fault(record, outcome)
            and not may_be_cut_by_server(record, outcome)
        ):
            yield f'{outcome.request} got no whole answer from {outcome.host}'


def responses_are_complete(record: Record) -> Iterator[str]:
    """A body is the one that the signing server sent for the request."""
    for outcome in record.outcomes:
        if (
            outcome.status != 200
            or outcome.kind in STREAM_KINDS
            or outcome.is_cut
        ):
            continue
        if outcome.body != expected_body(outcome.request, outcome.signature):
            yield f'{outcome.request} got {outcome.body[:60]!r}'


def streams_are_complete(record: Record) -> Iterator[str]:
    """Events arrive once and in order, and none is missing at the end."""
    for outcome in record.outcomes:
        if outcome.kind not in STREAM_KINDS or outcome.status != 200:
            continue
        if outcome.events != list(range(1, len(outcome.events) + 1)):
            yield f'{outcome.request} got events {outcome.events}'
        elif not outcome.is_cut and len(outcome.events) != EVENT_COUNT:
            yield (
                f'{outcome.request} ended as complete after '
                f'{len(outcome.events)} events'
            )


def teams_match_keys(record: Record) -> Iterator[str]:
    """Servers receive the team of the key, not one set by the caller."""
    keys = {outcome.request: outcome.key for outcome in record.outcomes}
    for arrival in record.arrivals:
        expected = record.teams.get(keys.get(arrival.request, ''))
        if arrival.team != expected:
            yield (
                f'{arrival.request} was sent as {arrival.team}, not {expected}'
            )


def shutdowns_abort_no_requests(record: Record) -> Iterator[str]:
    """A graceful shutdown completes the requests in flight."""
    for outcome in record.outcomes:
        stop = record.stops.get(outcome.pid)
        if stop is None or outcome.pid in record.killed or not outcome.is_cut:
            continue
        if not outcome.was_sent or outcome.ended_at < stop.began:
            continue
        if not may_be_cut_by_server(record, outcome):
            yield f'{outcome.request} was cut by the shutdown of {outcome.host}'


def shutdowns_end_in_time(record: Record) -> Iterator[str]:
    """A process exits by itself within the grace time after SIGTERM."""
    for pid, stop in record.stops.items():
        ended = record.ends.get(pid)
        if pid in record.killed or ended is None:
            continue
        seconds = ended - stop.began
        if seconds > SHUTDOWN_GRACE_SECONDS:
            yield f'process {pid} took {seconds:.1f} s to stop'


def responses_arrive_in_time(record: Record) -> Iterator[str]:
    """Each request ends within its timeout."""
    for outcome in record.outcomes:
        late = outcome.ended_at - outcome.sent_at - outcome.patience
        if late > tolerance_seconds(record) and not host_had_fault(
            record, outcome
        ):
            yield f'{outcome.request} ended {late:.1f} s late at {outcome.host}'


def retries_stay_in_budget(record: Record) -> Iterator[str]:
    """Retries by all hosts stay within the configured retry budget.

    Another attempt of a caller is none of a host (the users' rule).
    """
    arrivals_by_service: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    seen: set[Attempt] = set()
    for arrival in sorted(record.arrivals, key=lambda item: item.at):
        arrivals_by_service[arrival.service].append(
            (arrival.at, arrival.attempt in seen)
        )
        seen.add(arrival.attempt)
    for service, arrivals in arrivals_by_service.items():
        for at, _ in arrivals[::10]:
            window = [
                is_repeat
                for arrived_at, is_repeat in arrivals
                if at <= arrived_at < at + RETRY_WINDOW_SECONDS
            ]
            repeats = sum(window)
            firsts = len(window) - repeats
            if repeats > RETRY_RATIO * firsts + RETRY_SLACK:
                yield f'{repeats} repeats of {firsts} at {service}'
                break


def no_kind_starves(record: Record) -> Iterator[str]:
    """No kind goes sent_in_gap for long while other requests are served."""
    served_at = [
        outcome.ended_at for outcome in record.outcomes if outcome.status == 200
    ]
    for kind in sorted({outcome.kind for outcome in record.outcomes}):
        kind_outcomes = [
            outcome for outcome in record.outcomes if outcome.kind == kind
        ]
        served = sorted(
            outcome.ended_at
            for outcome in kind_outcomes
            if outcome.status == 200
        )
        boundaries = [record.started_at, *served, record.ended_at]
        for began, ended in zip(boundaries, boundaries[1:], strict=False):
            sent_in_gap = [
                outcome
                for outcome in kind_outcomes
                if began < outcome.sent_at < ended - 2
            ]
            served_in_gap = [at for at in served_at if began < at < ended]
            is_long = ended - began > STARVATION_SECONDS
            if is_long and len(sent_in_gap) > 5 and len(served_in_gap) > 20:
                yield f'{kind} was not served for {ended - began:.1f} s'


def host_resources_are_bounded(record: Record) -> Iterator[str]:
    """Memory and open file descriptors stay below fixed limits."""
    for usage in record.usages:
        if usage.megabytes > MAX_MEGABYTES:
            yield f'{usage.host} uses {usage.megabytes:.0f} MB'
        if usage.descriptors > MAX_DESCRIPTORS:
            yield f'{usage.host} holds {usage.descriptors} descriptors'


def hosts_exit_only_on_signal(record: Record) -> Iterator[str]:
    """A process exits only after a signal."""
    yield from record.ended_alone


INVARIANTS: tuple[Callable[[Record], Iterator[str]], ...] = (
    at_most_once,
    unexecuted_requests_never_run,
    requests_are_answered_in_calm,
    responses_are_complete,
    streams_are_complete,
    teams_match_keys,
    shutdowns_abort_no_requests,
    shutdowns_end_in_time,
    responses_arrive_in_time,
    retries_stay_in_budget,
    no_kind_starves,
    host_resources_are_bounded,
    hosts_exit_only_on_signal,
    *CONFIGURATION_INVARIANTS,
    *SERVER_INVARIANTS,
    *DUTY_INVARIANTS,
)
