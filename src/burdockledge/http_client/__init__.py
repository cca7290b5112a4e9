"""HTTP client connections and bodies that take a bounded number of bytes."""

from __future__ import annotations

from burdockledge.http_client._body import OversizedBodyError, read_body
from burdockledge.http_client._connection import (
    READ_BYTES,
    BoundedConnection,
    BoundedConnector,
)
from burdockledge.http_client._session import make_session

__all__ = (
    'READ_BYTES',
    'BoundedConnection',
    'BoundedConnector',
    'OversizedBodyError',
    'make_session',
    'read_body',
)
