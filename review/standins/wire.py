"""Minimal HTTP/1.1 reading, independent of the project's code."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class Message:
    """The head and the body of a request or of an answer."""

    start: str
    headers: list[tuple[str, str]]
    body: bytes = b''
    is_complete: bool = True

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw[:-4].decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers.append((name, value.strip()))
    return Message(lines[0], headers)


async def read_message(
    reader: asyncio.StreamReader, *, ends_with_channel: bool = False
) -> Message:
    """Read a whole message; an incomplete body is marked as such."""
    message = await read_head(reader)
    length = message.get('Content-Length')
    try:
        if (message.get('Transfer-Encoding') or '').lower() == 'chunked':
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                if size == 0:
                    await reader.readuntil(b'\r\n')
                    break
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif length is not None:
            message.body = await reader.readexactly(int(length))
        elif ends_with_channel:
            message.body = await reader.read()
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.is_complete = False
    except ConnectionError:
        message.is_complete = False
    return message


def encode(
    start: str, headers: list[tuple[str, str]], body: bytes = b''
) -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
