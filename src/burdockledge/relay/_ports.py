"""Interfaces between a relay and its callers and backend servers."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from burdockledge.relay._cut_cause import CutCause
from burdockledge.scheduling import ServerNotice

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from result import Result

    from burdockledge.calls import ForwardedCall, ServerInstance

Headers = tuple[tuple[str, str], ...]


class SendFailure(enum.Enum):
    """Why a send got no response head."""

    not_connected = 'no connection was made'
    not_sent = 'the connection closed before a byte was sent'
    broken = 'the connection broke after the call was sent'
    garbled = 'the answer can not be read'
    silent = 'no answer came in time'
    withheld = 'the server gave notice before the call was sent'

    @property
    def proves_not_run(self) -> bool:
        """Whether the server has not run the call and never will."""
        return self in {
            SendFailure.not_connected,
            SendFailure.not_sent,
            SendFailure.withheld,
        }


class IncompleteResponseError(Exception):
    """The body of a response ended before it was complete."""


class StalledResponseError(IncompleteResponseError):
    """No part of a response came in time, over a sound connection."""


class OversizedResponseError(IncompleteResponseError):
    """A response, or one event of it, is larger than a host may buffer."""


@dataclass(frozen=True, slots=True)
class OutboundCall:
    """
    A call as it is sent to a server.

    ``urgency`` 0 is the highest priority. ``remaining_seconds`` is what is
    left of the call's time limit. A stream is resumed after the event
    ``last_event_id``, if any. The server fetches cached parts of the prompt
    from ``cache_source``, if any. ``obstacle`` is asked before the first
    byte is sent: if it names one, the call must not be sent.
    """

    call: ForwardedCall
    instance: ServerInstance
    team: str | None
    urgency: int
    remaining_seconds: float
    last_event_id: str | None
    cache_source: ServerInstance | None = None
    obstacle: Callable[[], str | None] = lambda: None


class ServerResponse(ABC):
    """
    A response of a server whose head was read and whose body was not.

    ``proves_not_run``: whether the response proves that the server did not
    run the call and never will. ``is_delimited``: whether the response itself
    tells where its body ends, by a length or by chunks, and not its connection;
    ``length`` is the length in bytes, if it tells one.
    ``has_seal``: whether it bears a seal of its server, without which a success
    is worth nothing to the caller; servers may fail without one.
    ``call_rate_limit``: the calls a second that the server takes from all hosts
    together, None if it names no limit, NaN if it can not be read. ``notice``
    is what it says of its server besides.
    """

    status: int
    headers: Headers
    proves_not_run: bool
    is_delimited: bool = True
    has_seal: bool = True
    length: int | None = None
    call_rate_limit: float | None = None
    notice: ServerNotice = ServerNotice()

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """
        Yield the body in parts, as they arrive.

        :raises IncompleteResponseError: if the body ends early.
        """

    @abstractmethod
    def close(self) -> None:
        """Release the connection; close it if the body was not all read."""


class ServerClient(ABC):
    """Sends calls to backend servers."""

    @abstractmethod
    async def send(
        self, outbound: OutboundCall
    ) -> Result[ServerResponse, SendFailure]:
        """Send a call and return the response once its head was read."""


class CallerPort(ABC):
    """
    Sends the response to one caller.

    Methods raise ``ConnectionError`` if the caller has left.
    """

    @property
    @abstractmethod
    def is_shut_down(self) -> bool:
        """Whether this host closes the connection as it stops."""

    @property
    @abstractmethod
    def has_begun(self) -> bool:
        """Whether the caller may have got a part of the response."""

    @property
    def cancel_cause(self) -> CutCause:
        """Why a call has no complete answer, if it is cancelled."""
        if self.is_shut_down:
            return CutCause.host_stopped
        return CutCause.caller_left

    @abstractmethod
    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole response."""

    @abstractmethod
    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body follows in parts."""

    @abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""

    @abstractmethod
    async def finish(self) -> None:
        """End the body as complete."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection so that the response looks incomplete."""


__all__ = (
    'CallerPort',
    'Headers',
    'IncompleteResponseError',
    'OutboundCall',
    'OversizedResponseError',
    'SendFailure',
    'ServerClient',
    'ServerResponse',
    'StalledResponseError',
)
