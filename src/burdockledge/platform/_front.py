"""HTTP listeners for callers, the directory, readiness and metrics."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Final

from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from burdockledge.calls import CallerLimits
from burdockledge.http_client import READ_BYTES
from burdockledge.kernel import Service
from burdockledge.platform import _names as names
from burdockledge.platform._calls import BadCallError, decode_call
from burdockledge.relay import CallerPort
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from aiohttp.streams import StreamReader
    from aiohttp.web_request import BaseRequest

    from burdockledge.directory import Directory
    from burdockledge.platform._part_endpoint import PartEndpoint
    from burdockledge.relay import Headers, Relay
    from burdockledge.settings import RelayHostSettings
    from burdockledge.telemetry import Metrics

_log = make_logger('front')

_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_BACKLOG: Final = 512
# The rest of a rejected request is read this long: closing at once would reset
# the connection before the caller has read the response.
_LINGER_SECONDS: Final = 1.0
# Requests in flight when the listeners close are cancelled after this time,
# unless the host has more left.
_MIN_SHUTDOWN_SECONDS: Final = 0.05
_SHUTDOWN_POLL_SECONDS: Final = 0.01
# Parsed at once: the text of an error holds what could not be parsed.
_PARSE_BYTES: Final = 8 * 1024
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

_Handler = Callable[['BaseRequest'], Awaitable[StreamResponse]]


class _CallerConnection(RequestHandler):
    """A caller connection with a time limit for the head of each request."""

    def __init__(
        self,
        server: _CallerServer,
        header_timeout_seconds: float,
        header_bytes: int,
        **options: Any,
    ) -> None:
        """Limit the time from the first byte of a request head to its last."""
        super().__init__(server, **options)
        self._server = server
        self._header_timeout_seconds = header_timeout_seconds
        self._header_timer: asyncio.TimerHandle | None = None
        # Whether bytes came that are no request.
        self._is_broken = False
        self._header_bytes = header_bytes
        self._head_bytes = 0
        self._last_payload: StreamReader = EMPTY_PAYLOAD

    @property
    def has_next_request(self) -> bool:
        """Whether another request has arrived behind the current one."""
        return bool(self._messages)

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for the head of a request."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def _awaits_request_head(self) -> bool:
        return not self._messages and self._current_request is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Limit what is read from the socket at once.

        A connection that was accepted as the server closes is closed.
        """
        socket_transport: Any = transport
        socket_transport.max_size = READ_BYTES
        super().connection_made(transport)
        if self._server.is_shutting_down:
            self.force_close()

    def data_received(self, data: bytes) -> None:
        """
        Start the timer with a request head, and cancel it at its end.

        What follows bytes that are no request is dropped: each part of it
        would be kept as one more error to answer.
        """
        for start in range(0, max(1, len(data)), _PARSE_BYTES):
            if self._is_broken:
                return
            piece = data[start : start + _PARSE_BYTES]
            super().data_received(piece)
            self._is_broken = bool(self._messages) and not isinstance(
                self._messages[-1][0], RawRequestMessage
            )
            self._limit_head(len(piece))
        if not self._awaits_request_head:
            self._cancel_header_timer()
        elif self._header_timer is None:
            self._header_timer = self._loop.call_later(
                self._header_timeout_seconds, self._on_header_timeout
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer with the connection."""
        self._cancel_header_timer()
        super().connection_lost(exc)

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _limit_head(self, size: int) -> None:
        """Reject a head that grows far over the limit of whole ones."""
        if self._messages:
            self._last_payload = self._messages[-1][1]
        # The rest of a rejected request is still read for a while.
        is_in_body = not self._last_payload.is_eof()
        if is_in_body or not self._awaits_request_head:
            self._head_bytes = 0
            return
        self._head_bytes += size
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


class _CallerServer(Server):
    """Creates caller connections with the limits of the configuration."""

    limits = CallerLimits()

    def __init__(self, handler: _Handler) -> None:
        """Create a server that cancels the calls of callers that leave."""
        super().__init__(handler, handler_cancellation=True)
        # Set when the listeners have closed.
        self.is_shutting_down = False

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return _CallerConnection(
            self,
            self.limits.header_timeout_seconds,
            self.limits.header_bytes,
            loop=self._loop,
            auto_decompress=False,
            keepalive_timeout=self.limits.idle_timeout_seconds,
            lingering_time=_LINGER_SECONDS,
            read_bufsize=READ_BYTES,
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
            if isinstance(connection, _CallerConnection):
                if connection.is_idle:
                    connection.force_close()
                else:
                    busy_count += 1
        return busy_count


class _HttpCaller(CallerPort):
    """Sends the response to one request over the caller's connection."""

    def __init__(
        self, request: BaseRequest, is_closing: Callable[[], bool]
    ) -> None:
        """
        Respond to a request.

        :param is_closing: whether connections close after a response.
        """
        self._request = request
        self._is_closing = is_closing
        self.response: StreamResponse | None = None

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        response = Response(status=status, body=body)
        self._add_headers(response, headers)
        self.response = response
        await self._prepare(response)
        await response.write_eof()

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body is streamed."""
        response = StreamResponse(status=status)
        self._add_headers(response, headers)
        self.response = response
        await self._prepare(response)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        if self.response is not None:
            await self.response.write(chunk)

    async def finish(self) -> None:
        """Mark the streamed response as complete."""
        if self.response is not None:
            await self.response.write_eof()

    def abort(self) -> None:
        """Reset the connection, so that a cut response never looks complete."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    def _add_headers(self, response: StreamResponse, headers: Headers) -> None:
        for name, text in headers:
            response.headers.add(name, text)
        request_id = self._request.headers.get(names.REQUEST_ID)
        if request_id is not None:
            response.headers.setdefault(names.REQUEST_ID, request_id)

    async def _prepare(self, response: StreamResponse) -> None:
        connection = self._request.protocol
        has_next_request = (
            isinstance(connection, _CallerConnection)
            and connection.has_next_request
        )
        if self._is_closing() and not has_next_request:
            response.force_close()
        await response.prepare(self._request)


class Front(Service):
    """The HTTP listeners of one entry host."""

    name = 'front'

    def __init__(
        self,
        settings: RelayHostSettings,
        relay: Relay,
        directory: Directory,
        metrics: Metrics,
        operators: PartEndpoint,
    ) -> None:
        """Create the servers; requires a running event loop."""
        self._operators = operators
        self._settings = settings
        self._relay = relay
        self._directory = directory
        self._metrics = metrics
        self._metrics_lock = asyncio.Lock()
        self._listeners: list[tuple[Server, asyncio.Server]] = []
        self._caller_server = _CallerServer(self._handle_call)
        # Set when the host drains: responses then close their connection.
        self.is_closing = False
        # How long requests in flight may take when the listeners have closed.
        self.shutdown_seconds = _MIN_SHUTDOWN_SECONDS

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply changed limits, in full only to new connections."""
        self._caller_server.limits = limits

    def apply_settings(self, settings: RelayHostSettings) -> None:
        """Apply changed settings; the listening addresses stay."""
        self._settings = settings

    async def start(self) -> None:
        """Listen on every address of the settings."""
        settings = self._settings
        await self._open_listener(self._caller_server, settings.caller_address)
        for address, handler in (
            (settings.directory_address, self._handle_directory),
            (settings.readiness_address, self._handle_readiness),
            (settings.control_address, self._handle_control),
        ):
            await self._open_listener(Server(handler, access_log=None), address)

    async def stop(self) -> None:
        """
        Close every listener, and each connection once it is idle.

        A request that arrived before is answered within
        ``shutdown_seconds``.
        """
        for _, listener in self._listeners:
            listener.close()
        self.is_closing = True
        await self._caller_server.finish_requests(self.shutdown_seconds)
        for server, _ in self._listeners:
            # Closes idle connections, which shutdown() would wait for in vain.
            server.pre_shutdown()
            await server.shutdown(_MIN_SHUTDOWN_SECONDS)

    async def _open_listener(self, server: Server, address: str) -> None:
        ip, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            server, ip, int(port), backlog=_BACKLOG
        )
        self._listeners.append((server, listener))

    async def _handle_call(self, request: BaseRequest) -> StreamResponse:
        caller = _HttpCaller(request, lambda: self.is_closing)
        try:
            call = await decode_call(request, self._caller_server.limits)
        except BadCallError as error:
            _log.info(
                'Bad request.',
                request=request.headers.get(names.REQUEST_ID),
                status=error.status,
                why=error.reason,
            )
            self._metrics.count('bad_requests', status=str(error.status))
            error_response = Response(
                status=error.status, text=f'{error.reason}\n'
            )
            error_response.force_close()
            return error_response
        await self._relay.handle(call, caller)
        return caller.response or _empty_response(_UNAVAILABLE)

    async def _handle_directory(self, request: BaseRequest) -> StreamResponse:
        if request.path != names.DIRECTORY_PATH:
            return _empty_response(_NOT_FOUND)
        data_centre = request.rel_url.query.get('zone', '')
        addresses = self._directory.addresses_near(data_centre)
        if not addresses:
            return _empty_response(_UNAVAILABLE)
        return _json_response(
            {
                'addresses': addresses,
                'ttl_s': self._settings.directory_seconds,
            },
        )

    async def _handle_readiness(self, request: BaseRequest) -> StreamResponse:
        if request.path != names.READY_PATH:
            return _empty_response(_NOT_FOUND)
        return _empty_response(
            _OK if self._directory.is_own_host_ready else _UNAVAILABLE
        )

    async def _handle_control(self, request: BaseRequest) -> StreamResponse:
        if request.path == names.METRICS_PATH:
            return await self._send_metrics(request)
        if request.path == names.PARTS_PATH:
            return await self._operators.handle(request)
        return _empty_response(_NOT_FOUND)

    async def _send_metrics(self, request: BaseRequest) -> StreamResponse:
        """Build and send the metrics while calls are served in between."""
        parts: list[bytes] = []
        async with self._metrics_lock:
            for part in self._metrics.render_parts():
                parts.append(part.encode())
                await asyncio.sleep(0)
        response = StreamResponse()
        response.content_type = 'text/plain'
        response.charset = 'utf-8'
        response.content_length = sum(map(len, parts))
        await response.prepare(request)
        for content in parts:
            await response.write(content)
            await asyncio.sleep(0)
        await response.write_eof()
        return response


def _empty_response(status: int) -> Response:
    return Response(status=status)


def _json_response(content: dict[str, Any]) -> Response:
    return Response(
        body=json.dumps(content).encode(),
        content_type='application/json',
    )


__all__ = ('Front',)
