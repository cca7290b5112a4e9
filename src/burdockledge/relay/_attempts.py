"""Sends a call to servers until one answers it or no send is allowed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.relay._answers import BAD_GATEWAY, UNAVAILABLE
from burdockledge.relay._ports import (
    BrokenAnswerError,
    OutboundCall,
    SendFailure,
)
from burdockledge.relay._types import Repeatability
from burdockledge.scheduling import CallResult
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from result import Result

    from burdockledge.clock import Clock
    from burdockledge.relay._answers import Answers
    from burdockledge.relay._knowledge import Knowledge, Placed
    from burdockledge.relay._ports import ServerAnswer, ServerClient
    from burdockledge.relay._served import ServedCall
    from burdockledge.telemetry import Metrics

_log = make_logger('relay')

_OK: Final = 200
_MULTIPLE_CHOICES: Final = 300
_SERVER_ERROR: Final = 500
# These say that a call did not run; only a proof lets them through.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
# Sends of one call, refused ones included.
_MAX_SENDS: Final = 4
# An idempotent call that hears nothing for this multiple of its target is
# sent to another server.
_SILENCE_TARGETS: Final = 2.0
_LEAST_SILENCE_SECONDS: Final = 0.4
# An event stream that can be resumed is moved after a pause of this length.
_STREAM_SILENCE_SECONDS: Final = 1.5
_MS: Final = 1000


class Attempts:
    """
    Sends calls and passes answers on.

    A call that may run once is sent again only on proof that it has not
    run; 408, 421, 429 and 503 reach a caller only with such a proof.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        client: ServerClient,
        answers: Answers,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Send by what a host knows, through a client of its servers."""
        self._knowledge = knowledge
        self._client = client
        self._answers = answers
        self._clock = clock
        self._metrics = metrics

    async def forward(self, served: ServedCall) -> tuple[int, str]:
        """Send until an answer goes to the caller, and tell how it ended."""
        why = 'no server is known'
        while served.sends < _MAX_SENDS:
            if served.sends and not self._may_repeat(served):
                break
            placed = self._knowledge.place(
                served.service,
                served.route,
                served.urgency,
                served.call.prompt,
                frozenset(served.tried),
            )
            if placed is None:
                break
            ended = await self._attempt(served, placed)
            if not isinstance(ended, str):
                return ended
            why = ended
            _log.info(
                'Send failed.',
                request=served.call.request_id,
                server=placed.instance.server_id,
                send=served.sends,
                runs=served.runs,
                may_have_run=served.may_have_run,
                why=why,
            )
        if served.has_begun:
            served.caller.abort()
            return 0, why
        if served.may_have_run:
            return await self._answers.fail(served, BAD_GATEWAY, why)
        return await self._answers.fail(served, UNAVAILABLE, why)

    def _may_repeat(self, served: ServedCall) -> bool:
        obstacle = self._obstacle(served)
        if obstacle is None:
            return True
        _log.info(
            'Not sent again.',
            request=served.call.request_id,
            why=obstacle,
            attempts=served.route.max_attempts,
        )
        return False

    def _obstacle(self, served: ServedCall) -> str | None:
        """Tell what forbids to send a call again, None if it may be sent."""
        if served.may_have_run:
            if not served.is_idempotent:
                return 'it may have run'
            if served.runs >= served.route.max_attempts:
                return 'no attempt is left'
        if not self._knowledge.take_repeat(served.service):
            return 'the retry budget is spent'
        return None

    async def _attempt(
        self, served: ServedCall, placed: Placed
    ) -> tuple[int, str] | str:
        """Send once; a string tells why the call is still unanswered."""
        served.tried.add(placed.instance.instance_id)
        if not served.sends:
            self._knowledge.note_first(served.service)
        served.sends += 1
        self._log_placed(served, placed)
        attempt = _Attempt(CallResult.abandoned)
        try:
            return await self._send(served, placed, attempt)
        finally:
            self._knowledge.ended(placed, attempt.result)
            self._metrics.count('sends', result=attempt.result.name)

    async def _send(
        self, served: ServedCall, placed: Placed, attempt: _Attempt
    ) -> tuple[int, str] | str:
        sent = await self._head(served, placed)
        if isinstance(sent, Err):
            failure = sent.err_value
            if not failure.proves_not_run:
                served.may_have_run = True
                served.runs += 1
            attempt.result = (
                CallResult.failed
                if failure is SendFailure.garbled
                else CallResult.unreachable
            )
            return failure.value
        answer = sent.ok_value
        try:
            return await self._take(served, placed, attempt, answer)
        finally:
            answer.close()

    async def _head(
        self, served: ServedCall, placed: Placed
    ) -> Result[ServerAnswer, SendFailure]:
        now = self._clock.monotonic()
        outbound = OutboundCall(
            call=served.call,
            instance=placed.instance,
            team=None if served.team is None else served.team.name,
            urgency=served.urgency,
            patience_seconds=max(0.0, served.deadline - now),
            last_event=served.events.last_id or served.call.last_event,
            source=placed.source,
        )
        limit = self._silence_limit(served)
        # Until the send is settled, a time-out finds a call that may run.
        may_have_run = served.may_have_run
        served.may_have_run = True
        try:
            async with asyncio.timeout(limit):
                sent = await self._client.send(outbound)
        except TimeoutError:
            return Err(SendFailure.silent)
        served.may_have_run = may_have_run
        return sent

    def _silence_limit(self, served: ServedCall) -> float | None:
        repeats = served.route.max_attempts - served.runs - 1
        if not served.is_idempotent or repeats < 1:
            return None
        return max(
            _LEAST_SILENCE_SECONDS,
            _SILENCE_TARGETS * served.route.target_seconds,
        )

    async def _take(
        self,
        served: ServedCall,
        placed: Placed,
        attempt: _Attempt,
        answer: ServerAnswer,
    ) -> tuple[int, str] | str:
        self._knowledge.heard(placed)
        if answer.is_not_run:
            attempt.result = CallResult.refused
            return f'the server refused with {answer.status}'
        served.may_have_run = True
        served.runs += 1
        is_good = _OK <= answer.status < _MULTIPLE_CHOICES
        is_stream = served.route.repeatability is Repeatability.stream
        try:
            if is_good and is_stream:
                await self._stream(served, answer)
                attempt.result = CallResult.answered
                return answer.status, 'answered'
            body = await answer.read()
        except BrokenAnswerError:
            attempt.result = CallResult.unreachable
            served.events.restart()
            return 'the answer broke off'
        return await self._pass_on(served, attempt, answer, body)

    async def _pass_on(
        self,
        served: ServedCall,
        attempt: _Attempt,
        answer: ServerAnswer,
        body: bytes,
    ) -> tuple[int, str] | str:
        if answer.status >= _SERVER_ERROR:
            attempt.result = CallResult.failed
            if self._has_attempts(served):
                return f'the server failed with {answer.status}'
        else:
            attempt.result = CallResult.answered
        if served.has_begun or answer.status in _NOT_RUN_STATUSES:
            return f'the server failed with {answer.status}'
        served.has_begun = True
        await served.caller.answer(answer.status, answer.headers, body)
        return answer.status, 'answered'

    def _has_attempts(self, served: ServedCall) -> bool:
        return (
            served.is_idempotent
            and served.runs < served.route.max_attempts
            and served.sends < _MAX_SENDS
        )

    async def _stream(self, served: ServedCall, answer: ServerAnswer) -> None:
        """Pass events on as they arrive; end only behind a whole event."""
        async for chunk in _bounded(answer, self._stall_limit(served)):
            whole = served.events.cut(chunk)
            if not whole:
                continue
            if not served.has_begun:
                await self._begin(served, answer)
            served.note_write(self._clock.monotonic())
            await served.caller.write(whole)
        if not served.events.is_between_events:
            raise BrokenAnswerError
        if not served.has_begun:
            await self._begin(served, answer)
        await served.caller.finish()

    async def _begin(self, served: ServedCall, answer: ServerAnswer) -> None:
        served.has_begun = True
        self._metrics.observe(
            'first_event_seconds',
            self._clock.monotonic() - served.arrived_at,
            route=served.route.name,
        )
        await served.caller.begin(answer.status, answer.headers)

    def _stall_limit(self, served: ServedCall) -> float | None:
        return _STREAM_SILENCE_SECONDS if self._has_attempts(served) else None

    def _log_placed(self, served: ServedCall, placed: Placed) -> None:
        _log.info(
            'Placed.',
            request=served.call.request_id,
            server=placed.instance.server_id,
            address=placed.instance.address,
            send=served.sends,
            expected_ms=round(placed.expected_seconds * _MS),
            unread=placed.unread_tokens,
            running=placed.running,
            resumes_after=served.events.last_id,
            source=None if placed.source is None else placed.source.server_id,
            age_ms=self._knowledge.age_ms(),
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


__all__ = ('Attempts',)
