"""Serves callers, the directory, the readiness check and the metrics."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, Final

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from burdockledge.kernel import Service
from burdockledge.platform import _names as names
from burdockledge.platform._calls import BadCallError, decode_call
from burdockledge.relay import CallerLimits, CallerPort
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

    from burdockledge.directory import Directory
    from burdockledge.relay import Headers, Relay
    from burdockledge.settings import RelayHostSettings
    from burdockledge.telemetry import Metrics

_log = make_logger('front')

_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_BACKLOG: Final = 512
# Reading what a refused caller still sends lets it see the answer.
_LINGER_SECONDS: Final = 1.0
# What is in flight when the listeners close is cut after this.
_CLOSE_SECONDS: Final = 0.05
_LATE_HEAD: Final = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


class _CallerConnection(RequestHandler):
    """A connection on which the head of a request must arrive in time."""

    def __init__(
        self, server: Server, head_seconds: float, **options: Any
    ) -> None:
        """Allow a head some seconds from its first byte."""
        super().__init__(server, **options)
        self._head_seconds = head_seconds
        self._head_limit: asyncio.TimerHandle | None = None

    @property
    def _awaits_head(self) -> bool:
        return not self._messages and self._current_request is None

    def data_received(self, data: bytes) -> None:
        """Start the time limit with a head, and end it with its last byte."""
        super().data_received(data)
        if not self._awaits_head:
            self._end_limit()
        elif self._head_limit is None:
            self._head_limit = self._loop.call_later(
                self._head_seconds, self._close_late
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the time limit with the connection."""
        self._end_limit()
        super().connection_lost(exc)

    def _end_limit(self) -> None:
        if self._head_limit is not None:
            self._head_limit.cancel()
            self._head_limit = None

    def _close_late(self) -> None:
        self._head_limit = None
        if self.transport is None or not self._awaits_head:
            return
        _log.info('Head of a request is late.', seconds=self._head_seconds)
        self.transport.write(_LATE_HEAD)
        self.force_close()


class _LimitedServer(Server):
    """A server whose limits follow the configuration."""

    limits = CallerLimits()

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return _CallerConnection(
            self,
            self.limits.header_timeout_seconds,
            loop=self._loop,
            auto_decompress=False,
            keepalive_timeout=self.limits.idle_timeout_seconds,
            lingering_time=_LINGER_SECONDS,
            max_line_size=self.limits.header_bytes,
            max_field_size=self.limits.header_bytes,
        )


class _HttpCaller(CallerPort):
    """Answers a caller over its connection."""

    def __init__(self, request: BaseRequest, is_closing: bool) -> None:
        """Answer one request; the last one where the host is closing."""
        self._request = request
        self._is_closing = is_closing
        self.response: StreamResponse | None = None

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole answer."""
        response = Response(status=status, body=body)
        self._add_headers(response, headers)
        self.response = response
        await self._prepare(response)
        await response.write_eof()

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows."""
        response = StreamResponse(status=status)
        self._add_headers(response, headers)
        self.response = response
        await self._prepare(response)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        if self.response is not None:
            await self.response.write(chunk)

    async def finish(self) -> None:
        """End the answer as complete."""
        if self.response is not None:
            await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection so that the answer can not look complete."""
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
        if self._is_closing:
            response.force_close()
        await response.prepare(self._request)


class Front(Service):
    """The listeners of one entry host."""

    name = 'front'

    def __init__(
        self,
        settings: RelayHostSettings,
        relay: Relay,
        directory: Directory,
        metrics: Metrics,
    ) -> None:
        """Serve by a relay and a directory; call it on a running loop."""
        self._settings = settings
        self._relay = relay
        self._directory = directory
        self._metrics = metrics
        self._listeners: list[tuple[Server, asyncio.Server]] = []
        self._callers = _LimitedServer(
            self._handle_call, handler_cancellation=True
        )
        self.is_closing = False

    def use_limits(self, limits: CallerLimits) -> None:
        """Apply limits to new connections."""
        self._callers.limits = limits

    def use_settings(self, settings: RelayHostSettings) -> None:
        """Answer by other settings; the addresses stay as they are."""
        self._settings = settings

    async def start(self) -> None:
        """Listen on every address of the settings."""
        settings = self._settings
        await self._listen(self._callers, settings.caller_address)
        for address, handler in (
            (settings.directory_address, self._handle_directory),
            (settings.readiness_address, self._handle_ready),
            (settings.control_address, self._handle_control),
        ):
            await self._listen(Server(handler, access_log=None), address)

    async def stop(self) -> None:
        """Close every listener and connection."""
        for server, listener in self._listeners:
            listener.close()
            # Ends idle connections, for which a shutdown waits in vain.
            server.pre_shutdown()
            await server.shutdown(_CLOSE_SECONDS)

    async def _listen(self, server: Server, address: str) -> None:
        ip, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            server, ip, int(port), backlog=_BACKLOG
        )
        self._listeners.append((server, listener))

    async def _handle_call(self, request: BaseRequest) -> StreamResponse:
        caller = _HttpCaller(request, self.is_closing)
        try:
            call = await decode_call(request, self._callers.limits)
        except BadCallError as error:
            _log.info(
                'Bad request.',
                request=request.headers.get(names.REQUEST_ID),
                status=error.status,
                why=error.why,
            )
            self._metrics.count('bad_requests', status=str(error.status))
            refusal = Response(status=error.status, text=f'{error.why}\n')
            refusal.force_close()
            return refusal
        await self._relay.handle(call, caller)
        return caller.response or _empty(_UNAVAILABLE)

    async def _handle_directory(self, request: BaseRequest) -> StreamResponse:
        if request.path != names.DIRECTORY_PATH:
            return _empty(_NOT_FOUND)
        zone = request.rel_url.query.get('zone', '')
        found = self._directory.addresses_near(zone)
        if not found:
            return _empty(_UNAVAILABLE)
        return _json(
            {
                'addresses': found,
                'ttl_s': self._settings.directory_seconds,
            },
        )

    async def _handle_ready(self, request: BaseRequest) -> StreamResponse:
        if request.path != names.READY_PATH:
            return _empty(_NOT_FOUND)
        return _empty(_OK if self._directory.is_own_ready else _UNAVAILABLE)

    async def _handle_control(self, request: BaseRequest) -> StreamResponse:
        if request.path != names.METRICS_PATH:
            return _empty(_NOT_FOUND)
        return Response(text=self._metrics.render())


def _empty(status: int) -> Response:
    return Response(status=status)


def _json(document: dict[str, Any]) -> Response:
    return Response(
        body=json.dumps(document).encode(),
        content_type='application/json',
    )


__all__ = ('Front',)
