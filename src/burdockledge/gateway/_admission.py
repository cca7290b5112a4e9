"""Authenticates callers and admits their requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from aiohttp import web
from result import Err, Ok, Result

from burdockledge.configuration import hash_key
from burdockledge.connections import BodyFailure, RoomRefusal, receive_body
from burdockledge.execution import RequestContext
from burdockledge.gateway._errors import ApiError

if TYPE_CHECKING:
    from burdockledge.configuration import TeamEntry
    from burdockledge.gateway._components import HostComponents

CLASS_HEADER: Final = 'Burdockledge-Class'
IDEMPOTENT_HEADER: Final = 'Burdockledge-Idempotent'
FIRST_ATTEMPT_HEADER: Final = 'Burdockledge-First-Attempt'
TIMEOUT_HEADER: Final = 'Burdockledge-Timeout-Ms'
IDEMPOTENCY_KEY_HEADER: Final = 'Idempotency-Key'
REQUEST_ID_BYTES: Final = 16
_BEARER_PREFIX: Final = 'Bearer '
_ONE_SECOND_MS: Final = 1000
# A body, what is parsed from it, and what is sent to a server.
_BODY_FACTOR: Final = 3


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request of an authenticated team for one of its request classes."""

    team_entry: TeamEntry
    class_name: str


class Admission:
    """Checks requests before any work is done for them."""

    def __init__(self, components: HostComponents) -> None:
        """Check against the configuration in force at each request."""
        self._components = components

    def authenticate_team(
        self, request: web.Request
    ) -> Result[TeamEntry, ApiError]:
        """Authenticate the caller by its team key, and return its team."""
        configuration = self._components.configuration
        if configuration.state is None:
            return Err(
                ApiError(
                    503,
                    'starting',
                    'this entry host has no configuration yet',
                    retry_after_ms=_ONE_SECOND_MS,
                ),
            )
        team_entry = configuration.index.team(_bearer_key_hash(request))
        if team_entry is None:
            return Err(_unauthorized_error('team'))
        return Ok(team_entry)

    def authenticate_operator(
        self, request: web.Request
    ) -> Result[str, ApiError]:
        """
        Authenticate an operator by key.

        :return: its name, or ``settings`` for a key of the host's settings.
        """
        key_hash = _bearer_key_hash(request)
        name = self._components.configuration.index.operator(key_hash)
        if name is not None:
            return Ok(name)
        if key_hash in self._components.settings.operator_key_hashes:
            return Ok('settings')
        return Err(_unauthorized_error('operator'))

    def admit(self, request: web.Request) -> Result[AdmittedRequest, ApiError]:
        """Check the team, this host's state, the class and the team's limit."""
        authenticated = self.authenticate_team(request)
        if isinstance(authenticated, Err):
            return authenticated
        team_entry = authenticated.ok_value
        if not self._components.lifecycle.accepts_requests:
            return Err(self._not_serving_error())
        class_name = request.headers.get(
            CLASS_HEADER, team_entry.team.classes[0]
        )
        if class_name not in team_entry.team.classes:
            return Err(
                ApiError(
                    403,
                    'class_not_allowed',
                    f'{CLASS_HEADER}: team {team_entry.name} may only use '
                    f'{", ".join(team_entry.team.classes)}',
                ),
            )
        limit = team_entry.team.max_in_flight
        if (
            limit
            and self._components.lifecycle.team_in_flight(team_entry.name)
            >= limit
        ):
            return Err(
                ApiError(
                    429,
                    'team_limit',
                    f'team {team_entry.name} has reached its limit of {limit} '
                    'requests in flight on this host',
                    retry_after_ms=_ONE_SECOND_MS,
                ),
            )
        return Ok(AdmittedRequest(team_entry, class_name))

    async def read_body(
        self,
        request: web.Request,
    ) -> Result[bytes, ApiError]:
        """Read the whole body within the size limit and the time limit."""
        timeout_seconds = self._components.settings.header_timeout_seconds
        lifecycle = self._components.lifecycle
        try:
            async with asyncio.timeout(timeout_seconds):
                with lifecycle.track_body():
                    received = await receive_body(
                        request,
                        self._components.settings.max_body_bytes,
                        factor=_BODY_FACTOR,
                    )
        except TimeoutError:
            return Err(
                ApiError(
                    408,
                    'body_timeout',
                    f'the body did not arrive within {timeout_seconds} s',
                ),
            )
        if isinstance(received, Ok):
            return Ok(bytes(received.ok_value))
        return Err(self._body_error(received.err_value))

    def _body_error(self, failure: BodyFailure | RoomRefusal) -> ApiError:
        if isinstance(failure, RoomRefusal):
            self._components.metrics.count('room_refusals')
            return ApiError(
                503,
                'no_room',
                'this host has no memory for the request now',
                retry_after_ms=round(
                    failure.retry_after_seconds * _ONE_SECOND_MS
                ),
            )
        if failure is BodyFailure.too_large:
            max_bytes = self._components.settings.max_body_bytes
            return ApiError(
                413,
                'body_too_large',
                f'the body is larger than {max_bytes} bytes',
            )
        return ApiError(400, 'body_broken', failure.value)

    def make_context(
        self,
        request: web.Request,
        admitted: AdmittedRequest,
        servers: tuple[str, ...],
        id_bytes: bytes,
    ) -> Result[RequestContext, ApiError]:
        """
        Return the context in which the runners execute the request.

        A request is refused if this host began to drain while its body was
        read.
        """
        if not self._components.lifecycle.accepts_requests:
            return Err(self._not_serving_error())
        document = self._components.configuration.document
        request_class = document.classes[admitted.class_name]
        timeout_text = request.headers.get(TIMEOUT_HEADER)
        total_ms = request_class.total_ms
        if timeout_text is not None:
            if (
                not timeout_text.isascii()
                or not timeout_text.isdigit()
                or not int(timeout_text)
            ):
                return Err(
                    ApiError(
                        400,
                        'bad_header',
                        f'{TIMEOUT_HEADER}: must be a whole number of '
                        'milliseconds, at least 1',
                    ),
                )
            total_ms = min(total_ms, int(timeout_text))
        now = self._components.clock.monotonic()
        return Ok(
            RequestContext(
                id_bytes=id_bytes,
                team=admitted.team_entry.name,
                team_weight=admitted.team_entry.team.weight,
                class_name=admitted.class_name,
                request_class=request_class,
                received_at=now,
                deadline=now + total_ms / _ONE_SECOND_MS,
                servers=servers,
                is_first_attempt=is_header_true(request, FIRST_ATTEMPT_HEADER),
            ),
        )

    def _not_serving_error(self) -> ApiError:
        return ApiError(
            503,
            'leaving',
            'this entry host accepts no new requests; '
            'GET /v1/entry-hosts lists others',
            retry_after_ms=1,
        )


def is_header_true(request: web.Request, header: str) -> bool:
    """Return whether a header has the value ``true``, in any case."""
    return request.headers.get(header, '').strip().lower() == 'true'


def _bearer_key_hash(request: web.Request) -> str:
    authorization = request.headers.get('Authorization', '')
    return hash_key(authorization.removeprefix(_BEARER_PREFIX))


def _unauthorized_error(key_kind: str) -> ApiError:
    return ApiError(
        401,
        'invalid_api_key',
        f'Authorization: expected "Bearer" and a valid {key_kind} key',
    )


__all__ = (
    'FIRST_ATTEMPT_HEADER',
    'IDEMPOTENCY_KEY_HEADER',
    'IDEMPOTENT_HEADER',
    'REQUEST_ID_BYTES',
    'Admission',
    'AdmittedRequest',
    'is_header_true',
)
