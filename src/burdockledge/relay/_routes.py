"""Finds the route, the team and the service of a call."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from result import Err, Ok, Result

if TYPE_CHECKING:
    from random import Random

    from burdockledge.calls import (
        ForwardedCall,
        Route,
        RoutingDocument,
        Team,
    )


class RouteRefusal(enum.Enum):
    """Why a call is not admitted."""

    no_route = 'no route serves this host and path'
    unknown_key = 'the key is not known'


class RouteIndex:
    """Finds the routes of calls in one version of the routing document."""

    def __init__(self, document: RoutingDocument) -> None:
        """Index the routes of a document by HTTP host and path prefix."""
        self.document = document
        self._routes_by_http_host: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            routes_by_prefix = self._routes_by_http_host.setdefault(
                route.http_host, {}
            )
            routes_by_prefix[route.path_prefix] = route

    def match(self, http_host: str, path: str) -> Route | None:
        """
        Return the route with the longest prefix of the path, None if none.

        :param http_host: the Host header. If no route has it as given, it
            is looked up in lower case and without the port.
        """
        routes_by_prefix = self._routes_by_http_host.get(http_host)
        if routes_by_prefix is None:
            routes_by_prefix = self._routes_by_http_host.get(
                http_host.partition(':')[0].lower()
            )
        if routes_by_prefix is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def admit(
        self, call: ForwardedCall
    ) -> Result[tuple[Route, Team | None], RouteRefusal]:
        """
        Return the route of a call and the team of its API key.

        The team is None for a call without a known key, which is admitted
        to public routes, or where the document requires no key.
        """
        route = self.match(call.http_host, call.path)
        if route is None:
            return Err(RouteRefusal.no_route)
        team = self._team_of(call)
        if (
            team is None
            and self.document.requires_api_key
            and not route.is_public
        ):
            return Err(RouteRefusal.unknown_key)
        return Ok((route, team))

    def _team_of(self, call: ForwardedCall) -> Team | None:
        if call.api_key is None:
            return None
        return self.document.teams_by_api_key.get(call.api_key)


def pick_service(route: Route, random: Random) -> str:
    """Pick a service at random by the weights of the route's shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0].service


__all__ = ('RouteIndex', 'RouteRefusal', 'pick_service')
