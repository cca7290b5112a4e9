"""Client of the platform's store."""

from __future__ import annotations

import base64
import json
import struct
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from burdockledge.platform import _names as names
from burdockledge.platform._documents import strip_heartbeat
from burdockledge.relay import CONFIGURATION_STREAM, SERVERS_STREAM
from burdockledge.replication import RecordSource, SourceFailure
from burdockledge.wire import StreamEntry, StreamUpdate

if TYPE_CHECKING:
    from burdockledge.clock import Clock

# The users' store takes up to 0.3 s for a response when it is slow.
_CALL_TIMEOUT_SECONDS: Final = 0.9
_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410
_REFUSED_STATUSES: Final = frozenset((429, 503))
_MS_PER_SECOND: Final = 1000
# Start of the response to a read: end offset and first kept offset of a topic.
_READ_HEADER: Final = struct.Struct('>QQ')
# Length in bytes, before each record.
_RECORD_LENGTH: Final = struct.Struct('>I')
_TOPIC_BY_STREAM: Final = {
    CONFIGURATION_STREAM: names.CONFIGURATION_TOPIC,
    SERVERS_STREAM: names.SERVERS_TOPIC,
}


class _NewestRecord(BaseModel):
    key: str
    # In base64.
    value: str
    offset: int


class _NewestPage(BaseModel):
    items: tuple[_NewestRecord, ...] = ()
    # Whether more keys follow the last one.
    has_more: bool = False
    # Offset after the newest record of the topic.
    end: int


class _StoreError(Exception):
    """A call to the store that failed."""

    def __init__(self, failure: SourceFailure) -> None:
        """Hold the failure that the client reports."""
        super().__init__(failure.value)
        self.failure = failure


class StoreClient(RecordSource):
    """Reads topics of the store and registers this host in one of them."""

    def __init__(
        self, address: str, session: aiohttp.ClientSession, clock: Clock
    ) -> None:
        """
        Create a client of one store.

        :param address: ``IP:port`` of the store.
        """
        self._base_url = f'http://{address}'
        self._session = session
        self._clock = clock

    async def read(
        self, stream: str, position: int
    ) -> Result[StreamUpdate, SourceFailure]:
        """
        Read the records of a stream from a position on.

        :param position: the first offset to read; if it is negative or no
            longer kept, the newest record of each key is read instead.
        :return: the records and their age, an upper bound in milliseconds.
        """
        requested_at = self._clock.monotonic()
        topic = _TOPIC_BY_STREAM[stream]
        try:
            update = None
            if position >= 0:
                update = await self._read_tail(stream, topic, position)
            if update is None:
                update = await self._read_newest(stream, topic)
        except _StoreError as error:
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
        content = json.dumps({'address': peer_address}).encode()
        return await self._append(names.HOSTS_TOPIC, host, content)

    async def registered_hosts(self) -> Result[dict[str, str], SourceFailure]:
        """Return the peer address of each host ever registered, by name."""
        try:
            pages = await self._read_newest_pages(names.HOSTS_TOPIC)
        except _StoreError as error:
            return Err(error.failure)
        addresses: dict[str, str] = {}
        for page in pages:
            for item in page.items:
                address = _decode_address(item.value)
                if address is not None:
                    addresses[item.key] = address
        return Ok(addresses)

    async def write_kept(self, key: str, content: bytes | None) -> bool:
        """
        Keep a record for hosts that start later; without content, drop it.

        :return: whether the store accepted it.
        """
        return await self._append(names.KEPT_TOPIC, key, content or b'')

    async def read_kept(self) -> Result[dict[str, bytes], SourceFailure]:
        """Return the kept records, by key."""
        try:
            pages = await self._read_newest_pages(names.KEPT_TOPIC)
        except _StoreError as error:
            return Err(error.failure)
        return Ok(
            {
                item.key: base64.b64decode(item.value)
                for page in pages
                for item in page.items
            }
        )

    async def _append(self, topic: str, key: str, content: bytes) -> bool:
        """Append a record; return whether the store accepted it."""
        encoded_key = key.encode()
        record = bytes((len(encoded_key),)) + encoded_key + content
        query = {'topic': topic, 'part': '0'}
        try:
            status, _ = await self._call(
                'POST',
                names.APPEND_PATH,
                query,
                _RECORD_LENGTH.pack(len(record)) + record,
            )
        except _StoreError:
            return False
        return status == _OK

    async def _read_tail(
        self, stream: str, topic: str, position: int
    ) -> StreamUpdate | None:
        """Return None if the position is not kept or the topic is missing."""
        query = {'topic': topic, 'part': '0', 'from': str(position)}
        status, body = await self._call('GET', names.READ_PATH, query)
        if status in {_GONE, _NOT_FOUND}:
            return None
        _require_ok(status)
        try:
            end, entries = _decode_records(body, position)
        except (struct.error, IndexError, UnicodeDecodeError) as error:
            raise _StoreError(SourceFailure.unreadable) from error
        return StreamUpdate(
            stream, position, end, 0, _strip_heartbeats(stream, entries), False
        )

    async def _read_newest(self, stream: str, topic: str) -> StreamUpdate:
        pages = await self._read_newest_pages(topic)
        entries = [
            StreamEntry(item.key, item.offset, base64.b64decode(item.value))
            for page in pages
            for item in page.items
        ]
        # Pages may differ in age: the next read starts at the end offset of the
        # first page, and repeats records that later pages already contain.
        end = pages[0].end
        return StreamUpdate(
            stream, 0, end, 0, _strip_heartbeats(stream, entries), True
        )

    async def _read_newest_pages(self, topic: str) -> list[_NewestPage]:
        pages: list[_NewestPage] = []
        query = {'topic': topic, 'part': '0'}
        while True:
            status, body = await self._call('GET', names.NEWEST_PATH, query)
            if status == _NOT_FOUND:
                return [_NewestPage(end=0)]
            _require_ok(status)
            try:
                page = _NewestPage.model_validate_json(body)
            except ValidationError as error:
                raise _StoreError(SourceFailure.unreadable) from error
            pages.append(page)
            if not page.has_more or not page.items:
                return pages
            query['after'] = page.items[-1].key

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None = None,
    ) -> tuple[int, bytes]:
        client_timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_SECONDS)
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                params=query,
                data=body,
                timeout=client_timeout,
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _StoreError(SourceFailure.unavailable) from error


def _require_ok(status: int) -> None:
    if status in _REFUSED_STATUSES:
        raise _StoreError(SourceFailure.refused)
    if status != _OK:
        raise _StoreError(SourceFailure.unreadable)


def _decode_records(body: bytes, start: int) -> tuple[int, list[StreamEntry]]:
    """
    Decode the response to a read.

    :param start: offset of the first record.
    :return: the offset to read from next, and the records.
    """
    end, _ = _READ_HEADER.unpack_from(body)
    entries: list[StreamEntry] = []
    cursor = _READ_HEADER.size
    while cursor < len(body):
        length = _RECORD_LENGTH.unpack_from(body, cursor)[0]
        cursor += _RECORD_LENGTH.size
        record = body[cursor : cursor + length]
        if len(record) < length:
            # The store cut the response at its size limit; the next read
            # returns the rest.
            break
        cursor += length
        offset = start + len(entries)
        key_end = 1 + record[0]
        content = record[key_end:]
        entries.append(
            StreamEntry(
                record[1:key_end].decode('utf-8', 'replace'),
                offset,
                content or None,
            ),
        )
    return min(end, start + len(entries)), entries


def _strip_heartbeats(
    stream: str, entries: list[StreamEntry]
) -> tuple[StreamEntry, ...]:
    if stream != SERVERS_STREAM:
        return tuple(entries)
    return tuple(
        StreamEntry(
            entry.key,
            entry.offset,
            None if entry.content is None else strip_heartbeat(entry.content),
        )
        for entry in entries
    )


def _decode_address(encoded: str) -> str | None:
    try:
        document: Any = json.loads(base64.b64decode(encoded))
    except ValueError:
        return None
    address = document.get('address') if isinstance(document, dict) else None
    return address if isinstance(address, str) else None


__all__ = ('StoreClient',)
