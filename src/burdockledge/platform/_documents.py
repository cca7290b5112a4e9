"""
Decodes records of the platform's store into domain types.

In the records, a ``backend`` is a service, a ``zone`` a data centre and a
``tenant`` a team.
"""

from __future__ import annotations

import ipaddress
import json
import math
from functools import partial
from typing import Annotated, Any, Final, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    StrictInt,
    TypeAdapter,
    ValidationError,
)

from burdockledge.calls import (
    AutoscaleConfiguration,
    CallerLimits,
    EngineConfiguration,
    Route,
    RouteKind,
    RoutingDocument,
    ServerInstance,
    ServiceConfiguration,
    ServiceShare,
    Team,
)
from burdockledge.platform import _names as names
from burdockledge.registry import Registration, ServerState
from burdockledge.relay import RecordDecoder
from burdockledge.settings import MAX_PORT
from burdockledge.telemetry import make_logger

_log = make_logger('platform')

_MS_PER_SECOND: Final = 1000
_KIND_BY_ROUTE_TYPE: Final = {
    'safe': RouteKind.safe,
    'unsafe': RouteKind.unsafe,
    'streaming': RouteKind.stream,
}
_DEFAULT_TIER: Final = 5
# Fields that change with every heartbeat but do not affect routing.
_HEARTBEAT_FIELDS: Final = ('seq', 'cold_remaining_ms')
# Bounds of the integers in the messages of the hosts.
_MAX_INT32: Final = (1 << 31) - 1
_MAX_INT64: Final = (1 << 63) - 1
# Larger weights are equal: their sum stays finite.
_MAX_WEIGHT: Final = 10**9
# Longer boots are errors of the configuration.
_MAX_BOOT_SECONDS: Final = 3600
# Bounds the memory of faults that were logged once.
_MAX_LOGGED_FAULTS: Final = 1000
_LEAVE_TIME: Final[TypeAdapter[int]] = TypeAdapter(
    Annotated[StrictInt, Field(ge=0, le=_MAX_INT64)]
)
_ANY_JSON: Final[TypeAdapter[Any]] = TypeAdapter(Any)


def _limit(number: object, highest: int, lowest: int) -> object:
    """Replace a number beyond any use by the nearest one that is in use."""
    if not isinstance(number, int | float) or not -math.inf < number < math.inf:
        return number
    return min(max(number, lowest), highest)


# A negative time is an error, like one that is no number.
_Milliseconds = Annotated[
    float,
    BeforeValidator(partial(_limit, highest=_MAX_INT32, lowest=-1)),
    Field(ge=0),
]
_Count = Annotated[
    int, BeforeValidator(partial(_limit, highest=_MAX_INT32, lowest=0))
]
_Weight = Annotated[
    float, BeforeValidator(partial(_limit, highest=_MAX_WEIGHT, lowest=0))
]


class _Model(BaseModel):
    """Base of the models of records; unknown fields are ignored."""

    model_config = ConfigDict(frozen=True, allow_inf_nan=False)


class _TrafficShare(_Model):
    backend: str
    weight: _Weight = 1


class _Route(_Model):
    name: str
    hostname: str
    path_prefix: str
    route_type: Literal['safe', 'unsafe', 'streaming'] = 'unsafe'
    timeout_ms: _Milliseconds
    target_latency_ms: _Milliseconds = 1000
    # Priority tier; 0 is the highest.
    priority: _Count | None = None
    backend: str | None = None
    traffic_split: tuple[_TrafficShare, ...] | None = None
    max_attempts: int = 1
    public: bool = False
    stream_resume: bool = False
    # Service level of a stream: the longest pause between two events.
    gap_aim_ms: _Milliseconds | None = None


class _Engine(_Model):
    # Tokens of KV cache, shared by running calls and cached prefixes.
    kv_capacity: _Count = 0


class _Autoscale(_Model):
    model_config = ConfigDict(frozen=True, strict=True, allow_inf_nan=False)

    # For a data centre, spot and other servers together.
    min: Annotated[StrictInt, Field(ge=0, le=_MAX_INT32)]
    max: Annotated[StrictInt, Field(ge=1, le=_MAX_INT32)]
    boot_s: Annotated[float, Field(ge=0, le=_MAX_BOOT_SECONDS)] = 4.0
    # Of a spot server, in relation to another one.
    spot_price: Annotated[float, Field(gt=0, le=1)] | None = None
    # Of a server and second, by data centre.
    zone_prices: dict[str, Annotated[float, Field(gt=0, le=_MAX_WEIGHT)]] = {}


class _Service(_Model):
    name: str
    engine: _Engine | None = None
    # Validated apart: an error must not invalidate the configuration.
    autoscale: Any = None


class _Team(_Model):
    # Calls carry it in a header.
    name: Annotated[str, Field(pattern=r'^[^\x00-\x1f\x7f]*$')]
    api_keys: tuple[str, ...] = ()
    priority: _Count | None = None


class _Limits(_Model):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: _Milliseconds = 3000
    idle_timeout_ms: _Milliseconds = 15_000


class _Configuration(_Model):
    version: int
    routes: tuple[_Route, ...] = ()
    backends: tuple[_Service, ...] = ()
    tenants: tuple[_Team, ...] | None = None
    limits: _Limits = _Limits()


def _check_server_address(address: str) -> str:
    """Raise ValueError for an address to which no call can be sent."""
    ip, _, port = address.rpartition(':')
    ipaddress.IPv4Address(ip)
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'the port is not between 1 and {MAX_PORT}')
    return address


class _Server(_Model):
    model_config = ConfigDict(frozen=True, strict=True)

    # The key of the record, which calls carry in a header.
    server_id: Annotated[str, Field(pattern='^[!-~]+$')]
    backend: str
    address: Annotated[
        str,
        Field(pattern='^[0-9.]+:[0-9]{1,5}$'),
        AfterValidator(_check_server_address),
    ]
    zone: str
    slots: Annotated[StrictInt, Field(ge=1, le=_MAX_INT32)]
    state: Literal['ready', 'draining']
    # Start time of the server in Unix milliseconds; orders the starts of
    # servers that use the same id.
    born: Annotated[StrictInt, Field(ge=0, le=_MAX_INT64)] = 0
    # Whether the platform may reclaim the server at short notice, and the
    # Unix milliseconds at which it leaves. Validated apart, as a server whose
    # optional fields can not be read still serves.
    spot: Any = None
    leaves_ms: Any = None


class PlatformDecoder(RecordDecoder):
    """Decodes the records that the operator and the servers write."""

    def __init__(self) -> None:
        """Create a decoder that has logged no faults of optional fields."""
        self._logged_faults: set[tuple[str, str, str]] = set()

    def decode_routing(
        self, key: str, content: bytes
    ) -> RoutingDocument | None:
        """Return the configuration, None for any other or invalid record."""
        if key != names.CONFIGURATION_KEY:
            return None
        try:
            decoded = _Configuration.model_validate_json(content)
        except ValidationError as error:
            _log.warning(
                'Configuration can not be read.', why=_describe_error(error)
            )
            return None
        return RoutingDocument(
            version=decoded.version,
            routes=tuple(_to_route(route) for route in decoded.routes),
            services={
                service.name: self._to_service(service)
                for service in decoded.backends
            },
            teams_by_api_key=_teams_by_api_key(decoded.tenants or ()),
            limits=CallerLimits(
                header_bytes=decoded.limits.max_header_bytes,
                body_bytes=decoded.limits.max_body_bytes,
                header_timeout_seconds=decoded.limits.header_timeout_ms
                / _MS_PER_SECOND,
                idle_timeout_seconds=decoded.limits.idle_timeout_ms
                / _MS_PER_SECOND,
            ),
            requires_api_key=decoded.tenants is not None,
        )

    def decode_registration(
        self, key: str, content: bytes
    ) -> Registration | None:
        """Return the registration of a server, None for an invalid record."""
        try:
            record = _ANY_JSON.validate_json(content)
            if isinstance(record, dict):
                record['server_id'] = key
            decoded = _Server.model_validate(record)
        except ValidationError as error:
            _log.warning(
                'Server record can not be read.',
                server=key,
                why=_describe_error(error),
            )
            return None
        return Registration(
            ServerInstance(
                server_id=key,
                started_ms=decoded.born,
                service=decoded.backend,
                address=decoded.address,
                data_centre=decoded.zone,
                slots=decoded.slots,
                is_spot=self._is_spot(decoded),
            ),
            ServerState(decoded.state),
            leaves_ms=self._leaves_ms(decoded),
        )

    def _to_service(self, service: _Service) -> ServiceConfiguration:
        engine = service.engine
        return ServiceConfiguration(
            name=service.name,
            engine=None
            if engine is None
            else EngineConfiguration(engine.kv_capacity),
            autoscale=self._to_autoscale(service),
        )

    def _to_autoscale(self, service: _Service) -> AutoscaleConfiguration | None:
        """Return the configuration of orders, None if it can not be read."""
        if service.autoscale is None:
            return None
        try:
            decoded = _Autoscale.model_validate(service.autoscale)
        except ValidationError as error:
            self._log_fault(service.name, 'autoscale', _describe_error(error))
            return None
        return AutoscaleConfiguration(
            min_servers=decoded.min,
            max_servers=decoded.max,
            boot_seconds=decoded.boot_s,
            spot_price=decoded.spot_price,
            prices=dict(decoded.zone_prices),
        )

    def _is_spot(self, server: _Server) -> bool:
        if not isinstance(server.spot, bool | None):
            self._log_fault(server.server_id, 'spot', 'it is no boolean')
        return server.spot is True

    def _leaves_ms(self, server: _Server) -> int | None:
        if server.leaves_ms is None:
            return None
        try:
            return _LEAVE_TIME.validate_python(server.leaves_ms)
        except ValidationError as error:
            why = error.errors()[0]['msg']
            self._log_fault(server.server_id, 'leaves_ms', why)
            return None

    def _log_fault(self, name: str, field: str, why: str) -> None:
        """Log a fault once, as records with it are read again and again."""
        fault = (name, field, why)
        if fault in self._logged_faults:
            return
        if len(self._logged_faults) >= _MAX_LOGGED_FAULTS:
            self._logged_faults.clear()
        self._logged_faults.add(fault)
        _log.warning(
            'Field can not be read, it is left out.',
            name=name,
            field=field,
            why=why,
        )


def strip_heartbeat(content: bytes) -> bytes:
    """
    Return a server record without the fields that each heartbeat changes.

    This way, a heartbeat alone does not count as a change of the record. The
    time at which a server leaves is kept, as hosts must learn it.
    """
    try:
        # The parser of the models: unlike json.loads, it limits the depth of
        # nesting by an error of its own.
        record = _ANY_JSON.validate_json(content)
    except ValidationError:
        # Other records stay as they are; the decoder logs them.
        return content
    if not isinstance(record, dict):
        return content
    for name in _HEARTBEAT_FIELDS:
        record.pop(name, None)
    return json.dumps(record, sort_keys=True).encode()


def _describe_error(error: ValidationError) -> str:
    first_error = error.errors()[0]
    location = '.'.join(str(part) for part in first_error['loc'])
    return f'{location}: {first_error["msg"]}'


def _to_route(route: _Route) -> Route:
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
        kind=_KIND_BY_ROUTE_TYPE[route.route_type],
        timeout_seconds=route.timeout_ms / _MS_PER_SECOND,
        latency_target_seconds=route.target_latency_ms / _MS_PER_SECOND,
        max_attempts=max(1, route.max_attempts),
        tier=_DEFAULT_TIER if route.priority is None else route.priority,
        is_public=route.public,
        is_resumable=route.stream_resume,
        shares=shares,
        pause_target_seconds=None
        if route.gap_aim_ms is None
        else route.gap_aim_ms / _MS_PER_SECOND,
    )


def _teams_by_api_key(teams: tuple[_Team, ...]) -> dict[str, Team]:
    return {
        key: Team(team.name, team.priority)
        for team in teams
        for key in team.api_keys
    }


__all__ = ('PlatformDecoder', 'strip_heartbeat')
