"""Bounds what all connections of callers together may take from a host."""

from burdockledge.connections._bodies import (
    Body,
    BodyFailure,
    receive_body,
)
from burdockledge.connections._guard import ConnectionGuard, GuardedTransport
from burdockledge.connections._holdings import (
    CloseCause,
    HeldBytes,
    Holding,
    choose_closed,
)
from burdockledge.connections._limits import ConnectionLimits, derive_limits
from burdockledge.connections._listening import listen
from burdockledge.connections._protocol import GuardedConnection
from burdockledge.connections._rooms import (
    CALL_BYTES,
    Room,
    RoomKeeper,
    RoomRefusal,
)

__all__ = (
    'CALL_BYTES',
    'Body',
    'BodyFailure',
    'CloseCause',
    'ConnectionGuard',
    'ConnectionLimits',
    'GuardedConnection',
    'GuardedTransport',
    'HeldBytes',
    'Holding',
    'Room',
    'RoomKeeper',
    'RoomRefusal',
    'choose_closed',
    'derive_limits',
    'listen',
    'receive_body',
)
