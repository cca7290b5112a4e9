"""The handlers of ``/v1/chat/completions`` and ``/v1/completions``."""

from __future__ import annotations

import hashlib
import json
from contextlib import aclosing
from typing import TYPE_CHECKING, Final

import xxhash
from aiohttp import web
from pydantic import ValidationError
from result import Err, Ok, Result

from burdockledge.backends import EngineCall
from burdockledge.claims import Outcome, parse_key
from burdockledge.execution import Answer, AnswerEnd, AnswerPart
from burdockledge.gateway._admission import (
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    REQUEST_ID_BYTES,
    Admission,
)
from burdockledge.gateway._assemble import assemble_answer
from burdockledge.gateway._bodies import (
    ChatBody,
    CompletionBody,
    GenerationBody,
)
from burdockledge.gateway._errors import (
    OUTCOME_HEADER,
    REPLAY_HEADER,
    REQUEST_HEADER,
    ErrorAnswer,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from burdockledge.execution import RequestContext
    from burdockledge.gateway._wiring import GatewayParts

_CHARACTERS_A_TOKEN: Final = 4
_EXPECTED_OUTPUT_TOKENS: Final = 64
_PREFIX_CHARACTERS: Final = 512
_DONE: Final = b'data: [DONE]\n\n'
_STREAM_HEADERS: Final = {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-cache',
}
_MS: Final = 1000


class GenerationHandler:
    """Handles one of the two generation interfaces."""

    def __init__(
        self,
        parts: GatewayParts,
        admission: Admission,
        body_model: type[GenerationBody],
        path: str,
    ) -> None:
        """Handle bodies of a model and call engines at a path."""
        self._parts = parts
        self._admission = admission
        self._body_model = body_model
        self._path = path

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a generation request."""
        request_id = self._parts.random.randbytes(REQUEST_ID_BYTES)
        accepted = await self._accept(request, request_id)
        if isinstance(accepted, Err):
            return accepted.err_value.response(request_id.hex())
        body, context = accepted.ok_value
        self._parts.time_line.record(
            'accepted',
            context.request_id,
            detail=f'{context.team} {context.class_name}',
        )
        with self._parts.lifecycle.request(context.team):
            if request.headers.get(IDEMPOTENT_HEADER, '').lower() == 'false':
                return await self._answer_once(request, body, context)
            parts = self._generate(body, context, is_once=False)
            if body.stream:
                return await self._stream(request, context, parts)
            answer = await self._collect(context, parts)
            return _respond(context, answer)

    async def _accept(
        self,
        request: web.Request,
        request_id: bytes,
    ) -> Result[tuple[GenerationBody, RequestContext], ErrorAnswer]:
        admitted = self._admission.admit(request)
        if isinstance(admitted, Err):
            return admitted
        read = await self._admission.read_body(request)
        if isinstance(read, Err):
            return read
        try:
            body = self._body_model.model_validate_json(read.ok_value)
        except ValidationError as error:
            return Err(ErrorAnswer(400, 'invalid_body', _explain(error)))
        class_name = admitted.ok_value.class_name
        servers = self._parts.configuration.index.engines(
            class_name,
            body.model,
        )
        if not servers:
            message = f'model: class {class_name} reaches no {body.model!r}'
            return Err(ErrorAnswer(404, 'model_not_found', message))
        context = self._admission.context(
            request,
            admitted.ok_value,
            servers,
            request_id,
        )
        if isinstance(context, Err):
            return context
        return Ok((body, context.ok_value))

    def _generate(
        self,
        body: GenerationBody,
        context: RequestContext,
        *,
        is_once: bool,
    ) -> AsyncGenerator[AnswerPart | AnswerEnd, None]:
        prompt = body.prompt_text()
        raw = body.model_dump(exclude_none=True, exclude_unset=True)
        most = context.request_class.max_output_tokens
        raw['max_tokens'] = min(body.max_tokens or most, most)
        call = EngineCall(
            request_id=context.request_id,
            path=self._path,
            body=raw,
            priority=context.request_class.tier,
            deadline_ms=int((context.deadline - context.received_at) * _MS),
            is_at_most_once=is_once,
        )
        cost = len(prompt) // _CHARACTERS_A_TOKEN + _EXPECTED_OUTPUT_TOKENS
        prefix = xxhash.xxh3_64_hexdigest(
            prompt[:_PREFIX_CHARACTERS].encode(errors='surrogatepass'),
        )
        return self._parts.chat.run(context, call, cost, prefix)

    async def _stream(
        self,
        request: web.Request,
        context: RequestContext,
        parts: AsyncGenerator[AnswerPart | AnswerEnd, None],
    ) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        async with aclosing(parts):
            async for part in parts:
                if isinstance(part, AnswerEnd):
                    return await self._end(request, context, part, response)
                if response is None:
                    response = await self._open(request, context)
                    self._note_first(context)
                await response.write(part.events)
        raise RuntimeError('an answer has no end')

    async def _end(
        self,
        request: web.Request,
        context: RequestContext,
        end: AnswerEnd,
        response: web.StreamResponse | None,
    ) -> web.StreamResponse:
        self._note_end(context, end)
        if response is None and end.problem is not None:
            error = ErrorAnswer.of(end.problem, end.outcome)
            return error.response(context.request_id)
        if response is None:
            response = await self._open(request, context)
        await response.write(_last_events(context, end))
        await response.write_eof()
        return response

    async def _open(
        self,
        request: web.Request,
        context: RequestContext,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={**_STREAM_HEADERS, REQUEST_HEADER: context.request_id},
        )
        await response.prepare(request)
        return response

    async def _collect(
        self,
        context: RequestContext,
        parts: AsyncGenerator[AnswerPart | AnswerEnd, None],
    ) -> Answer:
        collected: list[bytes] = []
        async with aclosing(parts):
            async for part in parts:
                if isinstance(part, AnswerPart):
                    collected.append(part.events)
                    continue
                self._note_end(context, part)
                if part.problem is not None:
                    return Answer(part.outcome, problem=part.problem)
                document = assemble_answer(b''.join(collected))
                return Answer(
                    part.outcome,
                    200,
                    'application/json',
                    json.dumps(document).encode(),
                )
        raise RuntimeError('an answer has no end')

    async def _answer_once(
        self,
        request: web.Request,
        body: GenerationBody,
        context: RequestContext,
    ) -> web.Response:
        """Generate under a key; the answer is sent when it is whole."""
        parsed = parse_key(context.team, request.headers.get(KEY_HEADER, ''))
        if isinstance(parsed, Err):
            problem = parsed.err_value.value
            return bad_key(problem).response(context.request_id)
        answer = await self._parts.once.run(
            context,
            parsed.ok_value,
            _digest(self._path, body),
            lambda: self._collect(
                context,
                self._generate(body, context, is_once=True),
            ),
        )
        return _respond(context, answer)

    def _note_first(self, context: RequestContext) -> None:
        seconds = self._parts.clock.monotonic() - context.received_at
        self._parts.metrics.observe(
            'first_token_seconds',
            seconds,
            request_class=context.class_name,
        )

    def _note_end(self, context: RequestContext, end: AnswerEnd) -> None:
        note_outcome(self._parts, context, end.outcome)
        self._parts.metrics.count(
            'tokens_total',
            end.tokens,
            request_class=context.class_name,
        )


def note_outcome(
    parts: GatewayParts,
    context: RequestContext,
    outcome: Outcome,
) -> None:
    """Record what a caller is told."""
    parts.time_line.record(
        'answered',
        context.request_id,
        detail=outcome.value,
    )
    parts.metrics.count(
        'requests_total',
        request_class=context.class_name,
        outcome=outcome.value,
    )


def bad_key(problem: str) -> ErrorAnswer:
    """Return the error of an unusable Idempotency-Key."""
    return ErrorAnswer(
        400,
        'idempotency_key_invalid',
        f'{KEY_HEADER}: {problem}; give a UUID of version 7 (RFC 9562) '
        'with every request that may not be repeated',
    )


def _respond(context: RequestContext, answer: Answer) -> web.Response:
    return respond(context.request_id, answer)


def respond(request_id: str, answer: Answer) -> web.Response:
    """Return the response of an answer that is not streamed."""
    if answer.problem is not None:
        error = ErrorAnswer.of(answer.problem, answer.outcome)
        return error.response(request_id)
    headers = {
        OUTCOME_HEADER: answer.outcome.value,
        REQUEST_HEADER: request_id,
        'Content-Type': answer.content_type,
    }
    if answer.is_replay:
        headers[REPLAY_HEADER] = 'true'
    return web.Response(
        body=answer.body,
        status=answer.status,
        headers=headers,
    )


def _last_events(context: RequestContext, end: AnswerEnd) -> bytes:
    comment = f': outcome {end.outcome.value}\n\n'.encode()
    if end.problem is None:
        return comment + _DONE
    error = ErrorAnswer.of(end.problem, end.outcome)
    document = json.dumps(error.document(context.request_id))
    return f'data: {document}\n\n'.encode() + comment


def _digest(path: str, body: GenerationBody) -> str:
    canonical = json.dumps(body.model_dump(mode='json'), sort_keys=True)
    named = f'{path}\0{canonical}'.encode()
    return hashlib.blake2b(named, digest_size=REQUEST_ID_BYTES).hexdigest()


def _explain(error: ValidationError) -> str:
    problem = error.errors()[0]
    where = '.'.join(str(part) for part in problem['loc']) or 'body'
    return f'{where}: {problem["msg"]}'


__all__ = (
    'ChatBody',
    'CompletionBody',
    'GenerationHandler',
    'bad_key',
    'note_outcome',
    'respond',
)
