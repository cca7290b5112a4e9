"""The client interface for model engines."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class EndKind(enum.Enum):
    """
    How the stream of a generation ended.

    Only ``not_sent`` and ``refused`` prove that the engine ran nothing.
    """

    # The engine sent the end marker of a complete generation.
    done = 'done'
    # No connection to the engine was established.
    not_sent = 'not_sent'
    # The engine answered 503.
    refused = 'refused'
    # The engine answered with a client error (4xx).
    rejected = 'rejected'
    # The connection broke, or the engine answered with another status.
    interrupted = 'interrupted'
    # The connect or read timeout, or the deadline of an at-most-once call, has
    # expired.
    silent = 'silent'
    # Data of another request, or an oversized event, arrived.
    crossed = 'crossed'
    # The runner of the call gave its slot to a higher tier; clients never
    # report this.
    yielded = 'yielded'


@dataclass(frozen=True, slots=True)
class EngineCall:
    """
    A request for a generation.

    ``body`` is the caller's JSON object. The lowest ``priority`` is served
    first. ``deadline_ms`` is the time from the arrival of the call to its
    deadline. ``resume_from`` is the number of tokens that the caller has
    already received. ``remaining_seconds`` is the time until its deadline as
    it is sent. A call that ``is_at_most_once`` is sent over a new
    connection, and is never retried once it may have run.
    """

    request_id: str
    path: str
    body: dict[str, Any]
    priority: int
    deadline_ms: int
    resume_from: int = 0
    is_at_most_once: bool = False
    remaining_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """Complete server-sent events of one token each, and their number."""

    events: bytes
    tokens: int


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """
    The last item of every stream.

    ``status`` is the HTTP status of an error response, otherwise 0;
    ``detail`` is the body of that response or a description of the error.
    """

    kind: EndKind
    status: int = 0
    detail: str = ''


class EngineClient(ABC):
    """Requests generations from model engines."""

    @abstractmethod
    def stream(
        self,
        url: str,
        call: EngineCall,
    ) -> AsyncIterator[TokenChunk | StreamEnd]:
        """
        Stream a generation; closing the iterator cancels it.

        The last item is a ``StreamEnd``; failures are not raised.

        :param url: base URL of the engine.
        """


__all__ = ('EndKind', 'EngineCall', 'EngineClient', 'StreamEnd', 'TokenChunk')
