"""Admits calls, forwards them and enforces their time limits."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.relay._forwarder import Forwarder
from burdockledge.relay._responder import (
    GATEWAY_TIMEOUT,
    UNAVAILABLE,
    Responder,
)
from burdockledge.relay._routes import pick_service
from burdockledge.relay._served_call import PlannedStop, ServedCall

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
# How long callers that find hosts through the directory may still call a
# stopping host. A later call is refused if it may outlast the host: it has
# not run yet, so its caller can safely send it elsewhere.
_DIRECTORY_DELAY_SECONDS: Final = 2.5


class Relay:
    """
    Serves calls, each until its time limit.

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
        self._forwarder = Forwarder(
            routing_state, client, self._responder, clock, metrics
        )
        self.in_flight = 0
        self._planned_stop: PlannedStop | None = None

    def plan_stop(self, delay_seconds: float) -> None:
        """Refuse calls that the process's exit after a delay may cut off."""
        now = self._clock.monotonic()
        self._planned_stop = PlannedStop(
            now + _DIRECTORY_DELAY_SECONDS, now + delay_seconds
        )

    async def handle(self, call: ForwardedCall, caller: CallerPort) -> None:
        """Serve one call until its caller has the whole response."""
        self.in_flight += 1
        try:
            await self._handle(call, caller)
        finally:
            self.in_flight -= 1

    async def _handle(self, call: ForwardedCall, caller: CallerPort) -> None:
        arrived_at = self._clock.monotonic()
        routes = await self._wait_for_routes()
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
        if self._planned_stop is not None and self._planned_stop.would_cut_off(
            arrived_at, time_limit_seconds
        ):
            await self._responder.send_unavailable(
                call, caller, 'this host is stopping'
            )
            return
        served = ServedCall(
            call=call,
            caller=caller,
            route=route,
            team=team,
            service=pick_service(route, self._random),
            arrived_at=arrived_at,
            deadline=arrived_at + time_limit_seconds,
            version=routes.document.version,
        )
        await self._serve(served, time_limit_seconds)

    async def _wait_for_routes(self) -> RouteIndex | None:
        """Return the routes, None if a starting host has none in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CONFIGURATION_WAIT_SECONDS):
                await self._state.wait_ready()
        return self._state.routes()

    async def _serve(
        self, served: ServedCall, time_limit_seconds: float
    ) -> None:
        try:
            async with asyncio.timeout(time_limit_seconds):
                status, why = await self._forwarder.forward(served)
        except TimeoutError:
            status, why = await self._respond_to_timeout(served)
        except asyncio.CancelledError:
            self._responder.record_outcome(served, 0, 'the caller left')
            raise
        self._responder.record_outcome(served, status, why)

    async def _respond_to_timeout(self, served: ServedCall) -> tuple[int, str]:
        if served.has_response_started:
            served.caller.abort()
            return 0, 'the time limit cut the answer'
        if served.may_have_run:
            return await self._responder.send_error(
                served, GATEWAY_TIMEOUT, 'time limit'
            )
        return await self._responder.send_error(
            served, UNAVAILABLE, 'no server in time'
        )


__all__ = ('Relay',)
