"""A small site with simulated callers and operators, and its oracle."""

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
CALL_TIMEOUT_SECONDS = 20
# A chat records its mid-stream event once it received more than this.
MID_STREAM_BYTES = 2000
AT_MOST_ONCE_TOKENS = 20
HOST_LIST_LAG_SECONDS = 2
LEAVING_LIMIT_SECONDS = 3


@dataclass
class IdempotencyKey:
    """An idempotency key, its latest attempt and its reported outcomes."""

    text: str
    is_generation: bool = False
    attempt: asyncio.Task[Answer] | None = None
    attempt_count: int = 0
    host: SiteHost | None = None
    outcomes: list[Outcome] = field(default_factory=list)


def make_uuid7(created_ms: int, serial: int) -> str:
    """Return a UUID of version 7 (RFC 9562) made at a time."""
    bits = (created_ms & (2**48 - 1)) << 80 | 7 << 76 | 2 << 62 | serial
    return str(uuid.UUID(int=bits))


def initial_configuration() -> dict[str, Any]:
    """Return the first version of the configuration."""
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
        'total_ms': CALL_TIMEOUT_SECONDS * 1000,
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


class Simulation:
    """A simulated site with its callers and its oracle."""

    def __init__(self, seed: int = 1) -> None:
        """Create the site without starting it."""
        self.site = Site(
            seed=seed,
            retention_seconds=RETENTION_SECONDS,
            key_lifetime_seconds=KEY_LIFETIME_SECONDS,
        )
        self.oracle = Oracle()
        self.outer_context = contextvars.copy_context()
        self.keys: list[IdempotencyKey] = []
        self.chats: list[tuple[SiteHost, asyncio.Task[None]]] = []
        self.errors: list[str] = []
        self.leaving_since: dict[str, float] = {}
        self.checks_leaving_limit = False
        self.site.loop.set_exception_handler(self._record_loop_error)

    async def start(self) -> None:
        """Start all servers and hosts and let the site settle."""
        for index, url in enumerate(ENGINES):
            settings = EngineSettings(address='127.0.0.1:1', seed=index)
            self.site.add_engine(url, settings)
        for url in SERVICES:
            self.site.add_service(url)
        self.site.publish_patch(0, initial_configuration())
        for name in HOSTS:
            await self.site.start_host(name, 'dc1')
        await self.site.settle()

    def accepts_requests(self, name: str) -> bool:
        """Return whether a host is running and accepts requests."""
        components = self.site.hosts[name].host.components
        is_killed = self.site.hosts[name].is_killed
        has_state = 'counter' in components.configuration.document.classes
        return (
            components.lifecycle.accepts_requests
            and has_state
            and not is_killed
        )

    def new_key(self, *, is_generation: bool = False) -> IdempotencyKey:
        """Create a key with the time of the caller's clock."""
        created_ms = self.site.clock.wall_ms()
        key = IdempotencyKey(
            make_uuid7(created_ms, len(self.keys)), is_generation
        )
        self.keys.append(key)
        self.oracle.request_bodies[key.text] = key.text.encode()
        return key

    def send_attempt(
        self, key: IdempotencyKey, name: str, body: bytes | None = None
    ) -> None:
        """Send the next attempt for a key and cancel the previous one."""
        self.cancel_attempt(key)
        key.attempt_count += 1
        key.host = self.site.hosts[name]
        is_first = key.attempt_count == 1
        request_body = (
            self.oracle.request_bodies[key.text] if body is None else body
        )
        key.attempt = self.site.run_on(
            name,
            lambda: self._run_attempt(
                key, name, request_body, is_first=is_first
            ),
        )

    def publish_patch(self, base: int, slots: int) -> None:
        """Publish a patch that is based on a version."""
        self.oracle.record_patch(base, slots)
        self.site.publish_patch(base, {'servers': {'e0': {'slots': slots}}})

    @property
    def newest_version(self) -> int:
        """The newest version that the oracle accepted."""
        return max(self.oracle.slots_by_version)

    def cancel_attempt(self, key: IdempotencyKey) -> None:
        """Cancel the attempt of a key, as a disconnecting caller does."""
        if key.attempt is not None:
            key.attempt.cancel()
            key.attempt = None

    def send_chat(self, name: str, tokens: int) -> None:
        """Start a streamed generation on a host."""
        task = self.site.run_on(name, lambda: self._run_chat(name, tokens))
        self.chats.append((self.site.hosts[name], task))

    async def heal_and_check(self) -> None:
        """Undo all faults, wait for all requests and check the end state."""
        site = self.site
        site.log.is_down = False
        site.log.lost_answer_probability = 0
        site.log.lost_append_probability = 0
        site.log.late_append_probability = 0
        site.log.delay_factor = 1
        site.network.heal()
        for service in site.services.values():
            service.is_down = False
            service.is_leaving = False
            service.is_silent = False
            service.loses_answers = False
        for engine in site.engines.values():
            engine.is_down = False
            engine.is_leaving = False
            engine.sends_wrong_request_id = False
        for name, site_host in site.hosts.items():
            if not site_host.is_killed and not site_host.is_stopped:
                site.thaw(name)
        for name, site_host in tuple(site.hosts.items()):
            if site_host.is_killed:
                await site.start_host(name, 'dc1')
        await site.settle(3 * CALL_TIMEOUT_SECONDS)
        self.check()
        self._check_final_state()

    def check(self) -> None:
        """Check the invariants."""
        for key in self.keys:
            if key.attempt is not None and key.attempt.done():
                assert not key.attempt.cancelled(), f'{key.text} was cut off'
                key.attempt.result()
                key.attempt = None
        for _, task in self.chats:
            if task.done():
                assert not task.cancelled(), 'a generation was cut off'
                task.result()
        self.oracle.check(self.site.executions, self.site)
        assert not self.errors, self.errors
        if self.checks_leaving_limit:
            self._check_leaving()

    def _check_leaving(self) -> None:
        for url, since in self.leaving_since.items():
            last = max(self.site.services[url].call_times, default=0)
            late_seconds = (
                last - since - HOST_LIST_LAG_SECONDS - LEAVING_LIMIT_SECONDS
            )
            assert late_seconds <= 0, (
                f'{url} got new work {late_seconds} s too late'
            )

    def _record_loop_error(
        self, _loop: object, context: dict[str, Any]
    ) -> None:
        description = repr(context.get('exception', context['message']))
        self.errors.append(description)

    def _check_final_state(self) -> None:
        for site_host, task in self.chats:
            is_ended = task.done() or site_host.is_killed
            assert is_ended, f'{site_host.name} cut a generation off'
        for key in self.keys:
            is_ended = key.attempt is None or key.host.is_killed
            assert is_ended, f'{key.host.name} cut {key.text} off'
        running = [
            site_host.host.components
            for site_host in self.site.hosts.values()
            if site_host.host.components.lifecycle.accepts_requests
        ]
        versions = {
            components.settings.host_id: _configuration_version(
                components.configuration
            )
            for components in running
        }
        message = f'hosts have different versions: {versions}'
        assert len(set(versions.values())) <= 1, message
        for components in running:
            assert components.broker.held_slot_count == 0, (
                'a slot was not released'
            )
            assert components.lifecycle.in_flight == 0, 'a request did not end'

    async def _run_attempt(
        self,
        key: IdempotencyKey,
        name: str,
        body: bytes,
        *,
        is_first: bool,
    ) -> None:
        components = self.site.hosts[name].host.components
        servers = ('e0', 'e1') if key.is_generation else ('s0', 's1')
        context = self._request_context(name, 'counter', servers, is_first)
        parsed = parse_key(TEAM, key.text).ok_value
        call = ServiceCall(
            request_id=context.request_id,
            method='POST',
            path='/pay',
            content_type='text/plain',
            body=body,
            idempotency_key=key.text,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
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
        if body == self.oracle.request_bodies[key.text]:
            key.outcomes.append(answer.outcome)
            self.oracle.record_answer(key.text, answer)
        else:
            assert answer.outcome is not Outcome.completed, (
                'key was reused with another body'
            )

    async def _generate(
        self,
        key: IdempotencyKey,
        components: HostComponents,
        context: RequestContext,
    ) -> Answer:
        """Run an at-most-once generation; the answer's body is the key."""
        body = {
            'messages': [{'role': 'user', 'content': key.text}],
            'metadata': {'tokens': AT_MOST_ONCE_TOKENS},
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
                assert not is_whole or part.tokens == AT_MOST_ONCE_TOKENS
                return Answer(part.outcome, 200, 'text/plain', whole)
        raise AssertionError('the generation returned no end')

    async def _run_chat(self, name: str, tokens: int) -> None:
        components = self.site.hosts[name].host.components
        context = self._request_context(
            name, 'weekly', ('e0', 'e1'), is_first=True
        )
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
        self.oracle.check_chat(
            self.site,
            context.request_id,
            prompt_digest(body),
            tokens,
            events,
            end,
        )

    def _request_context(
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
            deadline=now + CALL_TIMEOUT_SECONDS,
            servers=servers,
            is_first_attempt=is_first,
        )


def _configuration_version(configuration: Configuration) -> int | None:
    state = configuration.state
    return None if state is None else state.version


__all__ = (
    'ENGINES',
    'HOSTS',
    'SERVICES',
    'IdempotencyKey',
    'Simulation',
    'make_uuid7',
)
