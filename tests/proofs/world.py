"""A small site with callers and operators, for the fuzzer and the matrix."""

from __future__ import annotations

import asyncio
import contextvars
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from burdockledge.backends import EngineCall, ServiceCall
from burdockledge.claims import Outcome, parse_key
from burdockledge.execution import Answer, AnswerEnd, RequestContext
from burdockledge.fakes import Site
from burdockledge.standins import EngineSettings, prompt_digest
from tests.proofs.oracle import Oracle

if TYPE_CHECKING:
    from burdockledge.configuration import Configuration
    from burdockledge.fakes import SiteHost
    from burdockledge.gateway import HostComponents

HOSTS = ('h0', 'h1', 'h2')
SERVICES = ('http://s0', 'http://s1')
ENGINES = ('http://e0', 'http://e1')
TEAM = 'team'
RETENTION_SECONDS = 240
KEY_LIFETIME_SECONDS = 100
CALL_SECONDS = 20
MID_STREAM_BYTES = 2000
ONCE_TOKENS = 20
LIST_LAG_SECONDS = 2
LEAVING_SECONDS = 3


@dataclass
class Key:
    """An idempotency key of a caller and its newest attempt."""

    text: str
    is_generation: bool = False
    attempt: asyncio.Task[Answer] | None = None
    attempts: int = 0
    process: SiteHost | None = None
    outcomes: list[Outcome] = field(default_factory=list)


def make_key(made_ms: int, serial: int) -> str:
    """Return a UUID of version 7 (RFC 9562) made at a time."""
    bits = (made_ms & (2**48 - 1)) << 80 | 7 << 76 | 2 << 62 | serial
    return str(uuid.UUID(int=bits))


def document() -> dict[str, Any]:
    """Return the configuration of the world."""
    servers: dict[str, Any] = {}
    for index, url in enumerate(ENGINES):
        servers[f'e{index}'] = {
            'kind': 'engine',
            'url': url,
            'data_centre': 'dc1',
            'models': ['m'],
            'slots': 2,
        }
    for index, url in enumerate(SERVICES):
        servers[f's{index}'] = {
            'kind': 'service',
            'url': url,
            'data_centre': 'dc1',
            'service': 'ledger',
            'slots': 4,
        }
    counter = {
        'tier': 0,
        'first_token_ms': 5000,
        'total_ms': CALL_SECONDS * 1000,
        'servers': list(servers),
    }
    return {
        'servers': servers,
        'classes': {'counter': counter, 'weekly': {**counter, 'tier': 2}},
        'teams': {
            TEAM: {
                'key_hashes': [f'sha256:{"0" * 64}'],
                'classes': ['counter', 'weekly'],
            },
        },
    }


class World:
    """The site, its callers and the oracle."""

    def __init__(self, seed: int = 1) -> None:
        """Create a site that is not started."""
        self.site = Site(
            seed=seed,
            retention_seconds=RETENTION_SECONDS,
            key_lifetime_seconds=KEY_LIFETIME_SECONDS,
        )
        self.oracle = Oracle()
        self.outside = contextvars.copy_context()
        self.keys: list[Key] = []
        self.chats: list[tuple[SiteHost, asyncio.Task[None]]] = []
        self.errors: list[str] = []
        self.listed_leaving: dict[str, float] = {}
        self.is_leaving_strict = False
        self.site.loop.set_exception_handler(self._note_error)

    async def start(self) -> None:
        """Start everything and let it settle."""
        for index, url in enumerate(ENGINES):
            settings = EngineSettings(address='127.0.0.1:1', seed=index)
            self.site.add_engine(url, settings)
        for url in SERVICES:
            self.site.add_service(url)
        self.site.publish(0, document())
        for name in HOSTS:
            await self.site.start_host(name, 'dc1')
        await self.site.settle()

    def takes_requests(self, name: str) -> bool:
        """Tell whether a host takes requests."""
        components = self.site.hosts[name].host.components
        is_killed = self.site.hosts[name].is_killed
        has_state = 'counter' in components.configuration.document.classes
        return (
            components.lifecycle.accepts_requests
            and has_state
            and not is_killed
        )

    def new_key(self, *, is_generation: bool = False) -> Key:
        """Make a key as a caller does, by its own clock."""
        made_ms = self.site.clock.wall_ms()
        key = Key(make_key(made_ms, len(self.keys)), is_generation)
        self.keys.append(key)
        self.oracle.bodies[key.text] = key.text.encode()
        return key

    def pay(self, key: Key, name: str, body: bytes | None = None) -> None:
        """Send a key's next attempt; a former attempt is no longer heard."""
        self.give_up(key)
        key.attempts += 1
        key.process = self.site.hosts[name]
        is_first = key.attempts == 1
        used = self.oracle.bodies[key.text] if body is None else body
        key.attempt = self.site.run_on(
            name,
            lambda: self._pay(key, name, used, is_first=is_first),
        )

    def patch(self, base: int, slots: int) -> None:
        """Publish a patch written against a version."""
        self.oracle.publish(base, slots)
        self.site.publish(base, {'servers': {'e0': {'slots': slots}}})

    @property
    def newest_version(self) -> int:
        """The version that the oracle expects in the end."""
        return max(self.oracle.slots)

    def give_up(self, key: Key) -> None:
        """Close the connection of a key's attempt."""
        if key.attempt is not None:
            key.attempt.cancel()
            key.attempt = None

    def chat(self, name: str, tokens: int) -> None:
        """Send a generation to a host."""
        chat = self.site.run_on(name, lambda: self._chat(name, tokens))
        self.chats.append((self.site.hosts[name], chat))

    async def finish(self) -> None:
        """Undo every fault, wait for all answers and check the rest."""
        site = self.site
        site.log.is_down = False
        site.log.answer_lost = 0
        site.log.append_lost = 0
        site.log.lands_late = 0
        site.log.delay_factor = 1
        site.network.heal()
        for service in site.services.values():
            service.is_down = False
            service.is_leaving = False
            service.is_silent = False
            service.loses_answer = False
        for engine in site.engines.values():
            engine.is_down = False
            engine.is_leaving = False
            engine.is_crossed = False
        for name, site_host in site.hosts.items():
            if not site_host.is_killed and not site_host.is_stopped:
                site.thaw(name)
        for name, site_host in tuple(site.hosts.items()):
            if site_host.is_killed:
                await site.start_host(name, 'dc1')
        await site.settle(3 * CALL_SECONDS)
        self.check()
        self._check_end()

    def check(self) -> None:
        """Check what must always hold."""
        for key in self.keys:
            if key.attempt is not None and key.attempt.done():
                assert not key.attempt.cancelled(), f'{key.text} was cut off'
                key.attempt.result()
                key.attempt = None
        for _, chat in self.chats:
            if chat.done():
                assert not chat.cancelled(), 'a generation was cut off'
                chat.result()
        self.oracle.check(self.site.executions, self.site)
        assert not self.errors, self.errors
        if self.is_leaving_strict:
            self._check_leaving()

    def _check_leaving(self) -> None:
        for url, since in self.listed_leaving.items():
            last = max(self.site.services[url].calls, default=0)
            late = last - since - LIST_LAG_SECONDS - LEAVING_SECONDS
            assert late <= 0, f'{url} got work {late} s too late'

    def _note_error(self, _loop: object, context: dict[str, Any]) -> None:
        shown = repr(context.get('exception', context['message']))
        self.errors.append(shown)

    def _check_end(self) -> None:
        for site_host, chat in self.chats:
            is_ended = chat.done() or site_host.is_killed
            assert is_ended, f'{site_host.name} cut a generation off'
        for key in self.keys:
            is_ended = key.attempt is None or key.process.is_killed
            assert is_ended, f'{key.process.name} cut {key.text} off'
        running = [
            site_host.host.components
            for site_host in self.site.hosts.values()
            if site_host.host.components.lifecycle.accepts_requests
        ]
        versions = {
            components.settings.host_id: _version(components.configuration)
            for components in running
        }
        told = f'not in force everywhere: {versions}'
        assert len(set(versions.values())) <= 1, told
        for components in running:
            assert components.broker.held_slot_count == 0, 'a slot leaks'
            assert components.lifecycle.in_flight == 0, 'a request hangs'

    async def _pay(
        self,
        key: Key,
        name: str,
        body: bytes,
        *,
        is_first: bool,
    ) -> None:
        components = self.site.hosts[name].host.components
        servers = ('e0', 'e1') if key.is_generation else ('s0', 's1')
        context = self._context(name, 'counter', servers, is_first)
        parsed = parse_key(TEAM, key.text).ok_value
        call = ServiceCall(
            request_id=context.request_id,
            method='POST',
            path='/pay',
            content_type='text/plain',
            body=body,
            idempotency_key=key.text,
            timeout_seconds=CALL_SECONDS,
        )
        components.time_line.record('accepted', context.request_id, key.text)
        with components.lifecycle.track_request(TEAM):
            answer = await components.at_most_once_runner.run(
                context,
                parsed,
                body.hex(),
                lambda: (
                    self._generate(key, components, context)
                    if key.is_generation
                    else components.service_runner.run(context, call)
                ),
            )
        components.time_line.record('answered', context.request_id, key.text)
        if body == self.oracle.bodies[key.text]:
            key.outcomes.append(answer.outcome)
            self.oracle.hear(key.text, answer)
        else:
            assert answer.outcome is not Outcome.completed, 'body was mixed up'

    async def _generate(
        self,
        key: Key,
        components: HostComponents,
        context: RequestContext,
    ) -> Answer:
        """Generate once; the answer's body is the key if it is whole."""
        body = {
            'messages': [{'role': 'user', 'content': key.text}],
            'metadata': {'tokens': ONCE_TOKENS},
        }
        call = EngineCall(
            context.request_id, '/', body, 0, 20_000, is_at_most_once=True
        )
        async for part in components.generation_runner.run(
            context, call, 10, ''
        ):
            if isinstance(part, AnswerEnd):
                whole = key.text.encode()
                is_whole = part.outcome is Outcome.completed
                assert not is_whole or part.tokens == ONCE_TOKENS
                return Answer(part.outcome, 200, 'text/plain', whole)
        raise AssertionError('an answer has no end')

    async def _chat(self, name: str, tokens: int) -> None:
        components = self.site.hosts[name].host.components
        context = self._context(name, 'weekly', ('e0', 'e1'), is_first=True)
        body = {
            'messages': [{'role': 'user', 'content': context.request_id}],
            'metadata': {'tokens': tokens},
        }
        call = EngineCall(context.request_id, '/', body, 2, 20_000)
        events = b''
        components.time_line.record('accepted', context.request_id)
        with components.lifecycle.track_request(TEAM):
            async for part in components.generation_runner.run(
                context, call, 10, ''
            ):
                if isinstance(part, AnswerEnd):
                    end = part
                else:
                    events += part.events
                    if len(events) > MID_STREAM_BYTES:
                        components.time_line.record('mid-stream')
        self.oracle.hear_chat(
            self.site,
            context.request_id,
            prompt_digest(body),
            tokens,
            events,
            end,
        )

    def _context(
        self,
        name: str,
        class_name: str,
        servers: tuple[str, ...],
        is_first: bool,
    ) -> RequestContext:
        components = self.site.hosts[name].host.components
        request_class = components.configuration.document.classes[class_name]
        now = components.clock.monotonic()
        return RequestContext(
            id_bytes=self.site.random.randbytes(16),
            team=TEAM,
            team_weight=1,
            class_name=class_name,
            request_class=request_class,
            received_at=now,
            deadline=now + CALL_SECONDS,
            servers=servers,
            is_first_attempt=is_first,
        )


def _version(configuration: Configuration) -> int | None:
    state = configuration.state
    return None if state is None else state.version


__all__ = ('ENGINES', 'HOSTS', 'SERVICES', 'Key', 'World', 'make_key')
