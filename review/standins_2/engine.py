"""
A sound model runner: batch, a short queue, urgency and preemption.

As PROTOCOL says: more urgent requests are admitted first; when memory runs
out, the newest of the least urgent requests is preempted, also in the middle
of its stream, and goes on once there is memory again. A request for which
there is neither memory nor a place in the queue is refused, and has not run.
Each request takes one place of the memory here.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from standins_2.http import Head, chunk, message, read_body, read_head
from standins_2.store import Store

HEARTBEAT_SECONDS = 1.2


@dataclass
class Run:
    """One request at one engine."""

    request_id: str
    engine: str
    urgency: int
    arrived_at: float
    after: int
    events: list[int] = field(default_factory=list)
    has_memory: asyncio.Event = field(default_factory=asyncio.Event)
    # The spans without memory, after the start.
    preempted: list[list[float]] = field(default_factory=list)
    # complete, cut (the other side closed), or running.
    end: str = 'running'
    ended_at: float = 0.0
    # Whether its engine crashed under it.
    is_crashed: bool = False


class Engine:
    """Registers in the store, and streams events to the callers."""

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        places: int,
        queue: int,
        streams: dict[str, tuple[int, float]],
        read_seconds: float = 0.0,
    ) -> None:
        """
        Create an engine.

        :param streams: events of a stream and seconds for each, by path.
        :param read_seconds: to read a prompt, also again after a preemption.
        """
        self.name = name
        self.service = service
        self.runs: list[Run] = []
        self.refused: list[str] = []
        self.address = ''
        self._places = places
        self._queue = queue
        self._streams = streams
        self._read_seconds = read_seconds
        self._active: list[Run] = []
        self._waiting: list[Run] = []
        self._store = store
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._port = 0

    async def start(self, ip: str = '127.0.0.1') -> None:
        """Listen and register."""
        # A start again is a new boot at the same address.
        self._born = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, ip, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{self._port}'
        self._beat = asyncio.create_task(self._beat_forever())

    def close(self) -> None:
        """Stop to listen and to register."""
        if self._server is not None:
            self._server.close()
        if self._beat is not None:
            self._beat.cancel()

    def crash(self) -> None:
        """End as a crashed process does: all channels reset, no word."""
        self.close()
        for run in self._active + self._waiting:
            run.is_crashed = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _beat_forever(self) -> None:
        while True:
            self._seq += 1
            self._store.put('keyed.servers', self.name, {
                'backend': self.service, 'address': self.address,
                'zone': 'leicester', 'version': '1', 'slots': self._places,
                'state': 'ready', 'cold_remaining_ms': 0, 'seq': self._seq,
                'born': self._born,
            })
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _admit(self, run: Run) -> bool:
        """Give a request memory or a place in the queue."""
        if len(self._active) < self._places and not self._waiting:
            self._activate(run)
            return True
        victim = max(self._active, key=lambda one: (one.urgency, one.arrived_at))
        if victim.urgency > run.urgency:
            self._active.remove(victim)
            victim.has_memory.clear()
            victim.preempted.append([time.monotonic()])
            self._waiting.append(victim)
            self._activate(run)
            return True
        if len(self._waiting) >= self._queue:
            return False
        self._waiting.append(run)
        return True

    def _activate(self, run: Run) -> None:
        if run.preempted and len(run.preempted[-1]) == 1:
            run.preempted[-1].append(time.monotonic())
        self._active.append(run)
        run.has_memory.set()

    def _leave(self, run: Run) -> None:
        if run in self._active:
            self._active.remove(run)
        if run in self._waiting:
            self._waiting.remove(run)
        while self._waiting and len(self._active) < self._places:
            chosen = min(
                self._waiting, key=lambda one: (one.urgency, one.arrived_at)
            )
            self._waiting.remove(chosen)
            self._activate(chosen)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                await read_body(reader, head)
                if not await self._answer(head, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = head.headers['burdockledge-request-id']
        echo = {'Burdockledge-Request-Id': request_id}
        run = Run(
            request_id, self.name,
            int(head.headers.get('burdockledge-request-urgency', 5)),
            time.monotonic(), int(head.headers.get('last-event-id') or 0),
        )
        expected = head.headers.get('burdockledge-expect-instance', self.name)
        status = 421 if expected != self.name else 0
        if not status and not self._admit(run):
            status = 503
        if status:
            self.refused.append(request_id)
            refusal = {**echo, 'Burdockledge-Not-Executed': '1'}
            writer.write(message(f'HTTP/1.1 {status} X', refusal))
            await writer.drain()
            return True
        self.runs.append(run)
        closed = asyncio.ensure_future(reader.read(1))
        try:
            is_whole = await self._stream(run, head, echo, closed, writer)
        except ConnectionError:
            is_whole = False
        finally:
            closed.cancel()
            self._leave(run)
        run.end = 'complete' if is_whole else 'cut'
        run.ended_at = time.monotonic()
        return False

    async def _stream(
        self,
        run: Run,
        head: Head,
        echo: dict[str, str],
        closed: asyncio.Future[bytes],
        writer: asyncio.StreamWriter,
    ) -> bool:
        path = '/' + head.line.split('/')[1] + '/'
        count, seconds = self._streams[path]
        fields = {
            **echo, 'Burdockledge-Response-Seal': f'{self.name}.seal',
            'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked',
        }
        lines = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
        start = f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode()
        for number in range(run.after + 1, count + 1):
            read_seconds = self._read_seconds if start else 0.0
            if not await self._step(run, read_seconds + seconds, closed):
                return False
            event = f'id: {number}\ndata: {run.request_id} {number}\n\n'.encode()
            writer.write(start + chunk(event))
            start = b''
            await writer.drain()
            run.events.append(number)
        writer.write(start + chunk(b''))
        await writer.drain()
        return True

    async def _step(
        self, run: Run, seconds: float, closed: asyncio.Future[bytes]
    ) -> bool:
        """Work on one event; return whether the other side is still there."""
        stop_at = time.monotonic() + seconds
        while (left := stop_at - time.monotonic()) > 0 or not run.has_memory.is_set():
            if run.has_memory.is_set():
                await asyncio.wait((closed,), timeout=left)
            else:
                got = asyncio.ensure_future(run.has_memory.wait())
                await asyncio.wait((closed, got), return_when='FIRST_COMPLETED')
                got.cancel()
                stop_at = time.monotonic() + self._read_seconds + seconds
            if closed.done():
                return False
        return True
