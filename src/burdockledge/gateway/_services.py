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
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    REQUEST_ID_BYTES,
    Admission,
    is_true,
)
from burdockledge.gateway._errors import ErrorAnswer
from burdockledge.gateway._generation import bad_key, note_outcome, respond

if TYPE_CHECKING:
    from burdockledge.gateway._wiring import GatewayParts

# Source: RFC 9110, section 9.2.2.
_IDEMPOTENT_METHODS: Final = frozenset(
    ('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'),
)


class ServiceHandler:
    """Routes calls of plain services."""

    def __init__(self, parts: GatewayParts, admission: Admission) -> None:
        """Route to the services of the configuration."""
        self._parts = parts
        self._admission = admission

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a service call."""
        request_id = self._parts.random.randbytes(REQUEST_ID_BYTES)
        answered = await self._answer(request, request_id)
        if isinstance(answered, ErrorAnswer):
            return answered.response(request_id.hex())
        return respond(request_id.hex(), answered)

    async def _answer(
        self,
        request: web.Request,
        request_id: bytes,
    ) -> Answer | ErrorAnswer:
        admitted = self._admission.admit(request)
        if isinstance(admitted, Err):
            return admitted.err_value
        read = await self._admission.read_body(request)
        if isinstance(read, Err):
            return read.err_value
        name = request.match_info['name']
        class_name = admitted.ok_value.class_name
        servers = self._parts.configuration.index.services(class_name, name)
        if not servers:
            message = f'class {class_name} reaches no service {name!r}'
            return ErrorAnswer(404, 'service_not_found', message)
        context = self._admission.context(
            request,
            admitted.ok_value,
            servers,
            request_id,
        )
        if isinstance(context, Err):
            return context.err_value
        return await self._run(request, context.ok_value, read.ok_value)

    async def _run(
        self,
        request: web.Request,
        context: RequestContext,
        body: bytes,
    ) -> Answer | ErrorAnswer:
        self._parts.time_line.record(
            'accepted',
            context.request_id,
            detail=f'{context.team} {context.class_name}',
        )
        with self._parts.lifecycle.request(context.team):
            if _may_be_repeated(request):
                call = _call(request, context, body, key=None)
                answer = await self._parts.plain.run(context, call)
            else:
                text = request.headers.get(KEY_HEADER, '')
                parsed = parse_key(context.team, text)
                if isinstance(parsed, Err):
                    return bad_key(parsed.err_value.value)
                key = parsed.ok_value
                call = _call(request, context, body, key)
                answer = await self._parts.once.run(
                    context,
                    key,
                    _digest(call),
                    lambda: self._parts.plain.run(context, call),
                )
        note_outcome(self._parts, context, answer.outcome)
        return answer


def _may_be_repeated(request: web.Request) -> bool:
    if IDEMPOTENT_HEADER in request.headers:
        return is_true(request, IDEMPOTENT_HEADER)
    return request.method in _IDEMPOTENT_METHODS


def _call(
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
        key='' if key is None else key.text,
        seconds=context.deadline - context.received_at,
    )


def _digest(call: ServiceCall) -> str:
    digest = hashlib.blake2b(digest_size=REQUEST_ID_BYTES)
    digest.update(f'{call.method}\0{call.path}\0'.encode())
    digest.update(call.body)
    return digest.hexdigest()


__all__ = ('ServiceHandler',)
