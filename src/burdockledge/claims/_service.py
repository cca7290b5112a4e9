"""Claims idempotency keys in the log and records their outcomes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING, Final

from result import Err, Ok

from burdockledge.claims._claim_table import ClaimTable, KeyEntry, LoggedClaim
from burdockledge.claims._keys import KeyProblem
from burdockledge.claims._records import (
    ClaimBatch,
    ClaimEntry,
    Entry,
    FinalEntry,
    Outcome,
)
from burdockledge.kernel import TaskGroupService
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from burdockledge.claims._keys import IdempotencyKey, KeyWindow
    from burdockledge.platform_api import LogClient, LogPage
    from burdockledge.telemetry import TimeLine

_log = make_logger('claims')

CLAIM_STREAM: Final = 'claims'
_LONG_POLL_SECONDS: Final = 1
_RETRY_DELAY_SECONDS: Final = 0.2
_BATCH_INTERVAL_SECONDS: Final = 0.02
_MAX_BATCH_ENTRIES: Final = 200
_RESEND_INTERVAL_SECONDS: Final = 1
_FLUSH_TIMEOUT_SECONDS: Final = 10
_NONCE_BITS: Final = 96


@dataclass(frozen=True, slots=True)
class Held:
    """This process, and no other at any time, may run the key."""

    key: IdempotencyKey
    nonce: str


@dataclass(frozen=True, slots=True)
class AlreadyFinal:
    """The outcome of the key's request is recorded."""

    final: FinalEntry


@dataclass(frozen=True, slots=True)
class HeldByOther:
    """Another claim holds the key and has not recorded an outcome yet."""

    entry: KeyEntry


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was claimed for a request with another body."""


@dataclass(frozen=True, slots=True)
class KeyExpired:
    """The key is outside its window, or earlier claims may be unknown."""


@dataclass(frozen=True, slots=True)
class ClaimTimeout:
    """The log gave no result in time; this process will not run the key."""


# The kind and the nonce of an entry.
EntryId = tuple[str, str]
ClaimResult = (
    Held | AlreadyFinal | HeldByOther | KeyReused | KeyExpired | ClaimTimeout
)


@dataclass(slots=True)
class _PendingClaim:
    """A claim that was sent to the log and has no result yet."""

    key: IdempotencyKey
    body_digest: str
    future: asyncio.Future[ClaimResult]


class ClaimService(TaskGroupService):
    """
    Claims keys and follows the claims stream of the log.

    ``is_holder_gone`` tells whether the process of a host and boot has
    stopped; by default none has. ``append_count`` is the number of batches
    sent to the log.
    """

    name = 'claims'

    def __init__(
        self,
        log_client: LogClient,
        host: str,
        boot: int,
        window: KeyWindow,
        random: Random,
        time_line: TimeLine,
    ) -> None:
        """
        Create a service with an empty table.

        :param boot: identifies this process among those of its host.
        """
        super().__init__()
        self._log_client = log_client
        self._host = host
        self._boot = boot
        self._window = window
        self._random = random
        self._time_line = time_line
        self._claim_table = ClaimTable(window)
        self._pending_claims: dict[str, _PendingClaim] = {}
        self._abandoned_claims: dict[str, str] = {}
        self._unappended: dict[EntryId, Entry] = {}
        self._entries_queued = asyncio.Event()
        self._table_changed = asyncio.Condition()
        self.is_holder_gone: Callable[[str, int], bool] = _never_gone
        self.append_count = 0

    @property
    def claim_table(self) -> ClaimTable:
        """The state of all keys, as far as the log was read."""
        return self._claim_table

    @property
    def boot(self) -> int:
        """The identifier of this process among those of its host."""
        return self._boot

    async def start(self) -> None:
        """Follow the log and append in batches."""
        self.supervise(self._follow)
        self.supervise(self._append_forever)

    async def stop(self) -> None:
        """Wait a limited time for queued entries to be appended, then stop."""
        try:
            async with asyncio.timeout(_FLUSH_TIMEOUT_SECONDS):
                while self._unappended:
                    await asyncio.sleep(_BATCH_INTERVAL_SECONDS)
        except TimeoutError:
            _log.warning(
                'Entries were not appended before the stop.',
                count=len(self._unappended),
            )
        await super().stop()

    async def claim(
        self,
        key: IdempotencyKey,
        body_digest: str,
        timeout_seconds: float,
    ) -> ClaimResult:
        """
        Claim the sole right to run a key.

        :param body_digest: digest of the request that would be run.
        :return: the result; only :class:`Held` allows a dispatch.
        """
        result = self._result_if_known(key, body_digest)
        if result is not None:
            return result
        nonce = f'{self._random.getrandbits(_NONCE_BITS):024x}'
        loop = asyncio.get_running_loop()
        pending = _PendingClaim(key, body_digest, loop.create_future())
        self._pending_claims[nonce] = pending
        entry = ClaimEntry(
            key=key.digest,
            made_ms=key.created_ms,
            body=body_digest,
            nonce=nonce,
        )
        self._time_line.record('claim', key.text, detail=nonce)
        try:
            return await self._wait_for_result(pending, entry, timeout_seconds)
        finally:
            self._stop_waiting(nonce, pending)

    async def wait_for_final(
        self, key: IdempotencyKey, timeout_seconds: float
    ) -> KeyEntry | None:
        """
        Wait until a key's outcome is recorded or its holder is gone.

        :return: the key's entry, also after a timeout; None if no claim of the
            key was read.
        """
        try:
            async with asyncio.timeout(timeout_seconds), self._table_changed:
                await self._table_changed.wait_for(
                    lambda: self._is_wait_over(key.digest),
                )
        except TimeoutError:
            _log.debug('Key has no recorded outcome yet.', key=key.text)
        return self._claim_table.entry(key.digest)

    def record_final(self, held: Held, final: FinalEntry) -> None:
        """Queue the outcome of a held key to be appended to the log."""
        self._time_line.record(
            'final',
            held.key.text,
            detail=final.outcome.value,
        )
        self._enqueue(final)

    def _result_if_known(
        self, key: IdempotencyKey, body_digest: str
    ) -> ClaimResult | None:
        # The log's clock may already be past log_time_ms, so a key that seems
        # to be from the future may be valid; only expiry is certain.
        problem = self._window.check(
            key.created_ms, self._claim_table.log_time_ms
        )
        if problem is KeyProblem.expired:
            return KeyExpired()
        return self._result_from_entry(key, body_digest)

    def _result_from_entry(
        self, key: IdempotencyKey, body_digest: str
    ) -> ClaimResult | None:
        entry = self._claim_table.entry(key.digest)
        if entry is None:
            return None
        if not self._is_authoritative(key, entry):
            return KeyExpired()
        if entry.body_digest != body_digest:
            return KeyReused()
        if entry.final is not None:
            return AlreadyFinal(entry.final)
        return HeldByOther(entry)

    def _is_authoritative(self, key: IdempotencyKey, entry: KeyEntry) -> bool:
        """
        Return whether no other claim can hold the key.

        Without the complete history, the log may have dropped an earlier
        claim before it was read. A completed outcome holds in any case.
        """
        final = entry.final
        if final is not None and final.outcome is Outcome.completed:
            return True
        return self._claim_table.has_complete_history(key.created_ms)

    async def _wait_for_result(
        self,
        pending: _PendingClaim,
        entry: ClaimEntry,
        timeout_seconds: float,
    ) -> ClaimResult:
        deadline = asyncio.get_running_loop().time() + timeout_seconds
        while True:
            self._enqueue(entry)
            remaining_seconds = deadline - asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout(
                    min(remaining_seconds, _RESEND_INTERVAL_SECONDS)
                ):
                    return await asyncio.shield(pending.future)
            except TimeoutError:
                if remaining_seconds <= _RESEND_INTERVAL_SECONDS:
                    return ClaimTimeout()

    def _stop_waiting(self, nonce: str, pending: _PendingClaim) -> None:
        self._pending_claims.pop(nonce, None)
        if pending.future.done():
            return
        pending.future.cancel()
        # The claim may still be appended; if it then holds the key, a final
        # entry is recorded in its place.
        self._abandoned_claims[nonce] = pending.key.digest
        self._unappended.pop(('claim', nonce), None)

    def _is_wait_over(self, key_digest: str) -> bool:
        entry = self._claim_table.entry(key_digest)
        if entry is None or entry.final is not None:
            return entry is not None
        return self.is_holder_gone(entry.host, entry.boot)

    def _enqueue(self, entry: Entry) -> None:
        self._unappended[entry.kind, entry.nonce] = entry
        self._entries_queued.set()

    async def _append_forever(self) -> None:
        while True:
            await self._entries_queued.wait()
            batch = tuple(islice(self._unappended.values(), _MAX_BATCH_ENTRIES))
            if not batch:
                self._entries_queued.clear()
                continue
            record = ClaimBatch(
                host=self._host,
                boot=self._boot,
                entries=batch,
            )
            self.append_count += 1
            append_result = await self._log_client.append(
                CLAIM_STREAM,
                record.model_dump_json(),
            )
            if isinstance(append_result, Ok):
                for entry in batch:
                    self._unappended.pop((entry.kind, entry.nonce), None)
                await asyncio.sleep(_BATCH_INTERVAL_SECONDS)
            else:
                # A failed append may have taken effect. Repeating it is safe,
                # because only the first copy of an entry counts.
                await asyncio.sleep(_RETRY_DELAY_SECONDS)

    async def _follow(self) -> None:
        while True:
            read_result = await self._log_client.read(
                CLAIM_STREAM,
                self._claim_table.next_offset,
                _LONG_POLL_SECONDS,
            )
            if isinstance(read_result, Err):
                await asyncio.sleep(_RETRY_DELAY_SECONDS)
                continue
            self._apply_page(read_result.ok_value)
            async with self._table_changed:
                self._table_changed.notify_all()

    def _apply_page(self, page: LogPage) -> None:
        self._claim_table.update_log_bounds(page.earliest, page.now_ms)
        for record in page.records:
            if record.offset != self._claim_table.next_offset:
                continue
            for logged in self._claim_table.apply(record):
                self._resolve_logged_claim(logged)

    def _resolve_logged_claim(self, logged: LoggedClaim) -> None:
        if logged.boot != self._boot:
            return
        if logged.nonce in self._abandoned_claims:
            self._finish_abandoned_claim(logged)
            return
        pending = self._pending_claims.get(logged.nonce)
        if pending is None or pending.future.done():
            return
        pending.future.set_result(self._claim_result(logged, pending))

    def _claim_result(
        self, logged: LoggedClaim, pending: _PendingClaim
    ) -> ClaimResult:
        entry = self._claim_table.entry(logged.key)
        is_holder = entry is not None and entry.nonce == logged.nonce
        if not self._claim_table.has_complete_history(pending.key.created_ms):
            # The log may have dropped an earlier claim, so the request must
            # not run; its outcome is recorded as unknown.
            if is_holder:
                self._enqueue(_final_entry(logged, Outcome.unknown))
            return KeyExpired()
        if not logged.is_valid:
            return KeyExpired()
        if is_holder:
            self._time_line.record(
                'held', pending.key.text, detail=logged.nonce
            )
            return Held(pending.key, logged.nonce)
        return (
            self._result_from_entry(pending.key, pending.body_digest)
            or ClaimTimeout()
        )

    def _finish_abandoned_claim(self, logged: LoggedClaim) -> None:
        entry = self._claim_table.entry(logged.key)
        if entry is None or entry.nonce != logged.nonce or entry.final:
            return
        is_complete = self._claim_table.has_complete_history(entry.created_ms)
        outcome = Outcome.not_run if is_complete else Outcome.unknown
        self._enqueue(_final_entry(logged, outcome))


def _final_entry(logged: LoggedClaim, outcome: Outcome) -> FinalEntry:
    return FinalEntry(key=logged.key, nonce=logged.nonce, outcome=outcome)


def _never_gone(_host: str, _boot: int) -> bool:
    return False


__all__ = (
    'CLAIM_STREAM',
    'AlreadyFinal',
    'ClaimResult',
    'ClaimService',
    'ClaimTimeout',
    'Held',
    'HeldByOther',
    'KeyExpired',
    'KeyReused',
)
