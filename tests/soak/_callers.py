"""Callers that resolve hosts through the directory and reuse connections."""

from __future__ import annotations

import asyncio
import contextlib
import time
from random import Random

import aiohttp

from tests.soak._bounds import NOT_EXECUTED_STATUSES
from tests.soak._configuration import SoakConfiguration
from tests.soak._hosts import PORTS, SoakHost
from tests.soak._record import KINDS, STREAM_KINDS, Outcome, Record

TIMEOUTS_SECONDS = {'order': 2.0, 'lookup': 2.0, 'draft': 4.0, 'check': 4.0}
_RESOLVE_TIMEOUT_SECONDS = 0.7
_RESOLVE_RETRY_SECONDS = 0.3
# Share of the streams whose prompts hold the fatal part while there is one.
FATAL_SHARE = 0.2
# Share of the requests on routes that were added, once there are any.
ADDED_ROUTE_SHARE = 0.2
_PROBED_CHANGES = 20
# One caller in so many uses its id again after a promise of "not run".
RETURNING_CALLER_INTERVAL = 2
_RETURN_SECONDS = 0.1
_MIN_PATIENCE_SECONDS = 0.2
# Callers wait for an answer this much longer than their timeout.
_GIVE_UP_SECONDS = 2


class SoakCaller:
    """A client that sends requests to random hosts, one after another."""

    pause_seconds = 0.08

    def __init__(
        self,
        number: int,
        hosts: list[SoakHost],
        configuration: SoakConfiguration,
        record: Record,
        random: Random,
    ) -> None:
        """Create a caller that knows no host addresses yet."""
        self._name = f'c{number}'
        self._hosts = {host.ip: host for host in hosts}
        self._configuration = configuration
        self._record = record
        self._random = random
        self._request_count = 0
        self._resolved_ips: list[str] = []
        self._resolution_expires_at = 0.0
        self.is_stopped = False

    async def run(self) -> None:
        """Send requests until ``is_stopped`` is set."""
        timeout = aiohttp.ClientTimeout(sock_connect=1)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self.is_stopped:
                await self._send_next_request(session)
                await asyncio.sleep(
                    self._random.uniform(0, 2 * self.pause_seconds)
                )

    async def _send_next_request(self, session: aiohttp.ClientSession) -> None:
        if time.monotonic() >= self._resolution_expires_at:
            await self._resolve_hosts(session)
        if not self._resolved_ips:
            await asyncio.sleep(_RESOLVE_RETRY_SECONDS)
            return
        ip = self._random.choice(self._resolved_ips)
        kind = self._random.choice(KINDS)
        route = ''
        added_routes = self._configuration.added_routes
        if added_routes and self._random.random() < ADDED_ROUTE_SHARE:
            route = self._random.choice(added_routes)
            kind = route.partition('-')[0]
        key = self._random.choice(self._configuration.keys)
        await self._request(session, ip, kind, key, route)

    async def _request(
        self,
        session: aiohttp.ClientSession,
        ip: str,
        kind: str,
        key: str,
        route: str,
    ) -> Outcome:
        self._request_count += 1
        outcome = Outcome(
            f'{self._name}-{self._request_count}', kind, key,
            self._hosts[ip].name, self._hosts[ip].pid, time.monotonic(),
            patience=TIMEOUTS_SECONDS[kind], route=route,
            prompt=self._prompt() if kind in STREAM_KINDS else '',
        )  # fmt: skip
        await self._attempt(session, ip, outcome)
        return outcome

    async def _attempt(
        self, session: aiohttp.ClientSession, ip: str, outcome: Outcome
    ) -> None:
        """Send a request, and record what comes of it."""
        self._record.outcomes.append(outcome)
        try:
            async with asyncio.timeout(outcome.patience + _GIVE_UP_SECONDS):
                await self._send(session, ip, outcome)
        except (aiohttp.ClientError, OSError) as error:
            # The oracle judges the cut; resolve the hosts again.
            outcome.is_cut = True
            outcome.gave_up = isinstance(error, TimeoutError)
            self._resolution_expires_at = 0
        outcome.ended_at = time.monotonic()

    async def _send(
        self, session: aiohttp.ClientSession, ip: str, outcome: Outcome
    ) -> None:
        route = outcome.route or outcome.kind
        url = f'http://{ip}:{PORTS["front"]}/{route}/{outcome.request}'
        headers = {
            'Host': 'soak.example',
            'Burdockledge-Request-Id': outcome.request,
            'Burdockledge-Deadline-Ms': str(int(outcome.patience * 1000)),
            'Burdockledge-Tenant': 'forged',
            'Soak-Attempt': str(outcome.number),
            'Authorization': f'Token {outcome.key}',
        }
        if outcome.kind in STREAM_KINDS:
            headers['Burdockledge-Prompt-Prefix'] = outcome.prompt
        trace = {'outcome': outcome}
        async with session.post(
            url, headers=headers, data=b'x' * 300, trace_request_ctx=trace
        ) as response:
            outcome.was_sent = True
            outcome.answered_at = time.monotonic()
            outcome.status = response.status
            outcome.signature = response.headers.get(
                'Burdockledge-Response-Seal', ''
            )
            if outcome.kind in STREAM_KINDS and response.status == 200:
                async for line in response.content:
                    if line.startswith(b'id: '):
                        outcome.events.append(int(line[4:]))
            else:
                outcome.body = await response.read()

    def _prompt(self) -> str:
        """Return a system part, a document and a part of the request's own."""
        document = f'd{self._random.randrange(16):x}'
        fatal_part = self._record.fatal_part
        if fatal_part is not None and self._random.random() < FATAL_SHARE:
            document = fatal_part
        own = self._random.getrandbits(31)
        return f'a1:400,{document}:300,{own:x}:50'

    async def _resolve_hosts(self, session: aiohttp.ClientSession) -> None:
        host = self._random.choice(list(self._hosts.values()))
        url = f'http://{host.directory_address}/burdockledge/resolve?zone=a'
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with (
                asyncio.timeout(_RESOLVE_TIMEOUT_SECONDS),
                session.get(url) as response,
            ):
                if response.status != 200:
                    return
                resolved = await response.json()
                self._resolved_ips = [
                    address.partition(':')[0]
                    for address in resolved['addresses']
                ]
                self._resolution_expires_at = (
                    time.monotonic() + resolved['ttl_s']
                )


class SoakReturningCaller(SoakCaller):
    """Uses a request id once more after an answer that promises "not run"."""

    async def _request(
        self,
        session: aiohttp.ClientSession,
        ip: str,
        kind: str,
        key: str,
        route: str,
    ) -> Outcome:
        first = await super()._request(session, ip, kind, key, route)
        if first.is_cut or first.status not in NOT_EXECUTED_STATUSES:
            return first
        await asyncio.sleep(self._random.uniform(0, _RETURN_SECONDS))
        sent_at = time.monotonic()
        seconds_left = first.sent_at + first.patience - sent_at
        if seconds_left < _MIN_PATIENCE_SECONDS:
            return first
        second = Outcome(
            first.request, kind, key, first.host, self._hosts[ip].pid, sent_at,
            patience=seconds_left, route=route, number=first.number + 1,
            prompt=first.prompt,
        )  # fmt: skip
        await self._attempt(session, ip, second)
        return second


class SoakProber(SoakCaller):
    """Sends requests that need what changed lately, to every host in turn."""

    pause_seconds = 0.03

    async def _send_next_request(self, session: aiohttp.ClientSession) -> None:
        changes = self._configuration.changes[-_PROBED_CHANGES:]
        if not changes:
            return
        key, route = self._random.choice(changes)
        ip = self._random.choice(list(self._hosts))
        await self._request(session, ip, 'lookup', key, route)
