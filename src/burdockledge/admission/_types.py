"""What admission control is asked, and what it answers."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Final

# Refusing under half of the slots is wrong. The news of ended calls is late,
# so a host believes in more running calls than there are.
_CALM_TAKEN_SHARE: Final = 0.6


class RefusalReason(enum.Enum):
    """Why a call is refused for lack of room."""

    time_limit = 'it would not be answered within its time limit'
    full = 'the queues of all servers are full'
    team_share = 'its team is far over its usual share of an overloaded service'
    urgent_waiting = 'more urgent calls wait for the servers'
    kind_order = 'more urgent calls were refused lately'


@dataclass(frozen=True, slots=True)
class AdmissionCall:
    """
    The properties of a call that decide on its admission.

    ``remaining_seconds`` is the time left until its time limit. ``draw`` is
    a random number from 0 to 1 that stays the same while the call is held.
    ``is_plain``: it has no prompt. ``has_returned``: it was refused before.
    """

    service: str
    team: str
    urgency: int
    remaining_seconds: float
    target_seconds: float
    draw: float
    is_plain: bool = False
    has_returned: bool = False


@dataclass(frozen=True, slots=True)
class ServiceView:
    """
    The believed load of the servers of a service.

    ``taken`` is the number of slots taken, ``waiting`` that of the calls
    beyond the slots of their server. ``least_fill`` is the lowest number of
    calls per slot of a server.
    """

    slots: int
    taken: int
    waiting: int
    least_fill: float

    @property
    def is_calm(self) -> bool:
        """Whether no call may be refused."""
        return not self.waiting and self.taken < _CALM_TAKEN_SHARE * self.slots

    @property
    def has_free_slot(self) -> bool:
        """Whether a server has a free slot."""
        return self.least_fill < 1


@dataclass(frozen=True, slots=True)
class Forecast:
    """
    The expected times of a call at the best server, in seconds.

    ``wait_seconds`` is the time until the server begins with it,
    ``first_event_seconds`` that from there to its first event, and
    ``run_seconds`` that from there to its end. ``urgent_waiting`` counts the
    more urgent calls that wait there.
    """

    wait_seconds: float
    first_event_seconds: float
    run_seconds: float
    urgent_waiting: int = 0


@dataclass(frozen=True, slots=True)
class LoadRefusal:
    """
    The refusal of a call for lack of room, with its inputs for the log.

    ``room_seconds`` is the time until there is room, ``chance`` the share of
    such calls that are refused.
    """

    reason: RefusalReason
    chance: float
    room_seconds: float
    retry_after_seconds: float
    view: ServiceView
    forecast: Forecast


__all__ = (
    'AdmissionCall',
    'Forecast',
    'LoadRefusal',
    'RefusalReason',
    'ServiceView',
)
