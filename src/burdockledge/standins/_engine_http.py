"""The HTTP server of the simulated engine."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from dataclasses import asdict
from typing import TYPE_CHECKING, Any, Final

from aiohttp import web

from burdockledge.standins._engine_model import EngineModel, Generation
from burdockledge.standins._faults import FaultCommand
from burdockledge.standins._serving import StandIn
from burdockledge.standins._text import prompt_digest, token_text

if TYPE_CHECKING:
    from burdockledge.standins._settings import EngineSettings

_REQUEST_ID: Final = 'X-Request-Id'
_CALL_RATE_LIMIT: Final = 'X-Call-Rate-Limit'
_CHARACTERS_PER_TOKEN: Final = 4
_PREFIX_CHARACTERS: Final = 512
_DEFAULT_TOKENS: Final = 16
_KEEP_ALIVE_SECONDS: Final = 1


class EngineStandIn(StandIn):
    """
    A simulated engine that streams generations.

    The field ``metadata.tokens`` of a request, which the router does not
    read, sets the length of its answer. Faults: slow (factor), silent (no
    tokens), crash (connections break), leaving (status 503), crossed
    (answers carry a wrong request id), fatal (a prompt that holds the text
    of the fault crashes the engine as its answer begins, for as many seconds
    as the factor says), limit (answers name the factor as calls a second;
    the statistics count the calls of all callers beyond it).
    """

    def __init__(self, settings: EngineSettings) -> None:
        """Create an idle engine."""
        super().__init__(settings)
        self._settings = settings
        self.model = EngineModel(settings, self.faults, self.random)
        self._call_times: deque[float] = deque()
        self._excess_calls = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the generation, report and statistics routes."""
        return [
            web.post('/v1/chat/completions', self._generate),
            web.post('/v1/completions', self._generate),
            web.get('/load', self._report_load),
            web.get('/cache-events', self._cache_events),
            web.get('/stats', self._stats),
        ]

    async def run(self) -> None:
        """Generate tokens until cancelled."""
        await self.model.run()

    def on_fault(self, command: FaultCommand) -> None:
        """Cancel all generations and empty the cache at a crash fault."""
        if command.fault == 'crash':
            self.model.crash()

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        if self.faults.is_triggered('crash'):
            return _abort_connection(request)
        request_id = request.headers.get(_REQUEST_ID, '')
        if self.faults.is_triggered('leaving'):
            return web.Response(
                status=503, text='leaving', headers={_REQUEST_ID: request_id}
            )
        self._count_excess()
        body = json.loads(await request.read())
        generation = _make_generation(
            body, request_id, self.faults.text('fatal')
        )
        self.model.submit(generation)
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                _REQUEST_ID: request_id,
                **self._limit_headers(),
            },
        )
        try:
            await response.prepare(request)
            return await self._stream_tokens(
                response, request, generation, body
            )
        finally:
            self.model.cancel(generation)

    async def _stream_tokens(
        self,
        response: web.StreamResponse,
        request: web.Request,
        generation: Generation,
        body: dict[str, Any],
    ) -> web.StreamResponse:
        digest = prompt_digest(body)
        is_chat = 'messages' in body
        response_id = generation.request_id
        if self.faults.is_triggered('crossed'):
            response_id = ''.join(reversed(response_id))
        while True:
            index = await self._next_token(response, generation)
            if generation.is_fatal and index is not None:
                self._end_under(request)
                return response
            if index is None:
                break
            event = _sse_event(response_id, body, is_chat, digest, index)
            await response.write(event)
        if generation.next_index < generation.end_index:
            return _abort_connection(request, response)
        await response.write(b'data: [DONE]\n\n')
        await response.write_eof()
        return response

    def _limit_headers(self) -> dict[str, str]:
        if not self.faults.is_triggered('limit'):
            return {}
        return {_CALL_RATE_LIMIT: f'{self.faults.factor("limit"):g}'}

    def _count_excess(self) -> None:
        """Count a call beyond the limit of a second."""
        if not self.faults.is_triggered('limit'):
            return
        now = asyncio.get_running_loop().time()
        self._call_times.append(now)
        while self._call_times[0] <= now - 1:
            self._call_times.popleft()
        if len(self._call_times) > self.faults.factor('limit'):
            self._excess_calls += 1

    def _end_under(self, request: web.Request) -> None:
        """Crash under a request, and come back after some seconds."""
        seconds = self.faults.factor('fatal')
        command = FaultCommand(fault='crash', seconds=seconds)
        self.faults.apply(command)
        self.on_fault(command)
        _abort_connection(request)

    async def _next_token(
        self,
        response: web.StreamResponse,
        generation: Generation,
    ) -> int | None:
        while True:
            try:
                async with asyncio.timeout(_KEEP_ALIVE_SECONDS):
                    return await generation.tokens.get()
            except TimeoutError:
                if not self.faults.is_triggered('silent'):
                    await response.write(b': keep-alive\n\n')

    async def _report_load(self, _request: web.Request) -> web.Response:
        now = asyncio.get_running_loop().time()
        return web.json_response(asdict(self.model.report(now)))

    async def _cache_events(self, request: web.Request) -> web.Response:
        now = asyncio.get_running_loop().time()
        from_serial = int(request.query.get('from', '0'))
        events = self.model.events(from_serial, now)
        return web.json_response([asdict(event) for event in events])

    async def _stats(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                'executed': len(self.model.executed_request_ids),
                'generated_tokens': self.model.generated_tokens,
                'cache_hits': self.model.cache_hits,
                'busy': self.model.in_flight,
                'excess_calls': self._excess_calls,
            },
        )


def _make_generation(
    body: dict[str, Any], request_id: str, fatal_text: str
) -> Generation:
    contents = [
        str(message.get('content')) for message in body.get('messages', ())
    ]
    text = ''.join((str(body.get('prompt', '')), *contents))
    output_tokens = int(body.get('metadata', {}).get('tokens', _DEFAULT_TOKENS))
    return Generation(
        request_id=request_id,
        prompt_tokens=len(text) // _CHARACTERS_PER_TOKEN + 1,
        prefix=text[:_PREFIX_CHARACTERS],
        next_index=int(body.get('resume_from', 0)),
        end_index=min(
            output_tokens, int(body.get('max_tokens', output_tokens))
        ),
        priority=int(body.get('priority', 0)),
        is_fatal=bool(fatal_text) and fatal_text in text,
    )


def _sse_event(
    request_id: str,
    body: dict[str, Any],
    is_chat: bool,
    digest: str,
    index: int,
) -> bytes:
    text = token_text(digest, index)
    choice: dict[str, Any] = {'index': 0, 'finish_reason': None}
    if is_chat:
        choice['delta'] = {'content': text}
    else:
        choice['text'] = text
    chunk = {
        'id': request_id,
        'object': 'chat.completion.chunk' if is_chat else 'text_completion',
        'model': body.get('model'),
        'choices': [choice],
    }
    return f'data: {json.dumps(chunk, separators=(",", ":"))}\n\n'.encode()


def _abort_connection(
    request: web.Request,
    response: web.StreamResponse | None = None,
) -> web.StreamResponse:
    """Abort the connection, as a crashed process does."""
    if request.transport is not None:
        request.transport.abort()
    return response or web.Response(status=500)


__all__ = ('EngineStandIn',)
