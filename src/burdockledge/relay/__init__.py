"""Calls forwarded byte for byte, and their answers unchanged."""

from __future__ import annotations

from burdockledge.relay._budget import BudgetTerms, RetryBudget
from burdockledge.relay._events import EventCutter
from burdockledge.relay._host_knowledge import (
    CONFIGURATION_STREAM,
    SERVERS_STREAM,
    STREAMS,
    HostKnowledge,
    RecordDecoder,
)
from burdockledge.relay._knowledge import Knowledge, Placed
from burdockledge.relay._ports import (
    BrokenAnswerError,
    CallerPort,
    Headers,
    OutboundCall,
    SendFailure,
    ServerAnswer,
    ServerClient,
)
from burdockledge.relay._relay import Relay
from burdockledge.relay._routes import RouteIndex, RouteRefusal, pick_service
from burdockledge.relay._types import (
    CallerLimits,
    EngineShape,
    ForwardedCall,
    Prompt,
    PromptPart,
    Repeatability,
    Route,
    RoutingDocument,
    ServerInstance,
    ServiceShape,
    ServiceShare,
    Team,
)

__all__ = (
    'CONFIGURATION_STREAM',
    'SERVERS_STREAM',
    'STREAMS',
    'BrokenAnswerError',
    'BudgetTerms',
    'CallerLimits',
    'CallerPort',
    'EngineShape',
    'EventCutter',
    'ForwardedCall',
    'Headers',
    'HostKnowledge',
    'Knowledge',
    'OutboundCall',
    'Placed',
    'Prompt',
    'PromptPart',
    'RecordDecoder',
    'Relay',
    'Repeatability',
    'RetryBudget',
    'Route',
    'RouteIndex',
    'RouteRefusal',
    'RoutingDocument',
    'SendFailure',
    'ServerAnswer',
    'ServerClient',
    'ServerInstance',
    'ServiceShape',
    'ServiceShare',
    'Team',
    'pick_service',
)
