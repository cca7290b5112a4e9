"""
Forwards calls to backend servers and their responses to the callers.

Bodies are forwarded byte for byte, and so are all but hop-by-hop headers.
"""

from __future__ import annotations

from burdockledge.relay._answer_memory import MAX_LARGE_BYTES, MAX_SMALL_BYTES
from burdockledge.relay._cut_cause import CutCause
from burdockledge.relay._event_buffer import EventBuffer
from burdockledge.relay._part_guard import GuardedPart, PartOperations
from burdockledge.relay._placement_probe import (
    ExcludedServer,
    PlacementProbe,
    ProbeAnswer,
    ProbeOutcome,
    ProbeQuestion,
)
from burdockledge.relay._ports import (
    CallerPort,
    Headers,
    IncompleteResponseError,
    OutboundCall,
    OversizedResponseError,
    SendFailure,
    ServerClient,
    ServerResponse,
    StalledResponseError,
)
from burdockledge.relay._record_decoder import RecordDecoder
from burdockledge.relay._relay import Relay
from burdockledge.relay._replicated_state import (
    CONFIGURATION_STREAM,
    SERVERS_STREAM,
    STREAMS,
    ReplicatedRoutingState,
)
from burdockledge.relay._retry_budget import RetryBudget, RetryBudgetSettings
from burdockledge.relay._routes import RouteIndex, RouteRefusal, pick_service
from burdockledge.relay._routing_state import (
    Placement,
    RoutingState,
    SendOutcome,
)
from burdockledge.relay._server_gate import Obstacle, Selection, ServerGate

__all__ = (
    'CONFIGURATION_STREAM',
    'MAX_LARGE_BYTES',
    'MAX_SMALL_BYTES',
    'SERVERS_STREAM',
    'STREAMS',
    'CallerPort',
    'CutCause',
    'EventBuffer',
    'ExcludedServer',
    'GuardedPart',
    'Headers',
    'IncompleteResponseError',
    'Obstacle',
    'OutboundCall',
    'OversizedResponseError',
    'PartOperations',
    'Placement',
    'PlacementProbe',
    'ProbeAnswer',
    'ProbeOutcome',
    'ProbeQuestion',
    'RecordDecoder',
    'Relay',
    'ReplicatedRoutingState',
    'RetryBudget',
    'RetryBudgetSettings',
    'RouteIndex',
    'RouteRefusal',
    'RoutingState',
    'SendFailure',
    'SendOutcome',
    'Selection',
    'ServerClient',
    'ServerGate',
    'ServerResponse',
    'StalledResponseError',
    'pick_service',
)
