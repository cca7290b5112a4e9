"""Decides on the admission of calls by the predicted excess of load."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

from burdockledge.admission._history import ServiceHistory
from burdockledge.admission._types import (
    AdmissionCall,
    Forecast,
    LoadRefusal,
    RefusalReason,
    ServiceView,
)

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

# None is refused below this share of what the servers have room for, and all
# from that on. In between, hosts that decide alone from the same state refuse
# in proportion, so that the load settles below the room.
_FIRST_LOAD: Final = 0.8
# A call without enough time, or late for its target, also in calm isn't refused
# for its own length: the forecast of that is the least certain part.
_MIN_WAIT_SHARE: Final = 0.25
# A call that came back is admitted up to this multiple of the load.
_RETURNED_TOLERANCE: Final = 1.25
# Calls of hosts that were killed count as running until their time limit, so
# a plain service seems full for seconds after many hosts have died. Its calls
# are refused only for so long after a server has refused for lack of room.
_REFUSALS_SECONDS: Final = 5.0
# The most urgent calls are refused at a higher load, as long as there are less
# urgent ones to refuse.
_URGENT_TOLERANCE: Final = 0.2
# A team is over its share from the first multiple of the usual one on, and
# refused most from the second one on. The excess counts without what may be
# chance and raises what is usual, so six times the usual is seen as 2 to 3.
_FIRST_TEAM_EXCESS: Final = 1.5
_MOST_TEAM_EXCESS: Final = 3.0
# No team may get under a quarter of the mean.
_MAX_TEAM_CHANCE: Final = 0.7
# A call that is only late is refused if it delays this many more urgent ones.
_SEVERAL_CALLS: Final = 3
# Retry-After is at most this share of the time that the caller has left.
_MAX_RETRY_SHARE: Final = 1 / 3
_MIN_ROOM_SECONDS: Final = 0.05


class _Cause(NamedTuple):
    """A reason to refuse, with the share of calls and the time until room."""

    chance: float
    reason: RefusalReason
    room_seconds: float


class AdmissionController:
    """Decides which calls are refused, and learns from how calls end."""

    def __init__(self, random: Random) -> None:
        """
        Create a controller without history.

        :param random: spreads the times at which callers come back.
        """
        self._random = random
        self._histories: dict[str, ServiceHistory] = {}

    def history_of(self, service: str) -> ServiceHistory:
        """Return what is learnt of a service."""
        history = self._histories.get(service)
        if history is None:
            history = ServiceHistory()
            self._histories[service] = history
        return history

    def retain(self, services: Collection[str]) -> None:
        """Drop what is learnt of all services but these."""
        for service in tuple(self._histories):
            if service not in services:
                self._histories.pop(service)

    def decide(
        self,
        call: AdmissionCall,
        view: ServiceView,
        forecast: Forecast,
        now: float,
    ) -> LoadRefusal | None:
        """Return why a call is refused, None if it is admitted."""
        if view.is_calm:
            return None
        history = self.history_of(call.service)
        if call.is_plain and now - history.refused_at > _REFUSALS_SECONDS:
            return None
        causes = [_time_cause(call, forecast, history)]
        if not call.has_returned:
            causes += _causes_of_first_call(call, view, forecast, history, now)
        cause = max(causes, key=_chance_of)
        if call.draw >= cause.chance:
            return None
        return LoadRefusal(
            cause.reason,
            cause.chance,
            cause.room_seconds,
            self._retry_after(cause.room_seconds, call.remaining_seconds),
            view,
            forecast,
        )

    def may_wait(self, call: AdmissionCall, forecast: Forecast) -> bool:
        """Return whether a call meets its time limit with little doubt."""
        history = self.history_of(call.service)
        return not _time_cause(call, forecast, history).chance

    def _retry_after(
        self, room_seconds: float, remaining_seconds: float
    ) -> float:
        """Return a time after there is room, spread over its length."""
        seconds = max(_MIN_ROOM_SECONDS, room_seconds)
        latest = _MAX_RETRY_SHARE * max(0.0, remaining_seconds)
        seconds = min(seconds, latest / 2)
        return seconds * self._random.uniform(1, 2)


def _chance_of(cause: _Cause) -> float:
    return cause.chance


def _time_cause(
    call: AdmissionCall, forecast: Forecast, history: ServiceHistory
) -> _Cause:
    """Compare the wait with the time limit."""
    wait = history.correction(call.urgency) * forecast.wait_seconds
    run = history.run_correction(call.urgency) * forecast.run_seconds
    allowed = max(
        call.remaining_seconds - run,
        _MIN_WAIT_SHARE * call.remaining_seconds,
    )
    tolerance = _RETURNED_TOLERANCE if call.has_returned else 1.0
    load = wait / allowed if allowed > 0 else math.inf
    return _Cause(
        _chance(load / tolerance),
        RefusalReason.time_limit,
        wait - _FIRST_LOAD * allowed,
    )


def _causes_of_first_call(
    call: AdmissionCall,
    view: ServiceView,
    forecast: Forecast,
    history: ServiceHistory,
    now: float,
) -> list[_Cause]:
    if view.has_free_slot and not _is_late(call, forecast):
        return []
    room = (
        (view.waiting + 1) * (history.call_seconds or 0.0) / max(1, view.slots)
    )
    causes = [_team_cause(call, history, room, now)]
    kind_chance = history.refused_share_of_more_urgent(call.urgency, now)
    causes.append(_Cause(kind_chance, RefusalReason.kind_order, room))
    if call.is_plain:
        tolerance = 1 + _URGENT_TOLERANCE * history.less_urgent_share(
            call.urgency, now
        )
        # A server refuses the first call beyond its queue.
        load = view.least_fill / history.queue_ratio
        causes.append(
            _Cause(_chance(load / tolerance), RefusalReason.full, room)
        )
    elif (
        not view.has_free_slot
        and forecast.urgent_waiting >= _SEVERAL_CALLS
        and _is_late(call, forecast)
    ):
        chance = 1 - _SEVERAL_CALLS / (forecast.urgent_waiting + 1)
        causes.append(_Cause(chance, RefusalReason.urgent_waiting, room))
    return causes


def _team_cause(
    call: AdmissionCall, history: ServiceHistory, room: float, now: float
) -> _Cause:
    excess = history.team_excess(call.team, now)
    share = (excess - _FIRST_TEAM_EXCESS) / (
        _MOST_TEAM_EXCESS - _FIRST_TEAM_EXCESS
    )
    chance = _MAX_TEAM_CHANCE * min(1.0, max(0.0, share))
    return _Cause(chance, RefusalReason.team_share, room)


def _is_late(call: AdmissionCall, forecast: Forecast) -> bool:
    """Return whether a call misses its target by more than its own length."""
    allowed = max(
        call.target_seconds - forecast.first_event_seconds,
        _MIN_WAIT_SHARE * call.target_seconds,
    )
    return forecast.wait_seconds > allowed


def _chance(load: float) -> float:
    """Return the share of calls to refuse at a load, 1 being all room."""
    return min(1.0, max(0.0, (load - _FIRST_LOAD) / (1 - _FIRST_LOAD)))


__all__ = ('AdmissionController',)
