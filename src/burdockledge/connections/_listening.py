"""Listeners that accept a bounded number of connections at once."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Callable

# asyncio accepts as many connections in one turn as may wait, before any of
# them can be counted.
_ACCEPTED_PER_TURN: Final = 16


async def listen(
    make_protocol: Callable[[], Any],
    ip: str,
    port: int,
    backlog: int,
) -> asyncio.Server:
    """
    Listen on an address.

    :param backlog: the connections that may wait to be accepted.
    """
    family = socket.AF_INET6 if ':' in ip else socket.AF_INET
    listener = socket.create_server((ip, port), family=family)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        make_protocol, sock=listener, backlog=_ACCEPTED_PER_TURN
    )
    listener.listen(backlog)
    return server


__all__ = ('listen',)
