"""The few parts of HTTP/1.1 that the stand-ins need."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response."""

    start: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b''
    # Whether the body came as a whole.
    is_whole: bool = True

    @property
    def method(self) -> str:
        return self.start.split(' ')[0]

    @property
    def target(self) -> str:
        return self.start.split(' ')[1]

    @property
    def status(self) -> int:
        return int(self.start.split(' ')[1])

    def get(self, name: str, default: str | None = None) -> str | None:
        for known, text in self.headers:
            if known.lower() == name.lower():
                return text
        return default


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body, None at the end of the stream."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = raw.decode('latin-1').split('\r\n')
    message = Message(lines[0])
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            message.headers.append((name, text.strip()))
    return message


async def read_body(
    reader: asyncio.StreamReader, message: Message, *, until_end: bool
) -> None:
    """Read the body of a message; ``until_end`` if it may have no length."""
    try:
        if 'chunked' in (message.get('Transfer-Encoding') or ''):
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return
                message.body += chunk[:-2]
        elif message.get('Content-Length') is not None:
            message.body = await reader.readexactly(
                int(message.get('Content-Length') or 0)
            )
        elif until_end:
            message.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        message.body += getattr(error, 'partial', b'')
        message.is_whole = False


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return a whole request, None at the end of the stream."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message, until_end=False)
    return message


async def read_response(reader: asyncio.StreamReader) -> Message | None:
    """Return a response, None at the end of the stream."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message, until_end=True)
    return message
