"""Calls plain services whose calls may be repeated."""

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


class PlainRunner:
    """Runs service calls; each attempt goes to another server."""

    def __init__(self, dispatcher: Dispatcher, services: ServiceClient) -> None:
        """Call services in slots of a dispatcher."""
        self._dispatcher = dispatcher
        self._services = services

    async def run(self, context: RequestContext, call: ServiceCall) -> Answer:
        """
        Call until an answer comes or no attempt is left.

        A call with a key is repeated only if the attempt was proven not run.
        """
        tried: set[str] = set()
        may_have_run = False
        while True:
            acquired = await self._dispatcher.acquire(
                context,
                CALL_COST_TOKENS,
                frozenset(tried),
            )
            if isinstance(acquired, Err):
                return _failed(may_have_run, acquired.err_value)
            slot = acquired.ok_value
            answered = await self._attempt(context, call, slot)
            if isinstance(answered, Ok):
                self._dispatcher.succeed(context)
                reply = answered.ok_value
                return Answer(
                    Outcome.completed,
                    reply.status,
                    reply.content_type,
                    reply.body,
                )
            tried.add(slot.server)
            may_have_run |= answered.err_value is CallFailure.in_doubt
            problem = Problem(
                ProblemCode.backend_failed,
                f'{slot.server}: {answered.err_value.value}',
                1000,
            )
            if call.idempotency_key and may_have_run:
                return _failed(may_have_run, problem)
            if not self._dispatcher.may_retry(context):
                return _failed(may_have_run, problem)

    async def _attempt(
        self,
        context: RequestContext,
        call: ServiceCall,
        slot: Slot,
    ) -> Ok[ServiceReply] | Err[CallFailure]:
        dispatcher = self._dispatcher
        tokens = 0
        try:
            url = dispatcher.url(slot)
            left = context.deadline - dispatcher.clock.monotonic()
            if url is None or left <= 0:
                return Err(CallFailure.not_sent)
            dispatcher.time_line.record(
                'dispatch',
                context.request_id,
                slot.server,
                call.idempotency_key,
            )
            answered = await self._services.call(
                url,
                replace(call, timeout_seconds=left),
            )
            tokens = CALL_COST_TOKENS
        finally:
            dispatcher.release(slot, tokens)
        self._note(slot, answered)
        return answered

    def _note(
        self,
        slot: Slot,
        answered: Ok[ServiceReply] | Err[CallFailure],
    ) -> None:
        if isinstance(answered, Ok):
            return
        failure = answered.err_value
        if failure is CallFailure.refused:
            self._dispatcher.note_leaving(slot.server)
        else:
            is_refusal = failure is CallFailure.not_sent
            self._dispatcher.health.failure(slot.server, is_refusal=is_refusal)


def _failed(may_have_run: bool, problem: Problem) -> Answer:
    outcome = Outcome.unknown if may_have_run else Outcome.not_run
    return Answer(outcome, problem=problem)


__all__ = ('CALL_COST_TOKENS', 'PlainRunner')
