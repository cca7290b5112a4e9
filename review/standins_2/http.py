"""The little of HTTP/1.1 that the stand-ins need."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Head:
    """The first line and the headers of a message, names in lower case."""

    line: str
    headers: dict[str, str] = field(default_factory=dict)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the next head, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return a whole body; raises IncompleteReadError if it is cut off."""
    if 'chunked' in head.headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(head.headers.get('content-length', 0)))


def message(line: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return a message with a length."""
    fields = {**headers, 'Content-Length': str(len(body))}
    text = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
    return f'{line}\r\n{text}\r\n'.encode() + body


def chunk(data: bytes) -> bytes:
    """Return one part of a chunked body."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'
