"""``burdockledge place``: ask a host where a call would go, and why."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, Self

import aiohttp
from pydantic import Field, ValidationError, model_validator
from result import Err, Ok, Result

from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_error,
    print_result,
    run_async,
)
from burdockledge.peers import PeerKeys, PeerKeysError
from burdockledge.platform import PLACE_CONTEXT, PLACE_PATH, PlaceQuestion
from burdockledge.settings import Address, CommaList, CommandSettings

_TIMEOUT_SECONDS: Final = 5
_OK: Final = 200
_STATUS_ERRORS: Final = {
    400: 'the host does not accept the call as it is given',
    403: 'peer_keys: the host does not know the key',
}
_NOT_A_HOST: Final = 'control_address: answers, but not as an entry host'
# The codes 3 and 5 mean other things here than in other commands.
_EXIT_CODES: Final = {
    'sent': ExitCode.ok,
    'waits': ExitCode(3),
    'refused': ExitCode.refused,
    'not configured': ExitCode(5),
}
# Smaller terms are left out of the table.
_MIN_SHOWN_SECONDS: Final = 0.00005
_CALL_FLAGS: Final = {
    'route',
    'http_host',
    'path',
    'team',
    'service',
    'input_tokens',
    'output_tokens',
    'urgency',
}


class PlaceSettings(CommandSettings):
    """Settings of ``place``."""

    control_address: Address = Field(
        description='IP:port at which an entry host serves its metrics',
    )
    peer_keys: CommaList = Field(
        description='keys shared by all entry hosts; the first one signs',
    )
    file: Path | None = Field(
        default=None,
        description='JSON file with the call, instead of the flags below',
    )
    route: str | None = Field(default=None, description='name of the route')
    http_host: str | None = Field(
        default=None,
        description='Host header of the call, instead of route',
    )
    path: str | None = Field(
        default=None,
        description='path of the call, together with http_host',
    )
    team: str | None = Field(default=None, description='name of the team')
    service: str | None = Field(
        default=None,
        description='service of the route; the one with the largest share '
        'if not given',
    )
    parts: CommaList = Field(
        default=(),
        description='prompt parts in order as ID:TOKENS,..., the ids in '
        'hexadecimal',
    )
    input_tokens: int | None = Field(
        default=None, description='tokens of the whole prompt'
    )
    output_tokens: int | None = Field(
        default=None, description='most tokens of the response'
    )
    urgency: int | None = Field(
        default=None,
        description='0 is the highest; by team and route if not given',
    )
    like: str | None = Field(
        default=None, description='not available: hosts keep no past calls'
    )
    json_output: bool = Field(
        default=False, alias='json', description='print JSON'
    )

    @model_validator(mode='after')
    def _check_sources(self) -> Self:
        """Reject a past call, and flags beside a file."""
        if self.like is not None:
            raise ValueError(
                'like: hosts keep no log of past calls; give the call by flags '
                'or --file'
            )
        if self.file is not None and self.call_flags():
            raise ValueError('file: give either a file or flags of the call')
        return self

    def call_flags(self) -> dict[str, Any]:
        """Return the flags of the call that are given."""
        given = self.model_dump(include=_CALL_FLAGS, exclude_none=True)
        if self.parts:
            given['parts'] = [_split_part(part) for part in self.parts]
        return given


class Place(Command[PlaceSettings]):
    """Print where a call would go now, without sending it."""

    words = ('place',)
    summary = 'ask a running host where a call would go, and why'
    settings_model = PlaceSettings

    def run(self, settings: PlaceSettings) -> ExitCode:
        """Ask one host."""
        question = _read_question(settings)
        if isinstance(question, Err):
            print_error(question.err_value)
            return ExitCode.usage
        try:
            keys = PeerKeys(settings.peer_keys, None)
        except PeerKeysError as error:
            print_error(str(error))
            return ExitCode.usage
        body = keys.sign_datagram(
            PLACE_CONTEXT, question.ok_value.model_dump_json().encode()
        )
        return run_async(self._place(settings, body))

    async def _place(self, settings: PlaceSettings, body: bytes) -> ExitCode:
        answer = await _ask(settings, body)
        if isinstance(answer, Err):
            return answer.err_value
        document = answer.ok_value
        print_result(
            '\n'.join(_format_answer(document)),
            document,
            'json' if settings.json_output else 'text',
        )
        return _EXIT_CODES[document['outcome']]


def _split_part(part: str) -> dict[str, str]:
    part_id, _, tokens = part.partition(':')
    return {'part': part_id, 'tokens': tokens}


def _read_question(settings: PlaceSettings) -> Result[PlaceQuestion, str]:
    try:
        if settings.file is None:
            return Ok(PlaceQuestion.model_validate(settings.call_flags()))
        text = settings.file.read_text('utf-8')
        return Ok(PlaceQuestion.model_validate_json(text))
    except OSError as error:
        return Err(f'file: {error.filename}: {error.strerror}')
    except UnicodeDecodeError:
        return Err('file: is not UTF-8')
    except ValidationError as error:
        problem = error.errors()[0]
        place = '.'.join(map(str, problem['loc'])) or 'call'
        return Err(f'{place}: {problem["msg"].removeprefix("Value error, ")}')


async def _ask(
    settings: PlaceSettings, body: bytes
) -> Result[dict[str, Any], ExitCode]:
    """Return the answer of the host, or the exit code without one."""
    url = f'http://{settings.control_address}{PLACE_PATH}'
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(url, data=body) as response,
        ):
            if response.status == _OK:
                return Ok(await response.json())
            print_error(_STATUS_ERRORS.get(response.status, _NOT_A_HOST))
            if response.status in _STATUS_ERRORS:
                return Err(ExitCode.usage)
            return Err(ExitCode.failed)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
        print_error(f'control_address: no response ({reason})')
        return Err(ExitCode.failed)


def _format_answer(document: dict[str, Any]) -> Iterator[str]:
    seconds = document['seconds']
    later = '' if seconds is None else f', {seconds:.2f} s'
    yield f'{document["outcome"]}: {document["why"]}{later}'
    ages = ', '.join(
        f'{stream} {age:.1f} s old'
        for stream, age in document['knowledge_age_seconds'].items()
    )
    yield f'version {document["configuration_version"]}; {ages}'
    if not document['route']:
        return
    yield (
        f'route {document["route"]}, service {document["service"]}, '
        f'urgency {document["urgency"]}'
    )
    if document['candidates']:
        yield f'{"server":<28}{"cost s":>9}{"prefill":>9}{"cached":>9}  calls'
    for candidate in document['candidates']:
        terms = ', '.join(
            f'{name} {term:.4f}'
            for name, term in candidate['terms'].items()
            if abs(term) >= _MIN_SHOWN_SECONDS
        )
        yield (
            f'{candidate["server"]:<28}{candidate["cost_seconds"]:>9.4f}'
            f'{candidate["prefill_tokens"]:>9}{candidate["cached_tokens"]:>9}'
            f'  {candidate["running_calls"]}/{candidate["slots"]}'
        )
        yield f'    {terms}'
    for excluded in document['excluded']:
        until = excluded['seconds']
        left = '' if until is None else f', {until:.2f} s left'
        yield f'{excluded["server"]:<28} excluded: {excluded["by"]}{left}'


__all__ = ('Place',)
