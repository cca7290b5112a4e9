"""Backend servers, each behind a proxy, that record the requests they get."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from random import Random

from aiohttp import web

from tests.soak._copies import MISDIRECTED_REQUEST, RefusalCopier, write_whole
from tests.soak._oracle import expected_body
from tests.soak._proxy import Proxy
from tests.soak._record import (
    EVENT_COUNT,
    STREAM_KINDS,
    Arrival,
    Notice,
    Record,
)
from tests.soak._store import SoakStore

ERRORS = 'errors'
SHED = 'shed'
HANG = 'hang'
CUT = 'cut'
SERVER_FAULTS = (ERRORS, SHED, HANG, CUT)
# What a server that leaves lets the store say: that it is draining, that it is
# gone, or nothing.
LATE = 'late'
MISSING = 'missing'
NEVER = 'never'
STORE_WORDS = (LATE, MISSING, NEVER)
HEARTBEAT_SECONDS = 1.2
REGISTRATION_LIFETIME_SECONDS = 3 * HEARTBEAT_SECONDS
_FAULT_SHARE = 0.4
_WORK_SECONDS = (0.005, 0.12)
_EVENT_SECONDS = 0.05
_HANG_SECONDS = 20
_FORMER_LIFE_MS = 60_000


class SoakServer:
    """One instance of a backend server, not reused after it stopped."""

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        store: SoakStore,
        random: Random,
    ) -> None:
        """Create a server without starting it."""
        self.name = name
        self.service = service
        self._record = record
        self._store = store
        self._random = random
        self._seq = 0
        self._state = 'ready'
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._unanswered: dict[int, Arrival] = {}
        self._former_names: set[str] = set()
        self.fault: str | None = None
        self.copier = RefusalCopier(name, record, Random(f'{name} copies'))
        # Whether it says in its answers that it leaves.
        self.is_leaving = False
        # It refuses requests with one of these as Retry-After, if there are
        # any: the text, and the seconds if it is a number of them.
        self.pauses: tuple[tuple[str, float | None], ...] = ()
        # Called when a request ends this server.
        self.on_end: Callable[[SoakServer], None] | None = None

    async def start(self, ip: str, zone: str) -> None:
        """Listen and register in the store."""
        self._zone = zone
        self._born_ms = int(time.time() * 1000)
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None, handler_cancellation=True)
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, ip, 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.proxy = Proxy((ip, port))
        self._address = await self.proxy.start(ip)
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    def drain(self) -> None:
        """Announce that this server is draining."""
        self._state = 'draining'
        self._register()
        self._record.drained[self.name] = time.monotonic()

    async def stop(self, *, is_crash: bool) -> None:
        """Stop; a crash cuts all responses and does not deregister."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if is_crash:
            for arrival in self._record.arrivals[-200:]:
                if arrival.server == self.name:
                    arrival.spoilt = True
        else:
            self._store.write_server(self.name, {})
        for arrival in self._unanswered.values():
            arrival.spoilt = True
        self.proxy.close()
        await self._runner.cleanup()

    def unregister(self) -> None:
        """Remove the registration of this server for good."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        self._store.write_server(self.name, {})
        self._record.drained.setdefault(self.name, time.monotonic())

    def write_former_entry(self) -> str:
        """Register what had this address before, and return its name.

        Requests for it are refused with 421.
        """
        name = f'former-{self.name}'
        self._former_names.add(name)
        self._store.write_server(
            name,
            {
                'backend': self.service, 'address': self._address,
                'zone': self._zone, 'slots': 32, 'state': 'ready',
                'seq': 1, 'born': self._born_ms - _FORMER_LIFE_MS,
            },
        )  # fmt: skip
        return name

    async def _send_heartbeats(self) -> None:
        while True:
            self._register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _register(self) -> None:
        self._seq += 1
        self._store.write_server(
            self.name,
            {
                'backend': self.service, 'address': self._address,
                'zone': self._zone, 'slots': 32, 'state': self._state,
                'seq': self._seq, 'born': self._born_ms,
            },
        )  # fmt: skip

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrival = Arrival(
            request.headers['Burdockledge-Request-Id'], self.service,
            self._addressed_name(request), time.monotonic(), ran=True,
            team=request.headers.get('Burdockledge-Tenant'),
            parts=_shared_parts(request), boot=self._born_ms,
            number=int(request.headers['Soak-Attempt']),
        )  # fmt: skip
        self._record.arrivals.append(arrival)
        self._unanswered[id(arrival)] = arrival
        try:
            return await self._answer(request, arrival)
        finally:
            self._unanswered.pop(id(arrival))

    def _addressed_name(self, request: web.BaseRequest) -> str:
        expected = request.headers.get('Burdockledge-Expect-Instance', '')
        return expected if expected in self._former_names else self.name

    async def _answer(
        self, request: web.BaseRequest, arrival: Arrival
    ) -> web.StreamResponse:
        request_id = arrival.request
        await request.read()
        await self.copier.write_before_answer(request, request_id)
        if arrival.server != self.name:
            arrival.ran = False
            return await self.copier.refuse(
                request, MISDIRECTED_REQUEST, _id_header(arrival)
            )
        if self.pauses:
            arrival.ran = False
            return self._ask_for_pause(arrival)
        if self.copier.draw_refusal():
            arrival.ran = False
            return await self.copier.refuse(
                request, self.copier.draw_status(), self._plain_headers(arrival)
            )
        is_affected = self._random.random() < _FAULT_SHARE
        fault = self.fault if is_affected else None
        if fault == SHED:
            arrival.ran = False
            return web.Response(
                status=503,
                headers={
                    'Burdockledge-Not-Executed': '1',
                    **self._plain_headers(arrival),
                },
            )
        arrival.spoilt = fault is not None
        if fault == HANG:
            await asyncio.sleep(_HANG_SECONDS)
        if fault == ERRORS:
            return web.Response(
                status=500, headers=self._plain_headers(arrival)
            )
        kind = request.path.split('/')[1].partition('-')[0]
        if kind in STREAM_KINDS:
            response = self._create_stream_response(arrival)
            if self._record.fatal_part in arrival.parts:
                await self._end_under(arrival, request, response)
            with contextlib.suppress(ConnectionError):
                # The caller recorded what it received before disconnecting.
                await self.copier.write_with_answer(request, request_id)
                await self._stream(request, response, request_id, fault)
            return response
        await asyncio.sleep(self._random.uniform(*_WORK_SECONDS))
        if fault == CUT:
            _abort(request)
        answer = web.Response(
            body=expected_body(request_id, self.name),
            headers=self._headers(arrival),
        )
        await self.copier.write_with_answer(request, request_id)
        await write_whole(request, answer)
        return answer

    async def _end_under(
        self,
        arrival: Arrival,
        request: web.BaseRequest,
        response: web.StreamResponse,
    ) -> None:
        """End this server as the answer to a request begins."""
        arrival.spoilt = True
        await response.prepare(request)
        await asyncio.sleep(_EVENT_SECONDS)
        if self.on_end is not None:
            self._record.ends_under_part.setdefault(
                self._record.fatal_part or '', []
            ).append(time.monotonic())
            self.on_end(self)
            self.on_end = None
        await asyncio.sleep(_HANG_SECONDS)

    def _create_stream_response(self, arrival: Arrival) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._headers(arrival))
        response.content_type = 'text/event-stream'
        return response

    async def _stream(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        request_id: str,
        fault: str | None,
    ) -> None:
        await response.prepare(request)
        last = int(request.headers.get('Last-Event-Id', '0'))
        for number in range(last + 1, EVENT_COUNT + 1):
            await asyncio.sleep(_EVENT_SECONDS)
            if fault == CUT and number == EVENT_COUNT // 2:
                _abort(request)
            event = f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()
            half = len(event) // 2
            await response.write(event[:half])
            await response.write(event[half:])
        await response.write_eof()

    def _ask_for_pause(self, arrival: Arrival) -> web.Response:
        text, seconds = self._random.choice(self.pauses)
        if seconds is not None:
            self._note(arrival, seconds)
        return web.Response(
            status=503,
            headers={
                'Burdockledge-Not-Executed': '1',
                'Retry-After': text,
                **self._plain_headers(arrival),
            },
        )

    def _note(self, arrival: Arrival, pause_seconds: float | None) -> None:
        self._record.notices.append(
            Notice(
                self.name, self._born_ms, arrival.request, time.monotonic(),
                pause_seconds, arrival.number,
            )
        )  # fmt: skip

    def _headers(self, arrival: Arrival) -> dict[str, str]:
        headers = self._plain_headers(arrival)
        headers['Burdockledge-Response-Seal'] = self.name
        # A server that starts again under its name has the same capacity.
        limit = self._record.limit_of(self.name, time.monotonic())
        if limit is not None:
            headers['Server-Limit'] = f'{limit:g}'
        return headers

    def _plain_headers(self, arrival: Arrival) -> dict[str, str]:
        """Return the headers of any answer."""
        headers = _id_header(arrival)
        if self.is_leaving:
            self._note(arrival, None)
            headers['Server-Leaving'] = '1'
        return headers


def _id_header(arrival: Arrival) -> dict[str, str]:
    return {'Burdockledge-Request-Id': arrival.request}


def _shared_parts(request: web.BaseRequest) -> tuple[str, ...]:
    parts = request.headers.get('Burdockledge-Prompt-Prefix', '').split(',')
    return tuple(part.partition(':')[0] for part in parts[:-1])


def _abort(request: web.BaseRequest) -> None:
    transport = request.transport
    if transport is not None:
        transport.abort()
