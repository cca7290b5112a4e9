"""Group membership of the entry hosts: failure detection and gossip."""

from __future__ import annotations

from burdockledge.membership._datagrams import (
    DatagramHandler,
    DatagramSocket,
    UdpSocket,
)
from burdockledge.membership._service import Membership
from burdockledge.membership._table import (
    DEAD_RETENTION_SECONDS,
    SUSPICION_TIMEOUT_SECONDS,
    MemberTable,
)

__all__ = (
    'DatagramHandler',
    'DEAD_RETENTION_SECONDS',
    'SUSPICION_TIMEOUT_SECONDS',
    'DatagramSocket',
    'MemberTable',
    'Membership',
    'UdpSocket',
)
