"""The client sessions that the clients of backend servers share."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.http_client import (
    BoundedConnection,
    BoundedConnector,
    make_session,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import ClientSession
    from aiohttp.http import RawResponseMessage

_KEEPALIVE_SECONDS: Final = 30
REQUEST_ID_HEADER: Final = 'X-Request-Id'


class _BackendConnection(BoundedConnection):
    """A connection that is not used after an answer that may be foreign."""

    def is_answer(self, message: RawResponseMessage) -> bool:
        """
        Return True, since the clients compare the ids.

        After a foreign answer, the one to the pending call may come where the
        next is due. An answer without an id is only accepted as the first of
        its connection: later, it could be a late copy of the one before.

        :raises HttpProcessingError: if an answer lacks its id.
        """
        if self.request_id is None:
            # The log and the host list are called without ids.
            return True
        response_id = message.headers.get(REQUEST_ID_HEADER)
        if response_id is None and self.is_reused:
            self.reject('Answer lacks its id.')
        if response_id != self.request_id:
            self.force_close()
        return True


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
        _BackendConnection,
        id_header=REQUEST_ID_HEADER,
        keepalive_timeout=_KEEPALIVE_SECONDS,
    )
    unpooled_connector = BoundedConnector(force_close=True)
    async with (
        make_session(pooled_connector) as pooled,
        make_session(unpooled_connector) as unpooled,
    ):
        yield ClientSessions(pooled, unpooled)


__all__ = ('REQUEST_ID_HEADER', 'ClientSessions', 'open_sessions')
