"""Runs calls of plain services, with retries."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from result import Err, Ok

from burdockledge.backends import CallFailure, ServiceCall
from burdockledge.claims import Outcome
from burdockledge.execution._types import (
    Answer,
    Problem,
    ProblemCode,
    RequestContext,
)

if TYPE_CHECKING:
    from burdockledge.backends import ServiceClient, ServiceReply
    from burdockledge.execution._dispatch import Dispatcher
    from burdockledge.placement import Slot

CALL_COST_TOKENS = 16


class ServiceCallRunner:
    """Runs service calls; each attempt uses a server not tried before."""

    def __init__(
        self, dispatcher: Dispatcher, service_client: ServiceClient
    ) -> None:
        """Run service calls in slots from a dispatcher."""
        self._dispatcher = dispatcher
        self._service_client = service_client

    async def run(self, context: RequestContext, call: ServiceCall) -> Answer:
        """
        Send a call until a server answers or no attempt is left.

        A call with a key is sent again only if the failure proves that the
        server did not run it.
        """
        tried_servers: set[str] = set()
        may_have_run = False
        while True:
            acquired = await self._dispatcher.acquire(
                context,
                CALL_COST_TOKENS,
                frozenset(tried_servers),
            )
            if isinstance(acquired, Err):
                return _failed_answer(may_have_run, acquired.err_value)
            slot = acquired.ok_value
            call_result = await self._call_server(context, call, slot)
            if isinstance(call_result, Ok):
                self._dispatcher.record_success(context)
                reply = call_result.ok_value
                return Answer(
                    Outcome.completed,
                    reply.status,
                    reply.content_type,
                    reply.body,
                )
            tried_servers.add(slot.server)
            may_have_run |= call_result.err_value is CallFailure.in_doubt
            problem = Problem(
                ProblemCode.backend_failed,
                f'{slot.server}: {call_result.err_value.value}',
                1000,
            )
            if call.idempotency_key and may_have_run:
                return _failed_answer(may_have_run, problem)
            if not self._dispatcher.take_retry(context):
                return _failed_answer(may_have_run, problem)

    async def _call_server(
        self,
        context: RequestContext,
        call: ServiceCall,
        slot: Slot,
    ) -> Ok[ServiceReply] | Err[CallFailure]:
        dispatcher = self._dispatcher
        tokens = 0
        try:
            url = dispatcher.url(slot)
            remaining_seconds = context.deadline - dispatcher.clock.monotonic()
            if url is None or remaining_seconds <= 0:
                return Err(CallFailure.not_sent)
            dispatcher.time_line.record(
                'dispatch',
                context.request_id,
                slot.server,
                call.idempotency_key,
            )
            call_result = await self._service_client.call(
                url,
                replace(call, timeout_seconds=remaining_seconds),
            )
            tokens = CALL_COST_TOKENS
        finally:
            dispatcher.release(slot, tokens)
        self._report_failure(slot, call_result)
        return call_result

    def _report_failure(
        self,
        slot: Slot,
        call_result: Ok[ServiceReply] | Err[CallFailure],
    ) -> None:
        if isinstance(call_result, Ok):
            return
        failure = call_result.err_value
        if failure is CallFailure.refused:
            self._dispatcher.mark_leaving(slot.server)
        else:
            is_unreachable = failure is CallFailure.not_sent
            self._dispatcher.health.record_failure(
                slot.server, is_unreachable=is_unreachable
            )


def _failed_answer(may_have_run: bool, problem: Problem) -> Answer:
    outcome = Outcome.unknown if may_have_run else Outcome.not_run
    return Answer(outcome, problem=problem)


__all__ = ('CALL_COST_TOKENS', 'ServiceCallRunner')
