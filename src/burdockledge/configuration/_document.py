"""The configuration document, validated as a whole after each patch."""

import enum
import hashlib
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

Name = Annotated[str, Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$')]
KeyHash = Annotated[str, Field(pattern=r'^sha256:[0-9a-f]{64}$')]


def hash_key(key: str) -> str:
    """Return the hash under which the configuration holds an API key."""
    return f'sha256:{hashlib.sha256(key.encode()).hexdigest()}'


class _DocumentModel(BaseModel):
    model_config = ConfigDict(frozen=True, extra='forbid')


class BackendKind(enum.Enum):
    """The kind of a backend server."""

    engine = 'engine'
    service = 'service'


class BackendState(enum.Enum):
    """The administrative state of a backend server."""

    active = 'active'
    leaving = 'leaving'


class Operator(_DocumentModel):
    """An operator, who may patch the configuration."""

    key_hashes: tuple[KeyHash, ...] = Field(
        min_length=1,
        description='SHA-256 hashes of the operator keys',
    )


class Team(_DocumentModel):
    """A team, which is served in proportion to its weight."""

    key_hashes: tuple[KeyHash, ...] = Field(
        min_length=1,
        description='SHA-256 hashes of the team keys',
    )
    classes: tuple[Name, ...] = Field(
        min_length=1,
        description='classes that the team may use; the first is its default',
    )
    weight: float = Field(
        default=1,
        gt=0,
        le=1000,
        description='share of service against other teams of the same tier',
    )
    max_in_flight: int = Field(
        default=0,
        ge=0,
        description='maximum concurrent requests per entry host; 0: no limit',
    )


class RequestClass(_DocumentModel):
    """A class of requests with its priority tier and latency targets."""

    tier: int = Field(
        ge=0,
        le=15,
        description='0 is served first; lower tiers never displace higher ones',
    )
    first_token_ms: int = Field(
        gt=0,
        description='target for the first token in milliseconds',
    )
    between_tokens_ms: int = Field(
        default=1000,
        gt=0,
        description='target between two tokens in milliseconds',
    )
    total_ms: int = Field(
        default=600_000,
        gt=0,
        description='time limit for a complete response in milliseconds',
    )
    guaranteed_share: float = Field(
        default=0.05,
        ge=0.01,
        le=0.5,
        description='share of freed slots kept for the tier while it waits',
    )
    servers: tuple[Name, ...] = Field(
        min_length=1,
        description='backend servers that the class may reach',
    )
    max_output_tokens: int = Field(
        default=4096,
        gt=0,
        description='maximum number of tokens of a response',
    )


class BackendServer(_DocumentModel):
    """A model engine or a plain service."""

    kind: BackendKind
    url: str = Field(
        pattern=r'^https?://[0-9a-zA-Z.\[\]:-]+$',
        description='base URL',
    )
    data_centre: str = Field(min_length=1, max_length=64)
    models: tuple[str, ...] = Field(
        default=(),
        description='models that an engine serves',
    )
    service: Name | None = Field(
        default=None,
        description='name of a plain service under /v1/services',
    )
    slots: int = Field(
        default=8,
        gt=0,
        le=4096,
        description='requests that the server handles concurrently',
    )
    state: BackendState = BackendState.active

    @model_validator(mode='after')
    def _check_kind(self) -> Self:
        if self.kind is BackendKind.engine and not self.models:
            raise ValueError('models: an engine serves at least one')
        if self.kind is BackendKind.service and self.service is None:
            raise ValueError('service: a plain service has a name')
        return self


class Policy(_DocumentModel):
    """How the entry hosts place and retry requests."""

    offers: int = Field(
        default=2,
        ge=1,
        le=8,
        description='server schedulers that a request is offered to at once',
    )
    retry_ratio: float = Field(
        default=0.1,
        ge=0,
        le=1,
        description='retries allowed per success, for each class',
    )
    hedge_ratio: float = Field(
        default=0.03,
        ge=0,
        le=0.05,
        description='hedged requests allowed per success, for each class',
    )
    queue_limit: int = Field(
        default=100_000,
        ge=1,
        description='maximum number of offers waiting at one server scheduler',
    )


class Document(_DocumentModel):
    """The whole configuration."""

    operators: dict[Name, Operator] = Field(default_factory=dict)
    teams: dict[Name, Team] = Field(default_factory=dict)
    classes: dict[Name, RequestClass] = Field(default_factory=dict)
    servers: dict[Name, BackendServer] = Field(default_factory=dict)
    policy: Policy = Field(default_factory=Policy)

    @model_validator(mode='after')
    def _check_references(self) -> Self:
        for team_name, team in self.teams.items():
            unknown = set(team.classes) - self.classes.keys()
            if unknown:
                raise ValueError(
                    f'teams.{team_name}.classes: no class {min(unknown)!r}',
                )
        for class_name, request_class in self.classes.items():
            unknown = set(request_class.servers) - self.servers.keys()
            if unknown:
                raise ValueError(
                    f'classes.{class_name}.servers: no server {min(unknown)!r}',
                )
        return self

    @model_validator(mode='after')
    def _check_keys(self) -> Self:
        owners: dict[str, str] = {}
        for name, team in self.teams.items():
            for key_hash in team.key_hashes:
                if owners.setdefault(key_hash, name) != name:
                    raise ValueError(
                        f'teams.{name}.key_hashes: a key belongs to '
                        f'{owners[key_hash]!r} already',
                    )
        return self


__all__ = (
    'BackendKind',
    'BackendServer',
    'BackendState',
    'Document',
    'KeyHash',
    'Operator',
    'Policy',
    'RequestClass',
    'Team',
    'hash_key',
)
