"""Checks who asks, for what class, and whether this host takes it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from aiohttp import web
from result import Err, Ok, Result

from burdockledge.configuration import hash_key
from burdockledge.execution import RequestContext
from burdockledge.gateway._errors import ErrorAnswer

if TYPE_CHECKING:
    from burdockledge.configuration import TeamEntry
    from burdockledge.gateway._wiring import GatewayParts

CLASS_HEADER: Final = 'Burdockledge-Class'
IDEMPOTENT_HEADER: Final = 'Burdockledge-Idempotent'
FIRST_HEADER: Final = 'Burdockledge-First-Attempt'
TIMEOUT_HEADER: Final = 'Burdockledge-Timeout-Ms'
KEY_HEADER: Final = 'Idempotency-Key'
REQUEST_ID_BYTES: Final = 16
_BEARER: Final = 'Bearer '
_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class Admitted:
    """A team that was authenticated and the class it asks for."""

    entry: TeamEntry
    class_name: str


class Admission:
    """The checks that come before any work."""

    def __init__(self, parts: GatewayParts) -> None:
        """Check against the configuration in force."""
        self._parts = parts

    def team(self, request: web.Request) -> Result[TeamEntry, ErrorAnswer]:
        """Authenticate the caller by its team key."""
        configuration = self._parts.configuration
        if configuration.state is None:
            return Err(
                ErrorAnswer(
                    503,
                    'starting',
                    'this entry host has no configuration yet',
                    retry_after_ms=_MS,
                ),
            )
        entry = configuration.index.team(_key_hash(request))
        if entry is None:
            return Err(_unauthorized('team'))
        return Ok(entry)

    def operator(self, request: web.Request) -> Result[str, ErrorAnswer]:
        """Authenticate an operator by key, and return its name."""
        key_hash = _key_hash(request)
        name = self._parts.configuration.index.operator(key_hash)
        if name is not None:
            return Ok(name)
        if key_hash in self._parts.settings.operator_key_hashes:
            return Ok('settings')
        return Err(_unauthorized('operator'))

    def admit(self, request: web.Request) -> Result[Admitted, ErrorAnswer]:
        """Check the caller, its class, its limit and this host's state."""
        found = self.team(request)
        if isinstance(found, Err):
            return found
        entry = found.ok_value
        if not self._parts.lifecycle.takes_requests:
            return Err(self._not_serving())
        class_name = request.headers.get(CLASS_HEADER, entry.team.classes[0])
        if class_name not in entry.team.classes:
            return Err(
                ErrorAnswer(
                    403,
                    'class_not_allowed',
                    f'{CLASS_HEADER}: team {entry.name} may use '
                    f'{", ".join(entry.team.classes)}',
                ),
            )
        limit = entry.team.max_in_flight
        if limit and self._parts.lifecycle.team_in_flight(entry.name) >= limit:
            return Err(
                ErrorAnswer(
                    429,
                    'team_limit',
                    f'team {entry.name} has {limit} requests in flight here',
                    retry_after_ms=_MS,
                ),
            )
        return Ok(Admitted(entry, class_name))

    async def read_body(
        self,
        request: web.Request,
    ) -> Result[bytes, ErrorAnswer]:
        """Read the whole body within the limits of size and time."""
        limit = self._parts.settings.max_body_bytes
        seconds = self._parts.settings.header_timeout_seconds
        try:
            async with asyncio.timeout(seconds):
                return Ok(await request.read())
        except web.HTTPRequestEntityTooLarge:
            return Err(
                ErrorAnswer(
                    413,
                    'body_too_large',
                    f'the body is over {limit} bytes',
                ),
            )
        except TimeoutError:
            return Err(
                ErrorAnswer(
                    408,
                    'body_timeout',
                    f'the body did not arrive within {seconds} s',
                ),
            )

    def context(
        self,
        request: web.Request,
        admitted: Admitted,
        servers: tuple[str, ...],
        request_id: bytes,
    ) -> Result[RequestContext, ErrorAnswer]:
        """Return what the runners need to know of the request."""
        document = self._parts.configuration.document
        request_class = document.classes[admitted.class_name]
        asked = request.headers.get(TIMEOUT_HEADER)
        total_ms = request_class.total_ms
        if asked is not None:
            if not asked.isascii() or not asked.isdigit() or not int(asked):
                return Err(
                    ErrorAnswer(
                        400,
                        'bad_header',
                        f'{TIMEOUT_HEADER}: give milliseconds, at least 1',
                    ),
                )
            total_ms = min(total_ms, int(asked))
        now = self._parts.clock.monotonic()
        return Ok(
            RequestContext(
                id_bytes=request_id,
                team=admitted.entry.name,
                team_weight=admitted.entry.team.weight,
                class_name=admitted.class_name,
                request_class=request_class,
                received_at=now,
                deadline=now + total_ms / _MS,
                servers=servers,
                is_first_attempt=is_true(request, FIRST_HEADER),
            ),
        )

    def _not_serving(self) -> ErrorAnswer:
        return ErrorAnswer(
            503,
            'leaving',
            'this entry host takes no new requests; '
            'ask /v1/entry-hosts for others',
            retry_after_ms=1,
        )


def is_true(request: web.Request, header: str) -> bool:
    """Tell whether a header says true."""
    return request.headers.get(header, '').strip().lower() == 'true'


def _key_hash(request: web.Request) -> str:
    authorization = request.headers.get('Authorization', '')
    return hash_key(authorization.removeprefix(_BEARER))


def _unauthorized(who: str) -> ErrorAnswer:
    return ErrorAnswer(
        401,
        'invalid_api_key',
        f'Authorization: give "Bearer" and a valid {who} key',
    )


__all__ = (
    'FIRST_HEADER',
    'IDEMPOTENT_HEADER',
    'KEY_HEADER',
    'REQUEST_ID_BYTES',
    'Admission',
    'Admitted',
    'is_true',
)
