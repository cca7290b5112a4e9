"""The client sessions that the clients of backend servers share."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.http_client import BoundedConnector, make_session

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import ClientSession

_KEEPALIVE_SECONDS: Final = 30
REQUEST_ID_HEADER: Final = 'X-Request-Id'


@dataclass(frozen=True, slots=True)
class ClientSessions:
    """
    HTTP client sessions with and without connection reuse.

    ``pooled`` reuses a connection for requests with other ids;
    ``unpooled`` opens a new one for each request.
    """

    pooled: ClientSession
    unpooled: ClientSession


@contextlib.asynccontextmanager
async def open_sessions() -> AsyncIterator[ClientSessions]:
    """Open both sessions, and close them at the end of the block."""
    pooled_connector = BoundedConnector(
        id_header=REQUEST_ID_HEADER, keepalive_timeout=_KEEPALIVE_SECONDS
    )
    unpooled_connector = BoundedConnector(force_close=True)
    async with (
        make_session(pooled_connector) as pooled,
        make_session(unpooled_connector) as unpooled,
    ):
        yield ClientSessions(pooled, unpooled)


__all__ = ('REQUEST_ID_HEADER', 'ClientSessions', 'open_sessions')
