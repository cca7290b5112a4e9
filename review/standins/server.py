"""A sound stand-in of a backend server."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time

from standins.store import Store
from standins.wire import Message, encode, read_message

HEARTBEAT_SECONDS = 1.2


class Server:
    """Runs requests, and registers in the store with heartbeats."""

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        record,
        zone: str = 'leicester',
        slots: int = 6,
        work_seconds: float = 0.02,
    ) -> None:
        """Create a server without starting it."""
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.zone = zone
        self.slots = slots
        self.work_seconds = work_seconds
        self.state = 'ready'
        self.address = ''
        self.runs: list[tuple[str, float]] = []
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self._beats = asyncio.create_task(self._beat())

    def register(self) -> None:
        """Write the entry of this server."""
        self._seq += 1
        entry = {
            'backend': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'seq': self._seq,
            'born': self._born,
        }
        self.store.write('keyed.servers', self.name, json.dumps(entry).encode())

    def drain(self) -> None:
        """Report draining; the return is the store's ack."""
        self.state = 'draining'
        self.register()
        self.record('server', 'draining', server=self.name)

    async def stop(self) -> None:
        """Close the listener and all channels."""
        if self._beats is not None:
            self._beats.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await read_message(reader)
                if not request.is_complete:
                    break
                await self.answer(request, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        request_id = request.get('Burdockledge-Request-Id') or ''
        expected = request.get('Burdockledge-Expect-Instance')
        if expected is not None and expected != self.name:
            self.record('server', 'misdirected', server=self.name, id=request_id)
            writer.write(
                encode(
                    'HTTP/1.1 421 Misdirected Request',
                    [
                        ('Burdockledge-Request-Id', request_id),
                        ('Burdockledge-Instance-Id', self.name),
                    ],
                )
            )
            return
        self.runs.append((request_id, time.monotonic()))
        self.record(
            'server',
            'runs',
            server=self.name,
            service=self.service,
            id=request_id,
            path=request.start.split(' ')[1],
            tenant=request.get('Burdockledge-Tenant'),
        )
        await asyncio.sleep(self.work_seconds)
        writer.write(
            encode(
                'HTTP/1.1 200 OK',
                [
                    ('Burdockledge-Request-Id', request_id),
                    ('Burdockledge-Response-Seal', f'seal.{self.name}'),
                    ('Content-Type', 'text/plain'),
                ],
                f'{request_id} by {self.name}'.encode(),
            )
        )


class StreamServer(Server):
    """Answers with a short stream of events."""

    event_count = 3
    event_seconds = 0.02
    # Time until the head and the first event, for waiting and prefill.
    first_event_seconds = 0.02

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request with events."""
        request_id = request.get('Burdockledge-Request-Id') or ''
        self.runs.append((request_id, time.monotonic()))
        self.record(
            'server',
            'runs',
            server=self.name,
            service=self.service,
            id=request_id,
            path=request.start.split(' ')[1],
        )
        await asyncio.sleep(self.first_event_seconds)
        writer.write(
            b'HTTP/1.1 200 OK\r\n'
            + f'Burdockledge-Request-Id: {request_id}\r\n'.encode()
            + f'Burdockledge-Response-Seal: seal.{self.name}\r\n'.encode()
            + b'Content-Type: text/event-stream\r\n'
            + b'Transfer-Encoding: chunked\r\n\r\n'
        )
        for number in range(1, self.event_count + 1):
            if number > 1:
                await asyncio.sleep(self.event_seconds)
            event = f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
