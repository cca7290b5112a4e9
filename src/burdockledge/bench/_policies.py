"""The policies that are compared: the product's own, and baselines."""

from __future__ import annotations

from abc import ABC, abstractmethod
from itertools import count
from typing import TYPE_CHECKING, ClassVar

from burdockledge.backends import EngineCall, TokenChunk
from burdockledge.bench._traffic import make_body
from burdockledge.execution import AnswerPart, RequestContext

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockledge.fakes import FakeEngines, Site
    from burdockledge.loadgen import Arrival


class Policy(ABC):
    """Answers an arrival on a host; yields the number of tokens received."""

    name: ClassVar[str]

    def __init__(self, site: Site) -> None:
        """Act on a site."""
        self._site = site

    @abstractmethod
    def answer(self, arrival: Arrival, host: str) -> AsyncIterator[int]:
        """Yield as tokens arrive; end without any if refused."""


class LeadsPolicy(Policy):
    """The product: offers to leads, late binding, admission, hedges."""

    name = 'leads'

    async def answer(self, arrival: Arrival, host: str) -> AsyncIterator[int]:
        """Run through the host's own runner."""
        components = self._site.components(host)
        context = _context(self._site, arrival, host)
        call = EngineCall(
            context.request_id,
            '/',
            make_body(arrival),
            context.request_class.tier,
            0,
        )
        async for part in components.generation_runner.run(
            context, call, 64, ''
        ):
            if isinstance(part, AnswerPart):
                yield part.tokens


class DirectPolicy(Policy):
    """Base of the baselines: pick an engine, which queues by arrival."""

    def __init__(self, site: Site) -> None:
        """Know the engines by their URLs."""
        super().__init__(site)
        self._urls = tuple(site.engines)
        self._serial = count()
        self._in_flight = dict.fromkeys(self._urls, 0)

    async def answer(self, arrival: Arrival, host: str) -> AsyncIterator[int]:
        """Send straight to the picked engine."""
        url = self._pick()
        engines: FakeEngines = self._site.clients[host]
        request_id = f'{arrival.serial:032x}'
        call = EngineCall(request_id, '/', make_body(arrival), 0, 0)
        self._in_flight[url] += 1
        try:
            async for chunk in engines.stream(url, call):
                if isinstance(chunk, TokenChunk):
                    yield chunk.tokens
        finally:
            self._in_flight[url] -= 1

    @abstractmethod
    def _pick(self) -> str:
        """Return the URL of an engine."""

    def _reported(self, url: str) -> int:
        """Return what the engine's lagged report says."""
        engine = self._site.engines[url]
        report = engine.model.report(self._site.loop.time())
        return report.running + report.waiting


class RoundRobin(DirectPolicy):
    """Engines in turn, first in, first out."""

    name = 'round robin'

    def _pick(self) -> str:
        return self._urls[next(self._serial) % len(self._urls)]


class LeastReported(DirectPolicy):
    """The engine with the least load by its lagged report."""

    name = 'least reported'

    def _pick(self) -> str:
        return min(self._urls, key=self._reported)


class TwoChoices(DirectPolicy):
    """
    The less loaded of two random engines, by lagged reports.

    Source: Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", 2001.
    """

    name = 'two choices'

    def _pick(self) -> str:
        return min(self._site.random.sample(self._urls, 2), key=self._reported)


POLICIES: tuple[type[Policy], ...] = (
    LeadsPolicy,
    RoundRobin,
    LeastReported,
    TwoChoices,
)


def _context(site: Site, arrival: Arrival, host: str) -> RequestContext:
    components = site.components(host)
    name = arrival.stream.class_name
    document = components.configuration.document
    request_class = document.classes[name]
    now = components.clock.monotonic()
    return RequestContext(
        id_bytes=site.random.randbytes(16),
        team=arrival.stream.team_key,
        team_weight=1,
        class_name=name,
        request_class=request_class,
        received_at=now,
        deadline=now + request_class.total_ms / 1000,
        servers=tuple(document.servers),
    )


__all__ = ('POLICIES', 'Policy')
