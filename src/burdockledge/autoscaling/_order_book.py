"""What was ordered of a service, how that ended, and when to order again."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.autoscaling._types import Pool, PoolState
from burdockledge.duties import CallOutcome

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockledge.autoscaling._records import OrderRecord

# After the boot time, until a server's registration is known everywhere.
_REGISTRATION_SECONDS: Final = 2.0
# No server of a kind may be available for 10 s; asked for twice in that time.
_UNAVAILABLE_SECONDS: Final = 5.0
_LIMITED_SECONDS: Final = 1.0
# The call was not carried out, so the count before it stands.
_REFUSED: Final = (
    CallOutcome.unavailable,
    CallOutcome.limited,
    CallOutcome.failed,
    CallOutcome.fenced,
    CallOutcome.not_sent,
)


@dataclass(slots=True)
class _PoolOrders:
    """
    The count that stands, None before any, and until when to wait.

    Before ``repeat_at``, the same count is not ordered again. ``before`` is the
    count that is still in force if the last order was not carried out; None if
    it certainly was.
    """

    count: int | None = None
    before: int | None = None
    wait_until: float = 0.0
    repeat_at: float = 0.0
    blocked_until: float = 0.0


class OrderBook:
    """
    The orders of a service by pool.

    Times are in seconds of the monotonic clock.
    """

    def __init__(
        self,
        counts: Mapping[Pool, OrderRecord],
        boot_seconds: float,
        now: float,
    ) -> None:
        """
        Go on from counts that another holder ordered, perhaps just now.

        Servers that it ordered may be booting, so these counts are not
        ordered again at once.
        """
        self._orders: defaultdict[Pool, _PoolOrders] = defaultdict(_PoolOrders)
        for pool, record in counts.items():
            self._orders[pool] = _PoolOrders(
                record.count,
                record.before,
                repeat_at=now + boot_seconds + _REGISTRATION_SECONDS,
            )

    def state(self, pool: Pool, ready: int, now: float) -> PoolState:
        """
        Return the state of a pool.

        Before any order, the registered servers count as ordered.
        """
        orders = self._orders[pool]
        count = ready if orders.count is None else orders.count
        waits = now < max(orders.wait_until, orders.repeat_at)
        if ready == count and not waits:
            # What is registered shows that the order was carried out.
            orders.before = None
        return PoolState(
            ready,
            count,
            max(count, orders.before or 0),
            now < orders.blocked_until,
        )

    def may_order(self, pool: Pool, count: int, now: float) -> bool:
        """Return whether a count may be ordered now."""
        orders = self._orders[pool]
        if count == orders.count and now < orders.repeat_at:
            return False
        return now >= orders.wait_until

    def note(
        self,
        pool: Pool,
        before: PoolState,
        count: int,
        outcome: CallOutcome,
        sent_at: float,
        boot_seconds: float,
    ) -> None:
        """
        Note how an order ended.

        An order without an answer stands, as it may have been carried out:
        the registered servers show it.
        """
        orders = self._orders[pool]
        if outcome not in _REFUSED:
            orders.count = count
            is_certain = outcome is CallOutcome.accepted
            orders.before = None if is_certain else before.at_most
        if outcome is CallOutcome.unavailable:
            orders.blocked_until = sent_at + _UNAVAILABLE_SECONDS
            orders.wait_until = orders.blocked_until
        elif outcome is CallOutcome.limited:
            orders.wait_until = sent_at + _LIMITED_SECONDS
        elif outcome is not CallOutcome.not_sent:
            orders.wait_until = sent_at + boot_seconds + _REGISTRATION_SECONDS


__all__ = ('OrderBook',)
