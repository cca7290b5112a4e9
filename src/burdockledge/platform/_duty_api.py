"""Calls of duties to the platform's API."""

from __future__ import annotations

import asyncio
import json
from contextvars import ContextVar
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import aiohttp

from burdockledge.duties import CallOutcome, DutyApi, FenceNumber, Lease
from burdockledge.http_client import (
    BoundedConnector,
    OversizedBodyError,
    make_session,
    read_body,
)
from burdockledge.platform import _names as names
from burdockledge.platform._servers import create_socket
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from aiohttp.connector import Connection

    from burdockledge.clock import Clock
    from burdockledge.settings import DutySettings

_log = make_logger('duties')

# The platform's limit holds for all hosts together. A former holder may still
# make calls, so one host takes half of it.
_SHARE_OF_LIMIT: Final = 0.5
# A call that would have to wait longer for its turn is not made.
_MAX_TURN_SECONDS: Final = 1.0
_CONNECT_SECONDS: Final = 0.5
# The API takes some 10 ms for an answer, and up to 50 times that when slow.
# After this time the call counts as unknown.
_CALL_SECONDS: Final = 2.0
_MAX_ANSWER_BYTES: Final = 4096
_ERA_BITS: Final = 32
_FIRST_SUCCESS: Final = 200
_FIRST_REDIRECT: Final = 300
_CONFLICT: Final = 409
_LIMITED: Final = 429
_UNAVAILABLE: Final = 503
_FIRST_SERVER_ERROR: Final = 500
_FENCED_WORDS: Final = ('fenc', 'token', 'stale', 'holder')
_NONE_LEFT_WORDS: Final = ('none', 'availab', 'capacity', 'no servers')


class _LeaseEndedError(Exception):
    """A call must not be sent, now that its connection is open."""


@dataclass(slots=True)
class _Sending:
    """A call and whether its first byte may have left."""

    lease: Lease
    is_sent: bool = False


# Read by the request of the same task, for which aiohttp has no parameter.
_sending: ContextVar[_Sending] = ContextVar('sending')


class _LeasedRequest(aiohttp.ClientRequest):
    """A request that is sent only while its lease holds."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """
        Send the request over a connection that is open.

        :raises _LeaseEndedError: if the lease has ended.
        """
        sending = _sending.get()
        if not sending.lease.is_valid():
            raise _LeaseEndedError
        sending.is_sent = True
        return await super().send(conn)


class HttpDutyApi(DutyApi):
    """Sends each call once, over a connection of its own."""

    def __init__(
        self, own_host: str, settings: DutySettings, clock: Clock
    ) -> None:
        """Create a client of the API that the settings name."""
        self._own_host = own_host
        self._base_url = f'http://{settings.api_address}'
        self._clock = clock
        self._turn_seconds = 1 / (settings.calls_per_second * _SHARE_OF_LIMIT)
        self._next_turn_at = 0.0

    async def report_usage(self, lease: Lease, report: bytes) -> CallOutcome:
        """Send the usage report of a window as it was recorded."""
        return await self._call(lease, names.USAGE_PATH, report)

    async def order_servers(
        self,
        lease: Lease,
        service: str,
        data_centre: str,
        count: int,
        *,
        is_reclaimable: bool,
    ) -> CallOutcome:
        """Order a number of servers of one kind in a data centre."""
        order: dict[str, object] = {
            'backend': service,
            'zone': data_centre,
            'desired_count': count,
        }
        if is_reclaimable:
            order['spot'] = True
        return await self._call(
            lease, names.SCALE_PATH, json.dumps(order).encode()
        )

    async def _call(self, lease: Lease, path: str, body: bytes) -> CallOutcome:
        sending = _Sending(lease)
        _sending.set(sending)
        outcome = CallOutcome.unknown
        try:
            outcome = await self._send_in_turn(sending, path, body)
        except asyncio.CancelledError:
            if not sending.is_sent:
                outcome = CallOutcome.not_sent
            raise
        finally:
            lease.note_outcome(outcome)
        return outcome

    async def _send_in_turn(
        self, sending: _Sending, path: str, body: bytes
    ) -> CallOutcome:
        now = self._clock.monotonic()
        turn_at = max(now, self._next_turn_at)
        if turn_at - now > _MAX_TURN_SECONDS:
            return CallOutcome.limited
        self._next_turn_at = turn_at + self._turn_seconds
        if turn_at > now:
            await asyncio.sleep(turn_at - now)
        try:
            return await self._send(sending, path, body)
        except _LeaseEndedError:
            return CallOutcome.not_sent
        except (aiohttp.ClientError, OversizedBodyError, OSError) as error:
            _log.debug('Call of a duty broke.', path=path, error=repr(error))
            return (
                CallOutcome.unknown if sending.is_sent else CallOutcome.failed
            )

    async def _send(
        self, sending: _Sending, path: str, body: bytes
    ) -> CallOutcome:
        connector = BoundedConnector(
            force_close=True, socket_factory=create_socket
        )
        async with (
            make_session(
                connector,
                request_class=_LeasedRequest,
                timeout=aiohttp.ClientTimeout(
                    total=_CALL_SECONDS, sock_connect=_CONNECT_SECONDS
                ),
            ) as session,
            session.post(
                self._base_url + path,
                data=body,
                headers={
                    'Content-Type': 'application/json',
                    names.DUTY_HOLDER: self._own_host,
                    names.FENCE_TOKEN: str(
                        _fence_token(sending.lease.fence_number)
                    ),
                },
                allow_redirects=False,
            ) as response,
        ):
            if response.status != _CONFLICT:
                return _outcome_of(response.status)
            answer = await read_body(response, _MAX_ANSWER_BYTES)
        return await _outcome_of_conflict(sending.lease, path, answer)


def _fence_token(number: FenceNumber) -> int:
    """Return a positive integer that orders claims across eras."""
    return (number.era << _ERA_BITS) + number.offset + 1


def _outcome_of(status: int) -> CallOutcome:
    if _FIRST_SUCCESS <= status < _FIRST_REDIRECT:
        return CallOutcome.accepted
    if status == _LIMITED:
        return CallOutcome.limited
    if status < _FIRST_SERVER_ERROR or status == _UNAVAILABLE:
        return CallOutcome.failed
    # An error inside of the API, or behind a gateway: it may have run.
    return CallOutcome.unknown


async def _outcome_of_conflict(
    lease: Lease, path: str, answer: bytes
) -> CallOutcome:
    """
    Tell an outdated fencing token from servers that are not available.

    The answer may say which; usage reports have the first cause only.
    """
    text = answer.decode(errors='replace').lower()
    if any(word in text for word in _FENCED_WORDS):
        return CallOutcome.fenced
    if path == names.USAGE_PATH:
        return CallOutcome.fenced
    if any(word in text for word in _NONE_LEFT_WORDS):
        return CallOutcome.unavailable
    if await lease.is_superseded():
        return CallOutcome.fenced
    return CallOutcome.unavailable


__all__ = ('HttpDutyApi',)
