"""Consumers on kept channels, and what they saw."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from standins_2.http import message, read_body, read_head

_numbers = itertools.count(1)


@dataclass
class Answer:
    """What the consumer saw of one attempt."""

    request_id: str
    sent_at: float = 0.0
    status: int = 0
    events: list[int] = field(default_factory=list)
    is_complete: bool = False
    body: bytes = b''
    ended_at: float = 0.0
    why: str = ''


class Channel:
    """A kept channel to an entry host, with one request at a time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._gap: float | None = None

    async def call(
        self,
        path: str,
        deadline_ms: int,
        headers: dict[str, str],
        body: bytes = b'',
        name: str = 'q',
        gap: float | None = None,
    ) -> Answer:
        """
        Send a request and read its answer; the channel is kept.

        :param gap: seconds without an event after which the consumer leaves.
        """
        self._gap = gap
        answer = Answer(f'{name}-{next(_numbers):05d}')
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        *self._address
                    )
                answer.sent_at = time.monotonic()
                self._writer.write(message(f'POST {path} HTTP/1.1', {
                    'Host': 'desk.example',
                    'Burdockledge-Request-Id': answer.request_id,
                    'Burdockledge-Deadline-Ms': str(deadline_ms),
                    **headers,
                }, body))
                await self._read(answer)
        except TimeoutError:
            answer.why = 'the consumer left'
            self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.why = f'channel ended: {type(error).__name__}'
            self.close()
        answer.ended_at = time.monotonic()
        return answer

    async def _read(self, answer: Answer) -> None:
        assert self._reader is not None
        async with asyncio.timeout(self._gap):
            head = await read_head(self._reader)
        if head is None:
            raise ConnectionResetError
        answer.status = int(head.line.split()[1])
        if 'chunked' in head.headers.get('transfer-encoding', ''):
            await self._read_events(answer)
        else:
            answer.body = await read_body(self._reader, head)
        answer.is_complete = True
        if head.headers.get('connection', '').lower() == 'close':
            self.close()

    async def _read_events(self, answer: Answer) -> None:
        assert self._reader is not None
        text = b''
        while True:
            async with asyncio.timeout(self._gap):
                size = int(await self._reader.readuntil(b'\r\n'), 16)
            part = await self._reader.readexactly(size + 2)
            if not size:
                return
            text += part[:-2]
            *events, text = text.split(b'\n\n')
            answer.events += [
                int(event.split(b'\n')[0].removeprefix(b'id:')) for event in events
            ]

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None
