"""Reads of the topic of duties and conditional appends to it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from result import Err, Ok

from burdockledge.duties._lease_state import ClaimCheck, LeaseState
from burdockledge.duties._records import (
    HOLDER_KEY,
    RENEWAL_KEY,
    RenewalRecord,
    encode_record,
)
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from burdockledge.clock import Clock
    from burdockledge.duties._ports import (
        DutyStore,
        FenceNumber,
        StoreFailure,
    )

_log = make_logger('duties')

# An append may be in conflict with a late one of the same process.
_APPEND_ATTEMPTS: Final = 2


class ClaimWriter:
    """
    Keeps the state of a process in step with the store, one call at a time.

    After an append that was not confirmed, the topic is read before the next
    one: it may have been carried out.
    """

    def __init__(
        self,
        own_host: str,
        incarnation: str,
        store: DutyStore,
        state: LeaseState,
        clock: Clock,
    ) -> None:
        """Create the writer of a process."""
        self._own_host = own_host
        self._incarnation = incarnation
        self._store = store
        self._state = state
        self._clock = clock
        self._lock = asyncio.Lock()
        self._renewal_count = 0
        # Why the last read failed; it is logged once.
        self._read_failure: StoreFailure | None = None
        self.is_in_doubt = False

    async def read(self) -> bool:
        """Read the topic; return whether the store has answered."""
        async with self._lock:
            return await self._read()

    async def claim(self) -> bool:
        """
        Claim the duties if the topic is as it was read last.

        :return: whether the claim is known to be in the store.
        """
        async with self._lock:
            snapshot = self._state.snapshot
            if snapshot is None or self.is_in_doubt:
                return False
            sent_at = self._clock.monotonic()
            self.is_in_doubt = True
            appended = await self._store.append(
                HOLDER_KEY, self._state.encode_claim(), snapshot.end
            )
            if isinstance(appended, Err):
                _log.info(
                    'Claim is not confirmed.', why=appended.err_value.value
                )
                return False
            if not self._state.note_claimed(appended.ok_value, sent_at):
                return False
            self.is_in_doubt = False
            return True

    async def renew(self) -> bool:
        """Append a renewal; return whether it is in the store."""
        number = self._state.claim
        if number is None:
            return False
        self._renewal_count += 1
        renewal = RenewalRecord(
            host=self._own_host,
            incarnation=self._incarnation,
            number=self._renewal_count,
        )
        return await self.append(number, RENEWAL_KEY, encode_record(renewal))

    async def append(
        self, number: FenceNumber, key: str, content: bytes
    ) -> bool:
        """Append a record under a claim; return whether it is in the store."""
        async with self._lock:
            for _ in range(_APPEND_ATTEMPTS):
                if self.is_in_doubt and not await self._read():
                    return False
                # Another task may have read a newer claim, after whose end
                # this append would succeed.
                if (
                    self._state.claim != number
                    or self._state.check_claim() != ClaimCheck.holds
                ):
                    return False
                if await self._append_once(key, content):
                    return True
        return False

    async def _append_once(self, key: str, content: bytes) -> bool:
        snapshot = self._state.snapshot
        if snapshot is None:
            return False
        sent_at = self._clock.monotonic()
        # A task that is cancelled during the call leaves the doubt, too.
        self.is_in_doubt = True
        appended = await self._store.append(key, content, snapshot.end)
        if isinstance(appended, Ok) and self._state.note_appended(
            appended.ok_value, sent_at
        ):
            self.is_in_doubt = False
            return True
        if not await self._read():
            return False
        return self._state.note_found(key, content, snapshot.end, sent_at)

    async def _read(self) -> bool:
        sent_at = self._clock.monotonic()
        result = await self._store.read()
        if isinstance(result, Err):
            if result.err_value != self._read_failure:
                self._read_failure = result.err_value
                _log.warning('Claims are not read.', why=result.err_value.value)
            return False
        self._read_failure = None
        is_new = self._state.note_read(
            result.ok_value, sent_at, self._clock.monotonic()
        )
        self.is_in_doubt = self.is_in_doubt and not is_new
        return is_new


__all__ = ('ClaimWriter',)
