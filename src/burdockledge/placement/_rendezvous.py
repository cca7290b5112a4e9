"""Picks the host that leads a backend server, without agreement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockledge.hashing import rank

if TYPE_CHECKING:
    from burdockledge.configuration import BackendServer
    from burdockledge.wire import MemberUpdate


def lead_of(
    server_name: str,
    server: BackendServer,
    members: list[MemberUpdate],
) -> str | None:
    """
    Return the host that leads a backend server.

    Hosts of the server's own data centre go first, then any.
    """
    local = [
        member.host
        for member in members
        if member.data_centre == server.data_centre
    ]
    hosts = local or [member.host for member in members]
    return rank(server_name, hosts)[0] if hosts else None


__all__ = ('lead_of',)
