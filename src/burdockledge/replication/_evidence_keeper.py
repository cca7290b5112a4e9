"""Keeps blocked prompt parts in the store, for hosts that all restart."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.hashing import rank
from burdockledge.kernel import TaskGroupService
from burdockledge.telemetry import make_logger
from burdockledge.wire import Note, WireError, decode_note, encode_note

if TYPE_CHECKING:
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.quarantine import Quarantine
    from burdockledge.replication._source import RecordSource

_log = make_logger('keeper')

_RETRY_SECONDS: Final = 1.0
# How often a host looks for blocks that it has to write while there are any.
_CHECK_SECONDS: Final = 1.0


class EvidenceKeeper(TaskGroupService):
    """
    Reads the kept evidence at the start, and writes that of new blocks.

    One host writes each block; if it fails before, the next one does, so a
    block may be written more than once. ``list_hosts`` returns the names of
    the hosts that share the writes.
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
        self.list_hosts: Callable[[], list[str]] = list

    def is_writer(self, part: int) -> bool:
        """Return whether this host acts for the fleet on a part."""
        hosts = {self._own_host, *self.list_hosts()}
        return rank(f'part {part}', hosts)[0] == self._own_host

    async def start(self) -> None:
        """Start to read, and then to write."""
        self.supervise(self._keep_forever)

    async def _keep_forever(self) -> None:
        while not await self._load():
            await self._wait_before_retry()
        while True:
            await asyncio.sleep(_CHECK_SECONDS)
            blocked = set(self._quarantine.blocked)
            for part in blocked ^ self._kept:
                if self.is_writer(part):
                    await self._write(part, is_blocked=part in blocked)

    async def _load(self) -> bool:
        result = await self._source.read_kept()
        if isinstance(result, Err):
            return False
        for key, content in result.ok_value.items():
            try:
                part, note = int(key), decode_note(content)
            except (ValueError, WireError) as error:
                _log.warning('Kept evidence is left out.', why=str(error))
                continue
            self._kept.add(part)
            self._quarantine.merge(
                note.suspects, note.clearances, self._clock.monotonic()
            )
        return True

    async def _write(self, part: int, *, is_blocked: bool) -> None:
        content = self._encode(part) if is_blocked else None
        if not await self._source.write_kept(str(part), content):
            await self._wait_before_retry()
            return
        if is_blocked:
            self._kept.add(part)
        else:
            self._kept.discard(part)
        _log.info('Kept evidence is written.', part=part, blocked=is_blocked)

    def _encode(self, part: int) -> bytes:
        suspects, _ = self._quarantine.entries(self._clock.monotonic())
        return encode_note(
            Note(
                self._own_host,
                suspects=[one for one in suspects if part in one.parts],
            )
        )

    async def _wait_before_retry(self) -> None:
        await asyncio.sleep(_RETRY_SECONDS * (1 + self._random.random()))


__all__ = ('EvidenceKeeper',)
