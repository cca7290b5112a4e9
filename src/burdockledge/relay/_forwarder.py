"""Sends a call to servers until one responds or no retry is allowed."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.calls import ResponseProgress, RouteKind
from burdockledge.relay._admission_gate import log_refusal
from burdockledge.relay._answer_memory import HeldAnswer, read_body
from burdockledge.relay._call_mover import CallMover
from burdockledge.relay._cut_cause import CutCause
from burdockledge.relay._placer import Placer, Refusal
from burdockledge.relay._ports import (
    IncompleteResponseError,
    OutboundCall,
    OversizedResponseError,
    SendFailure,
    StalledResponseError,
)
from burdockledge.relay._responder import BAD_GATEWAY, CUT, UNAVAILABLE
from burdockledge.relay._retry_rules import RetryRules
from burdockledge.relay._routing_state import SendOutcome
from burdockledge.relay._silence_watch import SilenceWatch
from burdockledge.relay._stream_relay import StreamRelay
from burdockledge.relay._usage_meter import NOT_RUN_STATUSES, UsageMeter
from burdockledge.scheduling import CallResult
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from result import Result

    from burdockledge.admission import LoadRefusal
    from burdockledge.clock import Clock
    from burdockledge.relay._answer_memory import AnswerMemory
    from burdockledge.relay._planned_stop import PlannedStop
    from burdockledge.relay._ports import ServerClient, ServerResponse
    from burdockledge.relay._responder import Responder
    from burdockledge.relay._routing_state import Placement, RoutingState
    from burdockledge.relay._served_call import ServedCall
    from burdockledge.relay._silence_watch import SilenceListener
    from burdockledge.telemetry import Metrics

_log = make_logger('relay')

_OK: Final = 200
_MULTIPLE_CHOICES: Final = 300
_SERVER_ERROR: Final = 500
# An idempotent call without a response head after this multiple of its
# route's latency target is sent to another server that can begin it.
_HEAD_TIMEOUT_TARGETS: Final = 2.0
_MIN_HEAD_TIMEOUT_SECONDS: Final = 0.4
_MS_PER_SECOND: Final = 1000
_RESULT_BY_FAILURE: Final = {
    SendFailure.garbled: CallResult.failed,
    SendFailure.withheld: CallResult.abandoned,
}


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
        planned_stop: PlannedStop,
        clock: Clock,
        metrics: Metrics,
        answer_memory: AnswerMemory,
    ) -> None:
        """Create a forwarder that sends through a client."""
        self._state = routing_state
        self._client = client
        self._planned_stop = planned_stop
        self._retry_rules = RetryRules(routing_state)
        self._placer = Placer(
            routing_state, planned_stop, self._retry_rules, clock
        )
        self._mover = CallMover(routing_state, self._retry_rules, metrics)
        self._memory = answer_memory
        self.usage = UsageMeter()
        self._streams = StreamRelay(routing_state, clock, metrics, self.usage)
        self._responder = responder
        self._clock = clock
        self._metrics = metrics

    async def forward(self, served: ServedCall) -> tuple[int, str]:
        """Send a call until its caller has a response."""
        try:
            return await self._send_until_answered(served)
        finally:
            self._mover.release(served)

    async def give_up(
        self, served: ServedCall, refusal: Refusal
    ) -> tuple[int, str]:
        """Tell the caller that its call got no answer."""
        why = refusal.why
        if served.has_response_started:
            served.caller.abort()
            return CUT, why
        if served.may_have_run:
            return await self._responder.send_error(served, BAD_GATEWAY, why)
        return await self._responder.send_error(
            served, UNAVAILABLE, why, refusal.retry_after_seconds
        )

    def _record_refusal(self, served: ServedCall, refusal: LoadRefusal) -> None:
        self._metrics.count(
            'load_refusals',
            service=served.service,
            reason=refusal.reason.name,
        )
        log_refusal(served, refusal, self._state.age_ms())

    async def _send_until_answered(self, served: ServedCall) -> tuple[int, str]:
        refusal = Refusal('no server is known')
        while True:
            placement = await self._placer.place_next(served)
            if placement is None:
                break
            if isinstance(placement, Refusal):
                refusal = placement
                if placement.lack_of_room is not None:
                    self._record_refusal(served, placement.lack_of_room)
                break
            result = await self._send_once(served, placement)
            if not isinstance(result, str):
                return result
            refusal = Refusal(result)
        return await self.give_up(served, refusal)

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
        listener = self._mover.watch(served, placement, outcome)
        received = await self._send_request(served, placement, listener)
        if isinstance(received, Err):
            failure = received.err_value
            if not failure.proves_not_run:
                served.may_have_run = True
                served.runs += 1
            outcome.result = _RESULT_BY_FAILURE.get(
                failure, CallResult.unreachable
            )
            outcome.has_broken = failure is SendFailure.broken
            return failure.value
        response = received.ok_value
        try:
            with HeldAnswer(self._memory) as held:
                return await self._relay_response(
                    served, placement, outcome, response, held, listener
                )
        finally:
            response.close()

    async def _send_request(
        self,
        served: ServedCall,
        placement: Placement,
        listener: SilenceListener,
    ) -> Result[ServerResponse, SendFailure]:
        outbound = OutboundCall(
            call=served.call,
            instance=placement.instance,
            team=None if served.team is None else served.team.name,
            urgency=(
                served.urgency
                if placement.urgency is None
                else placement.urgency
            ),
            remaining_seconds=self._planned_stop.seconds_until(served.deadline),
            last_event_id=served.event_buffer.last_id
            or served.call.last_event_id,
            cache_source=placement.cache_source,
            obstacle=partial(self._state.obstacle_to_send, placement),
        )
        timeout_seconds = self._head_timeout_seconds(served)
        # A call whose send times out or is cancelled may still run.
        may_have_run = served.may_have_run
        served.may_have_run = True
        try:
            if timeout_seconds is None:
                received = await self._client.send(outbound)
            else:
                received = await SilenceWatch(timeout_seconds, listener).wait(
                    self._client.send(outbound)
                )
        except (TimeoutError, StalledResponseError):
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
        held: HeldAnswer,
        listener: SilenceListener,
    ) -> tuple[int, str] | str:
        read_at = self._clock.monotonic()
        outcome.progress = ResponseProgress.head
        outcome.result = CallResult.abandoned
        self._state.note_response_start(placement, response.call_rate_limit)
        self._state.note_server_notice(placement, response.notice)
        if response.proves_not_run:
            outcome.result = CallResult.refused
            return f'the server refused with {response.status}'
        self.usage.note_head(served, response, read_at)
        served.may_have_run = True
        served.runs += 1
        if not self._retry_rules.has_attempt_left(served):
            served.call.body.give_up()
        is_success = _OK <= response.status < _MULTIPLE_CHOICES
        is_stream = served.route.kind is RouteKind.stream
        if is_success and not response.has_seal:
            outcome.result = CallResult.failed
            return 'the answer has no seal'
        try:
            if is_success and is_stream:
                if not self._streams.may_continue(served, response):
                    outcome.result = CallResult.failed
                    return 'the answer does not go on with the stream'
                await self._streams.relay(
                    served,
                    placement,
                    outcome,
                    response,
                    held,
                    may_resume=self._retry_rules.has_attempt_left(served),
                    silence_listener=listener,
                )
                outcome.result = CallResult.answered
                return response.status, 'answered'
            body = await read_body(response, held)
        except OversizedResponseError:
            outcome.result = CallResult.failed
            return _break_off(served, CutCause.answer_too_large)
        except StalledResponseError:
            outcome.result = CallResult.unreachable
            return _break_off(served, CutCause.server_stalled)
        except IncompleteResponseError:
            outcome.result = CallResult.unreachable
            outcome.has_broken = True
            return _break_off(served, CutCause.server_broke)
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
            if self._retry_rules.has_attempt_left(served):
                return f'the server failed with {response.status}'
        else:
            outcome.result = CallResult.answered
        if served.has_response_started or response.status in NOT_RUN_STATUSES:
            # Callers would take it to mean that the call did not run.
            return f'the server failed with {response.status}'
        served.has_response_started = True
        await served.caller.send_response(
            response.status, response.headers, body
        )
        return response.status, 'answered'

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
            at_limit=placement.left_out.get('limit', 0),
            left_out=placement.left_out,
            resumes_after=served.event_buffer.last_id,
            source=None
            if placement.cache_source is None
            else placement.cache_source.server_id,
            age_ms=self._state.age_ms(),
        )


def _break_off(served: ServedCall, cause: CutCause) -> str:
    """Drop what is incomplete of an answer, and return why."""
    served.event_buffer.discard_partial()
    served.cut_cause = cause
    return cause.value


__all__ = ('Forwarder',)
