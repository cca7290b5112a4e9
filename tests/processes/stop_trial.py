"""A host process that is stopped as planned, its servers and its callers."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from tests.platform_adapter.standin_server import (
    StandInServer,
    header_value,
    response_bytes,
)
from tests.soak._hosts import PORTS, SoakHost
from tests.soak._record import Record
from tests.soak._store import SoakStore

KINDS = {
    'safe': 'safe',
    'unsafe': 'unsafe',
    'stream': 'streaming',
    'resumed': 'streaming',
}
ROUTE_SECONDS = 20.0
# How long a server works on a call, by the second part of its path.
WORK_SECONDS = {'quick': 0.05, 'slow': 2.0, 'late': 9.0}
EVENT_SECONDS = 0.2
EVENT = b'id: %d\ndata: x\n\n'
READY_SECONDS = 20


@dataclass
class Sent:
    """One call, and what its caller saw; times of the monotonic clock."""

    request: str
    kind: str
    server: str
    limit_seconds: float
    is_kept: bool
    sent_at: float = 0.0
    is_connected: bool = False
    response: bytes = b''
    ended_at: float = 0.0

    @property
    def seconds(self) -> float:
        """The time from the last byte sent to the end."""
        return self.ended_at - self.sent_at

    @property
    def status(self) -> str:
        """The status of the response, empty without one."""
        return self.response[9:12].decode()

    @property
    def is_complete(self) -> bool:
        """Whether the response is whole."""
        head, _, body = self.response.partition(b'\r\n\r\n')
        if b'chunked' in head.lower():
            return body.endswith(b'0\r\n\r\n')
        length = header_value(head, 'Content-Length')
        return length is not None and len(body) == int(length)


async def work(
    head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Respond until the end of the trial."""
    try:
        await respond(head, writer)
    except asyncio.CancelledError:
        writer.transport.abort()
        raise


async def respond(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond after the time that the path names."""
    _, kind, speed, _ = head.split(b' ')[1].decode().split('/')
    seconds = WORK_SECONDS[speed]
    if KINDS[kind] != 'streaming':
        await asyncio.sleep(seconds)
        writer.write(response_bytes(head))
        return
    extra = 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n'
    start = response_bytes(head, b'', extra=extra)
    writer.write(start.replace(b'Content-Length: 0\r\n', b''))
    for number in range(1, 2 + int(seconds / EVENT_SECONDS)):
        event = EVENT % number
        writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b'0\r\n\r\n')


@dataclass
class StopTrial:
    """A host process, its servers and store, and the calls around its stop."""

    folder: Path
    subnet: str
    servers: list[StandInServer] = field(default_factory=list)
    calls: list[Sent] = field(default_factory=list)
    record: Record = field(default_factory=Record)

    @property
    def stopped_at(self) -> float:
        """When SIGTERM was sent, in seconds of the monotonic clock."""
        return self.record.stops[self.host.pid].began

    async def start(self) -> None:
        """Start the store, the servers and the host."""
        self.store = SoakStore(self.record, Random(1))
        address = await self.store.listen('h', f'{self.subnet}.200')
        for number in range(3):
            server = StandInServer(work)
            await server.start()
            self.servers.append(server)
            self.store.write_server(
                f's{number}',
                {
                    'backend': 'book', 'address': server.address, 'zone': 'a',
                    'slots': 500, 'state': 'ready', 'seq': 1,
                    'born': int(time.time() * 1000),
                },
            )  # fmt: skip
        self.store.write_configuration(configuration())
        self.host = SoakHost(
            'h', f'{self.subnet}.1', 'a', self.folder, self.record
        )
        self.host.write_settings(address, [], 2)
        await self.host.start()

    async def wait_until_ready(self) -> None:
        """Wait until the host serves a call."""
        async with asyncio.timeout(READY_SECONDS):
            while True:
                sent = Sent('ready', 'safe', 'quick', 1, is_kept=False)
                await self.send(sent)
                if sent.status == '200':
                    return
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop the host as planned."""
        await self.host.shut_down()

    async def close(self) -> None:
        """Stop the servers and the store."""
        for server in self.servers:
            await server.stop()
        await self.store.close()

    def runs(self) -> Counter[str | None]:
        """Return how often each request reached a server."""
        return Counter(
            header_value(head, 'Burdockledge-Request-Id')
            for server in self.servers
            for head, _ in server.requests
        )

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the host."""
        return await asyncio.open_connection(self.host.ip, PORTS['front'])

    async def send(
        self,
        sent: Sent,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter]
        | None = None,
        body_delay: float = 0.0,
    ) -> None:
        """Send a call and read what comes until its connection closes."""
        try:
            reader, writer = connection or await self.connect()
        except OSError:
            return
        raw = raw_request(sent)
        try:
            writer.write(raw[:-4])
            if body_delay:
                await asyncio.sleep(body_delay)
            writer.write(raw[-4:])
            await writer.drain()
            sent.is_connected = not reader.at_eof()
            sent.sent_at = time.monotonic()
            while not sent.is_complete:
                chunk = await reader.read(65536)
                if not chunk:
                    break
                sent.response += chunk
        except ConnectionError:
            # What was received so far is judged.
            pass
        sent.ended_at = time.monotonic()
        writer.close()


def configuration() -> dict[str, object]:
    """Return routes of all kinds, with long timeouts."""
    return {
        'version': 1,
        'routes': [
            {
                'name': kind, 'hostname': 'soak.example',
                'path_prefix': f'/{kind}/', 'route_type': route_type,
                'timeout_ms': ROUTE_SECONDS * 1000, 'target_latency_ms': 4000,
                'priority': 1, 'backend': 'book', 'max_attempts': 2,
                'stream_resume': kind == 'resumed',
            }
            for kind, route_type in KINDS.items()
        ],
        'backends': [{'name': 'book'}],
        'tenants': [{'name': 't', 'api_keys': ['k'], 'priority': 0}],
    }  # fmt: skip


def raw_request(sent: Sent) -> bytes:
    """Return the bytes of a call, with a body of four bytes."""
    lines = (
        f'POST /{sent.kind}/{sent.server}/x HTTP/1.1',
        'Host: soak.example',
        f'Burdockledge-Request-Id: {sent.request}',
        f'Burdockledge-Deadline-Ms: {int(sent.limit_seconds * 1000)}',
        'Authorization: Token k',
        'Content-Length: 4',
    )
    return '\r\n'.join(lines).encode() + b'\r\n\r\nbody'


async def send_and_keep(
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], sent: Sent
) -> None:
    """Send a call and keep its connection open."""
    reader, writer = connection
    writer.write(raw_request(sent))
    while not sent.is_complete:
        sent.response += await reader.read(65536)
