"""Reads the settings of an entry host from the platform's settings file."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Annotated, Any, Final, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from burdockledge.settings import (
    MAX_PORT,
    Address,
    DutySettings,
    RelayHostSettings,
)
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from pathlib import Path

_log = make_logger('settings')

ModelT = TypeVar('ModelT', bound='_Model')

_USAGE_DUTY: Final = 'usage_report'
_SCALING_DUTY: Final = 'autoscale'
# Callers compete for room: calls may be refused before servers are overloaded.
_PRESSURE_CONTRACT: Final = 'pressure'
_BYTES_PER_MB: Final = 1024 * 1024
_MS_PER_SECOND: Final = 1000

# The port after a port of this range is used, too.
Port = Annotated[int, Field(ge=1, lt=MAX_PORT)]
NonNegative = Annotated[float, Field(ge=0)]
Positive = Annotated[float, Field(gt=0)]


class _Model(BaseModel):
    """Base of the models of the file's tables; unknown fields are ignored."""

    model_config = ConfigDict(frozen=True, allow_inf_nan=False)


class _Listen(_Model):
    # Callers connect here.
    front: Address
    # The platform polls the readiness of this host here.
    readiness: Address
    # Serves metrics; other hosts list this address in their seeds.
    control: Address
    # Callers look up the addresses of entry hosts here.
    directory: Address


class _Bounds(_Model):
    # Time until a new version of the configuration is in force.
    config_ms: float = 2000
    # Time until a draining server receives no new calls.
    drain_ms: float = 2000
    # Time from SIGTERM to SIGKILL.
    grace_s: float = 8
    # Retries allowed in a window of ``budget_window_s``, by all hosts together:
    # the ratio of the first sends plus the slack.
    retry_budget_ratio: NonNegative = 0.2
    retry_budget_slack: NonNegative = 50
    budget_window_s: float = 10
    # Longest time that callers cache a directory response.
    ttl_max_s: float = 5


class _Provider(_Model):
    address: Address


class _DutyBounds(_Model):
    """The bounds of duties; the defaults are the stricter cases."""

    fencing_required: bool = False
    # No holder, another one and the first again act within this time.
    lease_ms: Positive = 3000
    report_window_s: Positive = 5
    # Usage is due this long after the end of its window.
    usage_late_s: Positive = 10


class _Cloud(_Model):
    """The platform's API for the duties of one host at a time."""

    address: Address
    duties: tuple[str, ...] = ()
    # Calls of all hosts together.
    duties_per_s: Positive = 10


class _Limits(_Model):
    memory_mb: Positive | None = None
    max_fds: Annotated[int, Field(gt=0)] | None = None


class _SettingsFile(_Model):
    node_name: str
    ip: str
    zone: str
    # First and last port of the range for traffic between hosts.
    internal_ports: tuple[Port, Port]
    # Control addresses of some hosts; may be out of date.
    seeds: tuple[str, ...] = ()
    listen: _Listen
    bounds: _Bounds = _Bounds()
    # The store that holds the configuration and the lists of servers and hosts.
    provider: _Provider
    # Parts that are left off if their fields can not be read, so they are
    # validated one by one.
    cloud: Any = None
    limits: Any = None
    contracts: Any = ()


def load_host_settings(path: Path) -> Result[RelayHostSettings, str]:
    """Return the settings in a file, or an error that names the field."""
    try:
        raw = tomllib.loads(path.read_text('utf-8'))
    except (OSError, ValueError, RecursionError) as error:
        # Besides its own, the parser raises errors of numbers and of nesting.
        return Err(f'{path}: {error}')
    try:
        settings_file = _SettingsFile.model_validate(raw)
    except ValidationError as error:
        first_error = error.errors()[0]
        location = '.'.join(str(part) for part in first_error['loc'])
        return Err(f'{path}: {location}: {first_error["msg"]}')
    return Ok(_to_host_settings(settings_file, raw.get('bounds')))


def _to_host_settings(
    settings_file: _SettingsFile, raw_bounds: object
) -> RelayHostSettings:
    peer_port, exchange_port = (
        settings_file.internal_ports[0],
        settings_file.internal_ports[0] + 1,
    )
    bounds = settings_file.bounds
    limits = _Limits()
    if settings_file.limits is not None:
        limits = _validate(_Limits, settings_file.limits, 'limits') or limits
    return RelayHostSettings(
        host=settings_file.node_name,
        data_centre=settings_file.zone,
        caller_address=settings_file.listen.front,
        readiness_address=settings_file.listen.readiness,
        directory_address=settings_file.listen.directory,
        control_address=settings_file.listen.control,
        peer_address=f'{settings_file.ip}:{peer_port}',
        exchange_port=exchange_port,
        seeds=tuple(
            f'{seed.rpartition(":")[0]}:{peer_port}'
            for seed in settings_file.seeds
        ),
        store_address=settings_file.provider.address,
        configuration_seconds=bounds.config_ms / 1000,
        drain_seconds=bounds.drain_ms / 1000,
        grace_seconds=bounds.grace_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.retry_budget_slack,
        retry_window_seconds=bounds.budget_window_s,
        directory_seconds=min(2, bounds.ttl_max_s),
        duties=_to_duty_settings(settings_file.cloud, raw_bounds),
        sheds_load=isinstance(settings_file.contracts, list)
        and _PRESSURE_CONTRACT in settings_file.contracts,
        memory_bytes=None
        if limits.memory_mb is None
        else int(limits.memory_mb * _BYTES_PER_MB),
        max_descriptors=limits.max_fds,
    )


def _to_duty_settings(
    raw_cloud: object, raw_bounds: object
) -> DutySettings | None:
    """Return the settings of the duties, None if there is none to do."""
    if raw_cloud is None:
        return None
    cloud = _validate(_Cloud, raw_cloud, 'cloud')
    bounds = _validate(_DutyBounds, raw_bounds or {}, 'bounds')
    if cloud is None or bounds is None:
        return None
    duties = set(cloud.duties)
    unknown = sorted(duties - {_USAGE_DUTY, _SCALING_DUTY})
    if unknown:
        _log.warning('Unknown duties are left out.', duties=unknown)
    if len(unknown) == len(duties):
        return None
    return DutySettings(
        api_address=cloud.address,
        reports_usage=_USAGE_DUTY in duties,
        orders_servers=_SCALING_DUTY in duties,
        calls_per_second=cloud.duties_per_s,
        checks_fence_numbers=bounds.fencing_required,
        lease_seconds=bounds.lease_ms / _MS_PER_SECOND,
        window_seconds=bounds.report_window_s,
        usage_late_seconds=bounds.usage_late_s,
    )


def _validate(model: type[ModelT], raw: object, table: str) -> ModelT | None:
    """Return a table of the file, None if it can not be read."""
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        first_error = error.errors()[0]
        location = '.'.join(str(part) for part in first_error['loc'])
        _log.warning(
            'Settings can not be read, their part is left off.',
            field=f'{table}.{location}',
            why=first_error['msg'],
        )
        return None


__all__ = ('load_host_settings',)
