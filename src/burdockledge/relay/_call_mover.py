"""Moves calls away from silent servers, if another server can begin them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from result import Err, Ok

from burdockledge.calls import ResponseProgress
from burdockledge.relay._retry_rules import RetryObstacle
from burdockledge.relay._routing_state import Placement, SendOutcome
from burdockledge.relay._silence_watch import SilenceListener
from burdockledge.scheduling import CallResult
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from result import Result

    from burdockledge.relay._retry_rules import RetryRules
    from burdockledge.relay._routing_state import RoutingState
    from burdockledge.relay._served_call import ServedCall
    from burdockledge.telemetry import Metrics

_log = make_logger('relay')


@dataclass(frozen=True, slots=True)
class _Stay:
    """Why a call stays at its server, and what kept other servers from it."""

    obstacle: RetryObstacle
    left_out: Mapping[str, int] = field(default_factory=dict)


class CallMover:
    """
    Finds servers for calls whose own server is silent.

    Leaving a server ends its response for certain, so it is left only for a
    server that is reserved in the same step.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        retry_rules: RetryRules,
        metrics: Metrics,
    ) -> None:
        """Create a mover that reserves places in a routing state."""
        self._state = routing_state
        self._retry_rules = retry_rules
        self._metrics = metrics

    def watch(
        self, served: ServedCall, placement: Placement, outcome: SendOutcome
    ) -> SilenceListener:
        """Return what decides on a send if its server falls silent."""
        return _WatchedSend(self, served, placement, outcome)

    def reserve(
        self, served: ServedCall, silent: Placement, runs: int
    ) -> Result[Placement, _Stay]:
        """
        Take a place at another server and the retry to use it, or neither.

        :param silent: the current placement, which is not changed.
        :param runs: how often the call may have run.
        """
        obstacle = self._retry_rules.take_retry(served, runs)
        if obstacle is not None:
            return Err(_Stay(obstacle))
        placed = self._state.place_elsewhere(served, silent)
        if not isinstance(placed, Placement):
            self._retry_rules.give_back(served)
            return Err(_Stay(RetryObstacle.no_server, placed.counts()))
        served.next_placement = placed
        served.left_instance_ids.add(silent.instance.instance_id)
        return Ok(placed)

    def release(self, served: ServedCall) -> None:
        """Give up the place that is reserved for a call, if there is one."""
        placement = served.next_placement
        if placement is None:
            return
        served.next_placement = None
        self._state.note_end(placement, SendOutcome())
        self._retry_rules.give_back(served)

    def record(
        self, served: ServedCall, silent: Placement, stay: _Stay | None
    ) -> None:
        """Log and count a decision on a call with a silent server."""
        moved_to = served.next_placement
        self._metrics.count(
            'silence_decisions',
            decision='leaves' if stay is None else 'stays',
            reason='server_found' if stay is None else stay.obstacle.name,
        )
        _log.info(
            'Server is silent.',
            request=served.call.request_id,
            server=silent.instance.server_id,
            moves_to=None if moved_to is None else moved_to.instance.server_id,
            stays_for=None if stay is None else stay.obstacle.value,
            left_out={} if stay is None else stay.left_out,
            has_started=served.has_response_started,
            sends=served.sends,
            runs=served.runs,
            age_ms=self._state.age_ms(),
        )


@dataclass(slots=True)
class _WatchedSend(SilenceListener):
    """One send of a call, and the last reason why it stays at its server."""

    mover: CallMover
    served: ServedCall
    placement: Placement
    outcome: SendOutcome
    stays_for: RetryObstacle | None = None

    def should_leave(self) -> bool:
        """Reserve a place at another server, and return whether it did."""
        served = self.served
        self.outcome.result = CallResult.unreachable
        runs = served.runs
        if self.outcome.progress is ResponseProgress.nothing:
            # Runs are counted as the response head arrives.
            runs += 1
        reserved = self.mover.reserve(served, self.placement, runs)
        if isinstance(reserved, Ok):
            self.mover.record(served, self.placement, None)
            return True
        stay = reserved.err_value
        if stay.obstacle is not self.stays_for:
            # Repeated decisions for the same reason are not logged.
            self.stays_for = stay.obstacle
            self.mover.record(served, self.placement, stay)
        return False

    def note_late_progress(self) -> None:
        """Stay at the server after all."""
        self.served.left_instance_ids.discard(
            self.placement.instance.instance_id
        )
        self.mover.release(self.served)


__all__ = ('CallMover',)
