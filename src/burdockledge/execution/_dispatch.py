"""Acquires a slot for each attempt and limits retries and hedges."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from burdockledge.execution._types import Problem, ProblemCode
from burdockledge.placement import NoSlot, RatioBudget, Slot, SlotRequest

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.configuration import Configuration
    from burdockledge.execution._types import RequestContext
    from burdockledge.placement import HealthTracker, ServerTable, SlotBroker
    from burdockledge.telemetry import Metrics, TimeLine


_SLOT_REQUEST_ID_BYTES: Final = 16


class Dispatcher:
    """Slots, budgets and server reports shared by all runners."""

    def __init__(
        self,
        broker: SlotBroker,
        servers: ServerTable,
        health: HealthTracker,
        configuration: Configuration,
        clock: Clock,
        metrics: Metrics,
        time_line: TimeLine,
        random: Random,
    ) -> None:
        """Create a dispatcher that acquires slots from a broker."""
        self._broker = broker
        self._servers = servers
        self._configuration = configuration
        self._random = random
        self._retry_budgets: dict[str, RatioBudget] = {}
        self._hedge_budgets: dict[str, RatioBudget] = {}
        self.health = health
        self.clock = clock
        self.metrics = metrics
        self.time_line = time_line

    async def acquire(
        self,
        context: RequestContext,
        cost_tokens: int,
        excluded_servers: frozenset[str],
        prefix_hash: str = '',
        *,
        is_resumable: bool = False,
        is_started: bool = False,
    ) -> Result[Slot, Problem]:
        """
        Wait for a slot on one of the request's servers.

        For a request that was started (``is_started``) the wait budget is 0,
        so that leaders do not refuse it for a long expected wait.

        :param excluded_servers: must not be used, such as those tried.
        :return: a slot, or the problem to report to the caller.
        """
        servers = _remaining_servers(context, excluded_servers)
        if not self.has_server(context, excluded_servers):
            return Err(
                Problem(
                    ProblemCode.no_server,
                    'no backend server takes this request now',
                    1000,
                ),
            )
        now = self.clock.monotonic()
        first_token_due_at = (
            context.received_at + context.request_class.first_token_ms / 1000
        )
        slot_request = SlotRequest(
            id_bytes=self._random.randbytes(_SLOT_REQUEST_ID_BYTES),
            tier=context.request_class.tier,
            team=context.team,
            weight=context.team_weight,
            wait_budget_seconds=0 if is_started else first_token_due_at - now,
            max_wait_seconds=context.deadline - now,
            cost_tokens=cost_tokens,
            servers=servers,
            prefix_hash=prefix_hash,
            is_resumable=is_resumable,
        )
        return self._to_result(
            context, await self._broker.acquire(slot_request)
        )

    def has_server(
        self, context: RequestContext, excluded_servers: AbstractSet[str]
    ) -> bool:
        """Return whether another server of a request takes work now."""
        return any(
            self._servers.accepts_work(name)
            for name in _remaining_servers(context, excluded_servers)
        )

    def release(self, slot: Slot, tokens: int) -> None:
        """Release a slot and report the tokens it served."""
        self._broker.release(slot, tokens)

    def must_yield(self, slot: Slot) -> bool:
        """Return whether a slot must be given back for a higher tier."""
        return self._broker.must_yield(slot)

    def url(self, slot: Slot) -> str | None:
        """Return the base URL of a slot's server, or None if it is unknown."""
        server = self._servers.get(slot.server)
        return None if server is None else server.url

    def mark_leaving(self, server: str) -> None:
        """Record that a server refused work because it is stopping."""
        self._servers.mark_leaving(server)

    def take_retry(self, context: RequestContext) -> bool:
        """Spend a retry of the class's budget; return False if none is left."""
        budget = self._budget(self._retry_budgets, context.class_name)
        budget.ratio = self._configuration.document.policy.retry_ratio
        allowed = budget.try_spend()
        self.metrics.count(
            'retries_total',
            request_class=context.class_name,
            allowed=str(allowed).lower(),
        )
        return allowed

    def take_hedge(self, context: RequestContext) -> bool:
        """
        Spend a hedge of the class's budget; return False if none is left.

        No hedge is allowed while requests of this host wait for slots.
        """
        if self._broker.pending_request_count:
            return False
        budget = self._budget(self._hedge_budgets, context.class_name)
        budget.ratio = self._configuration.document.policy.hedge_ratio
        return budget.try_spend()

    def record_success(self, context: RequestContext) -> None:
        """Record a complete answer; it adds to both budgets of its class."""
        self._budget(self._retry_budgets, context.class_name).earn()
        self._budget(self._hedge_budgets, context.class_name).earn()

    def _budget(
        self,
        budgets: dict[str, RatioBudget],
        class_name: str,
    ) -> RatioBudget:
        budget = budgets.get(class_name)
        if budget is None:
            budget = RatioBudget(0.0)
            budgets[class_name] = budget
        return budget

    def _to_result(
        self,
        context: RequestContext,
        acquired: Result[Slot, NoSlot],
    ) -> Result[Slot, Problem]:
        if isinstance(acquired, Ok):
            self.time_line.record(
                'slot',
                context.request_id,
                acquired.ok_value.server,
            )
            return acquired
        no_slot = acquired.err_value
        return Err(
            Problem(
                ProblemCode.overloaded,
                no_slot.reason,
                no_slot.retry_after_ms,
            ),
        )


def _remaining_servers(
    context: RequestContext, excluded_servers: AbstractSet[str]
) -> tuple[str, ...]:
    return tuple(
        name for name in context.servers if name not in excluded_servers
    )


__all__ = ('Dispatcher',)
