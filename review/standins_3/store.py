"""A sound stand-in of the platform's store, in memory."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from collections import defaultdict
from urllib.parse import parse_qs, urlsplit

from review.standins_3 import wire


class Store:
    """Topics of one partition each; keyed topics keep the newest records."""

    def __init__(self) -> None:
        self.topics: dict[str, list[bytes]] = defaultdict(list)
        # A request waits this long for its answer.
        self.delay_seconds = 0.0
        # Called with the path and the peer's address; returns whether the
        # store answers the call.
        self.answers = lambda path, peer: True
        self._server: asyncio.Server | None = None
        self.address = ''
        self.log: list[tuple[str, str, int]] = []

    async def start(self, ip: str = '127.0.0.1', port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, ip, port)
        name = self._server.sockets[0].getsockname()
        self.address = f'{name[0]}:{name[1]}'

    def put(self, topic: str, key: str, value: object | None) -> int:
        """Write a record as the operator or a server does."""
        content = b'' if value is None else json.dumps(value).encode()
        name = key.encode()
        self.topics[topic].append(bytes((len(name),)) + name + content)
        return len(self.topics[topic])

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        records: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self.topics[topic]):
            end = 1 + record[0]
            key = record[1:end].decode()
            records.pop(key, None)
            if record[end:]:
                records[key] = (offset, record[end:])
        return dict(sorted(records.items()))

    async def _serve(self, reader, writer) -> None:
        peer = writer.get_extra_info('peername')[0]
        try:
            while True:
                request = await wire.read_request(reader)
                if request is None:
                    break
                url = urlsplit(request.target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                await asyncio.sleep(self.delay_seconds)
                if not self.answers(url.path, peer):
                    await asyncio.sleep(3600)
                status, body = self._answer(
                    request.method, url.path, query, request.body
                )
                self.log.append((peer, url.path, status))
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n'
                    % (status, len(body))
                    + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _answer(self, method, path, query, body) -> tuple[int, bytes]:
        topic = query.get('topic', '')
        records = self.topics[topic]
        if path == '/burdockledge/log-append':
            if 'at' in query and int(query['at']) != len(records):
                return 412, json.dumps({'end': len(records)}).encode()
            offset = len(records)
            cursor = 0
            while cursor < len(body):
                size = struct.unpack_from('>I', body, cursor)[0]
                cursor += 4
                records.append(body[cursor : cursor + size])
                cursor += size
            return 200, json.dumps(
                {'offset': offset, 'end': len(records)}
            ).encode()
        if path == '/burdockledge/log-read':
            start = int(query['from'])
            out = struct.pack('>QQ', len(records), 0)
            for record in records[start:]:
                out += struct.pack('>I', len(record)) + record
            return 200, out
        if path == '/burdockledge/log-newest':
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (offset, value) in self.newest(topic).items()
                if key > query.get('after', '')
            ]
            page = {
                'items': items[:500],
                'has_more': len(items) > 500,
                'end': len(records),
            }
            return 200, json.dumps(page).encode()
        return 404, b'{}'
