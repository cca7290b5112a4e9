"""
Forwards calls to backend servers and their responses to the callers.

Bodies are forwarded byte for byte, and so are all but hop-by-hop headers.
"""

from __future__ import annotations

from burdockledge.relay._event_buffer import EventBuffer
from burdockledge.relay._ports import (
    CallerPort,
    Headers,
    IncompleteResponseError,
    OutboundCall,
    SendFailure,
    ServerClient,
    ServerResponse,
)
from burdockledge.relay._relay import Relay
from burdockledge.relay._replicated_state import (
    CONFIGURATION_STREAM,
    SERVERS_STREAM,
    STREAMS,
    RecordDecoder,
    ReplicatedRoutingState,
)
from burdockledge.relay._retry_budget import RetryBudget, RetryBudgetSettings
from burdockledge.relay._routes import RouteIndex, RouteRefusal, pick_service
from burdockledge.relay._routing_state import Placement, RoutingState
from burdockledge.relay._types import (
    CallerLimits,
    EngineConfiguration,
    ForwardedCall,
    Prompt,
    PromptPart,
    Route,
    RouteKind,
    RoutingDocument,
    ServerInstance,
    ServiceConfiguration,
    ServiceShare,
    Team,
)

__all__ = (
    'CONFIGURATION_STREAM',
    'SERVERS_STREAM',
    'STREAMS',
    'CallerLimits',
    'CallerPort',
    'EngineConfiguration',
    'EventBuffer',
    'ForwardedCall',
    'Headers',
    'IncompleteResponseError',
    'OutboundCall',
    'Placement',
    'Prompt',
    'PromptPart',
    'RecordDecoder',
    'Relay',
    'ReplicatedRoutingState',
    'RetryBudget',
    'RetryBudgetSettings',
    'Route',
    'RouteIndex',
    'RouteKind',
    'RouteRefusal',
    'RoutingDocument',
    'RoutingState',
    'SendFailure',
    'ServerClient',
    'ServerInstance',
    'ServerResponse',
    'ServiceConfiguration',
    'ServiceShare',
    'Team',
    'pick_service',
)
