"""
Chooses the leader host of each backend server by rendezvous hashing.

Hosts with the same member list choose the same leader without a message.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockledge.hashing import rank

if TYPE_CHECKING:
    from burdockledge.configuration import BackendServer
    from burdockledge.wire import MemberUpdate


def leader_host(
    server_name: str,
    server: BackendServer,
    members: list[MemberUpdate],
) -> str | None:
    """
    Return the leader host of a backend server, or None without members.

    Hosts of the server's own data centre are preferred to all others.
    """
    local_hosts = [
        member.host
        for member in members
        if member.data_centre == server.data_centre
    ]
    hosts = local_hosts or [member.host for member in members]
    return rank(server_name, hosts)[0] if hosts else None


__all__ = ('leader_host',)
