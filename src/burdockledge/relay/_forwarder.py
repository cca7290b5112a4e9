"""Sends a call to servers until one responds or no retry is allowed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.calls import ResponseProgress, RouteKind
from burdockledge.quarantine import Verdict
from burdockledge.relay._ports import (
    IncompleteResponseError,
    OutboundCall,
    OversizedResponseError,
    SendFailure,
    StalledResponseError,
)
from burdockledge.relay._responder import BAD_GATEWAY, UNAVAILABLE
from burdockledge.relay._routing_state import SendOutcome
from burdockledge.scheduling import CallResult
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from result import Result

    from burdockledge.clock import Clock
    from burdockledge.relay._ports import ServerClient, ServerResponse
    from burdockledge.relay._responder import Responder
    from burdockledge.relay._routing_state import Placement, RoutingState
    from burdockledge.relay._served_call import ServedCall
    from burdockledge.telemetry import Metrics

_log = make_logger('relay')

_OK: Final = 200
_MULTIPLE_CHOICES: Final = 300
_SERVER_ERROR: Final = 500
# Callers take these statuses to mean that the call did not run, so a server's
# response with one is not passed on.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
# Limit on the sends of one call, including those that a server refused.
_MAX_SENDS: Final = 4
# An idempotent call without a response head after this multiple of its
# route's latency target is sent to another server.
_HEAD_TIMEOUT_TARGETS: Final = 2.0
_MIN_HEAD_TIMEOUT_SECONDS: Final = 0.4
# A resumable event stream without a complete event for this long, or for this
# multiple of its pause target if that is longer, is resumed at another server.
_RESUME_STALL_SECONDS: Final = 1.5
_RESUME_STALL_PAUSE_TARGETS: Final = 2.0
# Callers give up on a stream after the longest of this gap and these multiples
# of its route's targets (the platform's pages), so it is cut off then.
_ABANDON_SECONDS: Final = 2.0
_ABANDON_LATENCY_TARGETS: Final = 4.0
_ABANDON_PAUSE_TARGETS: Final = 8.0
# A response that is not a stream is held in memory until it is complete. The
# bound is that of the largest request bodies by default.
_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
# A call waits this long for another one with a suspected part to begin, or for
# room at a server with a limit, as a multiple of its route's latency target.
_HOLD_LATENCY_TARGETS: Final = 0.5
_HOLD_POLL_SECONDS: Final = 0.02
_AT_LIMIT: Final = 'every server is at the limit that it names'
_MS_PER_SECOND: Final = 1000


class Forwarder:
    """
    Sends calls to servers and relays their responses to the callers.

    A call that is not idempotent is sent again only if it provably has not
    run. Callers read the statuses 408, 421, 429 and 503 as "not run", so
    they get one of these only if that is proven.

    Most methods return how the call ended, as a pair of the status that the
    caller got (0 if its response was cut off) and the reason for the log.
    After a failed send, which may be followed by another one, they return
    only the reason why it failed.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        client: ServerClient,
        responder: Responder,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create a forwarder that sends through a client."""
        self._state = routing_state
        self._client = client
        self._responder = responder
        self._clock = clock
        self._metrics = metrics

    async def forward(self, served: ServedCall) -> tuple[int, str]:
        """Send a call until its caller has a response."""
        refusal = _Refusal('no server is known')
        while self._may_send(served):
            placement = await self._wait_for_placement(served)
            if placement is None:
                break
            if isinstance(placement, _Refusal):
                refusal = placement
                break
            result = await self._send_once(served, placement)
            if not isinstance(result, str):
                return result
            refusal = _Refusal(result)
        return await self._give_up(served, refusal)

    async def _wait_for_placement(
        self, served: ServedCall
    ) -> Placement | _Refusal | None:
        """
        Place a call, once its prompt and the limits of servers allow it.

        :return: None if no server is left to try.
        """
        hold_until = (
            self._clock.monotonic()
            + _HOLD_LATENCY_TARGETS * served.route.latency_target_seconds
        )
        while True:
            placement = self._try_to_place(served)
            if not isinstance(placement, _Wait):
                return placement
            if self._clock.monotonic() + placement.seconds > hold_until:
                return self._refuse_to_wait(served, placement)
            await asyncio.sleep(max(placement.seconds, _HOLD_POLL_SECONDS))

    def _try_to_place(
        self, served: ServedCall
    ) -> Placement | _Refusal | _Wait | None:
        prompt = served.call.prompt
        verdict = self._state.verdict(served.service, prompt)
        if verdict is Verdict.blocked:
            return _Refusal(
                'a part of its prompt crashes servers',
                self._state.blocked_seconds(served.service, prompt),
            )
        if verdict is Verdict.deferred:
            return _Wait('a part of its prompt may crash servers')
        tried_instance_ids = frozenset(served.tried_instance_ids)
        placement = self._state.place(
            served.service,
            served.route,
            served.urgency,
            prompt,
            tried_instance_ids,
        )
        if placement is not None:
            return placement
        room = self._state.seconds_until_room(
            served.service, tried_instance_ids
        )
        return None if room is None else _Wait(_AT_LIMIT, room)

    def _refuse_to_wait(self, served: ServedCall, wait: _Wait) -> _Refusal:
        if wait.why != _AT_LIMIT:
            return _Refusal(wait.why)
        return _Refusal(
            wait.why, self._state.limit_retry_after_seconds(served.service)
        )

    async def _give_up(
        self, served: ServedCall, refusal: _Refusal
    ) -> tuple[int, str]:
        """Tell the caller that its call got no answer."""
        why = refusal.why
        if served.has_response_started:
            served.caller.abort()
            return 0, why
        if served.may_have_run:
            return await self._responder.send_error(served, BAD_GATEWAY, why)
        return await self._responder.send_error(
            served, UNAVAILABLE, why, refusal.retry_after_seconds
        )

    def _may_send(self, served: ServedCall) -> bool:
        if not served.sends:
            return True
        if served.sends >= _MAX_SENDS:
            return False
        reason = self._reason_not_to_retry(served)
        if reason is None:
            return True
        _log.info(
            'Not sent again.',
            request=served.call.request_id,
            why=reason,
            attempts=served.route.max_attempts,
        )
        return False

    def _reason_not_to_retry(self, served: ServedCall) -> str | None:
        """Return why a call must not be sent again, None if it may be."""
        if served.may_have_run:
            if not served.is_idempotent:
                return 'it may have run'
            if served.runs >= served.route.max_attempts:
                return 'no attempt is left'
            if not self._state.may_repeat(served.service, served.call.prompt):
                return 'a part of its prompt may crash servers'
        if not self._state.take_retry(served.service):
            return 'the retry budget is spent'
        return None

    async def _send_once(
        self, served: ServedCall, placement: Placement
    ) -> tuple[int, str] | str:
        """Send a call to one server, and record how that ended."""
        served.tried_instance_ids.add(placement.instance.instance_id)
        if not served.sends:
            self._state.note_first_send(served.service)
        served.sends += 1
        self._log_placement(served, placement)
        outcome = SendOutcome()
        try:
            result = await self._send_and_relay(served, placement, outcome)
        finally:
            self._state.note_end(placement, outcome)
            self._metrics.count(
                'sends',
                result=outcome.result.name,
                received=outcome.progress.value,
            )
        if isinstance(result, str):
            _log.info(
                'Send failed.',
                request=served.call.request_id,
                server=placement.instance.server_id,
                send=served.sends,
                runs=served.runs,
                may_have_run=served.may_have_run,
                received=outcome.progress.value,
                why=result,
            )
        return result

    async def _send_and_relay(
        self, served: ServedCall, placement: Placement, outcome: SendOutcome
    ) -> tuple[int, str] | str:
        received = await self._send_request(served, placement)
        if isinstance(received, Err):
            failure = received.err_value
            if not failure.proves_not_run:
                served.may_have_run = True
                served.runs += 1
            outcome.result = (
                CallResult.failed
                if failure is SendFailure.garbled
                else CallResult.unreachable
            )
            outcome.has_broken = failure is SendFailure.broken
            return failure.value
        response = received.ok_value
        try:
            return await self._relay_response(
                served, placement, outcome, response
            )
        finally:
            response.close()

    async def _send_request(
        self, served: ServedCall, placement: Placement
    ) -> Result[ServerResponse, SendFailure]:
        now = self._clock.monotonic()
        outbound = OutboundCall(
            call=served.call,
            instance=placement.instance,
            team=None if served.team is None else served.team.name,
            urgency=served.urgency,
            remaining_seconds=max(0.0, served.deadline - now),
            last_event_id=served.event_buffer.last_id
            or served.call.last_event_id,
            cache_source=placement.cache_source,
        )
        timeout_seconds = self._head_timeout_seconds(served)
        # A call whose send times out or is cancelled may still run.
        may_have_run = served.may_have_run
        served.may_have_run = True
        try:
            async with asyncio.timeout(timeout_seconds):
                received = await self._client.send(outbound)
        except TimeoutError:
            return Err(SendFailure.silent)
        served.may_have_run = may_have_run
        return received

    def _head_timeout_seconds(self, served: ServedCall) -> float | None:
        attempts_left = served.route.max_attempts - served.runs - 1
        if not served.is_idempotent or attempts_left < 1:
            return None
        return max(
            _MIN_HEAD_TIMEOUT_SECONDS,
            _HEAD_TIMEOUT_TARGETS * served.route.latency_target_seconds,
        )

    async def _relay_response(
        self,
        served: ServedCall,
        placement: Placement,
        outcome: SendOutcome,
        response: ServerResponse,
    ) -> tuple[int, str] | str:
        outcome.progress = ResponseProgress.head
        self._state.note_response_start(placement, response.call_rate_limit)
        if response.proves_not_run:
            outcome.result = CallResult.refused
            return f'the server refused with {response.status}'
        served.may_have_run = True
        served.runs += 1
        is_success = _OK <= response.status < _MULTIPLE_CHOICES
        is_stream = served.route.kind is RouteKind.stream
        try:
            if is_success and is_stream:
                await self._relay_stream(served, placement, outcome, response)
                outcome.result = CallResult.answered
                return response.status, 'answered'
            body = await response.read(_MAX_BODY_BYTES)
        except OversizedResponseError:
            outcome.result = CallResult.failed
            served.event_buffer.discard_partial()
            return 'the answer is too large'
        except IncompleteResponseError as error:
            outcome.result = CallResult.unreachable
            outcome.has_broken = not isinstance(error, StalledResponseError)
            served.event_buffer.discard_partial()
            return 'the answer broke off'
        return await self._relay_body(served, outcome, response, body)

    async def _relay_body(
        self,
        served: ServedCall,
        outcome: SendOutcome,
        response: ServerResponse,
        body: bytes,
    ) -> tuple[int, str] | str:
        outcome.progress = ResponseProgress.content
        if response.status >= _SERVER_ERROR:
            outcome.result = CallResult.failed
            if self._has_attempt_left(served):
                return f'the server failed with {response.status}'
        else:
            outcome.result = CallResult.answered
        if served.has_response_started or response.status in _NOT_RUN_STATUSES:
            return f'the server failed with {response.status}'
        served.has_response_started = True
        await served.caller.send_response(
            response.status, response.headers, body
        )
        return response.status, 'answered'

    def _has_attempt_left(self, served: ServedCall) -> bool:
        return (
            served.is_idempotent
            and served.runs < served.route.max_attempts
            and served.sends < _MAX_SENDS
        )

    async def _relay_stream(
        self,
        served: ServedCall,
        placement: Placement,
        outcome: SendOutcome,
        response: ServerResponse,
    ) -> None:
        """
        Relay events as they arrive, each only once it is complete.

        Only a complete event counts as progress, so that a server that sends
        a byte now and then is recognised as stalled.

        :raises IncompleteResponseError: if the stream stalls or is cut off.
        """
        writes = 0
        loop = asyncio.get_running_loop()
        stall_seconds = self._stall_timeout_seconds(served)
        chunks = response.chunks()
        stalls_at = loop.time() + stall_seconds
        while True:
            chunk = await _next_chunk(chunks, stalls_at)
            if chunk is None:
                break
            events = served.event_buffer.feed(chunk)
            if not events:
                continue
            outcome.progress = ResponseProgress.content
            if not served.has_response_started:
                await self._start_stream(served, response)
            self._note_write(served, placement, is_first=not writes)
            writes += 1
            await served.caller.write(events)
            stalls_at = loop.time() + stall_seconds
        await self._finish_stream(served, placement, response, writes)

    async def _finish_stream(
        self,
        served: ServedCall,
        placement: Placement,
        response: ServerResponse,
        writes: int,
    ) -> None:
        """
        End a stream whose body has ended.

        :param writes: how often events of this response were written.
        :raises IncompleteResponseError: if the body is not complete.
        """
        if not served.event_buffer.is_at_event_boundary:
            raise IncompleteResponseError
        if not served.has_response_started:
            if not response.is_delimited:
                # The server may have crashed as its answer began.
                raise IncompleteResponseError
            await self._start_stream(served, response)
        if served.sends == 1:
            self._state.note_stream_end(
                placement, served.call.prompt.max_output_tokens, writes
            )
        await served.caller.finish()

    def _note_write(
        self, served: ServedCall, placement: Placement, *, is_first: bool
    ) -> None:
        """Learn from the pause before a write, unless a prefill caused it."""
        pause_seconds = served.note_write(self._clock.monotonic())
        if pause_seconds is not None and not is_first:
            self._state.note_pause(placement, pause_seconds)

    async def _start_stream(
        self, served: ServedCall, response: ServerResponse
    ) -> None:
        served.has_response_started = True
        self._metrics.observe(
            'first_event_seconds',
            self._clock.monotonic() - served.arrived_at,
            route=served.route.name,
        )
        await served.caller.start_response(response.status, response.headers)

    def _stall_timeout_seconds(self, served: ServedCall) -> float:
        pause_target_seconds = served.route.pause_target_seconds or 0
        if self._has_attempt_left(served):
            return max(
                _RESUME_STALL_SECONDS,
                _RESUME_STALL_PAUSE_TARGETS * pause_target_seconds,
            )
        return max(
            _ABANDON_SECONDS,
            _ABANDON_LATENCY_TARGETS * served.route.latency_target_seconds,
            _ABANDON_PAUSE_TARGETS * pause_target_seconds,
        )

    def _log_placement(self, served: ServedCall, placement: Placement) -> None:
        _log.info(
            'Placed.',
            request=served.call.request_id,
            server=placement.instance.server_id,
            address=placement.instance.address,
            send=served.sends,
            expected_ms=round(placement.cost_seconds * _MS_PER_SECOND),
            unread=placement.prefill_tokens,
            parts=[
                f'{part.part_id:x}' for part in served.call.prompt.shared_parts
            ],
            running=placement.running_calls,
            at_limit=placement.servers_at_limit,
            resumes_after=served.event_buffer.last_id,
            source=None
            if placement.cache_source is None
            else placement.cache_source.server_id,
            age_ms=self._state.age_ms(),
        )


@dataclass(frozen=True, slots=True)
class _Refusal:
    """
    Why a call is not sent, and when its caller may come back.

    ``retry_after_seconds`` is 0 for the usual time, None if never.
    """

    why: str
    retry_after_seconds: float | None = 0.0


@dataclass(frozen=True, slots=True)
class _Wait:
    """Why a call has to wait, and for how long at least."""

    why: str
    seconds: float = 0.0


async def _next_chunk(
    chunks: AsyncIterator[bytes], stalls_at: float
) -> bytes | None:
    """
    Return the next chunk of a response body, None at its end.

    :param stalls_at: until when to wait, in seconds of the event loop.
    :raises IncompleteResponseError: if the body ends early.
    :raises StalledResponseError: if it stalls.
    """
    try:
        async with asyncio.timeout_at(stalls_at):
            return await anext(chunks, None)
    except TimeoutError as error:
        raise StalledResponseError from error


__all__ = ('Forwarder',)
