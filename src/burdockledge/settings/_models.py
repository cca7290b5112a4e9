"""The settings models of entry hosts, validated at start-up."""

import ipaddress
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, ClassVar, Final, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    model_validator,
)

MAX_PORT: Final = 65_535


def _split_commas(raw: object) -> object:
    if isinstance(raw, str):
        return tuple(part.strip() for part in raw.split(',') if part.strip())
    return raw


def _check_address(address: str) -> str:
    """Raise ValueError for an address that no socket takes."""
    host, _, port = address.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if int(port) > MAX_PORT:
        raise ValueError(f'the port is above {MAX_PORT}')
    return address


CommaList = Annotated[tuple[str, ...], BeforeValidator(_split_commas)]
Address = Annotated[
    str,
    Field(pattern=r'^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$'),
    AfterValidator(_check_address),
]
Url = Annotated[str, Field(pattern=r'^https?://[^/]+(/.*)?$')]


class CommandSettings(BaseModel):
    """Base class of the settings of a command; unknown names are rejected."""

    model_config = ConfigDict(frozen=True, extra='forbid')

    # Name of the setting that takes the positional arguments, if any.
    arguments: ClassVar[str] = ''


class TlsSettings(CommandSettings):
    """Certificate files for connections from callers and between hosts."""

    tls_certificate: Path | None = Field(
        default=None,
        description='PEM certificate chain served to callers and operators',
    )
    tls_key: Path | None = Field(
        default=None,
        description='PEM private key of tls_certificate',
    )
    peer_tls_ca: Path | None = Field(
        default=None,
        description='PEM file of the CA that signs every entry host; '
        'enables mutual TLS between entry hosts, requires tls_certificate',
    )
    reload_seconds: float = Field(
        default=2,
        gt=0,
        description='seconds between checks for rotated certificates and keys',
    )

    @model_validator(mode='after')
    def _check_pair(self) -> Self:
        if (self.tls_certificate is None) != (self.tls_key is None):
            raise ValueError('tls_certificate and tls_key: set both or neither')
        if self.peer_tls_ca is not None and self.tls_certificate is None:
            raise ValueError('peer_tls_ca: needs tls_certificate and tls_key')
        return self


@dataclass(frozen=True, slots=True)
class DutySettings:
    """
    Settings of the duties that one host does for all of them.

    ``api_address`` is the ``IP:port`` of the platform's API, and
    ``calls_per_second`` what it takes from all hosts together. With
    ``checks_fence_numbers`` it refuses calls of former holders. Usage of a
    window of ``window_seconds`` is due ``usage_late_seconds`` after its end.
    """

    api_address: str
    reports_usage: bool
    orders_servers: bool
    calls_per_second: float
    checks_fence_numbers: bool
    lease_seconds: float
    window_seconds: float
    usage_late_seconds: float


@dataclass(frozen=True, slots=True)
class RelayHostSettings:
    """
    Validated settings of an entry host that forwards calls.

    Addresses are ``IP:port``. ``exchange_port`` is the port on which every
    host receives replication messages. ``configuration_seconds`` bounds the
    time until a new configuration is in force, ``drain_seconds`` the time
    until a draining server receives no new calls. ``grace_seconds`` is the
    time between the request to stop and the kill. The retry budget
    (``retry_*``) is shared by all hosts. ``duties`` is None if the deployment
    names none. With ``sheds_load``, calls may be refused for lack of room, and
    servers are chosen with regard to it. With ``suspends_orders``, orders of
    servers are planned and logged only. ``memory_bytes`` and
    ``max_descriptors`` are the limits of the process, None if unknown.
    """

    host: str
    data_centre: str
    caller_address: str
    readiness_address: str
    directory_address: str
    control_address: str
    peer_address: str
    exchange_port: int
    seeds: tuple[str, ...]
    store_address: str
    configuration_seconds: float
    drain_seconds: float
    grace_seconds: float
    retry_ratio: float
    retry_slack: float
    retry_window_seconds: float
    directory_seconds: float
    duties: DutySettings | None = None
    sheds_load: bool = False
    suspends_orders: bool = False
    memory_bytes: int | None = None
    max_descriptors: int | None = None


class ServeSettings(TlsSettings):
    """Settings of ``burdockledge serve``."""

    host_id: str = Field(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$',
        description='name of this entry host, unique among all',
    )
    data_centre: str = Field(
        min_length=1,
        max_length=64,
        description='data centre of this entry host',
    )
    caller_address: Address = Field(
        description='IP:port where callers and operators connect',
    )
    caller_url: Url | None = Field(
        default=None,
        description='URL advertised to callers; default: from caller_address',
    )
    peer_address: Address = Field(
        description='IP:port where other entry hosts connect, TCP and UDP',
    )
    seeds: CommaList = Field(
        default=(),
        description='peer addresses to contact first, separated by commas',
    )
    log_url: Url = Field(description="URL of the platform's log service")
    host_list_url: Url | None = Field(
        default=None,
        description="URL of the platform's list of live and leaving hosts",
    )
    peer_keys_file: Path | None = Field(
        default=None,
        description='file of keys shared by all entry hosts, one per line; '
        'the first one signs, all verify',
    )
    peer_keys: CommaList = Field(
        default=(),
        description='keys shared by all entry hosts, if there is no file',
    )
    log_level: str = Field(
        default='info',
        pattern='^(debug|info|warning|error)$',
        description='lowest level logged: debug, info, warning or error',
    )
    time_line_events: int = Field(
        default=50_000,
        ge=100,
        description='events of the time line kept in memory',
    )
    drain_seconds: float = Field(
        default=0.0,
        ge=0,
        description='time limit for requests in flight at a graceful shutdown; '
        '0 waits for all of them',
    )
    directory_ttl_seconds: int = Field(
        default=10,
        ge=1,
        description='seconds that callers may cache the list of entry hosts',
    )
    max_body_bytes: int = Field(
        default=1_048_576,
        ge=1024,
        description='maximum size of a request body in bytes',
    )
    memory_mb: int | None = Field(
        default=None,
        gt=0,
        description='memory limit of the process in MiB, from which the '
        'budget of connections is derived; default: 200',
    )
    max_fds: int | None = Field(
        default=None,
        gt=0,
        description='descriptor limit of the process, from which the number '
        'of connections is derived; default: 4100',
    )
    header_timeout_seconds: float = Field(
        default=10,
        gt=0,
        description='time limit in seconds for receiving a complete request',
    )
    silence_seconds: float = Field(
        default=3,
        gt=0,
        description='a link or stream idle for so many seconds is replaced',
    )
    log_retention_seconds: float = Field(
        default=86_400,
        gt=0,
        description="seconds that the platform's log keeps records",
    )

    key_lifetime_seconds: float = Field(
        default=3600,
        gt=0,
        description='maximum age of an idempotency key; well under retention',
    )
    operator_key_hashes: CommaList = Field(
        default=(),
        description='hashes of operator keys that are valid until the '
        'configuration names operators',
    )

    @model_validator(mode='after')
    def _check_lifetime(self) -> Self:
        if self.key_lifetime_seconds * 2 > self.log_retention_seconds:
            raise ValueError(
                'key_lifetime_seconds: at most half of log_retention_seconds',
            )
        return self

    @model_validator(mode='after')
    def _check_keys(self) -> Self:
        if self.peer_keys_file is None and not self.peer_keys:
            raise ValueError('peer_keys_file: set it or peer_keys')
        return self

    @property
    def public_url(self) -> str:
        """The URL of this entry host for callers."""
        if self.caller_url is not None:
            return self.caller_url
        scheme = 'http' if self.tls_certificate is None else 'https'
        return f'{scheme}://{self.caller_address}'


__all__ = (
    'MAX_PORT',
    'Address',
    'CommandSettings',
    'DutySettings',
    'RelayHostSettings',
    'ServeSettings',
    'TlsSettings',
)
