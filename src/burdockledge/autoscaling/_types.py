"""What the planner is told of a service, and what it plans."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burdockledge.calls import AutoscaleConfiguration


class ServerKind(enum.Enum):
    """A kind of server: spot servers are cheap, and may be reclaimed."""

    normal = 'normal'
    spot = 'spot'


class Pool(NamedTuple):
    """The servers of one kind in a data centre."""

    data_centre: str
    kind: ServerKind


@dataclass(frozen=True, slots=True)
class Demand:
    """
    The servers that a service needs, each fully used.

    ``mean`` is that of the last 20 s, ``urgent`` the part of urgent calls in
    it, ``peak`` the busiest time of the last minute, ``latest`` the last
    second, and ``running`` the calls that run now over the slots of a server.
    ``traffic_seconds`` is the time since the first call, None before it.
    """

    mean: float = 0.0
    urgent: float = 0.0
    peak: float = 0.0
    latest: float = 0.0
    running: float = 0.0
    traffic_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class ServiceView:
    """
    A service whose servers are ordered, as this host knows it.

    ``ready`` counts the registered servers that do not drain.
    ``is_current`` tells whether the registrations are recent enough to remove
    servers by.
    """

    service: str
    autoscale: AutoscaleConfiguration
    ready: Mapping[Pool, int]
    demand: Demand
    is_current: bool = True


@dataclass(frozen=True, slots=True)
class PoolState:
    """
    The registered and the ordered servers of a pool.

    ``at_most`` is the largest count that may be in force at the platform.
    ``is_blocked``: the platform has none at the moment.
    """

    ready: int = 0
    ordered: int = 0
    at_most: int = 0
    is_blocked: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """
    What a service should have, and which counts to order now.

    ``sizes`` are the planned servers by data centre, of both kinds together.
    """

    wanted: Mapping[Pool, int]
    counts: Mapping[Pool, int]
    sizes: Mapping[str, int]
    reason: str


class Fleet(ABC):
    """The services whose servers are ordered."""

    @abstractmethod
    def views(self, now: float) -> list[ServiceView]:
        """Return the services with a configuration of orders."""


__all__ = (
    'Demand',
    'Fleet',
    'Plan',
    'Pool',
    'PoolState',
    'ServerKind',
    'ServiceView',
)
