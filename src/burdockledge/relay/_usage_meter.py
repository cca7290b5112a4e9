"""Tells which calls servers began to run, once for each call."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from burdockledge.calls import RouteKind

if TYPE_CHECKING:
    from burdockledge.relay._ports import ServerResponse
    from burdockledge.relay._served_call import ServedCall

_OK: Final = 200
_MULTIPLE_CHOICES: Final = 300
# Callers take these statuses to mean that the call did not run.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))

# Called with a team's name and the monotonic time.
RunListener = Callable[[str, float], None]


class UsageMeter:
    """
    Counts the calls of teams that servers began to run.

    ``on_run`` is called with the team of each such call and the time at which
    the host read that it runs.
    """

    def __init__(self) -> None:
        """Create a meter that nobody listens to."""
        self.on_run: RunListener | None = None

    def note_head(
        self, served: ServedCall, response: ServerResponse, read_at: float
    ) -> None:
        """
        Count a call without events, unless its response says it did not run.

        A success without a seal does not prove that a server has run it.
        """
        if served.route.kind is RouteKind.stream:
            return
        is_success = _OK <= response.status < _MULTIPLE_CHOICES
        if is_success and not response.has_seal:
            return
        if response.status not in NOT_RUN_STATUSES:
            self._count(served, read_at)

    def note_event(self, served: ServedCall, read_at: float) -> None:
        """Count a stream at its first event."""
        self._count(served, read_at)

    def _count(self, served: ServedCall, read_at: float) -> None:
        # A resumed stream counted when it began, maybe at another host.
        is_resumed = served.call.last_event_id is not None
        if self.on_run is None or served.is_counted or is_resumed:
            return
        served.is_counted = True
        if served.team is not None:
            self.on_run(served.team.name, read_at)


__all__ = ('NOT_RUN_STATUSES', 'RunListener', 'UsageMeter')
