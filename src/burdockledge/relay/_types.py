"""Domain types of calls that are forwarded byte for byte."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Repeatability(enum.Enum):
    """What may be repeated on a route."""

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and the weight of its share of a route's calls."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Calls of one host and path prefix, and how they are served."""

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    timeout_seconds: float
    target_seconds: float
    max_attempts: int
    tier: int
    is_public: bool
    is_resumable: bool
    shares: tuple[ServiceShare, ...]
    pause_seconds: float | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether a call may run more than once."""
        if self.repeatability is Repeatability.stream:
            return self.is_resumable
        return self.repeatability is Repeatability.safe


@dataclass(frozen=True, slots=True)
class Team:
    """A team; its tier, if it has one, goes before the route's."""

    name: str
    tier: int | None


@dataclass(frozen=True, slots=True)
class EngineShape:
    """What is configured of the model engines of a service."""

    cache_tokens: int


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """A service; ``engine`` is None where it runs no model."""

    name: str
    engine: EngineShape | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3
    idle_seconds: float = 15


@dataclass(frozen=True, slots=True)
class RoutingDocument:
    """One version of the configuration that routes calls."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceShape]
    teams_by_key: dict[str, Team]
    limits: CallerLimits
    requires_key: bool


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that calls may share, by its id."""

    part: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The parts of a prompt in order, and the sizes in tokens."""

    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    output_limit: int = 0


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """A call as the caller sent it, read completely."""

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str | None
    patience_seconds: float | None
    prompt: Prompt = field(default_factory=Prompt)
    last_event: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


@dataclass(frozen=True, slots=True)
class ServerInstance:
    """
    One run of a backend server's process, from its start to its end.

    ``server_id`` is kept over restarts; ``started_ms`` is the start in Unix
    milliseconds, and ``instance_id`` joins the two. ``address`` is
    ``HOST:PORT``, ``slots`` how many calls the server runs at a time.
    """

    server_id: str
    started_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    instance_id: str = field(init=False)

    def __post_init__(self) -> None:
        """Format the id once, as each placement reads it for all instances."""
        object.__setattr__(
            self, 'instance_id', f'{self.server_id}/{self.started_ms}'
        )


__all__ = (
    'CallerLimits',
    'EngineShape',
    'ForwardedCall',
    'Prompt',
    'PromptPart',
    'Repeatability',
    'Route',
    'RoutingDocument',
    'ServerInstance',
    'ServiceShape',
    'ServiceShare',
    'Team',
)
