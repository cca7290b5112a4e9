"""Connections of callers, with limits for what they may send."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Final

from aiohttp.http import RawRequestMessage
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

from burdockledge.calls import CallerLimits
from burdockledge.connections import GuardedConnection
from burdockledge.platform import _names as names
from burdockledge.relay import CutCause
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from aiohttp.web_protocol import RequestHandler

    from burdockledge.connections import ConnectionGuard

_log = make_logger('front')

# The rest of a rejected request is read this long: closing at once would reset
# the connection before the caller has read the response.
_LINGER_SECONDS: Final = 1.0
_SHUTDOWN_POLL_SECONDS: Final = 0.01
# An unfinished head may have this many times the limit of whole ones, which
# leaves room for the target and for what has been read of the next request.
_MAX_HEAD_SHARE: Final = 4
_HEADERS_TOO_LARGE_RESPONSE: Final = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
_HEADER_TIMEOUT_RESPONSE: Final = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)

_Handler = Callable[[BaseRequest], Awaitable[StreamResponse]]
# Called with the ids of whole requests that no handler will get, and why.
_DropListener = Callable[[list[str | None], CutCause], None]


class CallerConnection(GuardedConnection):
    """A caller connection with a time limit for the head of each request."""

    def __init__(
        self,
        server: CallerServer,
        guard: ConnectionGuard,
        header_timeout_seconds: float,
        header_bytes: int,
        **options: Any,
    ) -> None:
        """Limit the time from the first byte of a request head to its last."""
        super().__init__(server, guard, **options)
        self._server = server
        self.is_for_callers = server.is_for_callers
        self._header_timeout_seconds = header_timeout_seconds
        self._header_timer: asyncio.TimerHandle | None = None
        self._header_bytes = header_bytes
        # Whether this host closes the connection as it stops.
        self.is_shut_down = False
        self._is_aborted = False

    @property
    def close_cause(self) -> CutCause:
        """Why requests on this connection are not answered, if it closes."""
        if self.is_shut_down:
            return CutCause.host_stopped
        # The task ends by itself after an answer that closes the connection.
        if self._is_aborted or self._task_handler is None:
            return CutCause.connection_closed
        return CutCause.caller_left

    @property
    def has_next_request(self) -> bool:
        """Whether another request has arrived behind the current one."""
        return bool(self._messages)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close a connection that was accepted as the server closes."""
        super().connection_made(transport)
        if self._server.is_shutting_down:
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer, and report requests that were not handled."""
        self._cancel_header_timer()
        dropped_ids = [
            message.headers.get(names.REQUEST_ID)
            for message, payload in self._messages
            if isinstance(message, RawRequestMessage) and payload.is_eof()
        ]
        if dropped_ids:
            self._server.on_drop(dropped_ids, self.close_cause)
        super().connection_lost(exc)

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close the connection as the host stops."""
        self.is_shut_down = True
        await super().shutdown(timeout)

    def abort(self) -> None:
        """Reset the connection."""
        self._is_aborted = True
        if self.transport is not None:
            self.transport.abort()

    def _process_keepalive(self) -> None:
        """
        Close the connection if it is idle; a head has its own time limit.

        A limit that has grown meanwhile holds at once: callers know it.
        """
        if self._header_timer is not None:
            self._keepalive_handle = None
            return
        grown_seconds = (
            self._server.limits.idle_timeout_seconds - self.keepalive_timeout
        )
        closes_at = self._next_keepalive_close_time + max(0.0, grown_seconds)
        if self._loop.time() < closes_at:
            self._keepalive_handle = self._loop.call_at(
                closes_at, self._process_keepalive
            )
            return
        super()._process_keepalive()

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _after_read(self) -> None:
        """Start the timer with a request head, and cancel it at its end."""
        if not self._awaits_request_head:
            self._cancel_header_timer()
        elif self._header_timer is None:
            self._header_timer = self._loop.call_later(
                self._header_timeout_seconds, self._on_header_timeout
            )

    def _limit_head(self) -> None:
        """Reject a head that grows far over the limit of whole ones."""
        if self._head_bytes > _MAX_HEAD_SHARE * self._header_bytes:
            _log.info('Head of a request has no end.', bytes=self._head_bytes)
            self._is_broken = True
            self._close_with(_HEADERS_TOO_LARGE_RESPONSE)

    def _close_with(self, response: bytes) -> None:
        if self.transport is not None:
            self.transport.write(response)
        self.force_close()

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        if self.transport is None or not self._awaits_request_head:
            return
        _log.info(
            'Head of a request is late.', seconds=self._header_timeout_seconds
        )
        self._close_with(_HEADER_TIMEOUT_RESPONSE)


class CallerServer(Server):
    """Creates caller connections with the limits of the configuration."""

    limits = CallerLimits()

    def __init__(
        self,
        handler: _Handler,
        guard: ConnectionGuard,
        on_drop: _DropListener | None = None,
    ) -> None:
        """
        Create a server that cancels the calls of callers that leave.

        :param on_drop: None if the listener is not for callers.
        """
        super().__init__(handler, handler_cancellation=True)
        self._guard = guard
        self.is_for_callers = on_drop is not None
        self.on_drop = on_drop or _ignore_drop
        # Set when the listeners have closed.
        self.is_shutting_down = False

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self,
            self._guard,
            self.limits.header_timeout_seconds,
            self.limits.header_bytes,
            loop=self._loop,
            auto_decompress=False,
            keepalive_timeout=self.limits.idle_timeout_seconds,
            lingering_time=_LINGER_SECONDS,
            max_line_size=self.limits.header_bytes,
            max_field_size=self.limits.header_bytes,
        )

    async def finish_requests(self, timeout_seconds: float) -> None:
        """
        Close each connection once its requests are answered.

        The base class would close at once, and not read what is still to
        arrive of a request.
        """
        self.is_shutting_down = True
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_seconds
        while self._close_idle_connections() and loop.time() < ends_at:
            await asyncio.sleep(_SHUTDOWN_POLL_SECONDS)

    def _close_idle_connections(self) -> int:
        """Return the number of connections that are not idle."""
        busy_count = 0
        for connection in self.connections:
            if isinstance(connection, CallerConnection):
                if connection.is_idle:
                    connection.force_close()
                else:
                    busy_count += 1
        return busy_count


def _ignore_drop(request_ids: list[str | None], cause: CutCause) -> None:
    """Drop requests of operators, which have no ids."""


__all__ = ('CallerConnection', 'CallerServer')
