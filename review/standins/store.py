"""A sound stand-in of the platform's store: a log with keyed topics."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

from standins.wire import Message, encode, read_message

READ_BYTES = 1024 * 1024
RECORD_BYTES = 262144


class Store:
    """Topics with one partition, in memory; nothing acknowledged is lost."""

    def __init__(self, record) -> None:
        """Create the store; ``record`` writes lines of the record."""
        self._record = record
        self._topics: dict[str, list[tuple[bytes, bytes]]] = {
            'keyed.op': [],
            'keyed.servers': [],
        }
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''
        self.calls = 0
        self.last_reads: dict[str, float] = {}

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def share_topics(self, other: Store) -> None:
        """Serve the topics of another listener."""
        self._topics = other._topics

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, as the operator or a server does."""
        self._topics.setdefault(topic, []).append((key.encode(), value))

    def write_configuration(self, document: dict) -> None:
        """Write a version of the configuration; its return is the ack."""
        text = json.dumps(document, separators=(',', ':')).encode()
        if len(text) > RECORD_BYTES:
            raise ValueError('the record is too large for the store')
        self.write('keyed.op', 'config', text)
        self._record('operator', 'ack', version=document['version'])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                self.calls += 1
                writer.write(self._answer(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer(self, request: Message) -> bytes:
        url = urlsplit(request.start.split(' ')[1])
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        topic = query.get('topic', '')
        call = url.path.rpartition('/')[2]
        if call == 'log-append':
            return self._append(topic, request.body)
        if call not in {'log-read', 'log-newest'}:
            return encode('HTTP/1.1 404 Not Found', [])
        if topic not in self._topics:
            return encode('HTTP/1.1 404 Not Found', [])
        self.last_reads[topic] = time.monotonic()
        if call == 'log-read':
            return self._read(topic, int(query['from']))
        return self._newest(topic, query.get('after', ''))

    def _append(self, topic: str, body: bytes) -> bytes:
        if topic in {'keyed.op', 'keyed.servers'}:
            return encode('HTTP/1.1 403 Forbidden', [])
        records = self._topics.setdefault(topic, [])
        offset = len(records)
        while body:
            (length,) = struct.unpack_from('>I', body)
            record, body = body[4 : 4 + length], body[4 + length :]
            key_end = 1 + record[0]
            records.append((record[1:key_end], record[key_end:]))
        return _json({'offset': offset, 'end': len(records)})

    def _read(self, topic: str, start: int) -> bytes:
        records = self._topics[topic]
        body = struct.pack('>QQ', len(records), 0)
        for key, value in records[start:]:
            record = bytes((len(key),)) + key + value
            if len(body) + 4 + len(record) > READ_BYTES:
                break
            body += struct.pack('>I', len(record)) + record
        return encode(
            'HTTP/1.1 200 OK',
            [('Content-Type', 'application/octet-stream')],
            body,
        )

    def _newest(self, topic: str, after: str) -> bytes:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self._topics[topic]):
            newest[key.decode('utf-8', 'replace')] = (offset, value)
        keys = sorted(key for key in newest if key > after and newest[key][1])
        items = [
            {
                'key': key,
                'value': base64.b64encode(newest[key][1]).decode(),
                'offset': newest[key][0],
            }
            for key in keys[:500]
        ]
        return _json(
            {
                'items': items,
                'has_more': len(keys) > 500,
                'end': len(self._topics[topic]),
            }
        )


def _json(document: dict) -> bytes:
    return encode(
        'HTTP/1.1 200 OK',
        [('Content-Type', 'application/json')],
        json.dumps(document).encode(),
    )
