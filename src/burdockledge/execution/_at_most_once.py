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

_CLAIM_TIMEOUT_SECONDS: Final = 5
_MAX_KEPT_BODY_BYTES: Final = 16_384
_RETRY_AFTER_MS: Final = 1000

Execution = Callable[[], Awaitable[Answer]]


class AtMostOnceRunner:
    """Claims a key, runs its request and records the outcome."""

    def __init__(
        self,
        claims: ClaimService,
        clock: Clock,
        tasks: TaskGroupService,
    ) -> None:
        """Create a runner whose executions outlive their callers as tasks."""
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
        Run a request unless its key was run before.

        The execution continues when the caller disconnects.

        :return: the answer of this run, or what is known of an earlier one.
        """
        task = self._tasks.spawn(
            self._claim_and_run(context, key, body_digest, execute),
        )
        return await asyncio.shield(task)

    async def look_up(self, key: IdempotencyKey) -> Answer:
        """Return the known answer of a key, without running its request."""
        entry = self._claims.claim_table.entry(key.digest)
        if entry is None:
            problem = Problem(
                ProblemCode.key_in_use,
                'no claim of this key is known; it may still be on its way',
                _RETRY_AFTER_MS,
            )
            return Answer(Outcome.unknown, problem=problem)
        if entry.final is None:
            return _key_in_use()
        return _replay(entry.final)

    async def _claim_and_run(
        self,
        context: RequestContext,
        key: IdempotencyKey,
        body_digest: str,
        execute: Execution,
    ) -> Answer:
        remaining_seconds = context.deadline - self._clock.monotonic()
        result = await self._claims.claim(
            key,
            body_digest,
            min(remaining_seconds, _CLAIM_TIMEOUT_SECONDS),
        )
        if isinstance(result, Held):
            return await self._run_held(context, result, execute)
        return await self._answer_without_run(context, key, result)

    async def _run_held(
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
            answer = await self._execute_safely(execute)
        self._claims.record_final(held, _final_entry(held, answer))
        return answer

    async def _execute_safely(self, execute: Execution) -> Answer:
        try:
            return await execute()
        except Exception as error:
            problem = Problem(ProblemCode.backend_failed, str(error))
            return Answer(Outcome.unknown, problem=problem)

    async def _answer_without_run(
        self,
        context: RequestContext,
        key: IdempotencyKey,
        result: ClaimResult,
    ) -> Answer:
        if isinstance(result, AlreadyFinal):
            return _replay(result.final)
        if isinstance(result, HeldByOther):
            return await self._wait_for_holder(context, key)
        if isinstance(result, KeyReused):
            problem = Problem(
                ProblemCode.key_reused,
                'this Idempotency-Key was used for another body; '
                'make a new key for a new request',
            )
            return Answer(Outcome.not_run, problem=problem)
        return _not_claimed(context, result)

    async def _wait_for_holder(
        self,
        context: RequestContext,
        key: IdempotencyKey,
    ) -> Answer:
        remaining_seconds = context.deadline - self._clock.monotonic()
        entry = await self._claims.wait_for_final(key, remaining_seconds)
        if entry is not None and entry.final is not None:
            return _replay(entry.final)
        return _key_in_use()


def _not_claimed(context: RequestContext, result: ClaimResult) -> Answer:
    """
    Return the answer to an attempt whose claim has no valid result.

    This attempt never runs the request. An earlier one may have run it, so
    only a first attempt is reported as not run.
    """
    if isinstance(result, KeyExpired):
        problem = Problem(
            ProblemCode.key_expired,
            'the key is too old, or its past is not known here; '
            'find out what became of it before a new key is made',
        )
    else:
        problem = Problem(
            ProblemCode.log_unavailable,
            'the log gave no verdict in time; ask again with the same key',
            _RETRY_AFTER_MS,
        )
    is_first = context.is_first_attempt
    outcome = Outcome.not_run if is_first else Outcome.unknown
    return Answer(outcome, problem=problem)


def _key_in_use() -> Answer:
    problem = Problem(
        ProblemCode.key_in_use,
        'the key is held and its outcome is not known; ask again',
        _RETRY_AFTER_MS,
    )
    return Answer(Outcome.unknown, problem=problem)


def _final_entry(held: Held, answer: Answer) -> FinalEntry:
    is_kept = len(answer.body) <= _MAX_KEPT_BODY_BYTES
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


__all__ = ('AtMostOnceRunner',)
