"""Placement policies to compare: the router's own and three baselines."""

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
    """Sends one request from an entry host to an engine and streams it."""

    name: ClassVar[str]

    def __init__(self, site: Site) -> None:
        """Create the policy for a simulated site."""
        self._site = site

    @abstractmethod
    def answer(self, arrival: Arrival, host: str) -> AsyncIterator[int]:
        """Yield the token count of each chunk; yield nothing if refused."""


class LateBindingPolicy(Policy):
    """The router: offers to leaders, late binding, admission, hedging."""

    name = 'leads'

    async def answer(self, arrival: Arrival, host: str) -> AsyncIterator[int]:
        """Run the request with the host's generation runner."""
        components = self._site.components(host)
        context = _make_context(self._site, arrival, host)
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
    """Baseline that picks an engine at once; engines queue in FIFO order."""

    def __init__(self, site: Site) -> None:
        """Take the engines of the site."""
        super().__init__(site)
        self._urls = tuple(site.engines)
        self._pick_numbers = count()
        self._in_flight = dict.fromkeys(self._urls, 0)

    async def answer(self, arrival: Arrival, host: str) -> AsyncIterator[int]:
        """Send the request directly to the picked engine."""
        url = self._pick_engine()
        engines: FakeEngines = self._site.engine_clients[host]
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
    def _pick_engine(self) -> str:
        """Return the URL of an engine."""

    def _reported_load(self, url: str) -> int:
        """Return the running and waiting requests in the delayed report."""
        engine = self._site.engines[url]
        report = engine.model.report(self._site.loop.time())
        return report.running + report.waiting


class RoundRobin(DirectPolicy):
    """Sends to each engine in turn."""

    name = 'round robin'

    def _pick_engine(self) -> str:
        return self._urls[next(self._pick_numbers) % len(self._urls)]


class LeastReportedLoad(DirectPolicy):
    """Sends to the engine whose delayed report shows the least load."""

    name = 'least reported'

    def _pick_engine(self) -> str:
        return min(self._urls, key=self._reported_load)


class PowerOfTwoChoices(DirectPolicy):
    """
    Sends to the less loaded of two random engines, by delayed reports.

    Source: Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", 2001.
    """

    name = 'two choices'

    def _pick_engine(self) -> str:
        return min(
            self._site.random.sample(self._urls, 2), key=self._reported_load
        )


POLICIES: tuple[type[Policy], ...] = (
    LateBindingPolicy,
    RoundRobin,
    LeastReportedLoad,
    PowerOfTwoChoices,
)


def _make_context(site: Site, arrival: Arrival, host: str) -> RequestContext:
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
