"""Finds the route, the team and the service of a call."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from result import Err, Ok, Result

if TYPE_CHECKING:
    from random import Random

    from burdockledge.relay._types import (
        ForwardedCall,
        Route,
        RoutingDocument,
        Team,
    )


class RouteRefusal(enum.Enum):
    """Why a call has no route that it may use."""

    no_route = 'no route serves this host and path'
    unknown_key = 'the key is not known'


class RouteIndex:
    """Looks calls up in one version of the routing document."""

    def __init__(self, document: RoutingDocument) -> None:
        """Index the routes by host and prefix."""
        self.document = document
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            prefixes = self._by_host.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def admit(
        self, call: ForwardedCall
    ) -> Result[tuple[Route, Team | None], RouteRefusal]:
        """Return the route and the team of a call, or why it has none."""
        route = self.match(call.host, call.path)
        if route is None:
            return Err(RouteRefusal.no_route)
        team = self._team_of(call)
        if team is None and self.document.requires_key and not route.is_public:
            return Err(RouteRefusal.unknown_key)
        return Ok((route, team))

    def _team_of(self, call: ForwardedCall) -> Team | None:
        if call.key is None:
            return None
        return self.document.teams_by_key.get(call.key)


def pick_service(route: Route, random: Random) -> str:
    """Pick a service by the weights of the route's split."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0].service


__all__ = ('RouteIndex', 'RouteRefusal', 'pick_service')
