"""Admits calls, forwards them and enforces their time limits."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.relay._answer_memory import MAX_LARGE_BYTES, AnswerMemory
from burdockledge.relay._cut_cause import CutCause
from burdockledge.relay._forwarder import Forwarder
from burdockledge.relay._placer import Refusal
from burdockledge.relay._planned_stop import STOPPING, PlannedStop
from burdockledge.relay._responder import (
    CUT,
    GATEWAY_TIMEOUT,
    UNAVAILABLE,
    Responder,
)
from burdockledge.relay._routes import pick_service
from burdockledge.relay._served_call import ServedCall

if TYPE_CHECKING:
    from random import Random

    from burdockledge.calls import ForwardedCall
    from burdockledge.clock import Clock
    from burdockledge.relay._ports import CallerPort, ServerClient
    from burdockledge.relay._routes import RouteIndex
    from burdockledge.relay._routing_state import RoutingState
    from burdockledge.telemetry import Metrics

# A call to a starting host waits at most this long for the configuration:
# long enough for one read of the store and its retry.
_CONFIGURATION_WAIT_SECONDS: Final = 1.0


class Relay:
    """
    Serves calls, each until its time limit or the exit of the process.

    ``in_flight`` is the number of calls being served. ``usage`` tells which
    calls servers began to run.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        client: ServerClient,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        large_answer_bytes: int = MAX_LARGE_BYTES,
    ) -> None:
        """
        Create a relay that sends through a client.

        :param large_answer_bytes: what all large answers together may hold.
        """
        self._state = routing_state
        self._clock = clock
        self._random = random
        self._responder = Responder(routing_state, clock, random, metrics)
        self._planned_stop = PlannedStop(clock)
        self._forwarder = Forwarder(
            routing_state,
            client,
            self._responder,
            self._planned_stop,
            clock,
            metrics,
            AnswerMemory(large_answer_bytes),
        )
        self.usage = self._forwarder.usage
        self.in_flight = 0

    def plan_stop(self, delay_seconds: float) -> None:
        """
        Answer every call before the process's exit after a delay.

        Later calls that the exit may cut off are refused.
        """
        self._planned_stop.plan(delay_seconds)

    def would_cut_off(self, seconds: float) -> bool:
        """Return whether the exit may cut off a call of this length."""
        return self._planned_stop.would_cut_off(
            self._clock.monotonic() + seconds
        )

    async def handle(self, call: ForwardedCall, caller: CallerPort) -> None:
        """Serve one call until its caller has the whole response."""
        self.in_flight += 1
        try:
            served = await self._admit(call, caller)
            if served is not None:
                await self._serve(served)
        finally:
            self.in_flight -= 1

    async def _admit(
        self, call: ForwardedCall, caller: CallerPort
    ) -> ServedCall | None:
        """Return a call to serve, None if it was refused."""
        try:
            return await self._admit_or_refuse(call, caller)
        except asyncio.CancelledError:
            self._responder.record_cut(call, caller.cancel_cause)
            raise
        except ConnectionError:
            self._responder.record_cut(call, CutCause.caller_left)
            caller.abort()
            return None

    async def _admit_or_refuse(
        self, call: ForwardedCall, caller: CallerPort
    ) -> ServedCall | None:
        arrived_at = self._clock.monotonic()
        routes = await self._wait_for_routes(arrived_at)
        if routes is None:
            await self._responder.send_unavailable(
                call, caller, 'no configuration yet'
            )
            return None
        admitted = routes.admit(call)
        if isinstance(admitted, Err):
            await self._responder.reject(call, caller, admitted.err_value)
            return None
        route, team = admitted.ok_value
        time_limit_seconds = route.timeout_seconds
        if call.caller_timeout_seconds is not None:
            time_limit_seconds = min(
                time_limit_seconds, call.caller_timeout_seconds
            )
        deadline = arrived_at + time_limit_seconds
        if self._planned_stop.would_cut_off(deadline):
            await self._responder.send_unavailable(call, caller, STOPPING)
            return None
        return ServedCall(
            call=call,
            caller=caller,
            route=route,
            team=team,
            service=pick_service(route, self._random),
            arrived_at=arrived_at,
            deadline=deadline,
            version=routes.document.version,
        )

    async def _wait_for_routes(self, arrived_at: float) -> RouteIndex | None:
        """Return the routes, None if a starting host has none in time."""
        deadline = arrived_at + _CONFIGURATION_WAIT_SECONDS
        with contextlib.suppress(TimeoutError):
            async with self._planned_stop.time_limit(deadline):
                await self._state.wait_ready()
        return self._state.routes()

    async def _serve(self, served: ServedCall) -> None:
        try:
            status, why = await self._respond(served)
        except asyncio.CancelledError:
            self._record_cut(served, served.caller.cancel_cause)
            raise
        except ConnectionError:
            # Failed connections to servers end a send, not the call.
            self._record_cut(served, CutCause.caller_left)
            served.caller.abort()
            return
        self._responder.record_outcome(served, status, why)

    def _record_cut(self, served: ServedCall, cause: CutCause) -> None:
        served.cut_cause = cause
        self._responder.record_outcome(served, CUT, cause.value)

    async def _respond(self, served: ServedCall) -> tuple[int, str]:
        """Return the status that the caller got, and why."""
        try:
            async with self._planned_stop.time_limit(served.deadline):
                return await self._forwarder.forward(served)
        except TimeoutError:
            return await self._respond_to_timeout(served)
        except ConnectionError:
            raise
        except Exception as error:
            return await self._respond_to_fault(served, error)

    async def _respond_to_fault(
        self, served: ServedCall, error: Exception
    ) -> tuple[int, str]:
        asyncio.get_running_loop().call_exception_handler(
            {
                'message': f'Call {served.call.request_id} failed',
                'exception': error,
            }
        )
        served.cut_cause = CutCause.host_failed
        served.has_response_started = served.caller.has_begun
        return await self._forwarder.give_up(
            served, Refusal(CutCause.host_failed.value)
        )

    async def _respond_to_timeout(self, served: ServedCall) -> tuple[int, str]:
        is_stopping = self._planned_stop.is_over
        if served.has_response_started:
            served.caller.abort()
            served.cut_cause = (
                CutCause.host_stopped if is_stopping else CutCause.time_limit
            )
            return CUT, served.cut_cause.value
        if served.may_have_run:
            return await self._responder.send_error(
                served,
                GATEWAY_TIMEOUT,
                STOPPING if is_stopping else 'time limit',
            )
        return await self._responder.send_error(
            served,
            UNAVAILABLE,
            STOPPING if is_stopping else 'no server in time',
        )


__all__ = ('Relay',)
