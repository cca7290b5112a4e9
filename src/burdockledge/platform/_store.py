"""The client of the platform's store."""

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
from burdockledge.platform._documents import without_heartbeat
from burdockledge.relay import CONFIGURATION_STREAM, SERVERS_STREAM
from burdockledge.replication import RecordSource, SourceFailure
from burdockledge.wire import StreamEntry, StreamUpdate

if TYPE_CHECKING:
    from burdockledge.clock import Clock

# A slow store of the users takes 0.3 s for an answer.
_CALL_SECONDS: Final = 0.9
_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410
_REFUSALS: Final = frozenset((429, 503))
_MS: Final = 1000
_HEAD: Final = struct.Struct('>QQ')
_LENGTH: Final = struct.Struct('>I')
_TOPICS: Final = {
    CONFIGURATION_STREAM: names.CONFIGURATION_TOPIC,
    SERVERS_STREAM: names.SERVERS_TOPIC,
}


class _Item(BaseModel):
    key: str
    # Base64.
    value: str
    offset: int


class _Newest(BaseModel):
    items: tuple[_Item, ...] = ()
    # Whether more keys follow the last one.
    has_more: bool = False
    # The offset behind the newest record of the topic.
    end: int


class _StoreError(Exception):
    """A call that gave no usable answer."""

    def __init__(self, failure: SourceFailure) -> None:
        """Carry the failure to the border of the client."""
        super().__init__(failure.value)
        self.failure = failure


class StoreClient(RecordSource):
    """Reads topics of the store and lists this host in one of them."""

    def __init__(
        self, address: str, session: aiohttp.ClientSession, clock: Clock
    ) -> None:
        """Call the store at ``IP:port``."""
        self._base = f'http://{address}'
        self._session = session
        self._clock = clock

    async def read(
        self, stream: str, position: int
    ) -> Result[StreamUpdate, SourceFailure]:
        """Read from a position on, or the whole of an unknown stream."""
        asked_at = self._clock.monotonic()
        topic = _TOPICS[stream]
        try:
            update = None
            if position >= 0:
                update = await self._tail(stream, topic, position)
            if update is None:
                update = await self._whole(stream, topic)
        except _StoreError as error:
            return Err(error.failure)
        age_ms = int((self._clock.monotonic() - asked_at) * _MS) + 1
        return Ok(replace(update, age_ms=age_ms))

    async def register(self, host: str, peer_address: str) -> bool:
        """Add this host, by its peer address, to the stored hosts."""
        key = host.encode()
        content = json.dumps({'address': peer_address}).encode()
        record = bytes((len(key),)) + key + content
        query = {'topic': names.HOSTS_TOPIC, 'part': '0'}
        try:
            status, _ = await self._call(
                'POST',
                names.APPEND_PATH,
                query,
                _LENGTH.pack(len(record)) + record,
            )
        except _StoreError:
            return False
        return status == _OK

    async def registered_hosts(self) -> Result[dict[str, str], SourceFailure]:
        """Return the peer addresses of all hosts ever registered."""
        try:
            pages = await self._newest(names.HOSTS_TOPIC)
        except _StoreError as error:
            return Err(error.failure)
        found: dict[str, str] = {}
        for page in pages:
            for item in page.items:
                address = _address_in(item.value)
                if address is not None:
                    found[item.key] = address
        return Ok(found)

    async def _tail(
        self, stream: str, topic: str, position: int
    ) -> StreamUpdate | None:
        query = {'topic': topic, 'part': '0', 'from': str(position)}
        status, body = await self._call('GET', names.READ_PATH, query)
        if status in {_GONE, _NOT_FOUND}:
            return None
        _require_ok(status)
        try:
            end, entries = _records(body, position)
        except (struct.error, IndexError, UnicodeDecodeError) as error:
            raise _StoreError(SourceFailure.unreadable) from error
        return StreamUpdate(
            stream, position, end, 0, _decoded(stream, entries), False
        )

    async def _whole(self, stream: str, topic: str) -> StreamUpdate:
        pages = await self._newest(topic)
        entries = [
            StreamEntry(item.key, item.offset, base64.b64decode(item.value))
            for page in pages
            for item in page.items
        ]
        # Pages are no snapshot: what came after the first is read again.
        end = pages[0].end
        return StreamUpdate(stream, 0, end, 0, _decoded(stream, entries), True)

    async def _newest(self, topic: str) -> list[_Newest]:
        pages: list[_Newest] = []
        query = {'topic': topic, 'part': '0'}
        while True:
            status, body = await self._call('GET', names.NEWEST_PATH, query)
            if status == _NOT_FOUND:
                return [_Newest(end=0)]
            _require_ok(status)
            try:
                page = _Newest.model_validate_json(body)
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
        limit = aiohttp.ClientTimeout(total=_CALL_SECONDS)
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=query,
                data=body,
                timeout=limit,
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _StoreError(SourceFailure.unavailable) from error


def _require_ok(status: int) -> None:
    if status in _REFUSALS:
        raise _StoreError(SourceFailure.refused)
    if status != _OK:
        raise _StoreError(SourceFailure.unreadable)


def _records(body: bytes, start: int) -> tuple[int, list[StreamEntry]]:
    """Decode a read: the end, the first kept offset, then the records."""
    end, _ = _HEAD.unpack_from(body)
    entries: list[StreamEntry] = []
    at = _HEAD.size
    while at < len(body):
        length = _LENGTH.unpack_from(body, at)[0]
        at += _LENGTH.size
        record = body[at : at + length]
        if len(record) < length:
            # The read was cut at its size limit: the rest comes next time.
            break
        at += length
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


def _decoded(
    stream: str, entries: list[StreamEntry]
) -> tuple[StreamEntry, ...]:
    if stream != SERVERS_STREAM:
        return tuple(entries)
    return tuple(
        StreamEntry(
            entry.key,
            entry.offset,
            None if entry.content is None else without_heartbeat(entry.content),
        )
        for entry in entries
    )


def _address_in(encoded: str) -> str | None:
    try:
        raw: Any = json.loads(base64.b64decode(encoded))
    except ValueError:
        return None
    address = raw.get('address') if isinstance(raw, dict) else None
    return address if isinstance(address, str) else None


__all__ = ('StoreClient',)
