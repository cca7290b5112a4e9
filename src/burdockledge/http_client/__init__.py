"""HTTP client connections and bodies that take a bounded number of bytes."""

from __future__ import annotations

from burdockledge.http_client._body import OversizedBodyError, read_body
from burdockledge.http_client._connection import (
    READ_BYTES,
    BoundedConnection,
    BoundedConnector,
)

__all__ = (
    'READ_BYTES',
    'BoundedConnection',
    'BoundedConnector',
    'OversizedBodyError',
    'read_body',
)
