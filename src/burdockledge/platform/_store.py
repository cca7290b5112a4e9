"""Client of the platform's store."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from burdockledge.platform import _names as names
from burdockledge.platform._documents import strip_heartbeat
from burdockledge.platform._store_calls import (
    StoreCalls,
    StoreError,
    require_ok,
)
from burdockledge.platform._store_records import (
    StoreRecordsError,
    decode_host_address,
    decode_tail,
    encode_host_address,
    encode_record,
)
from burdockledge.relay import CONFIGURATION_STREAM, SERVERS_STREAM
from burdockledge.replication import RecordSource, SourceFailure
from burdockledge.telemetry import make_logger
from burdockledge.wire import StreamEntry, StreamUpdate

if TYPE_CHECKING:
    import aiohttp

    from burdockledge.clock import Clock

_log = make_logger('store')

_GONE: Final = 410
_NOT_FOUND: Final = 404
_OK: Final = 200
_MS_PER_SECOND: Final = 1000
_TOPIC_BY_STREAM: Final = {
    CONFIGURATION_STREAM: names.CONFIGURATION_TOPIC,
    SERVERS_STREAM: names.SERVERS_TOPIC,
}


class StoreClient(RecordSource):
    """Reads topics of the store and registers this host in one of them."""

    def __init__(
        self, address: str, session: aiohttp.ClientSession, clock: Clock
    ) -> None:
        """
        Create a client of one store.

        :param address: ``IP:port`` of the store.
        """
        self._calls = StoreCalls(address, session)
        self._clock = clock

    async def read(
        self, stream: str, position: int, era: int = 0
    ) -> Result[StreamUpdate, SourceFailure]:
        """
        Read the records of a stream from a position on.

        :param position: the first offset to read; if it is negative, no
            longer kept or of an earlier era, the newest record of each key is
            read instead.
        :param era: the era of the store to which the position belongs.
        :return: the records and their age, an upper bound in milliseconds.
        """
        requested_at = self._clock.monotonic()
        topic = _TOPIC_BY_STREAM[stream]
        try:
            update = None
            if position >= 0:
                update = await self._read_tail(stream, topic, position, era)
            if update is None:
                update = await self._read_newest(stream, topic)
                _require_era(update.era, era)
        except StoreError as error:
            return Err(error.failure)
        age_ms = (
            int((self._clock.monotonic() - requested_at) * _MS_PER_SECOND) + 1
        )
        return Ok(replace(update, age_ms=age_ms))

    async def register(self, host: str, peer_address: str) -> bool:
        """
        Append this host and its peer address to the topic of hosts.

        :return: whether the store accepted the record.
        """
        return await self._append(
            names.HOSTS_TOPIC, host, encode_host_address(peer_address)
        )

    async def registered_hosts(self) -> Result[dict[str, str], SourceFailure]:
        """Return the peer address of each host ever registered, by name."""
        try:
            _, pages = await self._calls.read_newest_pages(names.HOSTS_TOPIC)
        except StoreError as error:
            return Err(error.failure)
        addresses = {
            entry.key: decode_host_address(entry.content or b'')
            for page in pages
            for entry in page.entries
        }
        return Ok({host: one for host, one in addresses.items() if one})

    async def write_kept(self, key: str, content: bytes | None) -> bool:
        """
        Keep a record for hosts that start later; without content, drop it.

        :return: whether the store accepted it.
        """
        return await self._append(names.KEPT_TOPIC, key, content or b'')

    async def read_kept(self) -> Result[dict[str, bytes], SourceFailure]:
        """Return the kept records, by key."""
        try:
            _, pages = await self._calls.read_newest_pages(names.KEPT_TOPIC)
        except StoreError as error:
            return Err(error.failure)
        return Ok(
            {
                entry.key: entry.content or b''
                for page in pages
                for entry in page.entries
            }
        )

    async def _append(self, topic: str, key: str, content: bytes) -> bool:
        """Append a record; return whether the store accepted it."""
        query = {'topic': topic, 'part': '0'}
        try:
            answer = await self._calls.call(
                'POST', names.APPEND_PATH, query, encode_record(key, content)
            )
        except StoreError:
            return False
        return answer.status == _OK

    async def _read_tail(
        self, stream: str, topic: str, position: int, era: int
    ) -> StreamUpdate | None:
        """
        Return None if the records are to be read by their keys instead.

        The position may not be kept, the topic be missing, or the response be
        cut at its size limit: the newest record of each key takes fewer calls
        then than what remains of the tail. Or the store has come to a later
        era, in which the position stands for another record.
        """
        query = {'topic': topic, 'part': '0', 'from': str(position)}
        answer = await self._calls.call('GET', names.READ_PATH, query)
        if answer.status in {_GONE, _NOT_FOUND}:
            return None
        require_ok(answer.status)
        _require_era(answer.era, era)
        if answer.era > era:
            return None
        try:
            tail = decode_tail(topic, answer.body, position)
        except StoreRecordsError as error:
            raise StoreError(SourceFailure.unreadable) from error
        if tail.is_cut:
            return None
        entries = _strip_heartbeats(stream, tail.entries)
        return StreamUpdate(stream, position, tail.end, 0, entries, False, era)

    async def _read_newest(self, stream: str, topic: str) -> StreamUpdate:
        era, pages = await self._calls.read_newest_pages(topic)
        entries = tuple(entry for page in pages for entry in page.entries)
        # Pages may differ in age: the next read starts at the end offset of the
        # first page, and repeats records that later pages already contain.
        end = pages[0].end
        return StreamUpdate(
            stream, 0, end, 0, _strip_heartbeats(stream, entries), True, era
        )


def _require_era(era: int, known_era: int) -> None:
    """Refuse an answer that was under way when the store was restored."""
    if era < known_era:
        raise StoreError(SourceFailure.outdated)


def _strip_heartbeats(
    stream: str, entries: tuple[StreamEntry, ...]
) -> tuple[StreamEntry, ...]:
    if stream != SERVERS_STREAM:
        return entries
    return tuple(
        StreamEntry(
            entry.key,
            entry.offset,
            None if entry.content is None else strip_heartbeat(entry.content),
        )
        for entry in entries
    )


__all__ = ('StoreClient',)
