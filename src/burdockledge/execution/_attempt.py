"""One attempt to stream a generation from an engine."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from burdockledge.backends import EndKind, StreamEnd, TokenChunk

if TYPE_CHECKING:
    from burdockledge.backends import EngineCall, EngineClient
    from burdockledge.execution._dispatch import Dispatcher
    from burdockledge.placement import Slot

StreamItem = TokenChunk | StreamEnd


class Attempt:
    """
    A stream of an engine that holds a slot until it is closed.

    ``end`` tells how the stream ended; it is ``interrupted`` until then.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        engine_client: EngineClient,
        slot: Slot,
        call: EngineCall,
    ) -> None:
        """Open the stream and start to read its first item."""
        self._dispatcher = dispatcher
        self._started_at = dispatcher.clock.monotonic()
        self._tokens = 0
        self._request_id = call.request_id
        self._estimated_cost_tokens = slot.request.cost_tokens
        self._is_closed = False
        self.end = StreamEnd(EndKind.interrupted)
        self.slot = slot
        url = dispatcher.url(slot)
        self._items = (
            _not_sent_stream()
            if url is None
            else engine_client.stream(url, call)
        )
        self.first_item: asyncio.Task[StreamItem] = asyncio.ensure_future(
            _next_item(self._items),
        )
        dispatcher.time_line.record('dispatch', call.request_id, slot.server)

    @property
    def elapsed_seconds(self) -> float:
        """The time since the stream was opened, in seconds."""
        return self._dispatcher.clock.monotonic() - self._started_at

    def has_first_token(self) -> bool:
        """Return whether the first item has arrived and is not a failure."""
        return self.first_item.done() and isinstance(
            self.first_item.result(),
            TokenChunk,
        )

    async def chunks(self) -> AsyncIterator[TokenChunk]:
        """Yield every chunk, then set ``end`` and report it."""
        stream_item = await self.first_item
        if isinstance(stream_item, TokenChunk):
            self._dispatcher.time_line.record(
                'first-token',
                self._request_id,
                self.slot.server,
            )
            self._dispatcher.health.record_first_token(
                self.slot.server, self.elapsed_seconds
            )
        while isinstance(stream_item, TokenChunk):
            self._tokens += stream_item.tokens
            yield stream_item
            stream_item = await _next_item(self._items)
        self.end = stream_item
        self._report_end(stream_item)

    async def close(self) -> int:
        """
        Cancel the rest of the stream and release the slot.

        :return: the number of tokens received.
        """
        if self._is_closed:
            return self._tokens
        self._is_closed = True
        if not self.first_item.done():
            self.first_item.cancel()
            await asyncio.wait((self.first_item,))
        await _close_stream(self._items)
        # A stream without any token is released as unserved.
        served_tokens = (
            self._tokens and self._tokens + self._estimated_cost_tokens
        )
        self._dispatcher.release(self.slot, served_tokens)
        return self._tokens

    def _report_end(self, end: StreamEnd) -> None:
        server = self.slot.server
        if end.kind is EndKind.refused:
            self._dispatcher.mark_leaving(server)
        elif end.kind is EndKind.not_sent:
            self._dispatcher.health.record_failure(server, is_unreachable=True)
        elif end.kind not in {EndKind.done, EndKind.rejected}:
            self._dispatcher.health.record_failure(server)


async def _not_sent_stream() -> AsyncIterator[StreamItem]:
    yield StreamEnd(EndKind.not_sent)


async def _next_item(items: AsyncIterator[StreamItem]) -> StreamItem:
    try:
        return await anext(items)
    except StopAsyncIteration:
        return StreamEnd(EndKind.interrupted)


async def _close_stream(items: AsyncIterator[StreamItem]) -> None:
    close = getattr(items, 'aclose', None)
    if close is not None:
        await close()


__all__ = ('Attempt', 'StreamItem')
