"""Sends a workload on schedule, however long the answers take."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Final

import uuid6

from burdockledge.claims import Outcome
from burdockledge.loadgen._attempt import Attempt, AttemptResult, Sender
from burdockledge.loadgen._host_directory import HostDirectory
from burdockledge.loadgen._plan import Arrival, plan_arrivals
from burdockledge.loadgen._results import RequestResult, RunResults

if TYPE_CHECKING:
    from aiohttp import ClientSession

    from burdockledge.loadgen._workload import Workload

_MAX_ATTEMPTS: Final = 6
_BACKOFF_STEP_SECONDS: Final = 0.5
_ATTEMPT_TIMEOUT_SECONDS: Final = 60
_OTHER_HOST_ERROR_CODES: Final = frozenset(('leaving', 'starting'))

ProgressCallback = Callable[[int, int], None]


class LoadRunner:
    """
    Runs a workload against entry hosts.

    An at-most-once call is retried under its idempotency key while its
    outcome is unknown; a generation is retried until it is completed or
    refused as overloaded. Both are retried if the host is leaving or starting,
    and neither after a wrong answer. Each request gets at most
    ``_MAX_ATTEMPTS`` attempts.
    """

    def __init__(
        self,
        session: ClientSession,
        workload: Workload,
        seed_urls: tuple[str, ...],
        progress: ProgressCallback,
    ) -> None:
        """Create a runner; ``progress`` gets the done and the total count."""
        self._workload = workload
        self._progress = progress
        self._random = Random(workload.seed)
        self._directory = HostDirectory(
            session,
            seed_urls,
            workload.streams[0].team_key,
            self._random,
        )
        loop = asyncio.get_running_loop()
        self._now = loop.time
        self._sender = Sender(session, loop.time)
        self.run_results = RunResults()

    async def run(self) -> RunResults:
        """Send every request when it is due and wait for all answers."""
        arrivals = plan_arrivals(self._workload)
        await self._directory.refresh()
        loop = asyncio.get_running_loop()
        refresh_task = loop.create_task(self._directory.refresh_forever())
        started_at = self._now()
        tasks: set[asyncio.Task[None]] = set()
        for arrival in arrivals:
            due_at = started_at + arrival.at
            await asyncio.sleep(max(0, due_at - self._now()))
            tasks.add(loop.create_task(self._run_request(arrival, due_at)))
            self._progress(len(self.run_results.requests), len(arrivals))
        await asyncio.gather(*tasks)
        refresh_task.cancel()
        self._progress(len(self.run_results.requests), len(arrivals))
        return self.run_results

    async def _run_request(self, arrival: Arrival, due_at: float) -> None:
        is_at_most_once = arrival.stream.kind == 'service'
        key = str(uuid6.uuid7()) if is_at_most_once else ''
        url = self._directory.pick()
        attempt_result = AttemptResult()
        attempts = 0
        may_have_run = False
        while attempts < _MAX_ATTEMPTS:
            attempts += 1
            attempt = Attempt(
                url, key, not may_have_run, _ATTEMPT_TIMEOUT_SECONDS
            )
            attempt_result = await self._sender.send(arrival, attempt)
            if not _should_retry(
                attempt_result, is_at_most_once=is_at_most_once
            ):
                break
            may_have_run |= (
                attempt_result.was_sent
                and attempt_result.outcome is not Outcome.not_run
            )
            url = self._directory.pick(excluded=url)
            await asyncio.sleep(_BACKOFF_STEP_SECONDS * (attempts - 1))
        self._record_result(arrival, attempt_result, key, due_at, attempts)

    def _record_result(
        self,
        arrival: Arrival,
        attempt_result: AttemptResult,
        key: str,
        due_at: float,
        attempts: int,
    ) -> None:
        first_seen_at = attempt_result.first_token_at
        outcome = attempt_result.outcome
        if outcome is None:
            outcome = (
                Outcome.unknown if attempt_result.was_sent else Outcome.not_run
            )
        self.run_results.requests.append(
            RequestResult(
                class_name=arrival.stream.class_name,
                at=arrival.at,
                outcome=outcome,
                key=key,
                first_token_seconds=None
                if first_seen_at is None
                else first_seen_at - due_at,
                total_seconds=self._now() - due_at,
                tokens=attempt_result.tokens,
                attempts=attempts,
                problem=attempt_result.problem,
            ),
        )


def _should_retry(
    attempt_result: AttemptResult, *, is_at_most_once: bool
) -> bool:
    """Return whether a caller would send the same request again."""
    if attempt_result.outcome is Outcome.completed or attempt_result.problem:
        return False
    if attempt_result.error_code in _OTHER_HOST_ERROR_CODES:
        return True
    if is_at_most_once:
        # "Not run" is final: to retry, the caller needs a new key.
        return attempt_result.outcome is not Outcome.not_run
    return attempt_result.error_code != 'overloaded'


__all__ = ('LoadRunner',)
