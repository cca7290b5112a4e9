"""A stand-in of the platform's store that keeps topics in memory."""

from __future__ import annotations

import base64
import struct
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from aiohttp import web

ERA_HEADER = 'Store-Era'
Raw = TypeVar('Raw')


@dataclass
class StandInStore:
    """
    Topics with one partition each.

    ``topics`` holds the key and content of each record, in order;
    ``first_offsets`` the first offset that a read may start from, by topic;
    ``next_statuses`` the error statuses of the next calls. ``raw_records``
    and ``raw_items`` replace records, by topic and offset, as they are sent
    by the two ways of reading. ``read_bytes`` is the size at which a read is
    cut. ``era`` rises with each restore.
    """

    topics: dict[str, list[tuple[str, bytes]]] = field(default_factory=dict)
    first_offsets: dict[str, int] = field(default_factory=dict)
    next_statuses: list[int] = field(default_factory=list)
    page_size: int = 500
    read_bytes: int = 1024 * 1024
    raw_records: dict[tuple[str, int], bytes] = field(default_factory=dict)
    raw_items: dict[tuple[str, int], object] = field(default_factory=dict)
    era: int = 0
    # The time of each record that was written by a call of this class, and
    # the end of its topic then.
    _writes: list[tuple[float, str, int]] = field(default_factory=list)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Respond to one call."""
        if self.next_statuses:
            return self.refuse(self.next_statuses.pop(0))
        response = await self._respond(request)
        response.headers[ERA_HEADER] = str(self.era)
        return response

    def refuse(self, status: int) -> web.Response:
        """Return a refusal, which names the era like any other response."""
        return web.Response(status=status, headers={ERA_HEADER: str(self.era)})

    def write(self, topic: str, key: str, content: bytes) -> int:
        """Append a record and return its offset."""
        records = self.topics.setdefault(topic, [])
        records.append((key, content))
        self._writes.append((time.monotonic(), topic, len(records)))
        return len(records) - 1

    def ends(self) -> dict[str, int]:
        """Return the offset after the last record of each topic."""
        return {topic: len(records) for topic, records in self.topics.items()}

    def ends_at(self, at: float) -> dict[str, int]:
        """
        Return the offset after the last record that a past copy has.

        :param at: when the copy was made, in monotonic seconds. Records that
            :meth:`write` did not write are taken for older ones.
        """
        ends = self.ends()
        for written_at, topic, end in reversed(self._writes):
            if written_at <= at:
                break
            ends[topic] = min(ends[topic], end - 1)
        return ends

    def restore(
        self, ends: Mapping[str, int]
    ) -> dict[str, list[tuple[str, bytes]]]:
        """
        Return to a copy and begin the next era.

        The offsets from the ends of the copy on are given out again. Nothing
        is written again here: the operator and the servers do that.

        :param ends: see :meth:`ends`; topics without one are gone.
        :return: the records that are gone, in order, by topic.
        """
        self.era += 1
        lost = {
            topic: records[ends.get(topic, 0) :]
            for topic, records in self.topics.items()
        }
        for topic, records in tuple(self.topics.items()):
            end = ends.get(topic, 0)
            del records[end:]
            if topic not in ends:
                del self.topics[topic]
            if topic in self.first_offsets:
                self.first_offsets[topic] = min(self.first_offsets[topic], end)
        self._writes = [
            write for write in self._writes if write[2] <= ends.get(write[1], 0)
        ]
        self.raw_records = _before(self.raw_records, ends)
        self.raw_items = _before(self.raw_items, ends)
        return lost

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        topic = request.rel_url.query['topic']
        if request.path.endswith('log-append'):
            # Nothing may be appended between the check and the append.
            body = await request.read()
            expected_end = request.rel_url.query.get('at')
            end = len(self.topics.get(topic, ()))
            if expected_end not in {None, str(end)}:
                return web.json_response({'end': end}, status=412)
            return self._append(topic, body)
        if topic not in self.topics:
            return web.Response(status=404)
        if request.path.endswith('log-read'):
            return self._read(topic, int(request.rel_url.query['from']))
        return self._read_newest(topic, request.rel_url.query.get('after', ''))

    def _append(self, topic: str, body: bytes) -> web.Response:
        (length,) = struct.unpack_from('>I', body)
        record = body[4 : 4 + length]
        key_end = 1 + record[0]
        offset = self.write(topic, record[1:key_end].decode(), record[key_end:])
        return web.json_response({'offset': offset, 'end': offset + 1})

    def _read(self, topic: str, start: int) -> web.Response:
        records = self.topics[topic]
        first_offset = self.first_offsets.get(topic, 0)
        if not first_offset <= start <= len(records):
            return web.json_response({'first': first_offset}, status=410)
        body = struct.pack('>QQ', len(records), first_offset)
        for offset, (key, content) in enumerate(records[start:], start):
            record = bytes((len(key),)) + key.encode() + content
            record = self.raw_records.get((topic, offset), record)
            body += struct.pack('>I', len(record)) + record
            if len(body) >= self.read_bytes:
                break
        return web.Response(body=body)

    def _read_newest(self, topic: str, after: str) -> web.Response:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, content) in enumerate(self.topics[topic]):
            newest[key] = (offset, content)
        keys = sorted(key for key in newest if key > after and newest[key][1])
        items = [
            self.raw_items.get(
                (topic, newest[key][0]),
                {
                    'key': key,
                    'value': base64.b64encode(newest[key][1]).decode(),
                    'offset': newest[key][0],
                },
            )
            for key in keys[: self.page_size]
        ]
        return web.json_response(
            {
                'items': items,
                'has_more': len(keys) > self.page_size,
                'end': len(self.topics[topic]),
            },
        )


def _before(
    raw: dict[tuple[str, int], Raw], ends: Mapping[str, int]
) -> dict[tuple[str, int], Raw]:
    return {
        (topic, offset): content
        for (topic, offset), content in raw.items()
        if offset < ends.get(topic, 0)
    }
