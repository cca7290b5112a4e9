"""Engines in memory, over the model of the stand-in."""

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
    FaultOrder,
    Faults,
    Generation,
    prompt_digest,
    token_text,
)

if TYPE_CHECKING:
    from burdockledge.fakes._network import FakeNetwork
    from burdockledge.standins import EngineSettings

_SILENCE_SECONDS: Final = 3
_CHARACTERS_A_TOKEN: Final = 4
_PREFIX_CHARACTERS: Final = 512
_COMPACT: Final = (',', ':')


@dataclass(slots=True)
class FakeEngine:
    """One engine and the faults that are on."""

    model: EngineModel
    faults: Faults
    is_down: bool = False
    is_leaving: bool = False
    is_crossed: bool = False
    starts: list[float] = field(default_factory=list)

    def slow(self, factor: float, seconds: float) -> None:
        """Make every token take longer for some seconds."""
        order = FaultOrder(fault='slow', factor=factor, seconds=seconds)
        self.faults.switch(order)

    def silence(self, seconds: float) -> None:
        """Make no token for some seconds."""
        self.faults.switch(FaultOrder(fault='silent', seconds=seconds))

    def crash(self) -> None:
        """Drop all generations and take none until restarted."""
        self.is_down = True
        self.model.crash()


def make_engine(settings: EngineSettings, url: str) -> FakeEngine:
    """Create an engine that works in a process of its own."""
    loop = asyncio.get_running_loop()
    random = Random(settings.seed)
    faults = Faults(loop.time, random)
    model = EngineModel(settings, faults, random)
    loop.create_task(model.run(), context=process_context(url))
    return FakeEngine(model, faults)


class FakeEngines(EngineClient):
    """The client of one host over the engines of the site."""

    def __init__(
        self,
        network: FakeNetwork,
        process: str,
        engines: dict[str, FakeEngine],
        executions: Counter[str],
    ) -> None:
        """Call engines as a process of the network."""
        self._network = network
        self._process = process
        self._engines = engines
        self._executions = executions

    async def stream(
        self,
        url: str,
        call: EngineCall,
    ) -> AsyncIterator[TokenChunk | StreamEnd]:
        """Stream a generation, one chunk a token."""
        engine = self._engines[url]
        await asyncio.sleep(self._network.delay_seconds)
        if engine.is_down or not self._network.is_open(self._process, url):
            yield StreamEnd(EndKind.not_sent)
            return
        if engine.is_leaving:
            yield StreamEnd(EndKind.refused)
            return
        generation = _generation(call)
        engine.starts.append(asyncio.get_running_loop().time())
        engine.model.submit(generation)
        if call.is_at_most_once:
            # A generation that may not be repeated counts by its prompt.
            self._executions[generation.prefix] += 1
        digest = prompt_digest(call.body)
        splitter = SseSplitter(call.request_id)
        try:
            while True:
                index = await self._next(generation, url)
                if index is None:
                    break
                sent_id = 'another' if engine.is_crossed else call.request_id
                events, tokens = splitter.feed(_event(sent_id, digest, index))
                if splitter.is_corrupt:
                    yield StreamEnd(EndKind.crossed)
                    return
                yield TokenChunk(events, tokens)
        except TimeoutError:
            yield StreamEnd(EndKind.silent)
            return
        finally:
            engine.model.cancel(generation)
        is_whole = generation.first >= generation.last
        yield StreamEnd(EndKind.done if is_whole else EndKind.interrupted)

    async def _next(self, generation: Generation, url: str) -> int | None:
        limit = _SILENCE_SECONDS if generation.first else None
        async with asyncio.timeout(limit):
            index = await generation.tokens.get()
        if not self._network.is_open(url, self._process):
            await asyncio.sleep(_SILENCE_SECONDS)
            raise TimeoutError
        return index


def _event(request_id: str, digest: str, index: int) -> bytes:
    chunk = {
        'id': request_id,
        'choices': [{'delta': {'content': token_text(digest, index)}}],
    }
    return f'data: {json.dumps(chunk, separators=_COMPACT)}\n\n'.encode()


def _generation(call: EngineCall) -> Generation:
    text = ''.join(str(message['content']) for message in call.body['messages'])
    wanted = int(call.body['metadata']['tokens'])
    return Generation(
        request_id=call.request_id,
        prompt_tokens=len(text) // _CHARACTERS_A_TOKEN + 1,
        prefix=text[:_PREFIX_CHARACTERS],
        first=call.resume_from,
        last=wanted,
        priority=call.priority,
    )


__all__ = ('FakeEngine', 'FakeEngines', 'make_engine')
