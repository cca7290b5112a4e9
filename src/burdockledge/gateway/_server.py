"""The HTTP server of an entry host."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from aiohttp import web

from burdockledge.connections import (
    CONNECTION_BYTES,
    TLS_CONNECTION_BYTES,
    ConnectionBudget,
    ConnectionGuard,
    GuardedConnection,
    GuardedTls,
    SystemMemory,
    listen,
)
from burdockledge.gateway._admission import Admission
from burdockledge.gateway._bodies import ChatBody, CompletionBody
from burdockledge.gateway._errors import ApiError
from burdockledge.gateway._generation import GenerationHandler
from burdockledge.gateway._lookups import LookupHandlers
from burdockledge.gateway._operators import OperatorHandlers
from burdockledge.gateway._protocol import (
    HeadTimeoutProtocol,
    head_timeout_middleware,
)
from burdockledge.gateway._services import ServiceHandler
from burdockledge.kernel import Service
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    import ssl

    from burdockledge.gateway._components import HostComponents

_log = make_logger('gateway')

_CHAT_PATH = '/v1/chat/completions'
_COMPLETIONS_PATH = '/v1/completions'
_LINGERING_SECONDS = 1
_BACKLOG = 1024
_BYTES_PER_MB = 1024 * 1024


class Gateway(Service):
    """Serves callers and operators over HTTP."""

    name = 'gateway'

    def __init__(
        self,
        components: HostComponents,
        tls: ssl.SSLContext | None,
    ) -> None:
        """Serve at ``caller_address``, without TLS if ``tls`` is None."""
        self._components = components
        self._tls = tls
        self._runner = web.AppRunner(
            self.application(),
            access_log=None,
            handler_cancellation=True,
            handle_signals=False,
        )
        self._server: asyncio.Server | None = None
        settings = components.settings
        self._guard = ConnectionGuard(
            ConnectionBudget(
                settings.memory_mb and settings.memory_mb * _BYTES_PER_MB,
                settings.max_fds,
                CONNECTION_BYTES if tls is None else TLS_CONNECTION_BYTES,
            ),
            components.metrics,
            time.monotonic,
            SystemMemory(),
        )

    def application(self) -> web.Application:
        """Return an application with all routes."""
        components = self._components
        application = web.Application(
            client_max_size=components.settings.max_body_bytes,
            middlewares=[head_timeout_middleware, json_error_middleware],
        )
        admission = Admission(components)
        chat = GenerationHandler(components, admission, ChatBody, _CHAT_PATH)
        completions = GenerationHandler(
            components,
            admission,
            CompletionBody,
            _COMPLETIONS_PATH,
        )
        services = ServiceHandler(components, admission)
        lookups = LookupHandlers(components, admission)
        operators = OperatorHandlers(components, admission)
        application.add_routes(
            [
                web.post(_CHAT_PATH, chat.handle),
                web.post(_COMPLETIONS_PATH, completions.handle),
                web.route(
                    '*', '/v1/services/{name}/{tail:.*}', services.handle
                ),
                web.get('/v1/models', lookups.models),
                web.get('/v1/entry-hosts', lookups.entry_hosts),
                web.get('/v1/outcomes/{key}', lookups.outcome),
                web.get('/admin/configuration', operators.configuration),
                web.get('/admin/configuration/schema', operators.schema),
                web.get('/admin/configuration/history', operators.history),
                web.post('/admin/configuration/patches', operators.publish),
                web.get('/admin/status', operators.status),
                web.post('/admin/drain', operators.drain),
                web.get('/admin/time-line', operators.time_line),
                web.get('/metrics', operators.metrics),
                web.get('/health', operators.health),
            ],
        )
        return application

    async def start(self) -> None:
        """Listen for callers."""
        await self._runner.setup()
        settings = self._components.settings
        ip, _, port = settings.caller_address.rpartition(':')
        self._server = await listen(
            self._make_protocol, ip.strip('[]'), int(port), _BACKLOG
        )
        _log.info('Listening.', address=settings.caller_address)

    async def stop(self) -> None:
        """Stop listening and close the idle connections."""
        if self._server is not None:
            self._server.close()
        await self._runner.cleanup()

    def _make_protocol(self) -> asyncio.BaseProtocol:
        protocol = self._make_http_protocol()
        if self._tls is None:
            return protocol
        return GuardedTls(
            protocol,
            self._tls,
            self._guard,
            self._components.settings.header_timeout_seconds,
        )

    def _make_http_protocol(self) -> HeadTimeoutProtocol:
        server = self._runner.server
        if server is None:
            raise RuntimeError('the gateway was not started')
        return HeadTimeoutProtocol(
            GuardedConnection(
                server,
                self._guard,
                loop=asyncio.get_running_loop(),
                access_log=None,
                lingering_time=_LINGERING_SECONDS,
            ),
            self._components.settings.header_timeout_seconds,
        )


@web.middleware
async def json_error_middleware(
    request: web.Request,
    handler: Callable[[web.Request], object],
) -> web.StreamResponse:
    """Return the HTTP errors that aiohttp raises in the JSON error format."""
    try:
        return await handler(request)  # type: ignore[no-any-return,misc]
    except web.HTTPException as error:
        code = error.reason.lower().replace(' ', '_')
        api_error = ApiError(error.status, code, error.reason)
        return api_error.response('')


__all__ = ('Gateway',)
