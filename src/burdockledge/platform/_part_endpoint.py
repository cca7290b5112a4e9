"""The endpoint at which operators see and release blocked prompt parts."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TYPE_CHECKING, Final

from aiohttp.web_response import Response
from pydantic import BaseModel, Field
from result import Err

from burdockledge.platform._signed_bodies import read_signed
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

    from burdockledge.peers import PeerKeys
    from burdockledge.relay import PartOperations

_log = make_logger('operators')

# What the MAC of a release covers besides its body.
RELEASE_CONTEXT: Final = b'release a prompt part'
_NOT_FOUND: Final = 404
_HEXADECIMAL: Final = 16


class PartRelease(BaseModel):
    """A release: a service, and the id of a part as callers send it."""

    service: str
    part: str = Field(pattern='^[0-9a-f]+$')


class PartEndpoint:
    """
    Answers operators.

    ``GET`` lists the parts; ``POST`` releases one, with a body that is signed
    with the keys of the hosts.
    """

    def __init__(self, parts: PartOperations, keys: PeerKeys) -> None:
        """Create an endpoint that accepts releases signed with these keys."""
        self._parts = parts
        self._keys = keys

    async def handle(self, request: BaseRequest) -> Response:
        """Respond to one request."""
        if request.method == 'GET':
            listed = [asdict(part) for part in self._parts.guarded_parts()]
            return _json_response({'parts': listed})
        signed = await read_signed(
            request,
            PartRelease,
            self._keys,
            RELEASE_CONTEXT,
            'Release fails authentication.',
        )
        if isinstance(signed, Err):
            return signed.err_value
        release = signed.ok_value
        part_id = int(release.part, _HEXADECIMAL)
        if not self._parts.release(release.service, part_id):
            return Response(status=_NOT_FOUND, text='nothing is known of it\n')
        _log.warning(
            'Prompt part is released by an operator.',
            service=release.service,
            part=release.part,
        )
        return _json_response({'released': release.part})


def _json_response(content: object) -> Response:
    return Response(
        body=json.dumps(content).encode(), content_type='application/json'
    )


__all__ = ('RELEASE_CONTEXT', 'PartEndpoint', 'PartRelease')
