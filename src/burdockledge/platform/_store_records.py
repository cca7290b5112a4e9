"""
Decodes the responses of the store, whatever its writers have appended.

A record that can not be read is logged and left out; the others hold.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any, Final

from pydantic import (
    Base64Bytes,
    BaseModel,
    Field,
    TypeAdapter,
    ValidationError,
)

from burdockledge.settings import Address
from burdockledge.telemetry import make_logger
from burdockledge.wire import StreamEntry

_log = make_logger('store')

# Start of the response to a read: end offset and first kept offset of a topic.
_READ_HEADER: Final = struct.Struct('>QQ')
# Length in bytes, before each record.
_RECORD_LENGTH: Final = struct.Struct('>I')
# Offsets are signed 64-bit integers in the messages of the hosts.
_MAX_OFFSET: Final = (1 << 63) - 1

_Offset = Annotated[int, Field(ge=0, le=_MAX_OFFSET)]


class StoreRecordsError(Exception):
    """A response of the store as a whole can not be read."""


class _NewestRecord(BaseModel):
    key: Annotated[str, Field(min_length=1)]
    value: Base64Bytes
    offset: _Offset


class _NewestPage(BaseModel):
    items: tuple[Any, ...] = ()
    # Whether more keys follow the last one.
    has_more: bool = False
    # Offset after the newest record of the topic.
    end: _Offset


class _HostRecord(BaseModel):
    address: Address


_NEWEST_RECORD: Final = TypeAdapter(_NewestRecord)


@dataclass(frozen=True, slots=True)
class NewestPage:
    """
    The newest records of some keys.

    ``end`` is the offset after the newest record of the topic. More keys
    follow after ``next_after``, unless it is None.
    """

    entries: tuple[StreamEntry, ...]
    end: int
    next_after: str | None = None


@dataclass(frozen=True, slots=True)
class Tail:
    """
    The records of a topic from an offset on.

    ``end`` is the offset to read from next. With ``is_cut`` the topic has
    further records, which the response did not hold.
    """

    entries: tuple[StreamEntry, ...]
    end: int
    is_cut: bool


def encode_record(key: str, content: bytes) -> bytes:
    """Return a record as the store takes it; without content, a removal."""
    encoded_key = key.encode()
    record = bytes((len(encoded_key),)) + encoded_key + content
    return _RECORD_LENGTH.pack(len(record)) + record


def decode_tail(topic: str, body: bytes, start: int) -> Tail:
    """
    Decode the response to a read of records from an offset on.

    :param start: the offset of the first record.
    :return: the readable records.
    :raises StoreRecordsError: if the body is no such response.
    """
    if len(body) < _READ_HEADER.size:
        raise StoreRecordsError
    end, _ = _READ_HEADER.unpack_from(body)
    next_offset = start
    entries: list[StreamEntry] = []
    for record in _split_records(body):
        entry = _decode_record(record, next_offset)
        if entry is None:
            _log.warning(
                'Record can not be read.', topic=topic, offset=next_offset
            )
        else:
            entries.append(entry)
        next_offset += 1
    return Tail(tuple(entries), min(end, next_offset), next_offset < end)


def decode_newest_page(topic: str, body: bytes) -> NewestPage:
    """
    Decode the response to a read of the newest record of each key.

    :raises StoreRecordsError: if the body is no such response.
    """
    try:
        page = _NewestPage.model_validate_json(body)
    except ValidationError as error:
        raise StoreRecordsError from error
    entries = tuple(_readable_items(topic, page.items))
    has_next = page.has_more and entries
    return NewestPage(entries, page.end, entries[-1].key if has_next else None)


def decode_host_address(content: bytes) -> str | None:
    """Return the peer address in the record of a host, None if it has none."""
    try:
        return _HostRecord.model_validate_json(content).address
    except ValidationError:
        return None


def encode_host_address(peer_address: str) -> bytes:
    """Return the content of the record of a host."""
    return json.dumps({'address': peer_address}).encode()


def _split_records(body: bytes) -> Iterator[bytes]:
    """Yield whole records; the store cuts a response at its size limit."""
    cursor = _READ_HEADER.size
    while cursor + _RECORD_LENGTH.size <= len(body):
        length = _RECORD_LENGTH.unpack_from(body, cursor)[0]
        cursor += _RECORD_LENGTH.size
        if cursor + length > len(body):
            return
        yield body[cursor : cursor + length]
        cursor += length


def _decode_record(record: bytes, offset: int) -> StreamEntry | None:
    """Return None for a record without a whole key."""
    if not record:
        return None
    key_end = 1 + record[0]
    try:
        key = record[1:key_end].decode()
    except UnicodeDecodeError:
        return None
    if not key or len(record) < key_end:
        return None
    return StreamEntry(key, offset, record[key_end:] or None)


def _readable_items(
    topic: str, raw_items: tuple[Any, ...]
) -> Iterator[StreamEntry]:
    for raw_item in raw_items:
        try:
            record = _NEWEST_RECORD.validate_python(raw_item)
        except ValidationError:
            _log.warning('Record can not be read.', topic=topic)
            continue
        yield StreamEntry(record.key, record.offset, record.value)


__all__ = (
    'NewestPage',
    'StoreRecordsError',
    'Tail',
    'decode_host_address',
    'decode_newest_page',
    'decode_tail',
    'encode_host_address',
    'encode_record',
)
