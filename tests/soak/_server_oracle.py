"""Invariants of what backend servers say of themselves."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Final

from tests.soak._bounds import (
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    host_had_fault,
    outer_seconds,
    store_was_unavailable,
    tolerance_seconds,
)
from tests.soak._record import Arrival, Notice, Record
from tests.soak._restores import left_since

# The users' rule: after the fifth server that ended under a part of prompts,
# at most three more requests with it.
FATAL_PART_ENDS = 5
FATAL_PART_ARRIVALS = 3
# The users' rule: in any such window a server that names a limit gets one and
# a half times what it allows, and this many more calls.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_EXCESS_FACTOR = 1.5
LIMIT_EXCESS_CALLS = 5
# The users' rule: from half a second after its answer until the end of the
# pause that it asks for, a server gets at most this many requests of a host.
PAUSE_SLACK_SECONDS: Final = 0.5
PAUSE_CALLS: Final = 2
# A connection on which answers were dropped stays so until its calls time out.
_LINK_RECOVERY_SECONDS: Final = 4.0


def leaving_servers_get_no_new_requests(record: Record) -> Iterator[str]:
    """A draining server gets no requests after ``DRAIN_SECONDS``."""
    outcomes = record.outcomes_by_attempt()
    for arrival in record.arrivals:
        drained_at = record.drained.get(arrival.server)
        if drained_at is None:
            continue
        outcome = outcomes.get(arrival.attempt)
        host = '' if outcome is None else outcome.host
        drained_at = left_since(record, arrival, outcome, drained_at)
        limit = (
            drained_at
            + DRAIN_SECONDS
            + outer_seconds(record, host, drained_at)
            + tolerance_seconds(record)
        )
        if arrival.at > limit and not store_was_unavailable(record, drained_at):
            late = arrival.at - drained_at
            yield (
                f'{arrival.request} reached {arrival.server} from {host} '
                f'{late:.1f} s after it began to drain'
            )


def leaving_notices_are_kept(record: Record) -> Iterator[str]:
    """A host that passed on a notice of leaving sends nothing new there."""
    outcomes = record.outcomes_by_attempt()
    passed_on: dict[tuple[str, int, int], float] = {}
    for notice in record.notices:
        outcome = outcomes[notice.attempt]
        was_passed_on = outcome.was_sent and outcome.signature == notice.server
        if notice.pause_seconds is None and was_passed_on:
            sender = (notice.server, notice.boot, outcome.pid)
            first_at = passed_on.get(sender, outcome.answered_at)
            passed_on[sender] = min(first_at, outcome.answered_at)
    for arrival in record.arrivals if passed_on else ():
        outcome = outcomes[arrival.attempt]
        since = passed_on.get((arrival.server, arrival.boot, outcome.pid))
        if (
            since is not None
            and outcome.sent_at
            > since + DRAIN_SECONDS + tolerance_seconds(record)
            and not _was_interrupted(record, outcome.host, since, arrival.at)
        ):
            late = outcome.sent_at - since
            yield (
                f'{arrival.request} reached {arrival.server} from '
                f'{outcome.host} {late:.1f} s after its notice'
            )


def pauses_are_kept(record: Record) -> Iterator[str]:
    """A server that asked a host for a pause gets few of its requests."""
    outcomes = record.outcomes_by_attempt()
    arrivals: dict[tuple[str, int, int], list[Arrival]] = defaultdict(list)
    for arrival in record.arrivals if record.notices else ():
        sender = (arrival.server, arrival.boot, outcomes[arrival.attempt].pid)
        arrivals[sender].append(arrival)
    for notice in record.notices:
        if notice.pause_seconds is None:
            continue
        outcome = outcomes[notice.attempt]
        began = notice.at + PAUSE_SLACK_SECONDS + 2 * record.lag
        ended = notice.at + notice.pause_seconds
        calls = sum(
            began < arrival.at < ended
            for arrival in arrivals[notice.server, notice.boot, outcome.pid]
        )
        if calls > PAUSE_CALLS and not (
            _was_interrupted(record, outcome.host, notice.at, ended)
            or _link_had_fault(record, notice)
        ):
            yield (
                f'{notice.server} got {calls} calls from {outcome.host} in a '
                f'pause of {notice.pause_seconds:g} s'
            )


def fatal_parts_stop_reaching_servers(record: Record) -> Iterator[str]:
    """A part under which servers end is kept from them after the fifth."""
    outcomes = record.outcomes_by_attempt()
    for part, ends in record.ends_under_part.items():
        if len(ends) < FATAL_PART_ENDS:
            continue
        limit = (
            ends[FATAL_PART_ENDS - 1]
            + CONTACT_SECONDS
            + tolerance_seconds(record)
        )
        late = [
            arrival
            for arrival in record.arrivals
            if part in arrival.parts
            and arrival.at > limit
            and not host_had_fault(record, outcomes[arrival.attempt])
        ]
        if len(late) > FATAL_PART_ARRIVALS:
            yield f'{len(late)} more requests with {part} reached servers'


def limits_of_servers_are_kept(record: Record) -> Iterator[str]:
    """All hosts together keep to the limit that a server names."""
    outcomes = record.outcomes_by_attempt()
    for limit in record.limits:
        known_at = (
            limit.span.began + CONTACT_SECONDS + tolerance_seconds(record)
        )
        times = [
            arrival.at
            for arrival in record.arrivals
            if arrival.server == limit.server
            and known_at < arrival.at < limit.span.ended
            and not host_had_fault(record, outcomes[arrival.attempt])
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


def _was_interrupted(
    record: Record, host: str, began: float, ended: float
) -> bool:
    """Return whether a host was restarted or paused in an interval."""
    return any(
        span.ended > span.began and span.touches(began, ended)
        for span in record.host_faults.get(host, [])
    )


def _link_had_fault(record: Record, notice: Notice) -> bool:
    """Return whether the answer may not have reached the host at once."""
    return any(
        span.server == notice.server
        and span.touches(notice.at - _LINK_RECOVERY_SECONDS, notice.at)
        for span in record.link_faults
    )


SERVER_INVARIANTS: tuple[Callable[[Record], Iterator[str]], ...] = (
    leaving_servers_get_no_new_requests,
    leaving_notices_are_kept,
    pauses_are_kept,
    fatal_parts_stop_reaching_servers,
    limits_of_servers_are_kept,
)
