"""The result of each request, as its caller saw it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockledge.claims import Outcome


@dataclass(frozen=True, slots=True)
class RequestResult:
    """
    The final result of a request.

    ``at`` is when the request was due, in seconds from the start of the run;
    the other times are in seconds from when it was due. ``problem`` is not
    empty if an answer was wrong or incomplete.
    """

    class_name: str
    at: float
    outcome: Outcome
    key: str
    first_token_seconds: float | None
    total_seconds: float
    tokens: int
    attempts: int
    problem: str = ''


@dataclass(slots=True)
class RunResults:
    """The results of all requests of a run."""

    requests: list[RequestResult] = field(default_factory=list)

    @property
    def problems(self) -> list[RequestResult]:
        """The requests whose answers were wrong or incomplete."""
        return [result for result in self.requests if result.problem]


__all__ = ('RequestResult', 'RunResults')
