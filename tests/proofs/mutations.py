"""Mutations of the product code that the fault matrix must detect."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import replace
from typing import TYPE_CHECKING, Any
from unittest import mock

from burdockledge import app
from burdockledge.backends import SseSplitter
from burdockledge.claims import ClaimTable, ClaimTimeout, Held, Outcome
from burdockledge.claims._keys import KeyWindow
from burdockledge.claims._service import ClaimService
from burdockledge.configuration import Configuration, _state_machine
from burdockledge.execution import (
    Answer,
    AnswerEnd,
    AtMostOnceRunner,
    ServiceCallRunner,
    _at_most_once,
    _generation,
    _service_call,
)
from burdockledge.placement import ServerTable, SlotBroker

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def dispatch_after_claim_timeout() -> Iterator[None]:
    """Run a request although its claim timed out."""
    real = ClaimService.claim

    async def claim(
        self: ClaimService, key: Any, body_digest: str, timeout_seconds: float
    ) -> Any:
        result = await real(self, key, body_digest, timeout_seconds)
        return Held(key, 'x') if isinstance(result, ClaimTimeout) else result

    with mock.patch.object(ClaimService, 'claim', claim):
        yield


@contextmanager
def dispatch_without_claim() -> Iterator[None]:
    """Run every request without waiting for its claim."""

    async def claim(
        self: ClaimService, key: Any, body_digest: str, timeout_seconds: float
    ) -> Any:
        return Held(key, 'x')

    with mock.patch.object(ClaimService, 'claim', claim):
        yield


@contextmanager
def skip_claim_winner_check() -> Iterator[None]:
    """Run once the own claim is read, even if another came first."""
    real = ClaimService._claim_result

    def claim_result(self: ClaimService, logged: Any, pending: Any) -> Any:
        result = real(self, logged, pending)
        return Held(pending.key, logged.nonce) if result else result

    with mock.patch.object(ClaimService, '_claim_result', claim_result):
        yield


@contextmanager
def last_claim_wins() -> Iterator[None]:
    """Let a later claim replace an earlier one."""
    real = ClaimTable._apply_claim

    def apply_claim(
        self: ClaimTable, record: Any, batch: Any, claim: Any
    ) -> Any:
        self._entries.pop(claim.key, None)
        return real(self, record, batch, claim)

    with mock.patch.object(ClaimTable, '_apply_claim', apply_claim):
        yield


@contextmanager
def keys_never_expire() -> Iterator[None]:
    """Accept keys whose records the log may have deleted."""
    with (
        mock.patch.object(KeyWindow, 'check', lambda *_: None),
        mock.patch.object(ClaimTable, 'has_complete_history', lambda *_: True),
    ):
        yield


@contextmanager
def not_run_after_lost_append() -> Iterator[None]:
    """Report not-run for every claim that is not settled."""
    real = _at_most_once._not_claimed

    def not_claimed(context: Any, result: Any) -> Answer:
        return replace(real(context, result), outcome=Outcome.not_run)

    with mock.patch.object(_at_most_once, '_not_claimed', not_claimed):
        yield


@contextmanager
def not_run_after_dispatch() -> Iterator[None]:
    """Report not-run when a response was lost."""

    def failed_answer(may_have_run: bool, problem: Any) -> Answer:
        return Answer(Outcome.not_run, problem=problem)

    with mock.patch.object(_service_call, '_failed_answer', failed_answer):
        yield


@contextmanager
def retry_after_unknown_outcome() -> Iterator[None]:
    """Retry a keyed call whose response was lost."""
    real = ServiceCallRunner.run

    async def run(self: ServiceCallRunner, context: Any, call: Any) -> Any:
        answer = await real(self, context, call)
        if answer.outcome is Outcome.unknown:
            answer = await real(self, context, call)
        return answer

    with mock.patch.object(ServiceCallRunner, 'run', run):
        yield


@contextmanager
def not_run_while_claim_is_held() -> Iterator[None]:
    """Report not-run to a retry while the claim's holder may run it."""

    def key_in_use() -> Answer:
        return Answer(Outcome.not_run)

    with mock.patch.object(_at_most_once, '_key_in_use', key_in_use):
        yield


@contextmanager
def ignore_body_digest() -> Iterator[None]:
    """Replay a stored answer although the request body differs."""
    real = ClaimService.claim

    async def claim(
        self: ClaimService, key: Any, body_digest: str, timeout_seconds: float
    ) -> Any:
        entry = self.claim_table.entry(key.digest)
        used = body_digest if entry is None else entry.body_digest
        return await real(self, key, used, timeout_seconds)

    with mock.patch.object(ClaimService, 'claim', claim):
        yield


@contextmanager
def fold_without_version_check() -> Iterator[None]:
    """Accept patches that are based on an old version."""
    real = _state_machine._apply_patch

    def fold_patch(state: Any, record: Any, patch: Any) -> Any:
        current = patch.model_copy(update={'base': state.version})
        return real(state, record, current)

    with mock.patch.object(_state_machine, '_apply_patch', fold_patch):
        yield


@contextmanager
def never_snapshot() -> Iterator[None]:
    """Append no snapshots and ignore the state sent by peers."""

    async def no_snapshot(self: Configuration, page: Any) -> None:
        return

    with (
        mock.patch.object(
            Configuration, '_append_snapshot_if_due', no_snapshot
        ),
        mock.patch.object(Configuration, '_on_state', lambda *_: None),
    ):
        yield


@contextmanager
def accept_events_of_other_requests() -> Iterator[None]:
    """Forward events without checking their request id."""

    def feed(self: SseSplitter, chunk: bytes) -> tuple[bytes, int]:
        return chunk.replace(b'0 "', b'9 "'), 1

    with mock.patch.object(SseSplitter, 'feed', feed):
        yield


@contextmanager
def resume_from_first_token() -> Iterator[None]:
    """Resend tokens that the caller has already received."""

    def resumed(call: Any, **_: Any) -> Any:
        return call

    with mock.patch('burdockledge.execution._generation.replace', resumed):
        yield


@contextmanager
def leak_slots() -> Iterator[None]:
    """Never release the slot of a finished request."""
    with mock.patch.object(SlotBroker, 'release', lambda *_: None):
        yield


@contextmanager
def stop_without_draining() -> Iterator[None]:
    """Abort requests in flight on a graceful shutdown."""

    async def drain(self: app.EntryHost) -> None:
        self.components.lifecycle.advance('drain')
        self.components.membership.leave()

    with mock.patch.object(app.EntryHost, 'drain', drain):
        yield


@contextmanager
def report_truncated_answer_as_completed() -> Iterator[None]:
    """Report a truncated answer as completed."""

    def failed_end(self: _generation._Progress, problem: Any) -> AnswerEnd:
        return AnswerEnd(Outcome.completed, self.tokens, problem)

    with mock.patch.object(_generation._Progress, 'failed_end', failed_end):
        yield


@contextmanager
def ignore_leaving_state() -> Iterator[None]:
    """Send new work to servers that are listed as leaving."""
    with mock.patch.object(ServerTable, 'accepts_work', lambda *_: True):
        yield


@contextmanager
def not_run_after_unexpected_error() -> Iterator[None]:
    """Report not-run when an execution fails unexpectedly."""

    async def execute_safely(self: AtMostOnceRunner, execute: Any) -> Answer:
        answer = await execute()
        if answer.outcome is Outcome.unknown:
            return replace(answer, outcome=Outcome.not_run)
        return answer

    with mock.patch.object(AtMostOnceRunner, '_execute_safely', execute_safely):
        yield


@contextmanager
def resume_at_most_once_generation() -> Iterator[None]:
    """Resume a non-idempotent generation on another engine."""
    real = _generation.GenerationRunner._end_or_retry

    def end_or_retry(
        self: Any, context: Any, call: Any, progress: Any, attempt: Any
    ) -> Any:
        repeated = replace(call, is_at_most_once=False)
        return real(self, context, repeated, progress, attempt)

    with mock.patch.object(
        _generation.GenerationRunner, '_end_or_retry', end_or_retry
    ):
        yield


# The cell of the fault matrix, (faults, step), that detects each mutation.
MUTATIONS = {
    dispatch_after_claim_timeout: (('log down', 'answers lost'), 'claim'),
    dispatch_without_claim: (('answers lost',), 'accept'),
    skip_claim_winner_check: (('burst',), 'accept'),
    last_claim_wins: (('burst',), 'accept'),
    keys_never_expire: (('answers lost',), 'accept'),
    not_run_after_lost_append: (('answers lost',), 'accept'),
    not_run_after_dispatch: (('answers lost',), 'accept'),
    retry_after_unknown_outcome: (('answers lost',), 'accept'),
    not_run_while_claim_is_held: (('host kill',), 'mid-stream'),
    ignore_body_digest: (('burst',), 'accept'),
    fold_without_version_check: (('operator race',), 'accept'),
    never_snapshot: (('log records expired',), 'accept'),
    accept_events_of_other_requests: (('burst',), 'accept'),
    resume_from_first_token: (('silent connection',), 'first token'),
    resume_at_most_once_generation: (('crash',), 'first token'),
    leak_slots: (('burst',), 'accept'),
    stop_without_draining: (('clock jump',), 'accept'),
    report_truncated_answer_as_completed: (('crash of all',), 'accept'),
    ignore_leaving_state: (('server leaving',), 'snapshot'),
    not_run_after_unexpected_error: (('answers lost',), 'accept'),
}

__all__ = ('MUTATIONS',)
