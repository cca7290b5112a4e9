"""Decodes records of the store into domain types."""

from __future__ import annotations

import json
from typing import Annotated, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, StrictInt, ValidationError

from burdockledge.platform import _names as names
from burdockledge.registry import Registration, ServerState
from burdockledge.relay import (
    CallerLimits,
    EngineConfiguration,
    RecordDecoder,
    Route,
    RouteKind,
    RoutingDocument,
    ServerInstance,
    ServiceConfiguration,
    ServiceShare,
    Team,
)
from burdockledge.telemetry import make_logger

_log = make_logger('platform')

_MS: Final = 1000
_KINDS: Final = {
    'safe': RouteKind.safe,
    'unsafe': RouteKind.unsafe,
    'streaming': RouteKind.stream,
}
_DEFAULT_TIER: Final = 5
# Fields that change with every heartbeat and decide nothing.
_VOLATILE: Final = ('seq', 'cold_remaining_ms')


class _Model(BaseModel):
    """Base of the records' tables; unknown fields are passed over."""

    model_config = ConfigDict(frozen=True)


class _Share(_Model):
    backend: str
    weight: float = 1


class _Route(_Model):
    name: str
    hostname: str
    path_prefix: str
    route_type: Literal['safe', 'unsafe', 'streaming'] = 'unsafe'
    timeout_ms: float
    target_latency_ms: float = 1000
    # Tier; 0 is the highest.
    priority: int | None = None
    backend: str | None = None
    traffic_split: tuple[_Share, ...] | None = None
    max_attempts: int = 1
    public: bool = False
    stream_resume: bool = False
    # Longest pause between events of an answer that is on time.
    gap_aim_ms: float | None = None


class _Engine(_Model):
    # Tokens that running calls and the prefix cache share.
    kv_capacity: int = 0


class _Service(_Model):
    name: str
    engine: _Engine | None = None


class _Team(_Model):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Limits(_Model):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Configuration(_Model):
    version: int
    routes: tuple[_Route, ...] = ()
    backends: tuple[_Service, ...] = ()
    tenants: tuple[_Team, ...] | None = None
    limits: _Limits = _Limits()


class _Server(_Model):
    model_config = ConfigDict(frozen=True, strict=True)

    # Name of the service.
    backend: str
    address: Annotated[str, Field(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')]
    zone: str
    slots: Annotated[StrictInt, Field(ge=1)]
    state: Literal['ready', 'draining']
    # Unix milliseconds of the server's start; orders starts under one id.
    born: StrictInt = 0


class PlatformDecoder(RecordDecoder):
    """Decodes what the operator and the servers write."""

    def decode_routing(
        self, key: str, content: bytes
    ) -> RoutingDocument | None:
        """Return a version of the configuration, None for other records."""
        if key != names.CONFIGURATION_KEY:
            return None
        try:
            found = _Configuration.model_validate_json(content)
        except ValidationError as error:
            _log.warning('Configuration can not be read.', why=_why(error))
            return None
        return RoutingDocument(
            version=found.version,
            routes=tuple(_route_of(route) for route in found.routes),
            services={
                service.name: _service_of(service) for service in found.backends
            },
            teams_by_api_key=_teams_of(found.tenants or ()),
            limits=CallerLimits(
                header_bytes=found.limits.max_header_bytes,
                body_bytes=found.limits.max_body_bytes,
                header_timeout_seconds=found.limits.header_timeout_ms / _MS,
                idle_timeout_seconds=found.limits.idle_timeout_ms / _MS,
            ),
            requires_api_key=found.tenants is not None,
        )

    def decode_registration(
        self, key: str, content: bytes
    ) -> Registration | None:
        """Return what is registered, None if the record names no server."""
        try:
            found = _Server.model_validate_json(content)
        except ValidationError as error:
            _log.warning(
                'Server record can not be read.', server=key, why=_why(error)
            )
            return None
        return Registration(
            ServerInstance(
                server_id=key,
                started_ms=found.born,
                service=found.backend,
                address=found.address,
                data_centre=found.zone,
                slots=found.slots,
            ),
            ServerState(found.state),
        )


def without_heartbeat(content: bytes) -> bytes:
    """Drop the fields of a server record that only tell of a heartbeat."""
    try:
        raw = json.loads(content)
    except ValueError:
        # Unreadable records are kept as they are; the decoder logs them.
        return content
    if not isinstance(raw, dict):
        return content
    for name in _VOLATILE:
        raw.pop(name, None)
    return json.dumps(raw, sort_keys=True).encode()


def _why(error: ValidationError) -> str:
    first = error.errors()[0]
    place = '.'.join(str(part) for part in first['loc'])
    return f'{place}: {first["msg"]}'


def _route_of(route: _Route) -> Route:
    shares = tuple(
        ServiceShare(share.backend, share.weight)
        for share in route.traffic_split or ()
        if share.weight > 0
    )
    if not shares and route.backend is not None:
        shares = (ServiceShare(route.backend, 1),)
    return Route(
        name=route.name,
        http_host=route.hostname,
        path_prefix=route.path_prefix,
        kind=_KINDS[route.route_type],
        timeout_seconds=route.timeout_ms / _MS,
        latency_target_seconds=route.target_latency_ms / _MS,
        max_attempts=max(1, route.max_attempts),
        tier=_DEFAULT_TIER if route.priority is None else route.priority,
        is_public=route.public,
        is_resumable=route.stream_resume,
        shares=shares,
        pause_target_seconds=None
        if route.gap_aim_ms is None
        else route.gap_aim_ms / _MS,
    )


def _service_of(service: _Service) -> ServiceConfiguration:
    engine = service.engine
    return ServiceConfiguration(
        name=service.name,
        engine=None
        if engine is None
        else EngineConfiguration(engine.kv_capacity),
    )


def _teams_of(teams: tuple[_Team, ...]) -> dict[str, Team]:
    return {
        key: Team(team.name, team.priority)
        for team in teams
        for key in team.api_keys
    }


__all__ = ('PlatformDecoder', 'without_heartbeat')
