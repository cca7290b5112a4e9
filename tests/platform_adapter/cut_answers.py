"""Answers of a stand-in server that stop at any byte, and what callers get."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from tests.platform_adapter.front_harness import FrontHarness, request_bytes
from tests.platform_adapter.standin_server import (
    chunked_head,
    header_value,
    reset_connection,
    response_bytes,
    unframed_head,
)

EVENTS: Final = (b'id: 1\ndata: x\n\n', b'id: 2\ndata: y\n\n')
BODY: Final = b''.join(EVENTS)
INTERIM: Final = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
LAST_CHUNK: Final = b'0\r\nX-Trailer: t\r\n\r\n'
# Lets the host read what was sent before the connection is reset.
_SECONDS_BEFORE_END: Final = 0.001
_CALLER_SECONDS: Final = 4.0


@dataclass(frozen=True)
class Answer:
    """
    The bytes of a whole answer.

    ``decoded`` is, for each number of bytes of ``wire``, how many bytes of
    the body they hold.
    """

    wire: bytes
    head_size: int
    decoded: tuple[int, ...]


def encode_answer(head: bytes, body: bytes, framing: str) -> Answer:
    """Return the answer to a request, after an interim one."""
    if framing == 'length':
        response = response_bytes(head, body)
        answer_head = response.removesuffix(body)
        pieces = [(body, True)]
    elif framing == 'close':
        answer_head = unframed_head(head)
        pieces = [(body, True)]
    else:
        answer_head = chunked_head(head)
        pieces = []
        # The first chunk ends inside the first event.
        for chunk in filter(None, (body[:7], body[7:])):
            pieces.append((b'%x;ext=1\r\n' % len(chunk), False))
            pieces.append((chunk, True))
            pieces.append((b'\r\n', False))
        pieces.append((LAST_CHUNK, False))
    answer_head = INTERIM + answer_head
    decoded = [0] * (len(answer_head) + 1)
    for piece, is_body in pieces:
        for _ in piece:
            decoded.append(decoded[-1] + is_body)
    wire = answer_head + b''.join(piece for piece, _ in pieces)
    return Answer(wire, len(answer_head), tuple(decoded))


@dataclass
class CuttingServer:
    """
    Cuts the answers to a request, in turn, and then answers whole.

    ``cuts`` holds where answers are cut, and whether their connections are
    reset. Whole answers wait for each other at the ``barrier``, if any.
    ``ordinals`` holds, for each request, its number on its connection.
    """

    framing: str
    is_kept: bool
    cuts: list[tuple[int, bool]] = field(default_factory=list)
    barrier: asyncio.Barrier | None = None
    ordinals: list[int] = field(default_factory=list)
    _by_connection: Counter[asyncio.StreamWriter] = field(
        default_factory=Counter
    )

    async def handle(
        self, head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request, whole or cut."""
        self._by_connection[writer] += 1
        self.ordinals.append(self._by_connection[writer])
        last_id = int(header_value(head, 'Last-Event-Id') or 0)
        body = b''.join(EVENTS[last_id:])
        if not self.cuts:
            if self.barrier is not None:
                await self.barrier.wait()
            extra = '' if self.is_kept else 'Connection: close\r\n'
            writer.write(response_bytes(head, body, extra=extra))
            return
        wire = encode_answer(head, body, self.framing).wire
        position, is_reset = self.cuts.pop(0)
        if self.framing != 'close':
            # The rest of a stream is shorter than the whole of it.
            position = min(position, len(wire) - 1)
        writer.write(wire[:position])
        await writer.drain()
        if is_reset:
            await asyncio.sleep(_SECONDS_BEFORE_END)
            reset_connection(writer)
        else:
            writer.close()

    async def warm_up(self, harness: FrontHarness, path: str) -> None:
        """Let the host keep two connections."""
        self.barrier = asyncio.Barrier(2)
        for received in await asyncio.gather(
            call(harness, path, b'w1'), call(harness, path, b'w2')
        ):
            assert received.is_whole
        self.barrier = None


@dataclass(frozen=True)
class Received:
    """What a caller got; the body is whole if its framing says so."""

    status: int
    headers: bytes
    body: bytes
    is_whole: bool


class _Collector(asyncio.Protocol):
    """Collects the bytes until the connection ends."""

    def __init__(self) -> None:
        """Create a collector without bytes."""
        self.received = b''
        self.ended = asyncio.Event()

    def data_received(self, data: bytes) -> None:
        """Keep the bytes."""
        self.received += data

    def connection_lost(self, _: Exception | None) -> None:
        """Note the end."""
        self.ended.set()


async def call(
    harness: FrontHarness, path: str, request_id: bytes = b'r1'
) -> Received:
    """Send a request and return what came until the connection ended."""
    loop = asyncio.get_running_loop()
    ip, _, port = harness.settings.caller_address.partition(':')
    transport, collector = await loop.create_connection(
        _Collector, ip, int(port)
    )
    request = request_bytes(path, 'Connection: close\r\n')
    transport.write(request.replace(b'Id: r1', b'Id: ' + request_id))
    try:
        async with asyncio.timeout(_CALLER_SECONDS):
            await collector.ended.wait()
    finally:
        transport.close()
    return _parse(collector.received)


def _parse(raw: bytes) -> Received:
    headers, end, rest = raw.partition(b'\r\n\r\n')
    if not end:
        return Received(0, headers, b'', is_whole=False)
    status = int(headers[9:12])
    length = header_value(headers, 'Content-Length')
    if length is not None:
        return Received(status, headers, rest, int(length) == len(rest))
    body = b''
    while True:
        size_line, end, rest = rest.partition(b'\r\n')
        size = int(size_line or b'0', 16)
        if not end or not size:
            return Received(status, headers, body, bool(end))
        body += rest[:size]
        rest = rest[size + 2 :]
