"""The state of a call being served."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from burdockledge.relay._cut_cause import CutCause
from burdockledge.relay._event_buffer import EventBuffer

if TYPE_CHECKING:
    from burdockledge.admission import AdmissionCall
    from burdockledge.calls import ForwardedCall, Route, Team
    from burdockledge.relay._ports import CallerPort
    from burdockledge.relay._routing_state import Placement

_LOWEST_URGENCY: Final = 9
# How many route tiers are distinguished within one team tier.
_ROUTE_TIERS_PER_TEAM_TIER: Final = 3


def urgency_of(route: Route, team: Team | None) -> int:
    """Return the priority of a team's calls on a route; 0 is highest."""
    route_tier = min(route.tier, _ROUTE_TIERS_PER_TEAM_TIER - 1)
    if team is None or team.tier is None:
        return route_tier
    return min(
        team.tier * _ROUTE_TIERS_PER_TEAM_TIER + route_tier, _LOWEST_URGENCY
    )


@dataclass(slots=True)
class ServedCall:
    """
    A call being served.

    ``arrived_at``, ``deadline`` and ``last_write_at`` are in seconds of the
    monotonic clock. ``version`` is the version of the configuration that
    admitted the call. ``tried_instance_ids`` holds the instances to
    which it was sent, ``left_instance_ids`` those of them that were left as
    they were silent. ``sends`` counts all sends, ``runs`` those after which
    the call may have run. ``next_placement`` is reserved for the next send,
    with a retry of the budget. ``admission`` is asked for room before the first
    send, None if that was not yet needed. ``is_counted``: it counts in the
    usage of its team. ``cut_cause`` is why the answer is incomplete, if it
    ends now. ``media_type`` is that of a stream that began.
    ``first_event_seconds`` is the time from arrival
    to the first write of events, ``longest_pause_seconds`` the longest time
    between two writes.
    """

    call: ForwardedCall
    caller: CallerPort
    route: Route
    team: Team | None
    service: str
    arrived_at: float
    deadline: float
    version: int
    tried_instance_ids: set[str] = field(default_factory=set)
    left_instance_ids: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    next_placement: Placement | None = None
    admission: AdmissionCall | None = None
    is_counted: bool = False
    has_response_started: bool = False
    cut_cause: CutCause = CutCause.server_broke
    media_type: str | None = None
    event_buffer: EventBuffer = field(default_factory=EventBuffer)
    first_event_seconds: float | None = None
    last_write_at: float = 0.0
    longest_pause_seconds: float = 0.0

    @property
    def urgency(self) -> int:
        """The priority by the team's tier, then the route's; 0 is highest."""
        return urgency_of(self.route, self.team)

    @property
    def lowered_urgency(self) -> int:
        """The priority one step lower, within the tier of the team."""
        if self.urgency % _ROUTE_TIERS_PER_TEAM_TIER == (
            _ROUTE_TIERS_PER_TEAM_TIER - 1
        ):
            return self.urgency
        return min(self.urgency + 1, _LOWEST_URGENCY)

    @property
    def is_idempotent(self) -> bool:
        """Whether the call may run more than once."""
        return self.route.is_idempotent

    def note_write(self, now: float) -> float | None:
        """
        Record the time of a write of events to the caller.

        :return: the seconds since the last write, None for the first one.
        """
        pause = None
        if self.first_event_seconds is None:
            self.first_event_seconds = now - self.arrived_at
        else:
            pause = now - self.last_write_at
            self.longest_pause_seconds = max(self.longest_pause_seconds, pause)
        self.last_write_at = now
        return pause


__all__ = ('ServedCall', 'urgency_of')
