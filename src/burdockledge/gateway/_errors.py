"""Error responses: the JSON format of the OpenAI API, with the outcome."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from aiohttp import web

from burdockledge.claims import Outcome
from burdockledge.execution import ProblemCode

if TYPE_CHECKING:
    from burdockledge.execution import Problem

OUTCOME_HEADER: Final = 'Burdockledge-Outcome'
REQUEST_ID_HEADER: Final = 'Burdockledge-Request-Id'
REPLAYED_HEADER: Final = 'Burdockledge-Replayed'
_MS_PER_SECOND: Final = 1000
# The rest of the request body was not read, so the connection cannot carry
# another request.
_BODY_UNREAD_STATUSES: Final = frozenset((408, 413))

_HTTP_STATUS: Final = {
    ProblemCode.overloaded: 429,
    ProblemCode.no_server: 503,
    ProblemCode.deadline_exceeded: 504,
    ProblemCode.backend_rejected: 400,
    ProblemCode.backend_failed: 502,
    ProblemCode.key_reused: 422,
    ProblemCode.key_expired: 409,
    ProblemCode.key_in_use: 409,
    ProblemCode.key_settled: 409,
    ProblemCode.log_unavailable: 503,
}


@dataclass(frozen=True, slots=True)
class ApiError:
    """
    An error that a caller receives instead of an answer.

    ``status`` is the HTTP status, ``code`` names the error for programs, and
    ``outcome`` tells whether the request may have been executed. If
    ``retry_after_ms`` is not 0, the caller may retry after that many
    milliseconds.
    """

    status: int
    code: str
    message: str
    outcome: Outcome = Outcome.not_run
    retry_after_ms: int = 0

    @classmethod
    def from_problem(cls, problem: Problem, outcome: Outcome) -> ApiError:
        """Return the error that reports a problem."""
        return cls(
            _HTTP_STATUS[problem.code],
            problem.code.value,
            problem.message,
            outcome,
            problem.retry_after_ms,
        )

    def json_body(self, request_id: str) -> dict[str, object]:
        """Return the JSON object of the response body."""
        error_type = (
            'invalid_request_error' if self.status < 429 else 'server_error'
        )
        return {
            'error': {
                'message': self.message,
                'type': error_type,
                'code': self.code,
                'param': None,
            },
            'outcome': self.outcome.value,
            'request_id': request_id,
        }

    def response(self, request_id: str) -> web.Response:
        """
        Return the HTTP response.

        ``Retry-After`` is in whole seconds, rounded up. The connection is
        closed if the request body was not read to its end.
        """
        headers = {
            OUTCOME_HEADER: self.outcome.value,
            REQUEST_ID_HEADER: request_id,
        }
        if self.retry_after_ms:
            seconds = math.ceil(self.retry_after_ms / _MS_PER_SECOND)
            headers['Retry-After'] = str(seconds)
        response = web.json_response(
            self.json_body(request_id),
            status=self.status,
            headers=headers,
        )
        if self.status in _BODY_UNREAD_STATUSES:
            response.force_close()
        return response


__all__ = ('OUTCOME_HEADER', 'REPLAYED_HEADER', 'REQUEST_ID_HEADER', 'ApiError')
