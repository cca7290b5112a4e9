"""What restores of the store take back, and what they excuse."""

from __future__ import annotations

import math

from tests.soak._bounds import (
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    is_rejected,
    tolerance_seconds,
)
from tests.soak._record import Arrival, Outcome, Record


def configured_since(record: Record, since: float, at: float) -> float:
    """
    Return when the store last confirmed a version that a restore took back.

    :param since: when it first confirmed the version.
    :param at: when a host got the request that is judged.
    """
    for restore in record.restores:
        if restore.away.began <= at and restore.takes_back(since):
            since = restore.configured_at
    return since


def is_store_unstable(record: Record, outcome: Outcome, since: float) -> bool:
    """
    Return whether a restore excuses a host from what it has not heard.

    A host that the store turns away has no longer bound if the store was
    away, and gets the time of one that comes back to it.

    :param since: when the store confirmed what the host has to follow.
    """
    began = outcome.sent_at - CONTACT_SECONDS - tolerance_seconds(record)
    return any(
        restore.away.touches(began, outcome.ended_at)
        or (
            restore.away.touches(since, outcome.sent_at)
            and is_rejected(record, outcome.host, began, outcome.ended_at)
        )
        for restore in record.restores
    )


def left_since(
    record: Record, arrival: Arrival, outcome: Outcome | None, since: float
) -> float:
    """
    Return since when a host has to know that a server leaves.

    What a process has heard binds it, also if a restore takes it back. One
    that has not heard it hears it again, and is in touch some time after the
    store is back.

    :param since: when the store first said so.
    """
    for restore in record.restores:
        has_heard = outcome is not None and _has_heard(
            record, outcome, since, restore.away.began
        )
        if restore.away.began <= arrival.at and not has_heard:
            if restore.takes_back(since):
                since = restore.left_at.get(arrival.server, math.inf)
            in_touch_at = restore.away.ended + CONTACT_SECONDS
            since = max(since, in_touch_at - DRAIN_SECONDS)
    return since


def _has_heard(
    record: Record, outcome: Outcome, since: float, until: float
) -> bool:
    """Return whether a calm process had the time to read a server's entry."""
    began = max(since, record.starts.get(outcome.pid, 0) + CONTACT_SECONDS)
    ended = began + DRAIN_SECONDS + tolerance_seconds(record)
    return (
        ended < until
        and not is_rejected(
            record, outcome.host, began - CONTACT_SECONDS, ended
        )
        and not any(
            span.touches(began - CONTACT_SECONDS, ended)
            for span in record.host_faults.get(outcome.host, [])
        )
    )
