"""Copies of refusals that a server writes on the refusals' connections."""

from __future__ import annotations

import asyncio
import contextlib
import time
from asyncio import BaseTransport
from dataclasses import dataclass
from random import Random
from weakref import WeakKeyDictionary

from aiohttp import web

from tests.soak._record import Copy, Record

# When a copy is written: in one write with the refusal, or soon after it; or
# while the next request of its connection is under way, or in one write with
# its answer.
WITH_REFUSAL = 'with refusal'
AFTER_REFUSAL = 'after refusal'
BEFORE_ANSWER = 'before answer'
WITH_ANSWER = 'with answer'
MOMENTS = (WITH_REFUSAL, AFTER_REFUSAL, BEFORE_ANSWER, WITH_ANSWER)
MISDIRECTED_REQUEST = 421
_STATUSES = (503, 429, MISDIRECTED_REQUEST)
_BODY = b'not now'
_GAP_SECONDS = (0.002, 0.05)
_COPIED_SHARE = 0.8
_SPLIT_SHARE = 0.3
_TWICE_SHARE = 0.2
# Share of the copies before an answer that wait until their request is under
# way again on the connection.
_WAITING_SHARE = 0.6


@dataclass(frozen=True)
class _RefusalCopy:
    """A copy that is still to be written, with its repetitions."""

    request: str
    content: bytes
    moment: str
    count: int
    is_split: bool
    waits_for_request: bool


class RefusalCopier:
    """Writes the refusals of one server, and more copies of them.

    No copy is written within an answer: the calls are made one after another
    by what handles the requests of a connection.
    """

    def __init__(self, server: str, record: Record, random: Random) -> None:
        """Create a copier for the connections of a server."""
        self._server = server
        self._record = record
        self._random = random
        self._due: WeakKeyDictionary[BaseTransport, list[_RefusalCopy]] = (
            WeakKeyDictionary()
        )
        # The share of its requests that the server refuses.
        self.refused_share = 0.0

    def draw_refusal(self) -> bool:
        """Return whether to refuse the next request."""
        return self._random.random() < self.refused_share

    def draw_status(self) -> int:
        """Return the status of a refusal."""
        return self._random.choice(_STATUSES)

    async def refuse(
        self,
        request: web.BaseRequest,
        status: int,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        """Write a refusal, and copies of it now or later.

        :param headers: of the refusal, its id among them.
        """
        if status != MISDIRECTED_REQUEST:
            headers = {'Burdockledge-Not-Executed': '1', **headers}
        response = web.Response(status=status, headers=headers, body=_BODY)
        await write_whole(request, response)
        transport = request.transport
        if transport is None or self._random.random() > _COPIED_SHARE:
            return response
        copy = self._draw_copy(
            headers['Burdockledge-Request-Id'],
            _response_bytes(status, response.reason or '', headers),
        )
        if copy.moment == AFTER_REFUSAL:
            await self._pause()
        if copy.moment in {WITH_REFUSAL, AFTER_REFUSAL}:
            await self._write(transport, copy, None)
        else:
            self._due.setdefault(transport, []).append(copy)
        return response

    async def write_before_answer(
        self, request: web.BaseRequest, request_id: str
    ) -> None:
        """Write the copies that come while a request is under way."""
        if await self._write_due(request, request_id, BEFORE_ANSWER):
            await self._pause()

    async def write_with_answer(
        self, request: web.BaseRequest, request_id: str
    ) -> None:
        """Write the copies that its answer follows at once."""
        await self._write_due(request, request_id, WITH_ANSWER)

    async def _write_due(
        self, request: web.BaseRequest, request_id: str, moment: str
    ) -> bool:
        """Write what is due on a connection; return whether it was any."""
        transport = request.transport
        if transport is None:
            return False
        copies = self._due.get(transport, [])
        due = [
            copy
            for copy in copies
            if copy.moment == moment
            and not (copy.waits_for_request and copy.request != request_id)
        ]
        for copy in due:
            copies.remove(copy)
            await self._write(transport, copy, request_id)
        return bool(due)

    async def _write(
        self,
        transport: asyncio.WriteTransport | BaseTransport,
        copy: _RefusalCopy,
        under_way: str | None,
    ) -> None:
        assert isinstance(transport, asyncio.WriteTransport)
        parts = [copy.content]
        if copy.is_split:
            half = self._random.randrange(1, len(copy.content))
            parts = [copy.content[:half], copy.content[half:]]
        for number, part in enumerate(parts):
            if number:
                await self._pause()
            if transport.is_closing():
                return
            transport.write(part)
        self._record.copies.append(
            Copy(
                self._server, copy.request, under_way, time.monotonic(),
                copy.moment, copy.count,
            )
        )  # fmt: skip

    async def _pause(self) -> None:
        await asyncio.sleep(self._random.uniform(*_GAP_SECONDS))

    def _draw_copy(self, request_id: str, content: bytes) -> _RefusalCopy:
        count = 2 if self._random.random() < _TWICE_SHARE else 1
        moment = self._random.choice(MOMENTS)
        return _RefusalCopy(
            request_id,
            content * count,
            moment,
            count,
            is_split=self._random.random() < _SPLIT_SHARE,
            waits_for_request=self._random.random() < _WAITING_SHARE,
        )


async def write_whole(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Write an answer now, unless its caller left."""
    with contextlib.suppress(ConnectionError):
        await response.prepare(request)
        await response.write_eof()


def _response_bytes(status: int, reason: str, headers: dict[str, str]) -> bytes:
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(_BODY)}', '', '']
    return '\r\n'.join(lines).encode() + _BODY
