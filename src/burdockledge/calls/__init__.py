"""Types of calls, routes, teams and servers, which every package may use."""

from __future__ import annotations

from burdockledge.calls._types import (
    AutoscaleConfiguration,
    CallBody,
    CallerLimits,
    EngineConfiguration,
    ForwardedCall,
    Prompt,
    PromptPart,
    ResponseProgress,
    Route,
    RouteKind,
    RoutingDocument,
    ServerInstance,
    ServiceConfiguration,
    ServiceShare,
    Team,
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
