"""Admits calls, forwards them and enforces their time limits."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.relay._forwarder import Forwarder
from burdockledge.relay._planned_stop import STOPPING, PlannedStop
from burdockledge.relay._responder import (
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

    ``in_flight`` is the number of calls being served.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        client: ServerClient,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        """Create a relay that sends through a client."""
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
        )
        self.in_flight = 0

    def plan_stop(self, delay_seconds: float) -> None:
        """
        Answer every call before the process's exit after a delay.

        Later calls that the exit may cut off are refused.
        """
        self._planned_stop.plan(delay_seconds)

    async def handle(self, call: ForwardedCall, caller: CallerPort) -> None:
        """Serve one call until its caller has the whole response."""
        self.in_flight += 1
        try:
            await self._handle(call, caller)
        finally:
            self.in_flight -= 1

    async def _handle(self, call: ForwardedCall, caller: CallerPort) -> None:
        arrived_at = self._clock.monotonic()
        routes = await self._wait_for_routes(arrived_at)
        if routes is None:
            await self._responder.send_unavailable(
                call, caller, 'no configuration yet'
            )
            return
        admitted = routes.admit(call)
        if isinstance(admitted, Err):
            await self._responder.reject(call, caller, admitted.err_value)
            return
        route, team = admitted.ok_value
        time_limit_seconds = route.timeout_seconds
        if call.caller_timeout_seconds is not None:
            time_limit_seconds = min(
                time_limit_seconds, call.caller_timeout_seconds
            )
        deadline = arrived_at + time_limit_seconds
        if self._planned_stop.would_cut_off(deadline):
            await self._responder.send_unavailable(call, caller, STOPPING)
            return
        served = ServedCall(
            call=call,
            caller=caller,
            route=route,
            team=team,
            service=pick_service(route, self._random),
            arrived_at=arrived_at,
            deadline=deadline,
            version=routes.document.version,
        )
        await self._serve(served)

    async def _wait_for_routes(self, arrived_at: float) -> RouteIndex | None:
        """Return the routes, None if a starting host has none in time."""
        deadline = arrived_at + _CONFIGURATION_WAIT_SECONDS
        with contextlib.suppress(TimeoutError):
            async with self._planned_stop.time_limit(deadline):
                await self._state.wait_ready()
        return self._state.routes()

    async def _serve(self, served: ServedCall) -> None:
        try:
            async with self._planned_stop.time_limit(served.deadline):
                status, why = await self._forwarder.forward(served)
        except TimeoutError:
            status, why = await self._respond_to_timeout(served)
        except asyncio.CancelledError:
            self._responder.record_outcome(served, 0, 'the caller left')
            raise
        self._responder.record_outcome(served, status, why)

    async def _respond_to_timeout(self, served: ServedCall) -> tuple[int, str]:
        is_stopping = self._planned_stop.is_over
        if served.has_response_started:
            served.caller.abort()
            limit = 'stop of this host' if is_stopping else 'time limit'
            return 0, f'the {limit} cut the answer'
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
