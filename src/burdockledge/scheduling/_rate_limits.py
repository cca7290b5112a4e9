"""
Keeps to the limits of calls a second that servers name, without network.

A limit holds for all hosts together. Every host keeps the same bucket: it
fills at the limit and loses a token with each call that any host tells of.
The hosts tell at once, so a call that another host sends meanwhile overdraws
the bucket by one, and the debt is paid before the next call.
"""

from __future__ import annotations

import copy
import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from typing import Final

# A server that gets no call can't tell that its need is over, so it is sent
# this many calls a second at least, also if it named less.
_MIN_CALLS_PER_SECOND: Final = 0.1
# What a bucket holds: one call, and the limit for this time.
_BURST_SECONDS: Final = 0.5
# The most calls a bucket owes, as seconds of its limit and as calls.
_MAX_DEBT_SECONDS: Final = 4.0
_MAX_DEBT_CALLS: Final = 5.0
_NO_SERVERS: Final = frozenset[str]()


@dataclass(slots=True)
class _Bucket:
    """The tokens of one server; times in seconds of the monotonic clock."""

    limit: float
    named_at: float
    updated_at: float
    level: float = 0.0

    @property
    def calls_per_second(self) -> float:
        """The rate at which the server gets calls."""
        return max(self.limit, _MIN_CALLS_PER_SECOND)

    def fill(self, now: float, share: float) -> None:
        """Add the tokens since the last update."""
        added = (now - self.updated_at) * self.calls_per_second * share
        capacity = 1 + _BURST_SECONDS * self.limit
        self.level = min(capacity, self.level + max(0.0, added))
        self.updated_at = now


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A limit that a server named first, changed or ended (None)."""

    instance_id: str
    before: float | None
    after: float | None


class ServerRateLimits:
    """
    The limits that server instances name, and what is left of them.

    ``share`` returns the share of the hosts that this host hears, itself
    included: hosts that are cut off from each other use up their shares only.
    """

    def __init__(self) -> None:
        """Create a set without limits."""
        self._buckets: dict[str, _Bucket] = {}
        self.share: Callable[[], float] = lambda: 1.0

    @property
    def limited_ids(self) -> Collection[str]:
        """The instances that name a limit."""
        return self._buckets.keys()

    def snapshot(self) -> ServerRateLimits:
        """Return a copy on which queries change nothing here."""
        other = copy.copy(self)
        other.unshare()
        return other

    def unshare(self) -> None:
        """Stop sharing with another copy what queries may change."""
        self._buckets = {
            instance_id: replace(bucket)
            for instance_id, bucket in self._buckets.items()
        }

    def limit_of(self, instance_id: str) -> float | None:
        """Return the calls a second that an instance takes, None if any."""
        bucket = self._buckets.get(instance_id)
        return None if bucket is None else bucket.limit

    def note_answer(
        self, instance_id: str, limit: float | None, sent_at: float, now: float
    ) -> LimitChange | None:
        """
        Learn from the head of a response.

        :param limit: the limit that it names, None if it names none; NaN
            changes nothing.
        :param sent_at: when the call was sent, or earlier. An answer without
            a limit ends only one that was named before.
        :return: the change, if any.
        """
        bucket = self._buckets.get(instance_id)
        if limit is None:
            if bucket is None or sent_at <= bucket.named_at:
                return None
            self._buckets.pop(instance_id)
            return LimitChange(instance_id, bucket.limit, None)
        if math.isnan(limit):
            return None
        if bucket is None:
            self._buckets[instance_id] = _Bucket(limit, now, now)
            return LimitChange(instance_id, None, limit)
        bucket.named_at = now
        if bucket.limit == limit:
            return None
        bucket.fill(now, self.share())
        before = bucket.limit
        bucket.limit = limit
        return LimitChange(instance_id, before, limit)

    def note_call(self, instance_id: str, now: float) -> None:
        """Count a call that any host sends to an instance."""
        bucket = self._buckets.get(instance_id)
        if bucket is None:
            return
        bucket.fill(now, self.share())
        max_debt = _MAX_DEBT_CALLS + _MAX_DEBT_SECONDS * bucket.limit
        bucket.level = max(bucket.level - 1, -max_debt)

    def exhausted_ids(self, now: float) -> frozenset[str]:
        """Return the instances that may get no call now."""
        if not self._buckets:
            return _NO_SERVERS
        share = self.share()
        for bucket in self._buckets.values():
            bucket.fill(now, share)
        return frozenset(
            instance_id
            for instance_id, bucket in self._buckets.items()
            if bucket.level < 1
        )

    def seconds_until_room(
        self, instance_ids: Collection[str], now: float
    ) -> float | None:
        """Return the seconds until the first of some instances has room."""
        share = self.share()
        waits: list[float] = []
        for instance_id in instance_ids:
            bucket = self._buckets.get(instance_id)
            if bucket is not None:
                bucket.fill(now, share)
                missing = max(0.0, 1 - bucket.level)
                waits.append(missing / (bucket.calls_per_second * share))
        return min(waits, default=None)

    def calls_per_second(self, instance_ids: Collection[str]) -> float:
        """Return what some instances take together, without unlimited ones."""
        return sum(
            self._buckets[instance_id].calls_per_second
            for instance_id in instance_ids
            if instance_id in self._buckets
        )

    def retain(self, instance_ids: Collection[str]) -> list[LimitChange]:
        """Drop the limits of all instances but these; return the changes."""
        gone = [one for one in self._buckets if one not in instance_ids]
        return [
            LimitChange(one, self._buckets.pop(one).limit, None) for one in gone
        ]


__all__ = ('LimitChange', 'ServerRateLimits')
