"""What a relay meets the outside through: the caller and the servers."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from result import Result

    from burdockledge.relay._types import ForwardedCall, ServerInstance

Headers = tuple[tuple[str, str], ...]


class SendFailure(enum.Enum):
    """Why a send gave no answer; the first two prove that it did not run."""

    not_connected = 'no connection was made'
    not_sent = 'the connection closed before a byte was sent'
    broken = 'the connection broke after the call was sent'
    garbled = 'the answer can not be read'
    silent = 'no answer came in time'

    @property
    def proves_not_run(self) -> bool:
        """Whether the call has not run at that server and never will."""
        return self in {SendFailure.not_connected, SendFailure.not_sent}


class BrokenAnswerError(Exception):
    """An answer that ended before it was complete."""


@dataclass(frozen=True, slots=True)
class OutboundCall:
    """
    What is sent to a server; ``urgency`` 0 goes first.

    The server fetches cached parts of the prompt from ``source``, if any.
    """

    call: ForwardedCall
    instance: ServerInstance
    team: str | None
    urgency: int
    patience_seconds: float
    last_event: str | None
    source: ServerInstance | None = None


class ServerAnswer(ABC):
    """The head of an answer whose body is still to be read."""

    status: int
    headers: Headers
    is_not_run: bool

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """
        Yield the body as it arrives.

        :raises BrokenAnswerError: if the body ends early.
        """

    @abstractmethod
    async def read(self) -> bytes:
        """
        Return the whole body.

        :raises BrokenAnswerError: if the body ends early.
        """

    @abstractmethod
    def close(self) -> None:
        """Drop the connection unless the whole answer was read."""


class ServerClient(ABC):
    """Sends calls to backend servers."""

    @abstractmethod
    async def send(
        self, outbound: OutboundCall
    ) -> Result[ServerAnswer, SendFailure]:
        """Send a call and return the head of its answer."""


class CallerPort(ABC):
    """Answers one caller."""

    @abstractmethod
    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    @abstractmethod
    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows."""

    @abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""

    @abstractmethod
    async def finish(self) -> None:
        """End the answer as complete."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection so that the answer can not look complete."""


__all__ = (
    'BrokenAnswerError',
    'CallerPort',
    'Headers',
    'OutboundCall',
    'SendFailure',
    'ServerAnswer',
    'ServerClient',
)
