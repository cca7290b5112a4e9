"""The handler of ``/v1/services/NAME/...``."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

from aiohttp import web
from result import Err

from burdockledge.backends import ServiceCall
from burdockledge.claims import IdempotencyKey, parse_key
from burdockledge.execution import Answer, RequestContext
from burdockledge.gateway._admission import (
    IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENT_HEADER,
    REQUEST_ID_BYTES,
    Admission,
    is_header_true,
)
from burdockledge.gateway._errors import ApiError
from burdockledge.gateway._generation import (
    invalid_key_error,
    make_response,
    record_outcome,
)

if TYPE_CHECKING:
    from burdockledge.gateway._components import HostComponents

# Source: RFC 9110, section 9.2.2.
_IDEMPOTENT_METHODS: Final = frozenset(
    ('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'),
)


class ServiceHandler:
    """Handles calls to plain services, which are not model engines."""

    def __init__(
        self, components: HostComponents, admission: Admission
    ) -> None:
        """Call the services of the configuration in force."""
        self._components = components
        self._admission = admission

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """
        Answer a service call.

        A call that is not idempotent is executed at most once, under its
        idempotency key.
        """
        id_bytes = self._components.random.randbytes(REQUEST_ID_BYTES)
        answer = await self._answer(request, id_bytes)
        if isinstance(answer, ApiError):
            return answer.response(id_bytes.hex())
        return make_response(id_bytes.hex(), answer)

    async def _answer(
        self,
        request: web.Request,
        id_bytes: bytes,
    ) -> Answer | ApiError:
        admitted = self._admission.admit(request)
        if isinstance(admitted, Err):
            return admitted.err_value
        body = await self._admission.read_body(request)
        if isinstance(body, Err):
            return body.err_value
        name = request.match_info['name']
        class_name = admitted.ok_value.class_name
        servers = self._components.configuration.index.services(
            class_name, name
        )
        if not servers:
            message = f'class {class_name} has no server for service {name!r}'
            return ApiError(404, 'service_not_found', message)
        context = self._admission.make_context(
            request,
            admitted.ok_value,
            servers,
            id_bytes,
        )
        if isinstance(context, Err):
            return context.err_value
        return await self._run(request, context.ok_value, body.ok_value)

    async def _run(
        self,
        request: web.Request,
        context: RequestContext,
        body: bytes,
    ) -> Answer | ApiError:
        self._components.time_line.record(
            'accepted',
            context.request_id,
            detail=f'{context.team} {context.class_name}',
        )
        with self._components.lifecycle.track_request(context.team):
            if _is_idempotent(request):
                call = _make_call(request, context, body, key=None)
                answer = await self._components.service_runner.run(
                    context, call
                )
            else:
                key_text = request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
                parsed = parse_key(context.team, key_text)
                if isinstance(parsed, Err):
                    return invalid_key_error(parsed.err_value.value)
                key = parsed.ok_value
                call = _make_call(request, context, body, key)
                answer = await self._components.at_most_once_runner.run(
                    context,
                    key,
                    _call_digest(call),
                    lambda: self._components.service_runner.run(context, call),
                )
        record_outcome(self._components, context, answer.outcome)
        return answer


def _is_idempotent(request: web.Request) -> bool:
    if IDEMPOTENT_HEADER in request.headers:
        return is_header_true(request, IDEMPOTENT_HEADER)
    return request.method in _IDEMPOTENT_METHODS


def _make_call(
    request: web.Request,
    context: RequestContext,
    body: bytes,
    key: IdempotencyKey | None,
) -> ServiceCall:
    tail = request.match_info['tail']
    query = f'?{request.query_string}' if request.query_string else ''
    return ServiceCall(
        request_id=context.request_id,
        method=request.method,
        path=f'/{tail}{query}',
        content_type=request.headers.get('Content-Type', 'application/json'),
        body=body,
        idempotency_key='' if key is None else key.text,
        timeout_seconds=context.deadline - context.received_at,
    )


def _call_digest(call: ServiceCall) -> str:
    digest = hashlib.blake2b(digest_size=REQUEST_ID_BYTES)
    digest.update(f'{call.method}\0{call.path}\0'.encode())
    digest.update(call.body)
    return digest.hexdigest()


__all__ = ('ServiceHandler',)
