"""Places calls, once their prompts and the limits of servers allow it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.admission import LoadRefusal
from burdockledge.quarantine import Verdict
from burdockledge.relay._planned_stop import STOPPING
from burdockledge.relay._routing_state import Placement
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from burdockledge.clock import Clock
    from burdockledge.relay._planned_stop import PlannedStop
    from burdockledge.relay._retry_rules import RetryRules
    from burdockledge.relay._routing_state import RoutingState
    from burdockledge.relay._served_call import ServedCall

_log = make_logger('relay')

# A call waits this long for another one with a suspected part to begin, or for
# a server that is at its limit or paused, as a multiple of its route's latency
# target.
HOLD_LATENCY_TARGETS: Final = 0.5
_HOLD_POLL_SECONDS: Final = 0.02
# Callers lose nothing by a refusal up to this share of the latency target.
_REFUSAL_LATENCY_TARGETS: Final = 0.125
# A call that waits for room is decided on again so often, as each decision
# takes CPU time of a host under load.
_ROOM_POLL_LATENCY_TARGETS: Final = 0.04
ALL_BUSY: Final = 'every server is at its limit or asked for a pause'


@dataclass(frozen=True, slots=True)
class Refusal:
    """
    Why a call is not sent, and when its caller may come back.

    ``retry_after_seconds`` is 0 for the usual time, None if that is unknown.
    ``lack_of_room`` tells more if servers have no room for the call.
    """

    why: str
    retry_after_seconds: float | None = 0.0
    lack_of_room: LoadRefusal | None = None


@dataclass(frozen=True, slots=True)
class _Wait:
    """Why a call has to wait, and for how long at least."""

    why: str
    seconds: float = 0.0
    lack_of_room: LoadRefusal | None = None


class Placer:
    """Finds a server for each send of a call, and waits for one if need be."""

    def __init__(
        self,
        routing_state: RoutingState,
        planned_stop: PlannedStop,
        retry_rules: RetryRules,
        clock: Clock,
    ) -> None:
        """Create a placer that asks a routing state."""
        self._state = routing_state
        self._retry_rules = retry_rules
        self._planned_stop = planned_stop
        self._clock = clock

    async def place_next(
        self, served: ServedCall
    ) -> Placement | Refusal | None:
        """
        Place the next send of a call, if there may be one.

        :return: None if the call may not be sent, or no server is left to try.
        """
        if served.next_placement is not None:
            placement = served.next_placement
            served.next_placement = None
            return placement
        if not served.sends:
            return await self._place(served)
        if not self._take_retry(served):
            return None
        placed: Placement | Refusal | None = None
        try:
            placed = await self._place_again(served)
        finally:
            if not isinstance(placed, Placement):
                self._retry_rules.give_back(served)
        return placed

    async def _place_again(
        self, served: ServedCall
    ) -> Placement | Refusal | None:
        placed = await self._place(served)
        if isinstance(placed, Placement) or not served.left_instance_ids:
            return placed
        # The servers that the call was moved to did not take it. The one that
        # it left was silent, but may go on by now.
        served.tried_instance_ids -= served.left_instance_ids
        served.left_instance_ids.clear()
        return await self._place(served)

    def _take_retry(self, served: ServedCall) -> bool:
        obstacle = self._retry_rules.take_retry(served)
        if obstacle is None:
            return True
        _log.info(
            'Not sent again.',
            request=served.call.request_id,
            why=obstacle.value,
            attempts=served.route.max_attempts,
        )
        return False

    async def _place(self, served: ServedCall) -> Placement | Refusal | None:
        """
        Place a call, once its prompt and the limits of servers allow it.

        A call that has not run is refused if the stop of this host may cut it
        off, as its caller can safely send it elsewhere.

        :return: None if no server is left to try.
        """
        target_seconds = served.route.latency_target_seconds
        now = self._clock.monotonic()
        hold_until = now + HOLD_LATENCY_TARGETS * target_seconds
        refuse_at = (
            served.arrived_at + _REFUSAL_LATENCY_TARGETS * target_seconds
        )
        has_waited_otherwise = False
        while True:
            if not served.may_have_run and self._planned_stop.would_cut_off(
                served.deadline
            ):
                return Refusal(STOPPING)
            # Lack of room that shows only after a wait for another reason is
            # no reason to refuse any more.
            placement = self._try_to_place(
                served,
                may_refuse=not has_waited_otherwise
                or self._clock.monotonic() <= refuse_at,
            )
            if not isinstance(placement, _Wait):
                return placement
            if placement.lack_of_room is None:
                has_waited_otherwise = True
            latest = hold_until if placement.lack_of_room is None else refuse_at
            if self._clock.monotonic() + placement.seconds > latest:
                return self._refuse_to_wait(served, placement)
            await asyncio.sleep(max(placement.seconds, _HOLD_POLL_SECONDS))

    def _try_to_place(
        self, served: ServedCall, *, may_refuse: bool
    ) -> Placement | Refusal | _Wait | None:
        prompt = served.call.prompt
        verdict = self._state.verdict(served.service, prompt)
        if verdict is Verdict.blocked:
            return Refusal(
                'a part of its prompt crashes servers',
                self._state.blocked_seconds(served.service, prompt),
            )
        if verdict is Verdict.deferred:
            return _Wait('a part of its prompt may crash servers')
        placement = (
            self._state.place_or_refuse(served)
            if may_refuse
            else self._state.place(
                served.service,
                served.route,
                served.urgency,
                prompt,
                frozenset(served.tried_instance_ids),
            )
        )
        if isinstance(placement, LoadRefusal):
            target_seconds = served.route.latency_target_seconds
            return _Wait(
                placement.reason.value,
                max(
                    placement.room_seconds,
                    _ROOM_POLL_LATENCY_TARGETS * target_seconds,
                    _HOLD_POLL_SECONDS,
                ),
                placement,
            )
        if placement is not None:
            return placement
        wait = self._state.seconds_until_usable(
            served.service, frozenset(served.tried_instance_ids)
        )
        return None if wait is None else _Wait(ALL_BUSY, wait)

    def _refuse_to_wait(self, served: ServedCall, wait: _Wait) -> Refusal:
        if wait.lack_of_room is not None:
            self._state.note_refusal(served, wait.lack_of_room)
            return Refusal(
                wait.why,
                wait.lack_of_room.retry_after_seconds,
                wait.lack_of_room,
            )
        if wait.why != ALL_BUSY:
            return Refusal(wait.why)
        return Refusal(
            wait.why, self._state.retry_after_seconds(served.service)
        )


__all__ = ('ALL_BUSY', 'HOLD_LATENCY_TARGETS', 'Placer', 'Refusal')
