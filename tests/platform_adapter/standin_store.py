"""A stand-in of the platform's store that keeps topics in memory."""

from __future__ import annotations

import base64
import struct
from dataclasses import dataclass, field

from aiohttp import web


@dataclass
class StandInStore:
    """
    Topics with one partition each.

    ``topics`` holds the key and content of each record, in order;
    ``first_offsets`` the first offset that a read may start from, by topic;
    ``next_statuses`` the error statuses of the next calls. ``raw_records``
    and ``raw_items`` replace records, by topic and offset, as they are sent
    by the two ways of reading. ``read_bytes`` is the size at which a read is
    cut.
    """

    topics: dict[str, list[tuple[str, bytes]]] = field(default_factory=dict)
    first_offsets: dict[str, int] = field(default_factory=dict)
    next_statuses: list[int] = field(default_factory=list)
    page_size: int = 500
    read_bytes: int = 1024 * 1024
    raw_records: dict[tuple[str, int], bytes] = field(default_factory=dict)
    raw_items: dict[tuple[str, int], object] = field(default_factory=dict)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Respond to one call."""
        if self.next_statuses:
            return web.Response(status=self.next_statuses.pop(0))
        topic = request.rel_url.query['topic']
        if request.path.endswith('log-append'):
            return self._append(topic, await request.read())
        if topic not in self.topics:
            return web.Response(status=404)
        if request.path.endswith('log-read'):
            return self._read(topic, int(request.rel_url.query['from']))
        return self._read_newest(topic, request.rel_url.query.get('after', ''))

    def _append(self, topic: str, body: bytes) -> web.Response:
        (length,) = struct.unpack_from('>I', body)
        record = body[4 : 4 + length]
        key_end = 1 + record[0]
        records = self.topics.setdefault(topic, [])
        records.append((record[1:key_end].decode(), record[key_end:]))
        return web.json_response(
            {'offset': len(records) - 1, 'end': len(records)}
        )

    def _read(self, topic: str, start: int) -> web.Response:
        records = self.topics[topic]
        first_offset = self.first_offsets.get(topic, 0)
        if start < first_offset:
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
