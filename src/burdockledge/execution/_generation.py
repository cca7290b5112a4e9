"""Streams generations, with hedging, retries and resumption."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.backends import EndKind, EngineCall, StreamEnd
from burdockledge.claims import Outcome
from burdockledge.execution._attempt import Attempt
from burdockledge.execution._types import (
    AnswerEnd,
    AnswerPart,
    Problem,
    ProblemCode,
    RequestContext,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from burdockledge.backends import EngineClient
    from burdockledge.execution._dispatch import Dispatcher

_NOT_RUN_END_KINDS: Final = frozenset((EndKind.not_sent, EndKind.refused))
_RETRY_AFTER_MS: Final = 1000


@dataclass(slots=True)
class _Progress:
    """
    The state of a generation over all its attempts.

    ``tokens`` is the number of tokens that the caller was given.
    """

    tokens: int = 0
    may_have_run: bool = False
    tried_servers: set[str] = field(default_factory=set)

    def failed_end(self, problem: Problem) -> AnswerEnd:
        """Return the end of an answer that is not complete."""
        outcome = Outcome.unknown if self.may_have_run else Outcome.not_run
        return AnswerEnd(outcome, self.tokens, problem)


class GenerationRunner:
    """
    Runs generations.

    A call that ``is_at_most_once`` is neither hedged nor sent again after it
    may have run.
    """

    def __init__(
        self, dispatcher: Dispatcher, engine_client: EngineClient
    ) -> None:
        """Run generations on engines, in slots from a dispatcher."""
        self._dispatcher = dispatcher
        self._engine_client = engine_client

    async def run(
        self,
        context: RequestContext,
        call: EngineCall,
        cost_tokens: int,
        prefix_hash: str,
    ) -> AsyncGenerator[AnswerPart | AnswerEnd, None]:
        """
        Yield the answer's parts and then its end.

        A broken stream is resumed on another engine after the last token
        that the caller was given, unless the call may run only once.

        :param cost_tokens: the estimated cost, charged to the team.
        :param prefix_hash: hash of the prompt's start; requests with the same
            hash prefer the same engine.
        """
        progress = _Progress()
        while True:
            acquired = await self._dispatcher.acquire(
                context,
                cost_tokens,
                frozenset(progress.tried_servers),
                prefix_hash,
                is_resumable=not call.is_at_most_once,
                is_started=progress.may_have_run,
            )
            if isinstance(acquired, Err):
                yield progress.failed_end(acquired.err_value)
                return
            resumed_call = replace(
                call,
                resume_from=progress.tokens,
                remaining_seconds=context.deadline
                - self._dispatcher.clock.monotonic(),
            )
            attempt = Attempt(
                self._dispatcher,
                self._engine_client,
                acquired.ok_value,
                resumed_call,
            )
            try:
                attempt = await self._hedge_if_slow(
                    context, resumed_call, attempt, progress
                )
                async for part in self._answer_parts(attempt, progress):
                    yield part
            finally:
                await attempt.close()
            answer_end = self._end_or_retry(context, call, progress, attempt)
            if answer_end is not None:
                yield answer_end
                return

    async def _answer_parts(
        self,
        attempt: Attempt,
        progress: _Progress,
    ) -> AsyncGenerator[AnswerPart, None]:
        async for chunk in attempt.chunks():
            progress.tokens += chunk.tokens
            progress.may_have_run = True
            yield AnswerPart(chunk.events, chunk.tokens)
            if self._dispatcher.must_yield(attempt.slot):
                attempt.end = StreamEnd(EndKind.yielded)
                return

    async def _hedge_if_slow(
        self,
        context: RequestContext,
        call: EngineCall,
        primary: Attempt,
        progress: _Progress,
    ) -> Attempt:
        """
        Start a hedge if the primary attempt has no first item in time.

        :return: the attempt to read from; the other one is closed.
        """
        if call.is_at_most_once:
            return primary
        hedge_delay_seconds = self._dispatcher.health.hedge_delay_seconds(
            context.servers
        )
        done, _ = await asyncio.wait(
            (primary.first_item,), timeout=hedge_delay_seconds
        )
        if done or progress.tokens:
            return primary
        self._dispatcher.health.record_overdue(
            primary.slot.server, primary.elapsed_seconds
        )
        if not self._dispatcher.take_hedge(context):
            return primary
        acquired = await self._dispatcher.acquire(
            replace(context, deadline=context.received_at),
            primary.slot.request.cost_tokens,
            frozenset((*progress.tried_servers, primary.slot.server)),
        )
        if isinstance(acquired, Err):
            return primary
        self._dispatcher.metrics.count(
            'hedges_total',
            request_class=context.class_name,
        )
        progress.may_have_run = True
        hedge = Attempt(
            self._dispatcher,
            self._engine_client,
            acquired.ok_value,
            call,
        )
        return await _first_with_token(primary, hedge)

    def _end_or_retry(
        self,
        context: RequestContext,
        call: EngineCall,
        progress: _Progress,
        attempt: Attempt,
    ) -> AnswerEnd | None:
        """Return the end of the answer, or None to make another attempt."""
        dispatcher = self._dispatcher
        end = attempt.end
        if end.kind is EndKind.done:
            dispatcher.record_success(context)
            return AnswerEnd(Outcome.completed, progress.tokens)
        if end.kind is EndKind.yielded:
            dispatcher.time_line.record(
                'yielded',
                context.request_id,
                attempt.slot.server,
            )
            return None
        if end.kind is EndKind.rejected:
            return progress.failed_end(
                Problem(ProblemCode.backend_rejected, end.detail),
            )
        progress.may_have_run |= end.kind not in _NOT_RUN_END_KINDS
        progress.tried_servers.add(attempt.slot.server)
        if end.kind is EndKind.silent and not call.is_at_most_once:
            self._keep_silent_server(context, progress, attempt.slot.server)
        dispatcher.time_line.record(
            'broken',
            context.request_id,
            attempt.slot.server,
            detail=end.kind.value,
        )
        if dispatcher.clock.monotonic() >= context.deadline:
            return progress.failed_end(
                Problem(
                    ProblemCode.deadline_exceeded,
                    'the time limit of the class has passed',
                ),
            )
        is_repeat_forbidden = call.is_at_most_once and progress.may_have_run
        if not is_repeat_forbidden and dispatcher.take_retry(context):
            return None
        return progress.failed_end(
            Problem(
                ProblemCode.backend_failed,
                f'{attempt.slot.server}: {end.kind.value}, no retry is left',
                _RETRY_AFTER_MS,
            ),
        )

    def _keep_silent_server(
        self,
        context: RequestContext,
        progress: _Progress,
        server: str,
    ) -> None:
        """Allow another attempt at a silent engine that nobody replaces."""
        dispatcher = self._dispatcher
        is_replaced = dispatcher.has_server(context, progress.tried_servers)
        if not is_replaced:
            progress.tried_servers.discard(server)
        dispatcher.metrics.count(
            'silence_decisions',
            decision='leaves' if is_replaced else 'stays',
            reason='server_found' if is_replaced else 'no_server',
        )


async def _first_with_token(primary: Attempt, hedge: Attempt) -> Attempt:
    try:
        await asyncio.wait(
            (primary.first_item, hedge.first_item),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not (primary.has_first_token() or hedge.has_first_token()):
            # One attempt failed without a token; wait for the other one.
            await asyncio.wait((primary.first_item, hedge.first_item))
    except asyncio.CancelledError:
        await hedge.close()
        raise
    if hedge.has_first_token() and not primary.has_first_token():
        await primary.close()
        return hedge
    await hedge.close()
    return primary


__all__ = ('GenerationRunner',)
