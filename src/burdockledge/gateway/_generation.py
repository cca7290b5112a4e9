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
from burdockledge.execution import (
    Answer,
    AnswerEnd,
    AnswerPart,
    Problem,
    ProblemCode,
)
from burdockledge.gateway._admission import (
    IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENT_HEADER,
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
    REPLAYED_HEADER,
    REQUEST_ID_HEADER,
    ApiError,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from burdockledge.execution import RequestContext
    from burdockledge.gateway._components import HostComponents

_CHARACTERS_PER_TOKEN: Final = 4
_EXPECTED_OUTPUT_TOKENS: Final = 64
_PREFIX_CHARACTERS: Final = 512
_DONE_EVENT: Final = b'data: [DONE]\n\n'
_STREAM_HEADERS: Final = {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-cache',
}
# Events of an answer that is not streamed, held until it is complete: a
# hundred thousand tokens.
_MAX_COLLECTED_BYTES: Final = 16 * 1024 * 1024
_MS_PER_SECOND: Final = 1000


class GenerationHandler:
    """Handles one of the two generation interfaces."""

    def __init__(
        self,
        components: HostComponents,
        admission: Admission,
        body_model: type[GenerationBody],
        path: str,
    ) -> None:
        """Validate bodies with ``body_model``, and call engines at ``path``."""
        self._components = components
        self._admission = admission
        self._body_model = body_model
        self._path = path

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """
        Answer a generation request.

        A request whose header says that it is not idempotent is executed at
        most once, under its idempotency key.
        """
        id_bytes = self._components.random.randbytes(REQUEST_ID_BYTES)
        validated = await self._validate_request(request, id_bytes)
        if isinstance(validated, Err):
            return validated.err_value.response(id_bytes.hex())
        body, context = validated.ok_value
        self._components.time_line.record(
            'accepted',
            context.request_id,
            detail=f'{context.team} {context.class_name}',
        )
        with self._components.lifecycle.track_request(context.team):
            if request.headers.get(IDEMPOTENT_HEADER, '').lower() == 'false':
                return await self._answer_at_most_once(request, body, context)
            answer_parts = self._generate(body, context, is_at_most_once=False)
            if body.stream:
                return await self._stream(request, context, answer_parts)
            answer = await self._collect(context, answer_parts)
            return _make_response(context, answer)

    async def _validate_request(
        self,
        request: web.Request,
        id_bytes: bytes,
    ) -> Result[tuple[GenerationBody, RequestContext], ApiError]:
        admitted = self._admission.admit(request)
        if isinstance(admitted, Err):
            return admitted
        raw_body = await self._admission.read_body(request)
        if isinstance(raw_body, Err):
            return raw_body
        try:
            body = self._body_model.model_validate_json(raw_body.ok_value)
        except ValidationError as error:
            return Err(
                ApiError(400, 'invalid_body', _validation_message(error))
            )
        class_name = admitted.ok_value.class_name
        servers = self._components.configuration.index.engines(
            class_name,
            body.model,
        )
        if not servers:
            message = (
                f'model: class {class_name} has no server for {body.model!r}'
            )
            return Err(ApiError(404, 'model_not_found', message))
        context = self._admission.make_context(
            request,
            admitted.ok_value,
            servers,
            id_bytes,
        )
        if isinstance(context, Err):
            return context
        return Ok((body, context.ok_value))

    def _generate(
        self,
        body: GenerationBody,
        context: RequestContext,
        *,
        is_at_most_once: bool,
    ) -> AsyncGenerator[AnswerPart | AnswerEnd, None]:
        prompt = body.prompt_text()
        engine_body = body.model_dump(exclude_none=True, exclude_unset=True)
        token_limit = context.request_class.max_output_tokens
        engine_body['max_tokens'] = min(
            body.max_tokens or token_limit, token_limit
        )
        call = EngineCall(
            request_id=context.request_id,
            path=self._path,
            body=engine_body,
            priority=context.request_class.tier,
            deadline_ms=int(
                (context.deadline - context.received_at) * _MS_PER_SECOND
            ),
            is_at_most_once=is_at_most_once,
        )
        cost_tokens = (
            len(prompt) // _CHARACTERS_PER_TOKEN + _EXPECTED_OUTPUT_TOKENS
        )
        prefix_hash = xxhash.xxh3_64_hexdigest(
            prompt[:_PREFIX_CHARACTERS].encode(errors='surrogatepass'),
        )
        return self._components.generation_runner.run(
            context, call, cost_tokens, prefix_hash
        )

    async def _stream(
        self,
        request: web.Request,
        context: RequestContext,
        answer_parts: AsyncGenerator[AnswerPart | AnswerEnd, None],
    ) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        async with aclosing(answer_parts):
            async for part in answer_parts:
                if isinstance(part, AnswerEnd):
                    return await self._end_stream(
                        request, context, part, response
                    )
                if response is None:
                    response = await self._open_stream(request, context)
                    self._record_first_token(context)
                await response.write(part.events)
        raise RuntimeError('the answer stream ended without its end marker')

    async def _end_stream(
        self,
        request: web.Request,
        context: RequestContext,
        end: AnswerEnd,
        response: web.StreamResponse | None,
    ) -> web.StreamResponse:
        self._record_end(context, end)
        if response is None and end.problem is not None:
            error = ApiError.from_problem(end.problem, end.outcome)
            return error.response(context.request_id)
        if response is None:
            response = await self._open_stream(request, context)
        await response.write(_final_events(context, end))
        await response.write_eof()
        return response

    async def _open_stream(
        self,
        request: web.Request,
        context: RequestContext,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={**_STREAM_HEADERS, REQUEST_ID_HEADER: context.request_id},
        )
        await response.prepare(request)
        return response

    async def _collect(
        self,
        context: RequestContext,
        answer_parts: AsyncGenerator[AnswerPart | AnswerEnd, None],
    ) -> Answer:
        collected_events = bytearray()
        async with aclosing(answer_parts):
            async for part in answer_parts:
                end: AnswerEnd | None
                if isinstance(part, AnswerPart):
                    collected_events += part.events
                    end = _oversized_end(len(collected_events))
                else:
                    end = part
                if end is None:
                    continue
                self._record_end(context, end)
                if end.problem is not None:
                    return Answer(end.outcome, problem=end.problem)
                answer_json = assemble_answer(bytes(collected_events))
                return Answer(
                    end.outcome,
                    200,
                    'application/json',
                    json.dumps(answer_json).encode(),
                )
        raise RuntimeError('the answer stream ended without its end marker')

    async def _answer_at_most_once(
        self,
        request: web.Request,
        body: GenerationBody,
        context: RequestContext,
    ) -> web.Response:
        """Generate under the idempotency key; send only a whole answer."""
        parsed = parse_key(
            context.team, request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
        )
        if isinstance(parsed, Err):
            problem = parsed.err_value.value
            return invalid_key_error(problem).response(context.request_id)
        answer = await self._components.at_most_once_runner.run(
            context,
            parsed.ok_value,
            _request_digest(self._path, body),
            lambda: self._collect(
                context,
                self._generate(body, context, is_at_most_once=True),
            ),
        )
        return _make_response(context, answer)

    def _record_first_token(self, context: RequestContext) -> None:
        seconds = self._components.clock.monotonic() - context.received_at
        self._components.metrics.observe(
            'first_token_seconds',
            seconds,
            request_class=context.class_name,
        )

    def _record_end(self, context: RequestContext, end: AnswerEnd) -> None:
        record_outcome(self._components, context, end.outcome)
        self._components.metrics.count(
            'tokens_total',
            end.tokens,
            request_class=context.class_name,
        )


def record_outcome(
    components: HostComponents,
    context: RequestContext,
    outcome: Outcome,
) -> None:
    """Record the outcome that a caller receives."""
    components.time_line.record(
        'answered',
        context.request_id,
        detail=outcome.value,
    )
    components.metrics.count(
        'requests_total',
        request_class=context.class_name,
        outcome=outcome.value,
    )


def invalid_key_error(problem: str) -> ApiError:
    """Return the error of a missing or invalid Idempotency-Key."""
    return ApiError(
        400,
        'idempotency_key_invalid',
        f'{IDEMPOTENCY_KEY_HEADER}: {problem}; a request that must not be '
        'repeated needs a UUID of version 7 (RFC 9562)',
    )


def _make_response(context: RequestContext, answer: Answer) -> web.Response:
    return make_response(context.request_id, answer)


def make_response(request_id: str, answer: Answer) -> web.Response:
    """Return the HTTP response with an answer that is not streamed."""
    if answer.problem is not None:
        error = ApiError.from_problem(answer.problem, answer.outcome)
        return error.response(request_id)
    headers = {
        OUTCOME_HEADER: answer.outcome.value,
        REQUEST_ID_HEADER: request_id,
        'Content-Type': answer.content_type,
    }
    if answer.is_replay:
        headers[REPLAYED_HEADER] = 'true'
    return web.Response(
        body=answer.body,
        status=answer.status,
        headers=headers,
    )


def _oversized_end(size: int) -> AnswerEnd | None:
    """Return the end of an answer if it has too many bytes."""
    if size <= _MAX_COLLECTED_BYTES:
        return None
    return AnswerEnd(
        Outcome.unknown,
        0,
        Problem(
            ProblemCode.backend_failed, 'the answer is too large to be held'
        ),
    )


def _final_events(context: RequestContext, end: AnswerEnd) -> bytes:
    comment = f': outcome {end.outcome.value}\n\n'.encode()
    if end.problem is None:
        return comment + _DONE_EVENT
    error = ApiError.from_problem(end.problem, end.outcome)
    error_json = json.dumps(error.json_body(context.request_id))
    return f'data: {error_json}\n\n'.encode() + comment


def _request_digest(path: str, body: GenerationBody) -> str:
    canonical = json.dumps(body.model_dump(mode='json'), sort_keys=True)
    digest_input = f'{path}\0{canonical}'.encode()
    return hashlib.blake2b(
        digest_input, digest_size=REQUEST_ID_BYTES
    ).hexdigest()


def _validation_message(error: ValidationError) -> str:
    problem = error.errors()[0]
    location = '.'.join(str(step) for step in problem['loc']) or 'body'
    return f'{location}: {problem["msg"]}'


__all__ = (
    'ChatBody',
    'CompletionBody',
    'GenerationHandler',
    'invalid_key_error',
    'make_response',
    'record_outcome',
)
