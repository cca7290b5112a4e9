"""Forwards a call to a backend server and its answer to the caller."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.relay._events import EventCutter
from burdockledge.relay._ports import (
    BrokenAnswerError,
    OutboundCall,
    SendFailure,
)
from burdockledge.relay._routes import RouteRefusal, pick_service
from burdockledge.relay._types import Repeatability
from burdockledge.scheduling import CallResult
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from random import Random

    from result import Result

    from burdockledge.clock import Clock
    from burdockledge.relay._knowledge import Knowledge, Placed
    from burdockledge.relay._ports import (
        CallerPort,
        Headers,
        ServerAnswer,
        ServerClient,
    )
    from burdockledge.relay._routes import RouteIndex
    from burdockledge.relay._types import ForwardedCall, Route, Team
    from burdockledge.telemetry import Metrics

_log = make_logger('relay')

_OK: Final = 200
_MULTIPLE_CHOICES: Final = 300
_SERVER_ERROR: Final = 500
_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_UNAUTHORIZED: Final = 401
_NOT_FOUND: Final = 404
# These say that a call did not run; only a proof lets them through.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
# Sends of one call, refused ones included.
_MAX_SENDS: Final = 4
# Callers that are refused for want of a server come back after this, spread.
_RETRY_AFTER_SECONDS: Final = 0.5
# A call to a starting host waits this long for its configuration: a read of
# the store and its retry.
_START_SECONDS: Final = 1.0
# An idempotent call that hears nothing for this multiple of its target is
# sent to another server.
_SILENCE_TARGETS: Final = 2.0
_LEAST_SILENCE_SECONDS: Final = 0.4
# An event stream that can be resumed is moved after a pause of this length.
_STREAM_SILENCE_SECONDS: Final = 1.5
# Callers that ask the directory have left a stopping host after this; a later
# call that may outlast the host is refused, as it has not run.
_LATE_SECONDS: Final = 2.5
_LOWEST_URGENCY: Final = 9
# Route tiers that are told apart within a team's tier.
_ROUTE_TIERS: Final = 3
_MS: Final = 1000


@dataclass(slots=True)
class _Exchange:
    """One call while it is served."""

    call: ForwardedCall
    caller: CallerPort
    route: Route
    team: Team | None
    service: str
    arrived_at: float
    deadline: float
    version: int
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    has_begun: bool = False
    events: EventCutter = field(default_factory=EventCutter)
    first_seconds: float | None = None
    wrote_at: float = 0.0
    longest_pause: float = 0.0

    @property
    def urgency(self) -> int:
        """The team's tier first, then the route's; 0 is the most urgent."""
        route = min(self.route.tier, _ROUTE_TIERS - 1)
        if self.team is None or self.team.tier is None:
            return route
        return min(self.team.tier * _ROUTE_TIERS + route, _LOWEST_URGENCY)

    def note_write(self, now: float) -> None:
        """Note that events went to the caller."""
        if self.first_seconds is None:
            self.first_seconds = now - self.arrived_at
        else:
            pause = now - self.wrote_at
            self.longest_pause = max(self.longest_pause, pause)
        self.wrote_at = now

    @property
    def is_idempotent(self) -> bool:
        return self.route.is_idempotent


@dataclass(frozen=True, slots=True)
class _Stop:
    """The end of the process, and when callers should know of it."""

    late_from: float
    ends_at: float

    def cuts(self, now: float, patience: float) -> bool:
        """Tell whether a late call might not be answered to its end."""
        return now >= self.late_from and now + patience > self.ends_at


class Relay:
    """
    Serves forwarded calls.

    A call that may run once is sent again only on proof that it has not
    run; 408, 421, 429 and 503 reach a caller only with such a proof.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        client: ServerClient,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        """Serve by what a host knows, through a client of its servers."""
        self._knowledge = knowledge
        self._client = client
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self.in_flight = 0
        self._stop: _Stop | None = None

    def stop_at(self, seconds: float) -> None:
        """Prepare for the end of the process in some seconds."""
        now = self._clock.monotonic()
        self._stop = _Stop(now + _LATE_SECONDS, now + seconds)

    async def handle(self, call: ForwardedCall, caller: CallerPort) -> None:
        """Answer one call."""
        self.in_flight += 1
        try:
            await self._handle(call, caller)
        finally:
            self.in_flight -= 1

    async def _handle(self, call: ForwardedCall, caller: CallerPort) -> None:
        arrived_at = self._clock.monotonic()
        routes = await self._routes_in_force()
        if routes is None:
            await self._refuse(call, caller, 'no configuration yet')
            return
        admitted = routes.admit(call)
        if isinstance(admitted, Err):
            await self._reject(call, caller, admitted.err_value)
            return
        route, team = admitted.ok_value
        patience = route.timeout_seconds
        if call.patience_seconds is not None:
            patience = min(patience, call.patience_seconds)
        if self._stop is not None and self._stop.cuts(arrived_at, patience):
            await self._refuse(call, caller, 'this host is stopping')
            return
        exchange = _Exchange(
            call=call,
            caller=caller,
            route=route,
            team=team,
            service=pick_service(route, self._random),
            arrived_at=arrived_at,
            deadline=arrived_at + patience,
            version=routes.document.version,
        )
        await self._serve(exchange, patience)

    async def _routes_in_force(self) -> RouteIndex | None:
        """Return the routes; a starting host has them within moments."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_START_SECONDS):
                await self._knowledge.wait_ready()
        return self._knowledge.routes()

    async def _serve(self, exchange: _Exchange, patience: float) -> None:
        try:
            async with asyncio.timeout(patience):
                status, why = await self._forward(exchange)
        except TimeoutError:
            status, why = await self._give_up(exchange)
        except asyncio.CancelledError:
            self._note_answer(exchange, 0, 'the caller left')
            raise
        self._note_answer(exchange, status, why)

    async def _give_up(self, exchange: _Exchange) -> tuple[int, str]:
        if exchange.has_begun:
            exchange.caller.abort()
            return 0, 'the time limit cut the answer'
        if exchange.may_have_run:
            return await self._fail(exchange, _GATEWAY_TIMEOUT, 'time limit')
        return await self._fail(exchange, _UNAVAILABLE, 'no server in time')

    async def _forward(self, exchange: _Exchange) -> tuple[int, str]:
        """Send until an answer goes to the caller, and tell how it ended."""
        why = 'no server is known'
        while exchange.sends < _MAX_SENDS:
            if exchange.sends and not self._may_repeat(exchange):
                break
            placed = self._knowledge.place(
                exchange.service,
                exchange.route,
                exchange.urgency,
                exchange.call.prompt,
                frozenset(exchange.tried),
            )
            if placed is None:
                break
            ended = await self._attempt(exchange, placed)
            if not isinstance(ended, str):
                return ended
            why = ended
        if exchange.has_begun:
            exchange.caller.abort()
            return 0, why
        if exchange.may_have_run:
            return await self._fail(exchange, _BAD_GATEWAY, why)
        return await self._fail(exchange, _UNAVAILABLE, why)

    def _may_repeat(self, exchange: _Exchange) -> bool:
        if exchange.may_have_run:
            if not exchange.is_idempotent:
                return False
            if exchange.runs >= exchange.route.max_attempts:
                return False
        return self._knowledge.take_repeat(exchange.service)

    async def _attempt(
        self, exchange: _Exchange, placed: Placed
    ) -> tuple[int, str] | str:
        """Send once; a string tells why the call is still unanswered."""
        exchange.tried.add(placed.ref.key)
        if not exchange.sends:
            self._knowledge.note_first(exchange.service)
        exchange.sends += 1
        self._log_placed(exchange, placed)
        attempt = _Attempt(CallResult.abandoned)
        try:
            return await self._send(exchange, placed, attempt)
        finally:
            self._knowledge.ended(placed, attempt.result)

    async def _send(
        self, exchange: _Exchange, placed: Placed, attempt: _Attempt
    ) -> tuple[int, str] | str:
        sent = await self._head(exchange, placed)
        if isinstance(sent, Err):
            failure = sent.err_value
            if not failure.proves_not_run:
                exchange.may_have_run = True
                exchange.runs += 1
            attempt.result = (
                CallResult.failed
                if failure is SendFailure.garbled
                else CallResult.unreachable
            )
            return failure.value
        answer = sent.ok_value
        try:
            return await self._take(exchange, placed, attempt, answer)
        finally:
            answer.close()

    async def _head(
        self, exchange: _Exchange, placed: Placed
    ) -> Result[ServerAnswer, SendFailure]:
        now = self._clock.monotonic()
        outbound = OutboundCall(
            call=exchange.call,
            ref=placed.ref,
            team=None if exchange.team is None else exchange.team.name,
            urgency=exchange.urgency,
            patience_seconds=max(0.0, exchange.deadline - now),
            last_event=exchange.events.last_id or exchange.call.last_event,
            source=placed.source,
        )
        limit = self._silence_limit(exchange)
        # Until the send is settled, a time-out finds a call that may run.
        may_have_run, exchange.may_have_run = exchange.may_have_run, True
        try:
            async with asyncio.timeout(limit):
                sent = await self._client.send(outbound)
        except TimeoutError:
            return Err(SendFailure.silent)
        exchange.may_have_run = may_have_run
        return sent

    def _silence_limit(self, exchange: _Exchange) -> float | None:
        repeats = exchange.route.max_attempts - exchange.runs - 1
        if not exchange.is_idempotent or repeats < 1:
            return None
        return max(
            _LEAST_SILENCE_SECONDS,
            _SILENCE_TARGETS * exchange.route.target_seconds,
        )

    async def _take(
        self,
        exchange: _Exchange,
        placed: Placed,
        attempt: _Attempt,
        answer: ServerAnswer,
    ) -> tuple[int, str] | str:
        self._knowledge.heard(placed)
        if answer.is_not_run:
            attempt.result = CallResult.refused
            return f'the server refused with {answer.status}'
        exchange.may_have_run = True
        exchange.runs += 1
        is_good = _OK <= answer.status < _MULTIPLE_CHOICES
        is_stream = exchange.route.repeatability is Repeatability.stream
        try:
            if is_good and is_stream:
                await self._stream(exchange, answer)
                attempt.result = CallResult.answered
                return answer.status, 'answered'
            body = await answer.read()
        except BrokenAnswerError:
            attempt.result = CallResult.unreachable
            exchange.events.restart()
            return 'the answer broke off'
        return await self._pass_on(exchange, attempt, answer, body)

    async def _pass_on(
        self,
        exchange: _Exchange,
        attempt: _Attempt,
        answer: ServerAnswer,
        body: bytes,
    ) -> tuple[int, str] | str:
        if answer.status >= _SERVER_ERROR:
            attempt.result = CallResult.failed
            if self._has_attempts(exchange):
                return f'the server failed with {answer.status}'
        else:
            attempt.result = CallResult.answered
        if exchange.has_begun or answer.status in _NOT_RUN_STATUSES:
            return f'the server failed with {answer.status}'
        exchange.has_begun = True
        await exchange.caller.answer(answer.status, answer.headers, body)
        return answer.status, 'answered'

    def _has_attempts(self, exchange: _Exchange) -> bool:
        return (
            exchange.is_idempotent
            and exchange.runs < exchange.route.max_attempts
            and exchange.sends < _MAX_SENDS
        )

    async def _stream(self, exchange: _Exchange, answer: ServerAnswer) -> None:
        """Pass events on as they arrive; end only behind a whole event."""
        async for chunk in _bounded(answer, self._stall_limit(exchange)):
            whole = exchange.events.cut(chunk)
            if not whole:
                continue
            if not exchange.has_begun:
                await self._begin(exchange, answer)
            exchange.note_write(self._clock.monotonic())
            await exchange.caller.write(whole)
        if not exchange.events.is_between_events:
            raise BrokenAnswerError
        if not exchange.has_begun:
            await self._begin(exchange, answer)
        await exchange.caller.finish()

    async def _begin(self, exchange: _Exchange, answer: ServerAnswer) -> None:
        exchange.has_begun = True
        self._metrics.observe(
            'first_event_seconds',
            self._clock.monotonic() - exchange.arrived_at,
            route=exchange.route.name,
        )
        await exchange.caller.begin(answer.status, answer.headers)

    def _stall_limit(self, exchange: _Exchange) -> float | None:
        return _STREAM_SILENCE_SECONDS if self._has_attempts(exchange) else None

    async def _fail(
        self, exchange: _Exchange, status: int, why: str
    ) -> tuple[int, str]:
        headers: Headers = ()
        if status == _UNAVAILABLE:
            headers = (('Retry-After', self._retry_after()),)
        exchange.has_begun = True
        await exchange.caller.answer(status, headers, f'{why}\n'.encode())
        return status, why

    async def _refuse(
        self, call: ForwardedCall, caller: CallerPort, why: str
    ) -> None:
        headers = (('Retry-After', self._retry_after()),)
        await caller.answer(_UNAVAILABLE, headers, f'{why}\n'.encode())
        self._metrics.count('calls', status='503', why=why)
        _log.warning('Refused.', request=call.request_id, why=why)

    async def _reject(
        self, call: ForwardedCall, caller: CallerPort, refusal: RouteRefusal
    ) -> None:
        is_unknown = refusal is RouteRefusal.unknown_key
        status = _UNAUTHORIZED if is_unknown else _NOT_FOUND
        await caller.answer(status, (), f'{refusal.value}\n'.encode())
        self._metrics.count('calls', status=str(status), why=refusal.name)
        _log.info(
            'Rejected.',
            request=call.request_id,
            host=call.host,
            path=call.path,
            why=refusal.value,
            age_ms=self._knowledge.age_ms(),
        )

    def _retry_after(self) -> str:
        return f'{_RETRY_AFTER_SECONDS * self._random.uniform(0.5, 1.5):.2f}'

    def _log_placed(self, exchange: _Exchange, placed: Placed) -> None:
        _log.info(
            'Placed.',
            request=exchange.call.request_id,
            server=placed.ref.server,
            address=placed.ref.address,
            send=exchange.sends,
            expected_ms=round(placed.expected_seconds * _MS),
            unread=placed.unread_tokens,
            running=placed.running,
            source=None if placed.source is None else placed.source.server,
            age_ms=self._knowledge.age_ms(),
        )

    def _note_answer(self, exchange: _Exchange, status: int, why: str) -> None:
        seconds = self._clock.monotonic() - exchange.arrived_at
        self._metrics.count(
            'calls', status=str(status), route=exchange.route.name
        )
        self._metrics.observe(
            'call_seconds', seconds, route=exchange.route.name
        )
        _log.info(
            'Answered.',
            request=exchange.call.request_id,
            route=exchange.route.name,
            team=None if exchange.team is None else exchange.team.name,
            urgency=exchange.urgency,
            version=exchange.version,
            status=status,
            why=why,
            sends=exchange.sends,
            ms=round(seconds * _MS),
            first_ms=round((exchange.first_seconds or 0) * _MS),
            pause_ms=round(exchange.longest_pause * _MS),
        )


@dataclass(slots=True)
class _Attempt:
    result: CallResult


async def _bounded(
    answer: ServerAnswer, limit: float | None
) -> AsyncIterator[bytes]:
    """Yield the chunks of an answer; a pause over the limit breaks it."""
    chunks = answer.chunks()
    while True:
        try:
            async with asyncio.timeout(limit):
                chunk = await anext(chunks)
        except StopAsyncIteration:
            return
        except TimeoutError as error:
            raise BrokenAnswerError from error
        yield chunk


__all__ = ('Relay',)
