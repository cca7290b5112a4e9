"""Reads the settings of an entry host from the platform's settings file."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from burdockledge.settings import MAX_PORT, Address, RelayHostSettings

if TYPE_CHECKING:
    from pathlib import Path

# The port after a port of this range is used, too.
Port = Annotated[int, Field(ge=1, lt=MAX_PORT)]
NonNegative = Annotated[float, Field(ge=0)]


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
    return Ok(_to_host_settings(settings_file))


def _to_host_settings(settings_file: _SettingsFile) -> RelayHostSettings:
    peer_port, exchange_port = (
        settings_file.internal_ports[0],
        settings_file.internal_ports[0] + 1,
    )
    bounds = settings_file.bounds
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
    )


__all__ = ('load_host_settings',)
