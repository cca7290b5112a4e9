"""Streams idempotent generations, with hedges, retries and resumption."""

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

_NOT_RUN_ENDS: Final = frozenset((EndKind.not_sent, EndKind.refused))
_RETRY_MS: Final = 1000


@dataclass(slots=True)
class _Progress:
    """How far a generation has come over all its attempts."""

    tokens: int = 0
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)

    def failure(self, problem: Problem) -> AnswerEnd:
        """Return what a caller without a whole answer is told."""
        outcome = Outcome.unknown if self.may_have_run else Outcome.not_run
        return AnswerEnd(outcome, self.tokens, problem)


class ChatRunner:
    """Runs generations that may be repeated."""

    def __init__(self, dispatcher: Dispatcher, engines: EngineClient) -> None:
        """Run on engines, in slots of a dispatcher."""
        self._dispatcher = dispatcher
        self._engines = engines

    async def run(
        self,
        context: RequestContext,
        call: EngineCall,
        cost_tokens: int,
        prefix: str,
    ) -> AsyncGenerator[AnswerPart | AnswerEnd, None]:
        """
        Yield the answer's parts and then its end.

        A broken stream is resumed on another engine after the last token
        that the caller was given, unless the call may run only once.
        """
        progress = _Progress()
        while True:
            acquired = await self._dispatcher.acquire(
                context,
                cost_tokens,
                frozenset(progress.tried),
                prefix,
                is_resumable=not call.is_at_most_once,
                is_started=progress.may_have_run,
            )
            if isinstance(acquired, Err):
                yield progress.failure(acquired.err_value)
                return
            resumed = replace(call, resume_from=progress.tokens)
            attempt = Attempt(
                self._dispatcher,
                self._engines,
                acquired.ok_value,
                resumed,
            )
            try:
                attempt = await self._race(context, resumed, attempt, progress)
                async for part in self._parts(attempt, progress):
                    yield part
            finally:
                await attempt.close()
            told = self._judge(context, call, progress, attempt)
            if told is not None:
                yield told
                return

    async def _parts(
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

    async def _race(
        self,
        context: RequestContext,
        call: EngineCall,
        primary: Attempt,
        progress: _Progress,
    ) -> Attempt:
        """Return the attempt to follow; the other one is closed."""
        if call.is_at_most_once:
            return primary
        hedge_after = self._dispatcher.health.hedge_after(context.servers)
        done, _ = await asyncio.wait((primary.first,), timeout=hedge_after)
        if done or progress.tokens:
            return primary
        self._dispatcher.health.overdue(primary.slot.server, primary.waited)
        if not self._dispatcher.may_hedge(context):
            return primary
        acquired = await self._dispatcher.acquire(
            replace(context, deadline=context.received_at),
            primary.slot.request.cost_tokens,
            frozenset((*progress.tried, primary.slot.server)),
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
            self._engines,
            acquired.ok_value,
            call,
        )
        return await _first_of(primary, hedge)

    def _judge(
        self,
        context: RequestContext,
        call: EngineCall,
        progress: _Progress,
        attempt: Attempt,
    ) -> AnswerEnd | None:
        """Return what to tell, or None for one more attempt."""
        dispatcher = self._dispatcher
        end = attempt.end
        if end.kind is EndKind.done:
            dispatcher.succeed(context)
            return AnswerEnd(Outcome.completed, progress.tokens)
        if end.kind is EndKind.yielded:
            dispatcher.time_line.record(
                'yielded',
                context.request_id,
                attempt.slot.server,
            )
            return None
        if end.kind is EndKind.rejected:
            return progress.failure(
                Problem(ProblemCode.backend_rejected, end.detail),
            )
        progress.may_have_run |= end.kind not in _NOT_RUN_ENDS
        progress.tried.add(attempt.slot.server)
        dispatcher.time_line.record(
            'broken',
            context.request_id,
            attempt.slot.server,
            detail=end.kind.value,
        )
        if dispatcher.clock.monotonic() >= context.deadline:
            return progress.failure(
                Problem(
                    ProblemCode.deadline_exceeded,
                    'the time limit of the class has passed',
                ),
            )
        is_spent = call.is_at_most_once and progress.may_have_run
        if not is_spent and dispatcher.may_retry(context):
            return None
        return progress.failure(
            Problem(
                ProblemCode.backend_failed,
                f'{attempt.slot.server}: {end.kind.value}, no retry is left',
                _RETRY_MS,
            ),
        )


async def _first_of(primary: Attempt, hedge: Attempt) -> Attempt:
    try:
        await asyncio.wait(
            (primary.first, hedge.first),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not (primary.is_ahead() or hedge.is_ahead()):
            # One of the two failed at once; the other one decides.
            await asyncio.wait((primary.first, hedge.first))
    except asyncio.CancelledError:
        await hedge.close()
        raise
    if hedge.is_ahead() and not primary.is_ahead():
        await primary.close()
        return hedge
    await hedge.close()
    return primary


__all__ = ('ChatRunner',)
