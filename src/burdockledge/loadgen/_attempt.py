"""Sends one attempt of a request and checks the answer."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import aiohttp

from burdockledge.claims import Outcome
from burdockledge.standins import prompt_digest, token_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import ClientResponse, ClientSession

    from burdockledge.loadgen._plan import Arrival

_OUTCOME_HEADER: Final = 'Burdockledge-Outcome'
_DATA_FIELD: Final = 'data: '
_OUTCOME_COMMENT: Final = ': outcome '
_CONNECT_TIMEOUT_SECONDS: Final = 2


@dataclass(slots=True)
class AttemptResult:
    """
    The result of one attempt.

    ``outcome`` is None if the host reported none; ``first_token_at`` is a
    time of the sender's clock in seconds. ``problem`` describes a wrong
    answer, and ``was_sent`` is False if no connection was made.
    ``error_code`` is the code of an error answer or the name of the exception.
    """

    outcome: Outcome | None = None
    first_token_at: float | None = None
    tokens: int = 0
    problem: str = ''
    was_sent: bool = True
    error_code: str = ''


@dataclass(frozen=True, slots=True)
class Attempt:
    """
    The host URL, the idempotency key and the timeout of an attempt.

    ``is_first`` is False if an earlier attempt may have run.
    """

    url: str
    key: str
    is_first: bool
    timeout_seconds: float


class Sender:
    """Sends attempts over a client session."""

    def __init__(
        self,
        session: ClientSession,
        now: Callable[[], float],
    ) -> None:
        """Create a sender; ``now`` returns the time in seconds."""
        self._session = session
        self._now = now

    async def send(self, arrival: Arrival, attempt: Attempt) -> AttemptResult:
        """Send one attempt and read its complete answer."""
        result = AttemptResult()
        timeout = aiohttp.ClientTimeout(
            total=attempt.timeout_seconds,
            sock_connect=_CONNECT_TIMEOUT_SECONDS,
        )
        try:
            async with self._session.post(
                _url(arrival, attempt),
                data=json.dumps(_body(arrival)).encode(),
                headers=_headers(arrival, attempt),
                timeout=timeout,
            ) as response:
                await self._read(response, arrival, result)
        except aiohttp.ClientConnectorError:
            result.was_sent = False
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            result.error_code = type(error).__name__
        return result

    async def _read(
        self,
        response: ClientResponse,
        arrival: Arrival,
        result: AttemptResult,
    ) -> None:
        outcome_text = response.headers.get(_OUTCOME_HEADER)
        if outcome_text is not None:
            result.outcome = Outcome(outcome_text)
        if response.content_type == 'text/event-stream':
            await self._read_stream(response, arrival, result)
            return
        answer = await response.read()
        document = json.loads(answer)
        if isinstance(document, dict) and 'error' in document:
            result.error_code = document['error']['code']
        elif result.outcome is Outcome.completed:
            result.first_token_at = self._now()
            result.problem = _check_service_answer(arrival, document)

    async def _read_stream(
        self,
        response: ClientResponse,
        arrival: Arrival,
        result: AttemptResult,
    ) -> None:
        digest = prompt_digest(_body(arrival))
        async for raw_line in response.content:
            line = raw_line.decode().rstrip('\n')
            if line.startswith(_OUTCOME_COMMENT):
                result.outcome = Outcome(line[len(_OUTCOME_COMMENT) :])
            elif line.startswith(_DATA_FIELD) and line != 'data: [DONE]':
                self._read_chunk(line[len(_DATA_FIELD) :], digest, result)
        is_complete = result.tokens == arrival.tokens
        if result.outcome is Outcome.completed and not is_complete:
            result.problem = f'{result.tokens} of {arrival.tokens} tokens'

    def _read_chunk(
        self, text: str, digest: str, result: AttemptResult
    ) -> None:
        chunk = json.loads(text)
        error = chunk.get('error')
        if error is not None:
            result.error_code = error['code']
            return
        if result.first_token_at is None:
            result.first_token_at = self._now()
        content = chunk['choices'][0]['delta']['content']
        if content != token_text(digest, result.tokens):
            result.problem = f'token {result.tokens} does not match its request'
        result.tokens += 1


def _url(arrival: Arrival, attempt: Attempt) -> str:
    stream = arrival.stream
    if stream.kind == 'chat':
        return f'{attempt.url}/v1/chat/completions'
    return f'{attempt.url}/v1/services/{stream.service}/{stream.path}'


def _body(arrival: Arrival) -> dict[str, Any]:
    stream = arrival.stream
    if stream.kind == 'service':
        return {'order': arrival.serial, 'stream': stream.name}
    stream_prefix = f'{stream.name}: '
    text = (stream_prefix * stream.prompt_characters)[
        : stream.prompt_characters
    ]
    return {
        'model': stream.model,
        'stream': True,
        'messages': [
            {'role': 'system', 'content': text},
            {'role': 'user', 'content': f'request {arrival.serial}'},
        ],
        'metadata': {'tokens': arrival.tokens},
    }


def _headers(arrival: Arrival, attempt: Attempt) -> dict[str, str]:
    headers = {
        'Authorization': f'Bearer {arrival.stream.team_key}',
        'Burdockledge-Class': arrival.stream.class_name,
        'Content-Type': 'application/json',
    }
    if attempt.key:
        headers['Idempotency-Key'] = attempt.key
        headers['Burdockledge-First-Attempt'] = str(attempt.is_first).lower()
    return headers


def _check_service_answer(arrival: Arrival, document: dict[str, Any]) -> str:
    body = json.dumps(_body(arrival)).encode()
    if document.get('body') != hashlib.sha256(body).hexdigest():
        return 'the answer does not match its request'
    return ''


__all__ = ('AttemptResult', 'Sender', 'Attempt')
