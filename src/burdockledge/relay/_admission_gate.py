"""Asks admission control whether there is room for a call."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

from burdockledge.admission import (
    AdmissionCall,
    AdmissionController,
    CallKey,
    Forecast,
    LoadRefusal,
    RefusalReason,
    ReturningCalls,
    ServiceView,
)
from burdockledge.scheduling import CallResult
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from burdockledge.calls import ServerInstance
    from burdockledge.relay._routing_state import Placement
    from burdockledge.relay._served_call import ServedCall
    from burdockledge.scheduling import (
        LoadTracker,
        PlacementChoice,
        ServerLoad,
    )

_log = make_logger('admission')

_MS_PER_SECOND: Final = 1000
# A call that is this much later than its target gains nothing by its urgency.
# Forecasts of less are in doubt.
_LOST_TARGETS: Final = 1.5


class Admitted(NamedTuple):
    """
    A call that may be sent, and the urgency to send.

    ``first_event_seconds`` is the expected time to the first event, 0 if it
    was not needed. ``run_seconds`` is that from there to the end, 0 if nothing
    is to be learnt from it.
    """

    urgency: int
    first_event_seconds: float = 0.0
    run_seconds: float = 0.0


class AdmissionGate:
    """Describes calls and servers to admission control of this host."""

    def __init__(self, loads: LoadTracker, random: Random) -> None:
        """Create a gate that reads the loads of servers as they change."""
        self._loads = loads
        self._random = random
        self._controller = AdmissionController(random)
        self._returning = ReturningCalls()
        # By the ids of the running calls whose first event was forecast.
        self._first_event_seconds: dict[int, float] = {}

    def admit(
        self,
        served: ServedCall,
        choice: PlacementChoice,
        instances: list[ServerInstance],
        now: float,
    ) -> Admitted | LoadRefusal:
        """
        Decide on a call before its first send.

        :param choice: the server that it would get.
        :param instances: the servers that may get calls.
        """
        call = self._describe(served, now)
        history = self._controller.history_of(served.service)
        view = self._view(instances, now)
        if view.is_calm:
            history.note_decision(call.urgency, now, is_refused=False)
            return Admitted(served.urgency)
        forecast = self._forecast(
            served,
            choice.instance,
            choice.prefill_tokens,
            served.urgency,
            now,
        )
        # The call goes to the chosen server, also if another one begins sooner.
        first_event_seconds = (
            forecast.wait_seconds + forecast.first_event_seconds
        )
        run_seconds = 0.0 if call.is_plain else forecast.run_seconds
        if self._is_lost(call, forecast) or not self._controller.may_wait(
            call, forecast
        ):
            forecast = self._best_forecast(served, forecast, instances, now)
        refusal = self._controller.decide(call, view, forecast, now)
        if refusal is not None:
            return refusal
        history.note_decision(call.urgency, now, is_refused=False)
        urgency = served.urgency
        if not call.is_plain and self._is_lost(call, forecast):
            lowered = self._forecast(
                served,
                choice.instance,
                choice.prefill_tokens,
                served.lowered_urgency,
                now,
            )
            if self._controller.may_wait(call, lowered):
                urgency = served.lowered_urgency
                # It would be learnt as the time of a less urgent kind.
                run_seconds = 0.0
                first_event_seconds = (
                    lowered.wait_seconds + lowered.first_event_seconds
                )
        return Admitted(urgency, first_event_seconds, run_seconds)

    def retain_services(self, services: Collection[str]) -> None:
        """Drop what is learnt of all services but these."""
        self._controller.retain(services)

    def note_refusal(
        self, served: ServedCall, refusal: LoadRefusal, now: float
    ) -> None:
        """Record that a caller is told to come back."""
        # Refusals of one team's excess don't concern its kind of call.
        if refusal.reason is not RefusalReason.team_share:
            self._controller.history_of(served.service).note_decision(
                served.urgency, now, is_refused=True
            )
        self._returning.note_refusal(
            _key_of(served), refusal.retry_after_seconds, now
        )

    def note_response_start(self, placement: Placement, now: float) -> None:
        """Record the first event of a call whose time was forecast."""
        if placement.forecast_seconds:
            self._first_event_seconds[placement.call_id] = (
                now - placement.placed_at
            )

    def note_end(
        self, placement: Placement, result: CallResult, now: float
    ) -> None:
        """Learn from the end of a send."""
        history = self._controller.history_of(placement.instance.service)
        self._learn_forecast(placement, result, now)
        fill = placement.running_calls / max(1, placement.instance.slots)
        if result is CallResult.answered:
            history.note_answer(now - placement.placed_at, fill)
        elif result is CallResult.refused:
            history.note_server_refusal(fill, now)

    def _learn_forecast(
        self, placement: Placement, result: CallResult, now: float
    ) -> None:
        first_event = self._first_event_seconds.pop(placement.call_id, None)
        seconds = now - placement.placed_at
        if first_event is not None:
            self._learn_run(placement, result, seconds - first_event)
        if result is CallResult.answered and first_event is not None:
            seconds = first_event
        elif first_event is not None or seconds < placement.forecast_seconds:
            return
        # A call that ended before its first event shows that it was late.
        self._controller.history_of(
            placement.instance.service
        ).note_first_event(
            placement.urgency or 0, placement.forecast_seconds, seconds
        )

    def _learn_run(
        self, placement: Placement, result: CallResult, seconds: float
    ) -> None:
        urgency = placement.urgency or 0
        forecast_seconds = placement.forecast_run_seconds
        history = self._controller.history_of(placement.instance.service)
        expected = history.run_correction(urgency) * forecast_seconds
        # A call that ended before its answer was complete only shows how
        # long it would have run if it ran for longer than expected.
        if result is CallResult.answered or seconds > expected:
            history.note_run(urgency, forecast_seconds, seconds)

    def _describe(self, served: ServedCall, now: float) -> AdmissionCall:
        """Return what decides on a call, which is counted once."""
        call = served.admission
        if call is None:
            key = _key_of(served)
            call = AdmissionCall(
                served.service,
                key.team,
                served.urgency,
                served.deadline - now,
                served.route.latency_target_seconds,
                self._random.random(),
                not served.call.prompt.parts,
                self._returning.take(key, now),
            )
            served.admission = call
            self._controller.history_of(served.service).note_arrival(
                key.team, now
            )
        return call

    def _view(self, instances: list[ServerInstance], now: float) -> ServiceView:
        # Done for all servers and each call, so with few look-ups.
        slots = 0
        taken = 0
        waiting = 0
        least_fill = math.inf
        load_of = self._loads.load_of
        for instance in instances:
            running = load_of(instance.instance_id).running_calls(now)
            own_slots = instance.slots
            slots += own_slots
            if running > own_slots:
                waiting += running - own_slots
                taken += own_slots
            else:
                taken += running
            fill = running / own_slots if own_slots else running
            if fill < least_fill:
                least_fill = fill
        return ServiceView(slots, taken, waiting, least_fill)

    def _is_lost(self, call: AdmissionCall, forecast: Forecast) -> bool:
        """Return whether a call would clearly miss its target."""
        return (
            forecast.wait_seconds + forecast.first_event_seconds
            > _LOST_TARGETS * call.target_seconds
        )

    def _best_forecast(
        self,
        served: ServedCall,
        forecast: Forecast,
        instances: list[ServerInstance],
        now: float,
    ) -> Forecast:
        """Return the forecast of the server that begins first."""
        best = forecast
        prompt = served.call.prompt
        for instance in instances:
            load = self._loads.load_of(instance.instance_id)
            # Most servers are passed here without the prompts ahead, which
            # take the longer the more calls wait.
            if (
                self._slot_wait_seconds(
                    served, instance, load, served.urgency, now
                )
                >= best.wait_seconds
            ):
                continue
            wait = self._wait_seconds(
                served, instance, load, served.urgency, now
            )
            if wait < best.wait_seconds:
                tokens = prompt.input_tokens - load.cache.cached_tokens(prompt)
                best = self._forecast(
                    served, instance, max(0, tokens), served.urgency, now
                )
        return best

    def _forecast(
        self,
        served: ServedCall,
        instance: ServerInstance,
        prefill_tokens: int,
        urgency: int,
        now: float,
    ) -> Forecast:
        load = self._loads.load_of(instance.instance_id)
        wait = self._wait_seconds(served, instance, load, urgency, now)
        prompt = served.call.prompt
        if not prompt.parts:
            run_seconds = self._call_seconds(served, load)
            return Forecast(wait, run_seconds, 0.0)
        running = min(load.running_calls(now) + 1, instance.slots)
        return Forecast(
            wait,
            load.timing.first_event_seconds
            + prefill_tokens / load.prefill_tokens_per_second,
            load.timing.expected_events(prompt.max_output_tokens)
            * load.pause_seconds(running),
            load.pending_calls(urgency - 1),
        )

    def _wait_seconds(
        self,
        served: ServedCall,
        instance: ServerInstance,
        load: ServerLoad,
        urgency: int,
        now: float,
    ) -> float:
        """
        Return the time until a server begins with a call.

        Model engines take urgent prompts first; plain services are believed
        to take calls in their order.
        """
        wait = self._slot_wait_seconds(served, instance, load, urgency, now)
        if served.call.prompt.parts:
            wait = max(wait, load.backlog_seconds(urgency, now))
        return wait

    def _slot_wait_seconds(
        self,
        served: ServedCall,
        instance: ServerInstance,
        load: ServerLoad,
        urgency: int,
        now: float,
    ) -> float:
        """Return the time until a server has a free slot for a call."""
        ahead = load.running_calls(now) - instance.slots + 1
        if ahead <= 0:
            return 0.0
        if served.call.prompt.parts:
            ahead = min(ahead, load.pending_calls(urgency) + 1)
        return ahead * self._call_seconds(served, load) / max(1, instance.slots)

    def _call_seconds(self, served: ServedCall, load: ServerLoad) -> float:
        """Return how long a call takes a slot, 0 if nothing is known."""
        seconds = self._controller.history_of(served.service).call_seconds
        if seconds is not None:
            return seconds
        prompt = served.call.prompt
        if not prompt.parts:
            return 0.0
        return load.timing.expected_events(
            prompt.max_output_tokens
        ) * load.pause_seconds(1)


def log_refusal(served: ServedCall, refusal: LoadRefusal, age_ms: int) -> None:
    """Log a refusal for lack of room, with what it was decided by."""
    view = refusal.view
    forecast = refusal.forecast
    call = served.admission
    _log.info(
        'Refused for lack of room.',
        request=served.call.request_id,
        service=served.service,
        reason=refusal.reason.name,
        chance=round(refusal.chance, 2),
        has_returned=call is not None and call.has_returned,
        urgency=served.urgency,
        slots=view.slots,
        taken=view.taken,
        waiting=view.waiting,
        wait_ms=round(forecast.wait_seconds * _MS_PER_SECOND),
        run_ms=round(
            (forecast.first_event_seconds + forecast.run_seconds)
            * _MS_PER_SECOND
        ),
        urgent_waiting=forecast.urgent_waiting,
        retry_after_ms=round(refusal.retry_after_seconds * _MS_PER_SECOND),
        age_ms=age_ms,
    )


def _key_of(served: ServedCall) -> CallKey:
    return CallKey(
        '' if served.team is None else served.team.name,
        served.route.name,
        tuple(part.part_id for part in served.call.prompt.parts),
        served.call.body.size,
    )


__all__ = ('AdmissionGate', 'Admitted', 'log_refusal')
