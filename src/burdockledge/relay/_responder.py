"""Sends the host's own responses and records the outcome of every call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from burdockledge.relay._routes import RouteRefusal
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from random import Random

    from burdockledge.calls import ForwardedCall
    from burdockledge.clock import Clock
    from burdockledge.relay._cut_cause import CutCause
    from burdockledge.relay._ports import CallerPort, Headers
    from burdockledge.relay._routing_state import RoutingState
    from burdockledge.relay._served_call import ServedCall
    from burdockledge.telemetry import Metrics

_log = make_logger('relay')

# In place of a status: the answer is incomplete.
CUT: Final = 0
BAD_GATEWAY: Final = 502
# Tells callers that the call has not run and will not.
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504
_BAD_REQUEST: Final = 400
_UNAUTHORIZED: Final = 401
_NOT_FOUND: Final = 404
# Mean of the Retry-After header; the values are randomised so that callers
# don't all retry at once.
_RETRY_AFTER_SECONDS: Final = 0.5
_MS_PER_SECOND: Final = 1000


class Responder:
    """
    Responds for the host itself, and logs and counts how calls ended.

    Log lines on calls that were not admitted include the age of the routing
    state, as an old one may explain them.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        """Create a responder that logs the age of a routing state."""
        self._state = routing_state
        self._clock = clock
        self._random = random
        self._metrics = metrics

    async def send_error(
        self,
        served: ServedCall,
        status: int,
        why: str,
        retry_after_seconds: float | None = 0.0,
    ) -> tuple[int, str]:
        """
        Send an error for an admitted call.

        :param status: 503 only if the call has not run and will not.
        :param retry_after_seconds: when it may be served at the earliest;
            None if that is not known.
        :return: the status and the reason, as given.
        """
        headers: Headers = ()
        if status == UNAVAILABLE:
            headers = self._retry_after_headers(retry_after_seconds)
        served.has_response_started = True
        await served.caller.send_response(status, headers, f'{why}\n'.encode())
        return status, why

    async def send_unavailable(
        self, call: ForwardedCall, caller: CallerPort, why: str
    ) -> None:
        """Send 503 for a call that this host does not accept now."""
        headers = (('Retry-After', self._retry_after()),)
        await caller.send_response(UNAVAILABLE, headers, f'{why}\n'.encode())
        self._metrics.count('calls', status='503', why=why)
        _log.warning(
            'Refused.',
            request=call.request_id,
            why=why,
            age_ms=self._state.age_ms(),
        )

    async def reject(
        self, call: ForwardedCall, caller: CallerPort, refusal: RouteRefusal
    ) -> None:
        """Send 401 if the call has no known key, 404 if it has no route."""
        is_unknown_key = refusal is RouteRefusal.unknown_key
        status = _UNAUTHORIZED if is_unknown_key else _NOT_FOUND
        await caller.send_response(status, (), f'{refusal.value}\n'.encode())
        self._metrics.count('calls', status=str(status), why=refusal.name)
        routes = self._state.routes()
        _log.warning(
            'Rejected.',
            request=call.request_id,
            called=call.http_host,
            path=call.path,
            why=refusal.value,
            version=None if routes is None else routes.document.version,
            age_ms=self._state.age_ms(),
        )

    def record_outcome(self, served: ServedCall, status: int, why: str) -> None:
        """
        Log and count how an admitted call ended.

        :param status: the status sent, ``CUT`` if the response was cut off.
        """
        seconds = self._clock.monotonic() - served.arrived_at
        route = served.route.name
        self._metrics.count('calls', status=str(status), route=route)
        if not 0 < status < _BAD_REQUEST:
            self._metrics.count('failures', why=why)
        self._metrics.observe('call_seconds', seconds, route=route)
        cause = served.cut_cause if status == CUT else None
        if cause is not None:
            self._count_cut(cause, may_have_run=served.may_have_run)
        if served.first_event_seconds is not None:
            self._metrics.observe(
                'longest_pause_seconds',
                served.longest_pause_seconds,
                route=route,
            )
        log = _log.info if 0 < status < BAD_GATEWAY else _log.warning
        log(
            'Answered.',
            request=served.call.request_id,
            route=route,
            team=None if served.team is None else served.team.name,
            urgency=served.urgency,
            version=served.version,
            status=status,
            why=why,
            cause=None if cause is None else cause.name,
            sends=served.sends,
            runs=served.runs,
            may_have_run=served.may_have_run,
            ms=round(seconds * _MS_PER_SECOND),
            first_ms=round((served.first_event_seconds or 0) * _MS_PER_SECOND),
            pause_ms=round(served.longest_pause_seconds * _MS_PER_SECOND),
        )

    def record_cut(self, call: ForwardedCall, cause: CutCause) -> None:
        """Log and count a call that ended before it was admitted."""
        self._count_cut(cause, may_have_run=False)
        _log.warning(
            'Cut off.',
            request=call.request_id,
            why=cause.value,
            cause=cause.name,
            may_have_run=False,
        )

    def _count_cut(self, cause: CutCause, *, may_have_run: bool) -> None:
        self._metrics.count(
            'cut_answers',
            cause=cause.name,
            may_have_run='true' if may_have_run else 'false',
        )

    def _retry_after_headers(self, seconds: float | None) -> Headers:
        if seconds is None:
            return ()
        if seconds:
            return (('Retry-After', f'{seconds:.2f}'),)
        return (('Retry-After', self._retry_after()),)

    def _retry_after(self) -> str:
        return f'{_RETRY_AFTER_SECONDS * self._random.uniform(0.5, 1.5):.2f}'


__all__ = ('BAD_GATEWAY', 'CUT', 'GATEWAY_TIMEOUT', 'UNAVAILABLE', 'Responder')
