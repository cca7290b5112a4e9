"""Keeps to the limits that servers name, together with the other hosts."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from burdockledge.scheduling import ServerRateLimits
from burdockledge.telemetry import make_logger
from burdockledge.wire import hash_server_key

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.replication import GossipExchange
    from burdockledge.scheduling import LimitChange

_log = make_logger('limits')

# The news of another host's call may be this late; see the delays of call
# events among many hosts.
_MAX_NEWS_SECONDS: Final = 1.0
# Refusals of this time make up the backlog that returns.
_BACKLOG_SECONDS: Final = 4.0
_MIN_SPREAD_SECONDS: Final = 1.0
# On the wire, for an answer that names no limit.
NO_LIMIT: Final = -1.0


class LimitGuard:
    """
    What this host knows of the limits, and tells the others of its calls.

    ``host_count`` returns how many hosts share the limits; ``on_change`` is
    called with each change, after it was logged.
    """

    def __init__(
        self, exchange: GossipExchange, clock: Clock, random: Random
    ) -> None:
        """Create a guard that knows no limits."""
        self._exchange = exchange
        self._clock = clock
        self._random = random
        self._refused_at: dict[str, deque[float]] = defaultdict(deque)
        self.limits = ServerRateLimits()
        self.host_count: Callable[[], int] = lambda: 1
        self.on_change: Callable[[LimitChange], None] | None = None

    def note_call(self, instance_id: str) -> None:
        """Count a call of this host, and tell the others at once."""
        if self.limits.limit_of(instance_id) is None:
            return
        self.limits.note_call(instance_id, self._clock.monotonic())
        self._exchange.announce_limited_call(hash_server_key(instance_id))

    def apply_call(self, instance_id: str) -> None:
        """Count a call of another host."""
        self.limits.note_call(instance_id, self._clock.monotonic())

    def note_answer(
        self, instance_id: str, limit: float | None, seconds: float
    ) -> None:
        """
        Learn from an answer to a call of this host.

        :param seconds: the time since the call was sent.
        """
        now = self._clock.monotonic()
        self._log_change(
            self.limits.note_answer(instance_id, limit, now - seconds, now)
        )

    def apply_answer(
        self, instance_id: str, limit: float, seconds: float
    ) -> None:
        """
        Learn from an answer to a call of another host.

        :param limit: as on the wire, negative for none.
        :param seconds: the time since the call was sent.
        """
        if limit < 0 and self.limits.limit_of(instance_id) is None:
            # Nearly always: no limit was named before, nor is one now.
            return
        now = self._clock.monotonic()
        self._log_change(
            self.limits.note_answer(
                instance_id,
                None if limit < 0 else limit,
                now - seconds - _MAX_NEWS_SECONDS,
                now,
            )
        )

    def spread_seconds(
        self, service: str, instance_ids: Collection[str]
    ) -> float:
        """
        Return how much later than the first one a refused caller comes back.

        The callers that all hosts refused lately are spread over the time in
        which servers with limits can take them.
        """
        now = self._clock.monotonic()
        if service not in self._refused_at:
            self._drop_old_refusals(now)
        refused_at = self._refused_at[service]
        refused_at.append(now)
        while refused_at[0] <= now - _BACKLOG_SECONDS:
            refused_at.popleft()
        backlog = len(refused_at) * self.host_count()
        calls_per_second = self.limits.calls_per_second(instance_ids)
        spread = _MIN_SPREAD_SECONDS
        if calls_per_second:
            spread = max(spread, backlog / max(calls_per_second, 1))
        return self._random.uniform(0, spread)

    def retain(self, instance_ids: Collection[str]) -> None:
        """Forget the limits of all instances but these."""
        for change in self.limits.retain(instance_ids):
            if self.on_change is not None:
                self.on_change(change)

    def _drop_old_refusals(self, now: float) -> None:
        for service, refused_at in tuple(self._refused_at.items()):
            if refused_at[-1] <= now - _BACKLOG_SECONDS:
                self._refused_at.pop(service)

    def _log_change(self, change: LimitChange | None) -> None:
        if change is None:
            return
        event = 'Server names a limit.'
        if change.after is None:
            event = 'Limit of a server has ended.'
        elif change.before is not None:
            event = 'Server changes its limit.'
        _log.warning(
            event,
            server=change.instance_id,
            calls_per_second=change.after,
            before=change.before,
            share=round(self.limits.share(), 2),
        )
        if self.on_change is not None:
            self.on_change(change)


def limit_on_the_wire(limit: float | None) -> float:
    """Return a limit as hosts tell it, negative if there is none to tell."""
    return NO_LIMIT if limit is None or math.isnan(limit) else limit


__all__ = ('LimitGuard', 'limit_on_the_wire')
