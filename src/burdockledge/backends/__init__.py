"""Clients for model engines and plain services."""

from __future__ import annotations

from burdockledge.backends._engine import (
    EndKind,
    EngineCall,
    EngineClient,
    StreamEnd,
    TokenChunk,
)
from burdockledge.backends._http_engine import HttpEngineClient
from burdockledge.backends._http_service import HttpServiceClient
from burdockledge.backends._service import (
    CallFailure,
    ServiceCall,
    ServiceClient,
    ServiceReply,
)
from burdockledge.backends._sessions import ClientSessions, open_sessions
from burdockledge.backends._sse import SseSplitter

__all__ = (
    'CallFailure',
    'ClientSessions',
    'EndKind',
    'EngineCall',
    'EngineClient',
    'HttpEngineClient',
    'HttpServiceClient',
    'ServiceCall',
    'ServiceClient',
    'ServiceReply',
    'SseSplitter',
    'StreamEnd',
    'TokenChunk',
    'open_sessions',
)
