"""Stand-in for the platform's store, with one listener per host."""

from __future__ import annotations

import asyncio
import json
import math
import time
from collections.abc import Callable
from random import Random

from aiohttp import web

from tests.platform_adapter.standin_store import StandInStore
from tests.soak._odd_entries import OddEntry
from tests.soak._record import Record, Restore, Span

DOWN = 'down'
SLOW = 'slow'
LOST_RESPONSE = 'lost'
SILENT = 'silent'
STORE_FAULTS = (DOWN, SLOW, LOST_RESPONSE, SILENT)
# Ways in which the store turns a host away.
LIMITED = 'limited'
RESET = 'reset'
REJECTIONS = (DOWN, LIMITED, RESET, SILENT)
ABSENCES = (DOWN, RESET, SILENT)
CONFIGURATION_TOPIC = 'keyed.op'
SERVERS_TOPIC = 'keyed.servers'
HOSTS_TOPIC = 'keyed.hosts'
_SLOW_SECONDS = 0.25
_LOST_RESPONSE_SHARE = 0.4
_SILENT_SECONDS = 30


class SoakStore:
    """Serves the topics; faults are set separately for each host."""

    def __init__(self, record: Record, random: Random) -> None:
        """Create empty topics."""
        self._store_server = StandInStore(
            {CONFIGURATION_TOPIC: [], SERVERS_TOPIC: [], HOSTS_TOPIC: []}
        )
        self._record = record
        self._random = random
        self._runners: list[web.ServerRunner] = []
        self._hosts: list[str] = []
        self._faults: dict[str, str] = {}
        self._rejections: dict[str, str] = {}
        self._outage: Span | None = None
        # How it fails all calls while it is away.
        self._absence: str | None = None
        self._away_at = 0.0
        self._newest_configuration = b''
        # When each server last said that it is there.
        self._heard_at: dict[str, float] = {}

    async def listen(self, host: str, ip: str) -> str:
        """Listen for one host on a free port and return ``ip:port``."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._handle(host, request)

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, ip, 0).start()
        self._hosts.append(host)
        self._runners.append(runner)
        return f'{ip}:{runner.addresses[0][1]}'

    async def close(self) -> None:
        """Stop all listeners."""
        for runner in self._runners:
            await runner.cleanup()

    def write_configuration(self, document: dict[str, object]) -> float:
        """Write a configuration version; return the monotonic time in s."""
        self._newest_configuration = json.dumps(document).encode()
        self.write_configuration_again()
        return time.monotonic()

    def write_configuration_again(self) -> None:
        """Write the newest version, as the operator does after a restore."""
        self._write(CONFIGURATION_TOPIC, 'config', self._newest_configuration)
        if self._absence is None:
            for restore in self._record.restores:
                restore.configured_at = min(
                    restore.configured_at, time.monotonic()
                )

    def write_server(self, server: str, content: dict[str, object]) -> None:
        """Write the registration of a server; an empty one removes it."""
        payload = json.dumps(content).encode() if content else b''
        self._write(SERVERS_TOPIC, server, payload)
        now = time.monotonic()
        if content:
            self._heard_at[server] = now
        is_leaving = not content or content['state'] == 'draining'
        if is_leaving and self._absence is None:
            for restore in self._record.restores:
                restore.left_at.setdefault(server, now)

    def expire_servers(self, seconds: float) -> None:
        """Remove the entries of servers that were silent for so long."""
        entries = dict(self._store_server.topics[SERVERS_TOPIC])
        now = time.monotonic()
        for server, content in entries.items():
            heard_at = self._heard_at.get(server)
            is_silent = heard_at is not None and now - heard_at > seconds
            if content and is_silent:
                self.write_server(server, {})

    def go_away(self, kind: str) -> None:
        """Serve nobody and take nothing from now on."""
        self._absence = kind
        self._away_at = time.monotonic()

    def return_from_copy(self, copied_at: float) -> None:
        """
        Serve again from a copy, without what was written since.

        :param copied_at: when the copy was made, in monotonic seconds.
        """
        self._store_server.restore(self._store_server.ends_at(copied_at))
        self._absence = None
        self._record.restores.append(
            Restore(copied_at, Span(self._away_at, time.monotonic()))
        )

    def write_odd_entry(self, topic: str, entry: OddEntry) -> None:
        """Write an entry as another writer might."""
        offset = len(self._store_server.topics[topic])
        self._write(topic, f'odd-{offset}', entry.content)
        if entry.record is not None:
            self._store_server.raw_records[topic, offset] = entry.record
        if entry.item is not None:
            self._store_server.raw_items[topic, offset] = entry.item

    def reject(self, hosts: list[str], kind: str) -> Callable[[], None]:
        """Turn hosts away from now on; return what ends that."""
        spans = []
        for host in hosts:
            spans.append(Span(time.monotonic(), math.inf))
            self._record.rejections.setdefault(host, []).append(spans[-1])
            self._rejections[host] = kind
        self._note_outage()

        def admit() -> None:
            for host, span in zip(hosts, spans, strict=True):
                span.ended = time.monotonic()
                self._rejections.pop(host, None)
            self._note_outage()

        return admit

    def delete_history(self) -> None:
        """Delete the history except the newest record of each key."""
        for topic, rows in self._store_server.topics.items():
            self._store_server.first_offsets[topic] = len(rows)

    def inject(self, hosts: list[str], kind: str) -> None:
        """Inject a fault for some hosts."""
        self._faults |= dict.fromkeys(hosts, kind)
        self._note_outage()

    def lift(self, hosts: list[str]) -> None:
        """End the faults of some hosts."""
        for host in hosts:
            self._faults.pop(host, None)
        self._note_outage()

    def _note_outage(self) -> None:
        """Record the times without a host that reads well; data is stale."""
        affected = self._faults.keys() | self._rejections.keys()
        is_out = affected.issuperset(self._hosts)
        now = time.monotonic()
        if is_out and self._outage is None:
            self._outage = Span(now, math.inf)
            self._record.store_faults.append(self._outage)
        elif self._outage is not None and not is_out:
            self._outage.ended = now
            self._outage = None

    def _write(self, topic: str, key: str, content: bytes) -> None:
        if self._absence is None:
            self._store_server.write(topic, key, content)

    async def _handle(
        self, host: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        fault = (
            self._absence
            or self._rejections.get(host)
            or self._faults.get(host)
        )
        if fault in {DOWN, LIMITED}:
            return self._store_server.refuse(503 if fault == DOWN else 429)
        if fault == RESET:
            _abort(request)
            return web.Response(status=503)
        if fault == SILENT:
            await asyncio.sleep(_SILENT_SECONDS)
        if fault == SLOW:
            await asyncio.sleep(_SLOW_SECONDS / 2)
        response = await self._store_server.handle(request)
        if fault == SLOW:
            # A response may be older than a restore.
            await asyncio.sleep(_SLOW_SECONDS / 2)
        if (
            fault == LOST_RESPONSE
            and self._random.random() < _LOST_RESPONSE_SHARE
        ):
            _abort(request)
        return response


def _abort(request: web.BaseRequest) -> None:
    transport = request.transport
    if transport is not None:
        transport.abort()
