"""TLS on the connections of callers, with small buffers."""

from __future__ import annotations

import asyncio
import math
from asyncio.sslproto import SSLProtocol
from typing import TYPE_CHECKING, Any, Final

from burdockledge.connections._guard import GuardedTransport
from burdockledge.connections._holdings import CloseCause, HeldBytes

if TYPE_CHECKING:
    import ssl

    from burdockledge.connections._guard import ConnectionGuard

# The largest record of TLS.
_RECORD_BYTES: Final = 16 * 1024


class _Handshake(GuardedTransport):
    """A connection whose handshake is not complete."""

    is_idle = True
    room_bytes = 0

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport

    def holds_nothing(self) -> bool:
        """Return true: what it holds is counted by the connection."""
        return True

    def measure(self) -> HeldBytes:
        """Return nothing besides the connection."""
        return HeldBytes()

    def close_for(self, cause: CloseCause) -> None:
        """Reset the connection."""
        self._transport.abort()

    def parse_next(self) -> bool:
        """Return false: no request has begun."""
        return False


class GuardedTls(SSLProtocol):
    """
    TLS below a protocol, counted by a guard from the first byte on.

    The base class allocates 256 KiB for each connection, and counts none of
    them until the handshake is complete.
    """

    max_size = _RECORD_BYTES

    def __init__(
        self,
        protocol: asyncio.Protocol,
        tls: ssl.SSLContext,
        guard: ConnectionGuard,
        handshake_seconds: float,
    ) -> None:
        """Create the server side of a connection."""
        super().__init__(
            asyncio.get_running_loop(),
            protocol,
            tls,
            None,  # type: ignore[arg-type]
            server_side=True,
            ssl_handshake_timeout=math.ceil(handshake_seconds),
        )
        self._guard = guard
        self._handshake: _Handshake | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._handshake = _Handshake(transport)
        self._guard.add(self._handshake)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Count the connection no longer."""
        self._end_handshake()
        super().connection_lost(exc)

    def _on_handshake_complete(self, handshake_exc: Any) -> None:
        """Let the protocol of the connection be counted instead."""
        self._end_handshake()
        super()._on_handshake_complete(handshake_exc)

    def _end_handshake(self) -> None:
        if self._handshake is not None:
            self._guard.discard(self._handshake)
            self._handshake = None


__all__ = ('GuardedTls',)
