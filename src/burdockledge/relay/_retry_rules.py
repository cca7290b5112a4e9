"""The rules by which a call may be sent once more."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from burdockledge.relay._routing_state import RoutingState
    from burdockledge.relay._served_call import ServedCall

# Limit on the sends of one call, including those that a server refused.
_MAX_SENDS: Final = 4


class RetryObstacle(enum.Enum):
    """
    Why a call is not sent once more.

    Metrics use the names, log lines the texts.
    """

    send_limit = 'it was sent too often'
    body_dropped = 'its body is no longer held'
    may_have_run = 'it may have run'
    attempts = 'no attempt is left'
    suspected_prompt = 'a part of its prompt may crash servers'
    retry_budget = 'the retry budget is spent'
    no_server = 'no other server can begin it now'


class RetryRules:
    """Decides on sends after the first one, and takes their retries."""

    def __init__(self, routing_state: RoutingState) -> None:
        """Create rules that take retries from a routing state."""
        self._state = routing_state

    def has_attempt_left(self, served: ServedCall) -> bool:
        """Return whether a call that has run may run once more."""
        return (
            served.is_idempotent
            and served.runs < served.route.max_attempts
            and served.sends < _MAX_SENDS
        )

    def take_retry(
        self, served: ServedCall, runs: int | None = None
    ) -> RetryObstacle | None:
        """
        Take a retry of the budget for a call, if nothing else is in the way.

        :param runs: how often the call may have run, if that is not
            ``served.runs`` as its current send has no response head yet.
        :return: what is in the way, None if the retry was taken.
        """
        obstacle = self._find_obstacle(
            served, served.runs if runs is None else runs
        )
        if obstacle is not None:
            return obstacle
        if not self._state.take_retry(served.service):
            return RetryObstacle.retry_budget
        return None

    def give_back(self, served: ServedCall) -> None:
        """Return a retry that was taken and is not used."""
        self._state.give_back_retry(served.service)

    def _find_obstacle(
        self, served: ServedCall, runs: int
    ) -> RetryObstacle | None:
        if served.sends >= _MAX_SENDS:
            return RetryObstacle.send_limit
        if served.may_have_run:
            obstacle = self._find_obstacle_to_repeat(served, runs)
            if obstacle is not None:
                return obstacle
        return None if served.call.body.is_kept else RetryObstacle.body_dropped

    def _find_obstacle_to_repeat(
        self, served: ServedCall, runs: int
    ) -> RetryObstacle | None:
        if not served.is_idempotent:
            return RetryObstacle.may_have_run
        if runs >= served.route.max_attempts:
            return RetryObstacle.attempts
        if not self._state.may_repeat(served.service, served.call.prompt):
            return RetryObstacle.suspected_prompt
        return None


__all__ = ('RetryObstacle', 'RetryRules')
