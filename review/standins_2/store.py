"""A stand-in of the platform's store: keyed topics, as PROTOCOL tells them."""

from __future__ import annotations

import asyncio
import base64
import json
from urllib.parse import parse_qsl, urlsplit

from standins_2.http import message, read_body, read_head

_PAGE = 500


class Store:
    """Answers log-append, log-read and log-newest of partition 0."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.address = ''
        self._server: asyncio.Server | None = None

    async def start(self, ip: str = '127.0.0.1') -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f'{ip}:{self._server.sockets[0].getsockname()[1]}'

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    def put(self, topic: str, key: str, value: dict | None) -> None:
        """Append a record of the operator or of a runner."""
        raw = b'' if value is None else json.dumps(value).encode()
        self.topics.setdefault(topic, []).append((key, raw))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head)
                method, target, _ = head.line.split(' ')
                status, kind, answer = self._answer(method, target, body)
                writer.write(
                    message(f'HTTP/1.1 {status} X', {'Content-Type': kind}, answer)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, str, bytes]:
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        records = self.topics.setdefault(query.get('topic', ''), [])
        if url.path.endswith('/log-append'):
            return self._append(records, query, body)
        if url.path.endswith('/log-read'):
            return self._read(records, int(query['from']))
        if url.path.endswith('/log-newest'):
            return self._newest(records, query.get('after', ''))
        return 404, 'application/json', b'{}'

    def _append(
        self, records: list[tuple[str, bytes]], query: dict[str, str], body: bytes
    ) -> tuple[int, str, bytes]:
        if 'at' in query and int(query['at']) != len(records):
            return 412, 'application/json', json.dumps({'end': len(records)}).encode()
        offset = len(records)
        at = 0
        while at < len(body):
            size = int.from_bytes(body[at : at + 4], 'big')
            record = body[at + 4 : at + 4 + size]
            key_size = record[0]
            records.append(
                (record[1 : 1 + key_size].decode(), record[1 + key_size :])
            )
            at += 4 + size
        answer = {'offset': offset, 'end': len(records)}
        return 200, 'application/json', json.dumps(answer).encode()

    def _read(
        self, records: list[tuple[str, bytes]], start: int
    ) -> tuple[int, str, bytes]:
        raw = len(records).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            raw += len(content).to_bytes(4, 'big') + content
        return 200, 'application/octet-stream', raw

    def _newest(
        self, records: list[tuple[str, bytes]], after: str
    ) -> tuple[int, str, bytes]:
        newest = {
            key: (offset, value) for offset, (key, value) in enumerate(records)
        }
        keys = sorted(
            key for key, (_, value) in newest.items() if value and key > after
        )
        items = [
            {
                'key': key,
                'value': base64.b64encode(newest[key][1]).decode(),
                'offset': newest[key][0],
            }
            for key in keys[:_PAGE]
        ]
        answer = {
            'items': items, 'has_more': len(keys) > _PAGE, 'end': len(records),
        }
        return 200, 'application/json', json.dumps(answer).encode()
