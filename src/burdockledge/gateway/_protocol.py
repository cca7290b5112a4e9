"""Closes connections whose request head does not arrive in time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from burdockledge.connections import GuardedConnection


class HeadTimeoutProtocol(asyncio.Protocol):
    """
    Wraps a protocol and closes connections with a late request head.

    A timer runs from the start of the connection, or from the first byte of a
    later request, until the request head is complete.
    """

    def __init__(self, inner: asyncio.Protocol, timeout_seconds: float) -> None:
        """Wrap a protocol; a head may take ``timeout_seconds``."""
        self._inner = inner
        self._timeout_seconds = timeout_seconds
        self._timer: asyncio.TimerHandle | None = None
        self._is_handling = False
        self._transport: asyncio.BaseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timer for the first request head."""
        self._transport = transport
        self._inner.connection_made(transport)
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        self._cancel_timer()
        self._inner.connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Start the timer at the first byte of a later request."""
        if not self._is_handling and self._timer is None:
            self._start_timer()
        self._inner.data_received(data)

    def eof_received(self) -> bool | None:
        """Forward the end of input."""
        return self._inner.eof_received()

    def pause_writing(self) -> None:
        """Forward backpressure."""
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Forward the end of backpressure."""
        self._inner.resume_writing()

    def begin_request(self) -> None:
        """Stop the timer: a whole request head was received."""
        self._is_handling = True
        self._cancel_timer()

    def end_request(self) -> None:
        """Allow the timer for the next request: this one was answered."""
        self._is_handling = False

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._timeout_seconds, self._close)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()


@web.middleware
async def head_timeout_middleware(
    request: web.Request,
    handler: Callable[[web.Request], object],
) -> web.StreamResponse:
    """Tell the connection's protocol when each request begins and ends."""
    transport = request.transport
    protocol = None if transport is None else transport.get_protocol()
    if not isinstance(protocol, HeadTimeoutProtocol):
        return await handler(request)  # type: ignore[no-any-return,misc]
    protocol.begin_request()
    try:
        return await handler(request)  # type: ignore[no-any-return,misc]
    finally:
        _end_request(protocol, request)


def _end_request(protocol: HeadTimeoutProtocol, request: web.Request) -> None:
    protocol.end_request()
    connection = request.protocol
    if isinstance(connection, GuardedConnection):
        connection.close_room()


__all__ = ('HeadTimeoutProtocol', 'head_timeout_middleware')
