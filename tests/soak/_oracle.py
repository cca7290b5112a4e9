"""Invariants checked against what callers and backend servers recorded."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from tests.soak._record import (
    AT_MOST_ONCE_KINDS,
    EVENT_COUNT,
    STREAM_KINDS,
    Outcome,
    Record,
)

NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# The limits that the soak writes to the settings files of the hosts.
CONFIGURATION_SECONDS = 2.0
DRAIN_SECONDS = 2.0
RETRY_RATIO = 0.2
RETRY_SLACK = 50
RETRY_WINDOW_SECONDS = 10.0
# A host has current data after this long without a fault (the users'
# contact_ms).
CONTACT_SECONDS = 3.0
# Processes on a shared machine may be late by this much plus twice the event
# loop lag that the soak measures in its own process.
BASE_TOLERANCE_SECONDS = 0.7
SHUTDOWN_GRACE_SECONDS = 8.0
MAX_MEGABYTES = 128.0
# A host holds one connection per caller and a few per server.
MAX_DESCRIPTORS = 250
STARVATION_SECONDS = 8.0
# The users' rule: after the fifth server that ended under a part of prompts,
# at most three more requests with it.
FATAL_PART_ENDS = 5
FATAL_PART_ARRIVALS = 3
# The users' rule: in any such window a server that names a limit gets one and
# a half times what it allows, and this many more calls.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_EXCESS_FACTOR = 1.5
LIMIT_EXCESS_CALLS = 5


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
    """An at-most-once request is executed at most once."""
    execution_counts = Counter(
        arrival.request for arrival in record.arrivals if arrival.ran
    )
    for outcome in record.outcomes:
        if (
            outcome.kind in AT_MOST_ONCE_KINDS
            and execution_counts[outcome.request] > 1
        ):
            yield (
                f'{outcome.request} ran '
                f'{execution_counts[outcome.request]} times'
            )


def unexecuted_requests_never_run(record: Record) -> Iterator[str]:
    """A request answered with a not-executed status never runs."""
    executed = {arrival.request for arrival in record.arrivals if arrival.ran}
    for outcome in record.outcomes:
        was_refused = (
            outcome.status in NOT_EXECUTED_STATUSES
            and outcome.kind in AT_MOST_ONCE_KINDS
        )
        if was_refused and outcome.request in executed:
            yield f'{outcome.request} got {outcome.status} and ran'


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


def leaving_servers_get_no_new_requests(record: Record) -> Iterator[str]:
    """A draining server gets no requests after ``DRAIN_SECONDS``."""
    for arrival in record.arrivals:
        drained_at = record.drained.get(arrival.server)
        if drained_at is None:
            continue
        limit = drained_at + DRAIN_SECONDS + _tolerance_seconds(record)
        if arrival.at > limit and not _store_was_unavailable(
            record, drained_at
        ):
            late = arrival.at - drained_at
            yield (
                f'{arrival.request} reached {arrival.server} '
                f'{late:.1f} s after it began to drain'
            )


def shutdowns_abort_no_requests(record: Record) -> Iterator[str]:
    """A graceful shutdown completes the requests in flight."""
    for outcome in record.outcomes:
        stop = record.stops.get(outcome.pid)
        if stop is None or outcome.pid in record.killed or not outcome.is_cut:
            continue
        if not outcome.was_sent or outcome.ended_at < stop.began:
            continue
        if not _may_be_cut_by_server(record, outcome):
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


def revoked_keys_are_rejected(record: Record) -> Iterator[str]:
    """A revoked key is rejected after ``CONFIGURATION_SECONDS``."""
    for outcome in record.outcomes:
        revoked_at = record.revoked.get(outcome.key)
        if revoked_at is None or outcome.status in {None, 401, 503, 408}:
            continue
        limit = revoked_at + CONFIGURATION_SECONDS + _tolerance_seconds(record)
        if outcome.sent_at < limit or _store_was_unavailable(
            record, revoked_at
        ):
            continue
        if not _host_had_fault(record, outcome):
            late = outcome.sent_at - revoked_at
            yield (
                f'{outcome.request} got {outcome.status} '
                f'{late:.1f} s after the revocation'
            )


def configuration_never_reverts(record: Record) -> Iterator[str]:
    """A process that rejected a key never accepts it again."""
    refused: dict[tuple[int, str], float] = {}
    for outcome in sorted(record.outcomes, key=lambda item: item.sent_at):
        if outcome.status == 401:
            refused.setdefault((outcome.pid, outcome.key), outcome.ended_at)
        since = refused.get((outcome.pid, outcome.key))
        if (
            since is not None
            and outcome.status == 200
            and outcome.sent_at > since
        ):
            yield f'{outcome.request} was accepted by {outcome.host} again'


def valid_requests_are_accepted(record: Record) -> Iterator[str]:
    """A valid key and route are never answered with 401, 403 or 404."""
    for outcome in record.outcomes:
        is_valid_key = outcome.key not in record.revoked
        if outcome.status in {401, 403, 404} and is_valid_key:
            yield f'{outcome.request} got {outcome.status}'


def responses_arrive_in_time(record: Record) -> Iterator[str]:
    """Each request ends within its timeout."""
    for outcome in record.outcomes:
        late = outcome.ended_at - outcome.sent_at - outcome.patience
        if late > _tolerance_seconds(record) and not _host_had_fault(
            record, outcome
        ):
            yield f'{outcome.request} ended {late:.1f} s late at {outcome.host}'


def retries_stay_in_budget(record: Record) -> Iterator[str]:
    """Retries by all hosts stay within the configured retry budget."""
    arrivals_by_service: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    seen: set[str] = set()
    for arrival in sorted(record.arrivals, key=lambda item: item.at):
        arrivals_by_service[arrival.service].append(
            (arrival.at, arrival.request in seen)
        )
        seen.add(arrival.request)
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


def fatal_parts_stop_reaching_servers(record: Record) -> Iterator[str]:
    """A part under which servers end is kept from them after the fifth."""
    outcomes = {outcome.request: outcome for outcome in record.outcomes}
    for part, ends in record.ends_under_part.items():
        if len(ends) < FATAL_PART_ENDS:
            continue
        limit = (
            ends[FATAL_PART_ENDS - 1]
            + CONTACT_SECONDS
            + _tolerance_seconds(record)
        )
        late = [
            arrival
            for arrival in record.arrivals
            if part in arrival.parts
            and arrival.at > limit
            and not _host_had_fault(record, outcomes[arrival.request])
        ]
        if len(late) > FATAL_PART_ARRIVALS:
            yield f'{len(late)} more requests with {part} reached servers'


def limits_of_servers_are_kept(record: Record) -> Iterator[str]:
    """All hosts together keep to the limit that a server names."""
    outcomes = {outcome.request: outcome for outcome in record.outcomes}
    for limit in record.limits:
        known_at = (
            limit.span.began + CONTACT_SECONDS + _tolerance_seconds(record)
        )
        times = [
            arrival.at
            for arrival in record.arrivals
            if arrival.server == limit.server
            and known_at < arrival.at < limit.span.ended
            and not _host_had_fault(record, outcomes[arrival.request])
        ]
        most = max(
            (
                sum(start <= at < start + LIMIT_WINDOW_SECONDS for at in times)
                for start in times
            ),
            default=0,
        )
        allowed = (
            LIMIT_EXCESS_FACTOR * LIMIT_WINDOW_SECONDS * limit.calls_per_second
            + LIMIT_EXCESS_CALLS
        )
        if most > allowed:
            yield f'{limit.server} got {most} calls, {allowed:.0f} allowed'


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


def _tolerance_seconds(record: Record) -> float:
    return BASE_TOLERANCE_SECONDS + 2 * record.lag


def _store_was_unavailable(record: Record, since: float) -> bool:
    return any(
        span.touches(since - CONTACT_SECONDS, since + CONTACT_SECONDS)
        for span in record.store_faults
    )


def _host_had_fault(record: Record, outcome: Outcome) -> bool:
    began = outcome.sent_at - CONTACT_SECONDS
    return any(
        span.touches(began, outcome.ended_at)
        for span in record.host_faults.get(outcome.host, [])
    )


def _may_be_cut_by_server(record: Record, outcome: Outcome) -> bool:
    """Return whether a server or link fault may have cut the response."""
    if any(
        arrival.spoilt
        for arrival in record.arrivals
        if arrival.request == outcome.request
    ):
        return True
    return any(
        span.touches(outcome.sent_at, outcome.ended_at, 2)
        for span in record.link_faults
    )


INVARIANTS: tuple[Callable[[Record], Iterator[str]], ...] = (
    at_most_once,
    unexecuted_requests_never_run,
    responses_are_complete,
    streams_are_complete,
    teams_match_keys,
    leaving_servers_get_no_new_requests,
    shutdowns_abort_no_requests,
    shutdowns_end_in_time,
    revoked_keys_are_rejected,
    configuration_never_reverts,
    valid_requests_are_accepted,
    responses_arrive_in_time,
    retries_stay_in_budget,
    fatal_parts_stop_reaching_servers,
    limits_of_servers_are_kept,
    no_kind_starves,
    host_resources_are_bounded,
    hosts_exit_only_on_signal,
)
