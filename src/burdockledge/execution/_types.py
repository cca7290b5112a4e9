"""The inputs and results of an execution."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockledge.claims import Outcome
    from burdockledge.configuration import RequestClass


@dataclass(frozen=True, slots=True)
class RequestContext:
    """
    A request that this host accepted.

    ``servers`` are the backend servers that may run the request.
    ``received_at`` and ``deadline`` are times of the host's monotonic clock,
    in seconds. ``is_first_attempt`` is true if the caller says that it never
    sent the request before.
    """

    id_bytes: bytes
    team: str
    team_weight: float
    class_name: str
    request_class: RequestClass
    received_at: float
    deadline: float
    servers: tuple[str, ...]
    is_first_attempt: bool = False

    @property
    def request_id(self) -> str:
        """The id as hexadecimal text."""
        return self.id_bytes.hex()


class ProblemCode(enum.Enum):
    """Why a request has no answer; the values are sent to callers."""

    overloaded = 'overloaded'
    no_server = 'no_server'
    deadline_exceeded = 'deadline_exceeded'
    backend_rejected = 'backend_rejected'
    backend_failed = 'backend_failed'
    key_reused = 'idempotency_key_reused'
    key_expired = 'idempotency_key_expired'
    key_in_use = 'idempotency_key_in_use'
    key_settled = 'idempotency_key_settled'
    log_unavailable = 'log_unavailable'


@dataclass(frozen=True, slots=True)
class Problem:
    """
    An error for the caller.

    ``message`` says what happened and what the caller can do;
    ``retry_after_ms`` is 0 if no time for a retry is suggested.
    """

    code: ProblemCode
    message: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """Complete server-sent events of an answer, with ``tokens`` tokens."""

    events: bytes
    tokens: int


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """
    The end of a streamed answer; ``problem`` is None if it is complete.

    ``tokens`` is the number of tokens in all parts.
    """

    outcome: Outcome
    tokens: int
    problem: Problem | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """
    The answer of a call that is not streamed.

    ``status``, ``content_type`` and ``body`` come from the backend server;
    status is 0 and body is empty if there is a problem. ``is_replay`` marks
    an answer that was recorded by an earlier run of the same key.
    """

    outcome: Outcome
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    problem: Problem | None = None
    is_replay: bool = False


__all__ = (
    'Answer',
    'AnswerEnd',
    'AnswerPart',
    'Problem',
    'ProblemCode',
    'RequestContext',
)
