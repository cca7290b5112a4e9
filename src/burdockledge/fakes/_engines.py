"""In-memory engines that run the engine model of the stand-ins."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Final

from burdockledge.backends import (
    EndKind,
    EngineCall,
    EngineClient,
    SseSplitter,
    StreamEnd,
    TokenChunk,
)
from burdockledge.fakes._network import process_context
from burdockledge.standins import (
    EngineModel,
    FaultCommand,
    FaultInjector,
    Generation,
    prompt_digest,
    token_text,
)

if TYPE_CHECKING:
    from burdockledge.fakes._network import FakeNetwork
    from burdockledge.standins import EngineSettings

_IDLE_TIMEOUT_SECONDS: Final = 3
_CHARACTERS_PER_TOKEN: Final = 4
_PREFIX_CHARACTERS: Final = 512
_SEPARATORS: Final = (',', ':')


@dataclass(slots=True)
class FakeEngine:
    """
    One engine and its injected faults.

    ``start_times`` holds the loop time of each accepted generation, in
    seconds.
    """

    model: EngineModel
    faults: FaultInjector
    is_down: bool = False
    is_leaving: bool = False
    sends_wrong_request_id: bool = False
    start_times: list[float] = field(default_factory=list)

    def slow(self, factor: float, seconds: float) -> None:
        """Multiply the time per token by a factor for some seconds."""
        command = FaultCommand(fault='slow', factor=factor, seconds=seconds)
        self.faults.apply(command)

    def stall(self, seconds: float) -> None:
        """Generate no tokens for some seconds."""
        self.faults.apply(FaultCommand(fault='silent', seconds=seconds))

    def crash(self) -> None:
        """Drop all generations and refuse new ones until restarted."""
        self.is_down = True
        self.model.crash()


def make_engine(settings: EngineSettings, url: str) -> FakeEngine:
    """Start an engine in a simulated process of its own."""
    loop = asyncio.get_running_loop()
    random = Random(settings.seed)
    faults = FaultInjector(loop.time, random)
    model = EngineModel(settings, faults, random)
    loop.create_task(model.run(), context=process_context(url))
    return FakeEngine(model, faults)


class FakeEngines(EngineClient):
    """The engine client of one host, connected to the fake engines."""

    def __init__(
        self,
        network: FakeNetwork,
        process: str,
        engines: dict[str, FakeEngine],
        executions: Counter[str],
    ) -> None:
        """Create the client for a process of the network."""
        self._network = network
        self._process = process
        self._engines = engines
        self._executions = executions

    async def stream(
        self,
        url: str,
        call: EngineCall,
    ) -> AsyncIterator[TokenChunk | StreamEnd]:
        """Stream a generation in chunks of one token."""
        engine = self._engines[url]
        await asyncio.sleep(self._network.delay_seconds)
        if engine.is_down or not self._network.is_open(self._process, url):
            yield StreamEnd(EndKind.not_sent)
            return
        if engine.is_leaving:
            yield StreamEnd(EndKind.refused)
            return
        generation = _make_generation(call)
        engine.start_times.append(asyncio.get_running_loop().time())
        engine.model.submit(generation)
        if call.is_at_most_once:
            # At-most-once generations are counted by prompt prefix.
            self._executions[generation.prefix] += 1
        idle_seconds = _idle_seconds(call)
        digest = prompt_digest(call.body)
        splitter = SseSplitter(call.request_id)
        try:
            while True:
                index = await self._next_token(generation, url, idle_seconds)
                if index is None:
                    break
                response_id = (
                    'another'
                    if engine.sends_wrong_request_id
                    else call.request_id
                )
                events, tokens = splitter.feed(
                    _sse_event(response_id, digest, index)
                )
                if splitter.is_corrupt:
                    yield StreamEnd(EndKind.crossed)
                    return
                yield TokenChunk(events, tokens)
        except TimeoutError:
            yield StreamEnd(EndKind.silent)
            return
        finally:
            engine.model.cancel(generation)
        is_complete = generation.next_index >= generation.end_index
        yield StreamEnd(EndKind.done if is_complete else EndKind.interrupted)

    async def _next_token(
        self, generation: Generation, url: str, idle_seconds: float
    ) -> int | None:
        timeout_seconds = idle_seconds if generation.next_index else None
        async with asyncio.timeout(timeout_seconds):
            index = await generation.tokens.get()
        if not self._network.is_open(url, self._process):
            await asyncio.sleep(idle_seconds)
            raise TimeoutError
        return index


def _sse_event(request_id: str, digest: str, index: int) -> bytes:
    chunk = {
        'id': request_id,
        'choices': [{'delta': {'content': token_text(digest, index)}}],
    }
    return f'data: {json.dumps(chunk, separators=_SEPARATORS)}\n\n'.encode()


def _idle_seconds(call: EngineCall) -> float:
    if not call.is_at_most_once or call.remaining_seconds is None:
        return _IDLE_TIMEOUT_SECONDS
    return call.remaining_seconds


def _make_generation(call: EngineCall) -> Generation:
    text = ''.join(str(message['content']) for message in call.body['messages'])
    output_tokens = int(call.body['metadata']['tokens'])
    return Generation(
        request_id=call.request_id,
        prompt_tokens=len(text) // _CHARACTERS_PER_TOKEN + 1,
        prefix=text[:_PREFIX_CHARACTERS],
        next_index=call.resume_from,
        end_index=output_tokens,
        priority=call.priority,
    )


__all__ = ('FakeEngine', 'FakeEngines', 'make_engine')
