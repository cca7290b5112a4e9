"""HTTP listeners for callers, the directory, readiness and metrics."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from aiohttp.web_response import Response, StreamResponse

from burdockledge.calls import CallerLimits
from burdockledge.connections import (
    ConnectionBudget,
    ConnectionGuard,
    SystemMemory,
    listen,
)
from burdockledge.kernel import Service
from burdockledge.platform import _names as names
from burdockledge.platform._caller_connections import (
    CallerConnection,
    CallerServer,
)
from burdockledge.platform._calls import BadCallError, decode_call
from burdockledge.relay import CallerPort, CutCause
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest
    from aiohttp.web_server import Server

    from burdockledge.directory import Directory
    from burdockledge.platform._part_endpoint import PartEndpoint
    from burdockledge.platform._place_endpoint import PlaceEndpoint
    from burdockledge.relay import Headers, Relay
    from burdockledge.settings import RelayHostSettings
    from burdockledge.telemetry import Metrics

_log = make_logger('front')

_OK: Final = 200
_NOT_FOUND: Final = 404
_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_MS_PER_SECOND: Final = 1000
_BACKLOG: Final = 512
# Responses up to this size are sent at once.
_MAX_WHOLE_BYTES: Final = 64 * 1024
# Requests in flight when the listeners close are cancelled after this time,
# unless the host has more left.
_MIN_SHUTDOWN_SECONDS: Final = 0.05


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
        self._is_streamed = False

    @property
    def has_begun(self) -> bool:
        """Whether the caller may have got a part of the response."""
        return self._is_streamed or self._request.writer.output_size > 0

    @property
    def is_shut_down(self) -> bool:
        """Whether this host closes the connection as it stops."""
        connection = self._request.protocol
        return (
            isinstance(connection, CallerConnection) and connection.is_shut_down
        )

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        if len(body) > _MAX_WHOLE_BYTES:
            await self._send_large(status, headers, body)
            return
        response = Response(status=status, body=body)
        self._add_headers(response, headers)
        self.response = response
        await self._prepare(response)
        await response.write_eof()

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body is streamed."""
        self._is_streamed = True
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
        connection = self._request.protocol
        if isinstance(connection, CallerConnection):
            connection.abort()

    async def _send_large(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """
        Send a response as its caller reads it.

        Sent at once, the transport would hold a second copy.
        """
        response = StreamResponse(status=status)
        self._add_headers(response, headers)
        response.content_length = len(body)
        self.response = response
        connection = self._request.protocol
        if isinstance(connection, CallerConnection):
            connection.response_bytes = len(body)
        await self._prepare(response)
        for start in range(0, len(body), _MAX_WHOLE_BYTES):
            await response.write(body[start : start + _MAX_WHOLE_BYTES])
        await response.write_eof()
        if isinstance(connection, CallerConnection):
            connection.response_bytes = 0
            connection.note_held()

    def _add_headers(self, response: StreamResponse, headers: Headers) -> None:
        for name, text in headers:
            response.headers.add(name, text)
        request_id = self._request.headers.get(names.REQUEST_ID)
        if request_id is not None:
            response.headers.setdefault(names.REQUEST_ID, request_id)

    async def _prepare(self, response: StreamResponse) -> None:
        connection = self._request.protocol
        has_next_request = (
            isinstance(connection, CallerConnection)
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
        placements: PlaceEndpoint | None = None,
    ) -> None:
        """Create the servers; requires a running event loop."""
        self._operators = operators
        self._placements = placements
        self._settings = settings
        self._relay = relay
        self._directory = directory
        self._metrics = metrics
        self._metrics_lock = asyncio.Lock()
        self._listeners: list[tuple[Server, asyncio.Server]] = []
        self._guard = ConnectionGuard(
            ConnectionBudget(settings.memory_bytes, settings.max_descriptors),
            metrics,
            time.monotonic,
            SystemMemory(),
        )
        self._caller_server = CallerServer(
            self._handle_call, self._guard, self._note_drop
        )
        # Set when the host drains: responses then close their connection.
        self.is_closing = False
        # How long requests in flight may take when the listeners have closed.
        self.shutdown_seconds = _MIN_SHUTDOWN_SECONDS

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply changed limits; of open connections only a longer idle time."""
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
            await self._open_listener(
                CallerServer(handler, self._guard), address
            )

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
        await asyncio.gather(
            *(
                server.shutdown(_MIN_SHUTDOWN_SECONDS)
                for server, _ in self._listeners
            )
        )

    async def _open_listener(self, server: Server, address: str) -> None:
        ip, _, port = address.rpartition(':')
        listener = await listen(server, ip.strip('[]'), int(port), _BACKLOG)
        self._listeners.append((server, listener))

    async def _handle_call(self, request: BaseRequest) -> StreamResponse:
        try:
            return await self._answer(request)
        finally:
            connection = request.protocol
            if isinstance(connection, CallerConnection):
                connection.close_room()

    async def _answer(self, request: BaseRequest) -> StreamResponse:
        caller = _HttpCaller(request, lambda: self.is_closing)
        try:
            call = await decode_call(request, self._caller_server.limits)
        except BadCallError as error:
            self._note_bad_call(request, error)
            return _error_response(error)
        except (asyncio.CancelledError, ConnectionError):
            self._note_unread_request(request, caller)
            raise
        try:
            await self._relay.handle(call, caller)
        finally:
            call.body.give_up()
        return caller.response or _empty_response(_BAD_GATEWAY)

    def _note_bad_call(self, request: BaseRequest, error: BadCallError) -> None:
        request_id = request.headers.get(names.REQUEST_ID)
        if error.retry_after_seconds is None:
            self._metrics.count('bad_requests', status=str(error.status))
            _log.info(
                'Bad request.',
                request=request_id,
                status=error.status,
                why=error.reason,
            )
            return
        self._metrics.count('room_refusals')
        _log.info(
            'Refused for lack of memory.',
            request=request_id,
            body=request.content_length,
            retry_after_ms=round(error.retry_after_seconds * _MS_PER_SECOND),
            taken=self._guard.rooms.taken_bytes,
            limit=self._guard.limits.held_bytes,
        )

    def _note_unread_request(
        self, request: BaseRequest, caller: _HttpCaller
    ) -> None:
        cause = caller.cancel_cause
        self._metrics.count('unread_requests', cause=cause.name)
        _log.info(
            'Request is not whole.',
            request=request.headers.get(names.REQUEST_ID),
            why=cause.value,
            cause=cause.name,
        )

    def _note_drop(
        self, request_ids: list[str | None], cause: CutCause
    ) -> None:
        self._metrics.count(
            'cut_answers',
            len(request_ids),
            cause=cause.name,
            may_have_run='false',
        )
        _log.warning(
            'Requests were dropped.',
            requests=request_ids,
            why=cause.value,
            cause=cause.name,
        )

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
        if request.path == names.PLACE_PATH and self._placements is not None:
            return await self._placements.handle(request)
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


def _error_response(error: BadCallError) -> Response:
    response = Response(status=error.status, text=f'{error.reason}\n')
    if error.retry_after_seconds is not None:
        response.headers['Retry-After'] = f'{error.retry_after_seconds:.2f}'
    response.force_close()
    return response


def _json_response(content: dict[str, Any]) -> Response:
    return Response(
        body=json.dumps(content).encode(),
        content_type='application/json',
    )


__all__ = ('Front',)
