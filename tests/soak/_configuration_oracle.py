"""Invariants of the configuration in force at the hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

from tests.soak._bounds import (
    CONFIGURATION_SECONDS,
    ROLLBACK_SLACK_SECONDS,
    host_had_fault,
    outer_seconds,
    store_was_unavailable,
    tolerance_seconds,
)
from tests.soak._record import Outcome, Record
from tests.soak._restores import configured_since, is_store_unstable

# Statuses that allow no conclusion on the configuration of the host.
_INCONCLUSIVE_STATUSES: Final = frozenset((None, 408, 503))
_UNAUTHORIZED: Final = 401
_NOT_FOUND: Final = 404
_REFUSAL_STATUSES: Final = frozenset((_UNAUTHORIZED, 403, _NOT_FOUND))


def revoked_keys_are_rejected(record: Record) -> Iterator[str]:
    """A revoked key is rejected after ``CONFIGURATION_SECONDS``."""
    for outcome in record.outcomes:
        revoked_at = record.revoked.get(outcome.key)
        if (
            revoked_at is not None
            and outcome.status not in {_UNAUTHORIZED, *_INCONCLUSIVE_STATUSES}
            # The route, which may be removed, is looked up before the key.
            and not (outcome.route and outcome.status == _NOT_FOUND)
            and _is_in_force(record, outcome, revoked_at)
        ):
            late = outcome.sent_at - revoked_at
            yield (
                f'{outcome.request} got {outcome.status} from {outcome.host} '
                f'{late:.1f} s after the revocation'
            )


def removed_routes_are_dropped(record: Record) -> Iterator[str]:
    """A removed route is not found after ``CONFIGURATION_SECONDS``."""
    for outcome in record.outcomes:
        removed_at = record.revoked.get(outcome.route)
        if (
            removed_at is not None
            and outcome.status not in _REFUSAL_STATUSES
            and outcome.status not in _INCONCLUSIVE_STATUSES
            and _is_in_force(record, outcome, removed_at)
        ):
            late = outcome.sent_at - removed_at
            yield (
                f'{outcome.request} got {outcome.status} from {outcome.host} '
                f'{late:.1f} s after its route was removed'
            )


def added_items_are_accepted(record: Record) -> Iterator[str]:
    """An added key or route is in use after ``CONFIGURATION_SECONDS``."""
    for outcome in record.outcomes:
        added_at = _added_at(record, outcome)
        if (
            added_at is not None
            and outcome.status in _REFUSAL_STATUSES
            and not _is_removed(record, outcome)
            and _is_in_force(record, outcome, added_at)
        ):
            late = outcome.sent_at - added_at
            yield (
                f'{outcome.request} got {outcome.status} from {outcome.host} '
                f'{late:.1f} s after its key or route was added'
            )


def configuration_never_reverts(record: Record) -> Iterator[str]:
    """A process that rejected a key never accepts it again."""
    refused: dict[tuple[int, str], float] = {}
    accepted: set[tuple[int, str]] = set()
    for outcome in sorted(record.outcomes, key=lambda item: item.sent_at):
        used = (outcome.pid, outcome.key)
        # A process may reject a key that was added until it knows of it.
        is_known = outcome.key not in record.added or used in accepted
        if outcome.status == _UNAUTHORIZED and is_known:
            refused.setdefault(used, outcome.ended_at)
        if outcome.status != 200:
            continue
        accepted.add(used)
        since = refused.get(used)
        if since is not None and outcome.sent_at > since:
            yield f'{outcome.request} was accepted by {outcome.host} again'


def added_items_stay(record: Record) -> Iterator[str]:
    """A process that accepted an added key or route does not refuse it."""
    accepted: dict[tuple[int, str, str], float] = {}
    for outcome in sorted(record.outcomes, key=lambda item: item.ended_at):
        if _added_at(record, outcome) is None or _is_removed(record, outcome):
            continue
        version_of = (outcome.pid, outcome.key, outcome.route)
        if outcome.status == 200:
            accepted.setdefault(version_of, outcome.ended_at)
        since = accepted.get(version_of)
        if (
            since is not None
            and outcome.status in _REFUSAL_STATUSES
            and outcome.sent_at > since + ROLLBACK_SLACK_SECONDS
        ):
            yield (
                f'{outcome.request} got {outcome.status} from {outcome.host}, '
                'which had accepted its key and route'
            )


def valid_requests_are_accepted(record: Record) -> Iterator[str]:
    """What every version allows is never answered with 401, 403 or 404."""
    changed = record.revoked.keys() | record.added.keys()
    for outcome in record.outcomes:
        is_lasting = changed.isdisjoint((outcome.key, outcome.route))
        if outcome.status in _REFUSAL_STATUSES and is_lasting:
            yield f'{outcome.request} got {outcome.status}'


def _added_at(record: Record, outcome: Outcome) -> float | None:
    """Return since when all that a request needs is there, None if always."""
    times = [
        record.added[item]
        for item in (outcome.key, outcome.route)
        if item in record.added
    ]
    return max(times, default=None)


def _is_removed(record: Record, outcome: Outcome) -> bool:
    """Return whether the key or route was taken away before the end."""
    return any(
        record.revoked.get(item, outcome.ended_at) < outcome.ended_at
        for item in (outcome.key, outcome.route)
    )


def _is_in_force(record: Record, outcome: Outcome, since: float) -> bool:
    """Return whether the host has to follow a version when it gets a request.

    :param since: when the store confirmed the version.
    """
    since = configured_since(record, since, outcome.sent_at)
    seconds = CONFIGURATION_SECONDS + outer_seconds(record, outcome.host, since)
    return (
        outcome.sent_at >= since + seconds + tolerance_seconds(record)
        and not store_was_unavailable(record, since)
        and not is_store_unstable(record, outcome, since)
        and not host_had_fault(record, outcome)
    )


CONFIGURATION_INVARIANTS: tuple[Callable[[Record], Iterator[str]], ...] = (
    revoked_keys_are_rejected,
    removed_routes_are_dropped,
    added_items_are_accepted,
    configuration_never_reverts,
    added_items_stay,
    valid_requests_are_accepted,
)
