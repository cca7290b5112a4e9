"""Stand-in for the platform's API for duties, which fails at times."""

from __future__ import annotations

import asyncio
import json
import time
from collections import defaultdict
from random import Random

from aiohttp import web

from tests.soak._record import DutyCall, Record

USAGE = 'usage'
# Times of the API's outages, and the pauses between them.
_DOWN_SECONDS = (0.3, 3.0)
_UP_SECONDS = (2.0, 6.0)
_LATE_SHARE = 0.2
_LATE_SECONDS = (0.1, 2.0)
_NONE_AVAILABLE_SHARE = 0.2
# Longer than hosts wait for an answer.
_SILENT_SECONDS = 5.0
_CONFLICT = 409
_UNAVAILABLE = 503


class SoakDutyApi:
    """
    Takes usage reports and orders of servers, but starts no server.

    Some calls get no answer and are carried out later. For some seconds at a
    time all are refused, reset or held. With ``checks_tokens`` it answers 409
    to a token that is lower than one that it has seen of the subject.
    """

    def __init__(self, record: Record, random: Random) -> None:
        """Create an API that is up, and checks tokens in half of the runs."""
        self._record = record
        self._random = random
        self.checks_tokens = random.random() < 0.5
        self._newest: defaultdict[str, int] = defaultdict(int)
        self._is_down = False
        self._runner: web.ServerRunner | None = None

    async def listen(self, ip: str) -> str:
        """Listen on a free port and return ``ip:port``."""
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None)
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, 0).start()
        return f'{ip}:{self._runner.addresses[0][1]}'

    async def close(self) -> None:
        """Stop to listen."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def fail_at_times(self) -> None:
        """Be up and down in turn."""
        while True:
            await asyncio.sleep(self._random.uniform(*_UP_SECONDS))
            self._is_down = True
            await asyncio.sleep(self._random.uniform(*_DOWN_SECONDS))
            self._is_down = False

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = json.loads(await request.read())
        is_usage = request.path == '/usage'
        call = DutyCall(
            subject=USAGE if is_usage else f'{body["backend"]} {body["zone"]}',
            host=request.headers['Burdockledge-Duty-Holder'],
            token=int(request.headers['Burdockledge-Fence-Token']),
            at=time.monotonic(),
            window=body['window_id'] if is_usage else None,
            content=json.dumps(body, sort_keys=True),
        )
        self._record.duty_calls.append(call)
        if self._is_down:
            return await self._fail(request)
        if self._random.random() < _LATE_SHARE:
            await asyncio.sleep(self._random.uniform(*_LATE_SECONDS))
            self._carry_out(call)
            _abort(request)
            return web.Response(status=_UNAVAILABLE)
        if not is_usage and self._random.random() < _NONE_AVAILABLE_SHARE:
            return web.json_response(
                {'error': 'none available'}, status=_CONFLICT
            )
        if not self._carry_out(call):
            call.fenced_at = time.monotonic()
            return web.json_response(
                {'error': 'the fencing token is outdated'}, status=_CONFLICT
            )
        return web.Response()

    def _carry_out(self, call: DutyCall) -> bool:
        """Carry a call out unless its token is checked and outdated."""
        newest = self._newest[call.subject]
        if self.checks_tokens and call.token < newest:
            return False
        self._newest[call.subject] = max(newest, call.token)
        call.ran_at = time.monotonic()
        return True

    async def _fail(self, request: web.BaseRequest) -> web.StreamResponse:
        kind = self._random.choice(('refuse', 'reset', 'hold'))
        if kind == 'hold':
            await asyncio.sleep(_SILENT_SECONDS)
        if kind != 'refuse':
            _abort(request)
        return web.Response(status=_UNAVAILABLE)


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
