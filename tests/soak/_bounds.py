"""Bounds by which the oracle judges, and what excuses hosts from them."""

from __future__ import annotations

from tests.soak._record import Outcome, Record

NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# The limits that the soak writes to the settings files of the hosts.
CONFIGURATION_SECONDS = 2.0
DRAIN_SECONDS = 2.0
RETRY_RATIO = 0.2
RETRY_SLACK = 50
RETRY_WINDOW_SECONDS = 10.0
# For duties: no holder, another one and the first again act within the lease.
# Half of the usual one, so that pauses of hosts outlast it.
LEASE_SECONDS = 1.5
# Short, so that a run of 20 s has some windows.
USAGE_WINDOW_SECONDS = 2.0
# Added to the bound of the configuration for a host that the store turns away
# (the users' max_skew_ms).
MAX_SKEW_SECONDS = 5.0
# A version is in force at a host for good once a server saw its effect this
# long ago (the users' rollback_slack_ms).
ROLLBACK_SLACK_SECONDS = 0.25
# A host has current data after this long without a fault (the users'
# contact_ms).
CONTACT_SECONDS = 3.0
# Processes on a shared machine may be late by this much plus twice the event
# loop lag that the soak measures in its own process.
BASE_TOLERANCE_SECONDS = 0.7
SHUTDOWN_GRACE_SECONDS = 8.0


def tolerance_seconds(record: Record) -> float:
    return BASE_TOLERANCE_SECONDS + 2 * record.lag


def store_was_unavailable(record: Record, since: float) -> bool:
    return any(
        span.touches(since - CONTACT_SECONDS, since + CONTACT_SECONDS)
        for span in record.store_faults
    )


def host_had_fault(record: Record, outcome: Outcome) -> bool:
    began = outcome.sent_at - CONTACT_SECONDS
    return any(
        span.touches(began, outcome.ended_at)
        for span in record.host_faults.get(outcome.host, [])
    )


def may_be_cut_by_server(record: Record, outcome: Outcome) -> bool:
    """Return whether a server or link fault may have cut the response."""
    if any(
        arrival.spoilt
        for arrival in record.arrivals
        if arrival.attempt == outcome.attempt
    ):
        return True
    return any(
        span.touches(outcome.sent_at, outcome.ended_at, 2)
        for span in record.link_faults
    )


def is_rejected(record: Record, host: str, began: float, ended: float) -> bool:
    """Return whether the store turned a host away at some time."""
    return any(
        span.touches(began, ended) for span in record.rejections.get(host, [])
    )


def outer_seconds(record: Record, host: str, began: float) -> float:
    """Return what is added to a bound for a host that the store turns away.

    :param began: when the store confirmed what the host has to follow.
    """
    is_outer = is_rejected(
        record,
        host,
        began - CONTACT_SECONDS,
        began + CONFIGURATION_SECONDS + MAX_SKEW_SECONDS,
    )
    return MAX_SKEW_SECONDS if is_outer else 0.0
