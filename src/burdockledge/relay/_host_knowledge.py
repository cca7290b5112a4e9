"""The beliefs of one entry host, kept by records and by notes of calls."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from burdockledge.relay._budget import BudgetTerms, RetryBudget
from burdockledge.relay._knowledge import Knowledge, Placed
from burdockledge.relay._routes import RouteIndex
from burdockledge.relay._types import Prompt, PromptPart
from burdockledge.scheduling import (
    CallResult,
    CallStart,
    Demand,
    EvidenceBook,
    LoadBook,
    PlacementPolicy,
)
from burdockledge.telemetry import make_logger
from burdockledge.wire import (
    CallEnded,
    CallHeard,
    CallStarted,
    StreamEntry,
    hash_server_key,
)

if TYPE_CHECKING:
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.registry import Registration, ServerRegistry
    from burdockledge.relay._types import Route, RoutingDocument, ServerRef
    from burdockledge.replication import GossipExchange
    from burdockledge.wire import Note

_log = make_logger('knowledge')

CONFIGURATION_STREAM: Final = 'configuration'
SERVERS_STREAM: Final = 'servers'
STREAMS: Final = (CONFIGURATION_STREAM, SERVERS_STREAM)
_RESULTS: Final = frozenset(CallResult)
# Short numbers keep notes small; two calls of one server within some seconds
# are unlikely to share one.
_CALL_BITS: Final = 31


class RecordDecoder(ABC):
    """Decodes the records of the streams into domain types."""

    @abstractmethod
    def routing(self, key: str, content: bytes) -> RoutingDocument | None:
        """Return a version of the configuration, None for other records."""

    @abstractmethod
    def registration(self, key: str, content: bytes) -> Registration | None:
        """Return what is registered, None if the record names no server."""


class HostKnowledge(Knowledge):
    """What this host believes, and how it tells the others of its calls."""

    def __init__(
        self,
        host: str,
        data_centre: str,
        decoder: RecordDecoder,
        registry: ServerRegistry,
        exchange: GossipExchange,
        terms: BudgetTerms,
        clock: Clock,
        random: Random,
    ) -> None:
        """Follow the streams of an exchange."""
        self._host = host
        self._data_centre = data_centre
        self._decoder = decoder
        self._registry = registry
        self._exchange = exchange
        self._terms = terms
        self._clock = clock
        self._random = random
        self._loads = LoadBook()
        self._evidence = EvidenceBook(host)
        self._policy = PlacementPolicy(self._loads, self._evidence, random)
        self._budgets: dict[str, RetryBudget] = {}
        self._routes: RouteIndex | None = None
        self._ready = asyncio.Event()
        # Keys of the registered servers by their numbers in notes.
        self._keys: dict[int, str] = {}
        self.host_count: Callable[[], int] = lambda: 1
        self.on_routes: Callable[[RouteIndex], None] | None = None
        exchange.on_change = self._fold
        exchange.on_call_events = self._fold_calls

    async def wait_ready(self) -> None:
        """Wait until the routes and the servers are known."""
        await self._ready.wait()

    def routes(self) -> RouteIndex | None:
        """Return the routes in force, None before the first version."""
        return self._routes

    def place(
        self,
        service: str,
        route: Route,
        urgency: int,
        prompt: Prompt,
        tried: frozenset[str],
    ) -> Placed | None:
        """Choose a server, and tell all hosts that it gets a call."""
        now = self._clock.monotonic()
        demand = Demand(
            service,
            urgency,
            prompt,
            self._data_centre,
            route.target_seconds,
            route.pause_seconds,
        )
        refs = self._registry.usable(service, now)
        choice = self._policy.choose(refs, demand, tried, now)
        if choice is None:
            return None
        call = self._random.getrandbits(_CALL_BITS)
        start = CallStart(
            call,
            choice.ref.key,
            urgency,
            choice.unread_tokens,
            prompt,
            prompt.output_limit,
            demand.is_brisk,
        )
        self._loads.start(start, now)
        self._policy.note_start(service, start, now)
        self._exchange.call_events.announce_start(_told(start))
        return Placed(
            call,
            choice.ref,
            choice.expected_seconds,
            choice.unread_tokens,
            choice.running,
            choice.source,
        )

    def heard(self, placed: Placed) -> None:
        """Note that a server began to answer."""
        now = self._clock.monotonic()
        server = placed.ref.key
        self._loads.hear(server, placed.call, now)
        self._exchange.call_events.announce_first_event(
            CallHeard(placed.call, hash_server_key(server))
        )

    def ended(self, placed: Placed, result: int) -> None:
        """Note how a placed call ended, and tell the others."""
        server = placed.ref.key
        self._loads.end(server, placed.call)
        self._note_result(server, result, self._host)
        self._exchange.call_events.announce_end(
            CallEnded(placed.call, hash_server_key(server), result)
        )

    def note_first(self, service: str) -> None:
        """Count the first send of a call in the retry budget."""
        self._budget(service).note_first(self._clock.monotonic())

    def take_repeat(self, service: str) -> bool:
        """Take a repeat from the retry budget."""
        return self._budget(service).take(
            self._clock.monotonic(), self.host_count()
        )

    def use_terms(self, terms: BudgetTerms) -> None:
        """Change the terms of every retry budget."""
        self._terms = terms
        for budget in self._budgets.values():
            budget.use_terms(terms)

    def age_ms(self) -> int:
        """Return the age of the configuration and the servers."""
        now = self._clock.monotonic()
        return max(
            self._exchange.state(stream).age_ms(now) for stream in STREAMS
        )

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._terms)
            self._budgets[service] = budget
        return budget

    def _note_result(self, server: str, result: int, host: str) -> None:
        now = self._clock.monotonic()
        was_paused = self._evidence.is_paused(server, now)
        self._evidence.note(server, CallResult(result), host, now)
        if not was_paused and self._evidence.is_paused(server, now):
            _log.warning('Server is paused.', server=server, witness=host)

    def _fold(self, stream: str, changed: tuple[StreamEntry, ...]) -> None:
        now = self._clock.monotonic()
        if stream == SERVERS_STREAM:
            fresh_at = self._exchange.state(stream).fresh_at
            self._registry.note_fresh(now if fresh_at is None else fresh_at)
        for entry in changed:
            if stream == SERVERS_STREAM:
                self._fold_server(entry, now)
            elif entry.content is not None:
                self._fold_routing(entry.key, entry.content)
        servers = self._exchange.state(SERVERS_STREAM)
        if self._routes is not None and servers.is_known:
            self._ready.set()
        if changed:
            refs = self._registry.all_refs(now)
            self._loads.keep(refs)
            self._keys = {hash_server_key(ref.key): ref.key for ref in refs}

    def _fold_server(self, entry: StreamEntry, now: float) -> None:
        found = None
        if entry.content is not None:
            found = self._decoder.registration(entry.key, entry.content)
        if found is None:
            if self._registry.remove(entry.key, now):
                _log.info('Server is gone.', server=entry.key)
            return
        if not self._registry.register(found):
            return
        _log.info(
            'Server is registered.',
            server=entry.key,
            service=found.ref.service,
            state=found.state.value,
            address=found.ref.address,
            born_ms=found.ref.born_ms,
        )
        self._set_cache_size(found.ref)

    def _set_cache_size(self, ref: ServerRef) -> None:
        if self._routes is None:
            return
        shape = self._routes.document.services.get(ref.service)
        if shape is not None and shape.engine is not None:
            self._loads.configure(ref.key, shape.engine.cache_tokens)

    def _fold_routing(self, key: str, content: bytes) -> None:
        document = self._decoder.routing(key, content)
        if document is None:
            return
        known = self._routes
        if known is not None and document.version < known.document.version:
            _log.warning('Older version left out.', version=document.version)
            return
        self._routes = RouteIndex(document)
        _log.info(
            'Configuration in force.',
            version=document.version,
            routes=len(document.routes),
            keys=len(document.teams_by_key),
            age_ms=self._exchange.state(CONFIGURATION_STREAM).age_ms(
                self._clock.monotonic()
            ),
        )
        for ref in self._registry.all_refs(self._clock.monotonic()):
            self._set_cache_size(ref)
        if self.on_routes is not None:
            self.on_routes(self._routes)

    def _fold_calls(self, note: Note) -> None:
        now = self._clock.monotonic()
        for told in note.started:
            server = self._keys.get(told.server)
            if server is None:
                continue
            start = _heard(told, server)
            self._loads.start(start, now)
            service = self._registry.service_of(start.server)
            if service is not None:
                self._policy.note_start(service, start, now)
        for heard in note.heard:
            self._loads.hear(self._keys.get(heard.server, ''), heard.call, now)
        for end in note.ended:
            server = self._keys.get(end.server)
            if server is None or end.result not in _RESULTS:
                continue
            self._loads.end(server, end.call)
            self._note_result(server, end.result, note.host)


def _told(start: CallStart) -> CallStarted:
    parts = start.prompt.parts
    return CallStarted(
        start.call,
        hash_server_key(start.server),
        start.tier,
        start.unread_tokens,
        [part.part for part in parts],
        [part.tokens for part in parts],
        start.output_tokens,
        start.is_brisk,
    )


def _heard(told: CallStarted, server: str) -> CallStart:
    pairs = zip(told.parts, told.part_tokens, strict=False)
    return CallStart(
        told.call,
        server,
        told.tier,
        told.unread_tokens,
        Prompt(tuple(PromptPart(part, tokens) for part, tokens in pairs)),
        told.output_tokens,
        told.is_brisk,
    )


__all__ = (
    'CONFIGURATION_STREAM',
    'SERVERS_STREAM',
    'STREAMS',
    'HostKnowledge',
    'RecordDecoder',
)
