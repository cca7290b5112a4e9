"""Types of calls, routes, teams and servers."""

from __future__ import annotations

import enum
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class RouteKind(enum.Enum):
    """
    How the calls of a route may be retried.

    Calls of ``safe`` routes may run more than once, those of ``unsafe``
    routes may not. Calls of ``stream`` routes get event streams; they may
    run more than once if the route is resumable.
    """

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


class ResponseProgress(enum.Enum):
    """How much of a server's response to one send has arrived."""

    nothing = 'nothing'
    head = 'head'
    # A complete event of a stream, or another body as a whole.
    content = 'content'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight in the split of a route's calls."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """
    How calls with one HTTP host and path prefix are served.

    The prefix ends with a slash. ``timeout_seconds`` limits a whole call,
    ``latency_target_seconds`` is the latency that the route aims at, and
    ``pause_target_seconds`` the longest pause between events of a stream
    that is on time. Tier 0 is the highest priority. Public routes require
    no API key. A resumable stream can go on after its last event at another
    server.
    """

    name: str
    http_host: str
    path_prefix: str
    kind: RouteKind
    timeout_seconds: float
    latency_target_seconds: float
    max_attempts: int
    tier: int
    is_public: bool
    is_resumable: bool
    shares: tuple[ServiceShare, ...]
    pause_target_seconds: float | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether a call may run more than once."""
        if self.kind is RouteKind.stream:
            return self.is_resumable
        return self.kind is RouteKind.safe


@dataclass(frozen=True, slots=True)
class Team:
    """A customer; its tier, if any, takes precedence over the route's."""

    name: str
    tier: int | None


@dataclass(frozen=True, slots=True)
class EngineConfiguration:
    """The configuration of the model engines of a service."""

    cache_tokens: int


@dataclass(frozen=True, slots=True)
class AutoscaleConfiguration:
    """
    The bounds and prices within which servers of a service are ordered.

    ``min_servers`` and ``max_servers`` are for a data centre, spot and other
    servers together. ``prices`` are by data centre, for a server and second;
    ``spot_price`` is that of a spot server in relation, None if missing.
    """

    min_servers: int
    max_servers: int
    boot_seconds: float
    spot_price: float | None
    prices: dict[str, float]


@dataclass(frozen=True, slots=True)
class ServiceConfiguration:
    """
    The configuration of a service; a plain one has no ``engine``.

    Without ``autoscale``, no servers are ordered.
    """

    name: str
    engine: EngineConfiguration | None
    autoscale: AutoscaleConfiguration | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """
    Limits of the requests of callers.

    ``header_timeout_seconds`` limits the time until the headers are
    complete, ``idle_timeout_seconds`` the time between two parts of a body
    and between two requests on a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 3
    idle_timeout_seconds: float = 15


@dataclass(frozen=True, slots=True)
class RoutingDocument:
    """
    One version of the routing configuration.

    Without ``requires_api_key``, calls need no key on any route.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceConfiguration]
    teams_by_api_key: dict[str, Team]
    limits: CallerLimits
    requires_api_key: bool


# A tuple is built several times faster than a data class, and a host builds
# those of the calls of all hosts.
class PromptPart(NamedTuple):
    """A part of a prompt; parts with equal ids have the same text."""

    part_id: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The parts of a prompt in order, and its sizes in tokens."""

    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    max_output_tokens: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """All parts but the last, which belongs to this call alone."""
        return self.parts[:-1]


class CallBody:
    """
    The body of a call, which is kept as long as it may have to be sent.

    ``on_end`` is called once the body is kept no longer.
    """

    __slots__ = ('_content', '_is_needed', '_on_end', '_sends', 'size')

    def __init__(
        self,
        content: bytes | bytearray = b'',
        on_end: Callable[[], None] | None = None,
    ) -> None:
        """Keep the bytes of a body."""
        self.size = len(content)
        self._content = content
        self._on_end = on_end
        self._is_needed = True
        self._sends = 0

    @property
    def content(self) -> bytes | bytearray:
        """The bytes, none once the body was given up."""
        return self._content

    @property
    def is_kept(self) -> bool:
        """Whether the call can be sent once more."""
        return self._is_needed

    def give_up(self) -> None:
        """Keep the body only until it has been sent completely."""
        self._is_needed = False
        self._end_if_unused()

    @contextmanager
    def sending(self) -> Iterator[bytes | bytearray]:
        """Keep the body within the ``with`` block, and return its bytes."""
        self._sends += 1
        try:
            yield self._content
        finally:
            self._sends -= 1
            self._end_if_unused()

    def _end_if_unused(self) -> None:
        if self._is_needed or self._sends or not self._content:
            return
        self._content = b''
        if self._on_end is not None:
            self._on_end()


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """
    A call whose request was read completely.

    ``target`` is the path and query, ``http_host`` the Host header.
    ``caller_timeout_seconds`` is how long the caller waits, None if it set
    no limit. ``last_event_id`` is the id of the event after which the caller
    resumes a stream, if any.
    """

    request_id: str
    method: str
    target: str
    http_host: str
    headers: tuple[tuple[str, str], ...]
    body: CallBody
    api_key: str | None
    caller_timeout_seconds: float | None
    prompt: Prompt = field(default_factory=Prompt)
    last_event_id: str | None = None

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
    ``HOST:PORT``, ``slots`` how many calls the server runs at a time. The
    platform may reclaim a spot server at short notice.
    """

    server_id: str
    started_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    is_spot: bool = False
    instance_id: str = field(init=False)

    def __post_init__(self) -> None:
        """Format the id once, as each placement reads it for all instances."""
        object.__setattr__(
            self, 'instance_id', f'{self.server_id}/{self.started_ms}'
        )


__all__ = (
    'AutoscaleConfiguration',
    'CallBody',
    'CallerLimits',
    'EngineConfiguration',
    'ForwardedCall',
    'Prompt',
    'PromptPart',
    'ResponseProgress',
    'Route',
    'RouteKind',
    'RoutingDocument',
    'ServerInstance',
    'ServiceConfiguration',
    'ServiceShare',
    'Team',
)
