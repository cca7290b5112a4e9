"""The endpoint at which operators ask where a call would go."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TYPE_CHECKING, Final, Self

from aiohttp.web_response import Response
from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    model_validator,
)
from result import Err

from burdockledge.calls import Prompt, PromptPart
from burdockledge.platform._calls import PART_ID_MASK
from burdockledge.platform._signed_bodies import read_signed
from burdockledge.relay import ProbeQuestion

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

    from burdockledge.calls import ServerInstance
    from burdockledge.peers import PeerKeys
    from burdockledge.relay import PlacementProbe, ProbeAnswer
    from burdockledge.scheduling import ServerCost

# What the MAC of a question covers besides its body.
PLACE_CONTEXT: Final = b'ask where a call would go'
_MAX_TOKENS: Final = 10_000_000
_MAX_PARTS: Final = 1024
_MAX_URGENCY: Final = 9
_HEXADECIMAL: Final = 16


class PlacePart(BaseModel):
    """A prompt part: its id as callers send it, and its size."""

    model_config = ConfigDict(extra='forbid')

    part: str = Field(pattern='^[0-9a-fA-F]{1,64}$')
    tokens: int = Field(ge=0, le=_MAX_TOKENS)


class PlaceQuestion(BaseModel):
    """A call that is asked about; the names are those of the flags."""

    model_config = ConfigDict(extra='forbid')

    route: str = ''
    http_host: str = ''
    path: str = ''
    team: str = ''
    service: str = ''
    parts: tuple[PlacePart, ...] = Field(default=(), max_length=_MAX_PARTS)
    input_tokens: int = Field(default=0, ge=0, le=_MAX_TOKENS)
    output_tokens: int = Field(default=0, ge=0, le=_MAX_TOKENS)
    urgency: int | None = Field(default=None, ge=0, le=_MAX_URGENCY)

    @model_validator(mode='after')
    def _check_route(self) -> Self:
        """Require exactly one way to find the route."""
        if bool(self.route) == bool(self.http_host or self.path):
            raise ValueError('give either route, or http_host and path')
        if not self.route and not (self.http_host and self.path):
            raise ValueError('http_host and path are needed together')
        return self

    def probe_question(self) -> ProbeQuestion:
        """Return the question without names of the wire."""
        parts = tuple(
            PromptPart(int(part.part, _HEXADECIMAL) & PART_ID_MASK, part.tokens)
            for part in self.parts
        )
        total = sum(part.tokens for part in parts)
        prompt = Prompt(
            parts, max(self.input_tokens, total), self.output_tokens
        )
        return ProbeQuestion(
            self.route,
            self.http_host,
            self.path,
            self.team,
            self.service,
            prompt,
            self.urgency,
        )


class PlaceEndpoint:
    """Answers questions that are signed with the keys of the hosts."""

    def __init__(self, probe: PlacementProbe, keys: PeerKeys) -> None:
        """Create an endpoint that accepts questions signed with these keys."""
        self._probe = probe
        self._keys = keys

    async def handle(self, request: BaseRequest) -> Response:
        """Respond to one request."""
        question = await read_signed(
            request,
            PlaceQuestion,
            self._keys,
            PLACE_CONTEXT,
            'Question about a call fails authentication.',
        )
        if isinstance(question, Err):
            return question.err_value
        answer = self._probe.ask(question.ok_value.probe_question())
        return Response(
            body=json.dumps(_document(answer)).encode(),
            content_type='application/json',
        )


def _document(answer: ProbeAnswer) -> dict[str, object]:
    return {
        'outcome': answer.outcome.value,
        'why': answer.reason,
        'seconds': answer.seconds,
        'route': answer.route,
        'service': answer.service,
        'urgency': answer.urgency,
        'configuration_version': answer.version,
        'knowledge_age_seconds': answer.ages,
        'candidates': [_candidate(cost) for cost in answer.candidates],
        'excluded': [
            {
                **_server(excluded.instance),
                'by': excluded.obstacle,
                'seconds': excluded.seconds,
            }
            for excluded in answer.excluded
        ],
    }


def _candidate(cost: ServerCost) -> dict[str, object]:
    source = cost.cache_source
    document = asdict(cost)
    for name in ('instance', 'cache_source'):
        document.pop(name)
    return {
        **_server(cost.instance),
        **document,
        'slots': cost.instance.slots,
        'cache_source': None if source is None else source.instance_id,
    }


def _server(instance: ServerInstance) -> dict[str, object]:
    return {
        'server': instance.instance_id,
        'data_centre': instance.data_centre,
    }


__all__ = ('PLACE_CONTEXT', 'PlaceEndpoint', 'PlacePart', 'PlaceQuestion')
