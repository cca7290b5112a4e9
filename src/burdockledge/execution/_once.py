"""Runs a request under an idempotency key at most once."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

from burdockledge.claims import (
    AlreadyFinal,
    ClaimResult,
    ClaimService,
    FinalEntry,
    Held,
    HeldByOther,
    IdempotencyKey,
    KeyExpired,
    KeyReused,
    Outcome,
)
from burdockledge.execution._types import (
    Answer,
    Problem,
    ProblemCode,
    RequestContext,
)

if TYPE_CHECKING:
    from burdockledge.clock import Clock
    from burdockledge.kernel import TaskGroupService

_CLAIM_SECONDS: Final = 5
_KEPT_ANSWER_BYTES: Final = 16_384
_RETRY_MS: Final = 1000

Execution = Callable[[], Awaitable[Answer]]


class OnceRunner:
    """Claims a key, runs its request and records what became of it."""

    def __init__(
        self,
        claims: ClaimService,
        clock: Clock,
        tasks: TaskGroupService,
    ) -> None:
        """Run executions as tasks that outlive their caller."""
        self._claims = claims
        self._clock = clock
        self._tasks = tasks

    async def run(
        self,
        context: RequestContext,
        key: IdempotencyKey,
        body_digest: str,
        execute: Execution,
    ) -> Answer:
        """
        Run unless the key was run, and tell the truth either way.

        The execution goes on when the caller goes away.
        """
        task = self._tasks.spawn(
            self._run(context, key, body_digest, execute),
        )
        return await asyncio.shield(task)

    async def look_up(self, key: IdempotencyKey) -> Answer:
        """Return what is known of a key without running anything."""
        entry = self._claims.table.entry(key.digest)
        if entry is None:
            problem = Problem(
                ProblemCode.key_in_use,
                'no claim of this key is known; it may still be on its way',
                _RETRY_MS,
            )
            return Answer(Outcome.unknown, problem=problem)
        if entry.final is None:
            return _in_use()
        return _replay(entry.final)

    async def _run(
        self,
        context: RequestContext,
        key: IdempotencyKey,
        body_digest: str,
        execute: Execution,
    ) -> Answer:
        left = context.deadline - self._clock.monotonic()
        verdict = await self._claims.claim(
            key,
            body_digest,
            min(left, _CLAIM_SECONDS),
        )
        if isinstance(verdict, Held):
            return await self._execute(context, verdict, execute)
        return await self._tell(context, key, verdict)

    async def _execute(
        self,
        context: RequestContext,
        held: Held,
        execute: Execution,
    ) -> Answer:
        if self._clock.monotonic() >= context.deadline:
            problem = Problem(
                ProblemCode.deadline_exceeded,
                'the time limit of the class passed before the start',
            )
            answer = Answer(Outcome.not_run, problem=problem)
        else:
            answer = await self._guarded(execute)
        self._claims.record_final(held, _final(held, answer))
        return answer

    async def _guarded(self, execute: Execution) -> Answer:
        try:
            return await execute()
        except Exception as error:
            problem = Problem(ProblemCode.backend_failed, str(error))
            return Answer(Outcome.unknown, problem=problem)

    async def _tell(
        self,
        context: RequestContext,
        key: IdempotencyKey,
        verdict: ClaimResult,
    ) -> Answer:
        if isinstance(verdict, AlreadyFinal):
            return _replay(verdict.final)
        if isinstance(verdict, HeldByOther):
            return await self._await_holder(context, key)
        if isinstance(verdict, KeyReused):
            problem = Problem(
                ProblemCode.key_reused,
                'this Idempotency-Key was used for another body; '
                'make a new key for a new request',
            )
            return Answer(Outcome.not_run, problem=problem)
        return _unproven(context, verdict)

    async def _await_holder(
        self,
        context: RequestContext,
        key: IdempotencyKey,
    ) -> Answer:
        left = context.deadline - self._clock.monotonic()
        entry = await self._claims.wait_for_final(key, left)
        if entry is not None and entry.final is not None:
            return _replay(entry.final)
        return _in_use()


def _unproven(context: RequestContext, verdict: ClaimResult) -> Answer:
    """Answer without a verdict: this attempt will never run anything."""
    if isinstance(verdict, KeyExpired):
        problem = Problem(
            ProblemCode.key_expired,
            'the key is too old, or its past is not known here; '
            'find out what became of it before a new key is made',
        )
    else:
        problem = Problem(
            ProblemCode.log_unavailable,
            'the log gave no verdict in time; ask again with the same key',
            _RETRY_MS,
        )
    first = context.is_first_attempt
    outcome = Outcome.not_run if first else Outcome.unknown
    return Answer(outcome, problem=problem)


def _in_use() -> Answer:
    problem = Problem(
        ProblemCode.key_in_use,
        'the key is held and its outcome is not known; ask again',
        _RETRY_MS,
    )
    return Answer(Outcome.unknown, problem=problem)


def _final(held: Held, answer: Answer) -> FinalEntry:
    is_kept = len(answer.body) <= _KEPT_ANSWER_BYTES
    body = answer.body if is_kept else b''
    return FinalEntry(
        key=held.key.digest,
        nonce=held.nonce,
        outcome=answer.outcome,
        status=answer.status if is_kept else 0,
        content_type=answer.content_type,
        answer=base64.b64encode(body).decode(),
    )


def _replay(final: FinalEntry) -> Answer:
    problem = None
    if final.status == 0:
        problem = Problem(
            ProblemCode.key_settled,
            f'this key is settled as {final.outcome.value}'
            '; its answer is not kept',
        )
    return Answer(
        final.outcome,
        final.status,
        final.content_type,
        base64.b64decode(final.answer),
        problem,
        is_replay=True,
    )


__all__ = ('OnceRunner',)
