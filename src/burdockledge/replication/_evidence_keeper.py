"""Keeps blocked prompt parts in the store, for hosts that all restart."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Final, TypeVar

from result import Err

from burdockledge.hashing import rank
from burdockledge.kernel import TaskGroupService
from burdockledge.replication._schedule import turn_delay_seconds
from burdockledge.telemetry import make_logger
from burdockledge.wire import (
    Clearance,
    CrashSuspect,
    Note,
    WireError,
    decode_note,
    encode_note,
)

if TYPE_CHECKING:
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.quarantine import Quarantine
    from burdockledge.replication._source import RecordSource

_log = make_logger('keeper')

EntryT = TypeVar('EntryT', CrashSuspect, Clearance)

_RETRY_SECONDS: Final = 1.0
# How often a host looks for blocks that it has to write while there are any.
_CHECK_SECONDS: Final = 1.0
# How far the wall clocks of two hosts may be apart. Kept evidence is taken for
# that much younger than it seems, so that no clearance from before it voids it.
_MAX_CLOCK_ERROR_SECONDS: Final = 5.0
_MS_PER_SECOND: Final = 1000


class EvidenceKeeper(TaskGroupService):
    """
    Reads the kept evidence at the start, and writes that of new blocks.

    One host writes each block; if it fails before, the next one does, so a
    block may be written more than once. A record tells when it was written, so
    that a release of its part holds after a restart. ``list_hosts`` returns
    the names of the hosts that share the writes.
    """

    name = 'evidence-keeper'

    def __init__(
        self,
        own_host: str,
        source: RecordSource,
        quarantine: Quarantine,
        clock: Clock,
        random: Random,
    ) -> None:
        """Create a keeper of a quarantine's blocks."""
        super().__init__()
        self._own_host = own_host
        self._source = source
        self._quarantine = quarantine
        self._clock = clock
        self._random = random
        # Keys of the parts that this host believes to be in the store.
        self._kept: set[int] = set()
        self._restore_count = 0
        self._read_due_at = -math.inf
        self.list_hosts: Callable[[], list[str]] = list

    def is_writer(self, part: int) -> bool:
        """Return whether this host acts for the fleet on a part."""
        hosts = {self._own_host, *self.list_hosts()}
        return rank(f'part {part}', hosts)[0] == self._own_host

    def note_restore(self) -> None:
        """
        Bring up to date a store that has come back from an older copy.

        The writers of the blocks write them again at once. Records that were
        dropped since the copy are found by a read, for which hosts take turns.
        """
        self._restore_count += 1
        self._kept.difference_update(self._quarantine.blocked)
        self._read_due_at = self._clock.monotonic() + turn_delay_seconds(
            len(self.list_hosts()), self._random.random()
        )

    async def start(self) -> None:
        """Start to read, and then to write."""
        self.supervise(self._keep_forever)

    async def _keep_forever(self) -> None:
        while True:
            await self._read_if_due()
            await self._write_changes()
            await asyncio.sleep(_CHECK_SECONDS)

    async def _read_if_due(self) -> None:
        while self._clock.monotonic() >= self._read_due_at:
            if not await self._read():
                await self._wait_before_retry()

    async def _read(self) -> bool:
        """Return whether the records were read that the store has now."""
        restore_count = self._restore_count
        result = await self._source.read_kept()
        if isinstance(result, Err):
            return False
        kept = {
            part
            for key, content in result.ok_value.items()
            if (part := self._restore_part(key, content)) is not None
        }
        _log.info(
            'Kept evidence is read.',
            records=len(result.ok_value),
            blocked=len(self._quarantine.blocked),
            restores=restore_count,
        )
        # Evidence counts that was read before a restore of the store, but the
        # store may have lost it.
        if restore_count != self._restore_count:
            return False
        self._kept = kept
        self._read_due_at = math.inf
        return True

    def _restore_part(self, key: str, content: bytes) -> int | None:
        """
        Add the evidence of a record.

        :return: its part, None if the record has to be written again.
        """
        try:
            part, note = int(key), decode_note(content)
        except (ValueError, WireError) as error:
            _log.warning('Kept evidence is left out.', why=str(error))
            return None
        elapsed_ms = self._elapsed_ms(note)
        self._quarantine.restore(
            [_age(one, elapsed_ms) for one in note.suspects],
            [_age(one, elapsed_ms) for one in note.clearances],
            self._clock.monotonic(),
        )
        # A record without a time, of a former version, is written again.
        is_dated = note.written_at_ms is not None
        return (
            part if is_dated or part not in self._quarantine.blocked else None
        )

    async def _write_changes(self) -> None:
        blocked = set(self._quarantine.blocked)
        for part in blocked ^ self._kept:
            if self.is_writer(part):
                await self._write(part, is_blocked=part in blocked)

    def _elapsed_ms(self, note: Note) -> int:
        """Return the time since a note was written, rather too short."""
        if note.written_at_ms is None:
            return 0
        elapsed_ms = self._clock.wall_ms() - note.written_at_ms
        return max(
            0, elapsed_ms - int(_MAX_CLOCK_ERROR_SECONDS * _MS_PER_SECOND)
        )

    async def _write(self, part: int, *, is_blocked: bool) -> None:
        restore_count = self._restore_count
        content = self._encode(part) if is_blocked else None
        if not await self._source.write_kept(str(part), content):
            await self._wait_before_retry()
            return
        if restore_count != self._restore_count:
            # The store may have confirmed it before it was restored.
            return
        if is_blocked:
            self._kept.add(part)
        else:
            self._kept.discard(part)
        _log.info('Kept evidence is written.', part=part, blocked=is_blocked)

    def _encode(self, part: int) -> bytes:
        suspects, clearances = self._quarantine.entries(self._clock.monotonic())
        own_suspects = [one for one in suspects if part in one.parts]
        parts = {one for suspect in own_suspects for one in suspect.parts}
        return encode_note(
            Note(
                self._own_host,
                suspects=own_suspects,
                clearances=[one for one in clearances if one.subject in parts],
                written_at_ms=self._clock.wall_ms(),
            )
        )

    async def _wait_before_retry(self) -> None:
        await asyncio.sleep(_RETRY_SECONDS * (1 + self._random.random()))


def _age(entry: EntryT, elapsed_ms: int) -> EntryT:
    """Return an entry of evidence as it is some time later."""
    return replace(entry, age_ms=entry.age_ms + elapsed_ms)


__all__ = ('EvidenceKeeper',)
