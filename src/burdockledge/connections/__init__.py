"""Bounds what all connections of callers together may take from a host."""

from burdockledge.connections._bodies import (
    Body,
    BodyFailure,
    receive_body,
)
from burdockledge.connections._guard import (
    ConnectionBudget,
    ConnectionGuard,
    GuardedTransport,
)
from burdockledge.connections._holdings import (
    CloseCause,
    HeldBytes,
    Holding,
    choose_closed,
)
from burdockledge.connections._limits import (
    CONNECTION_BYTES,
    MIN_HELD_BYTES,
    TLS_CONNECTION_BYTES,
    ConnectionLimits,
    derive_limits,
)
from burdockledge.connections._listening import listen
from burdockledge.connections._process_memory import (
    ProcessMemory,
    SystemMemory,
)
from burdockledge.connections._protocol import GuardedConnection
from burdockledge.connections._rooms import (
    CALL_BYTES,
    WAITING_BYTES,
    Room,
    RoomKeeper,
    RoomRefusal,
)
from burdockledge.connections._tls import GuardedTls

__all__ = (
    'CALL_BYTES',
    'CONNECTION_BYTES',
    'MIN_HELD_BYTES',
    'TLS_CONNECTION_BYTES',
    'WAITING_BYTES',
    'Body',
    'BodyFailure',
    'CloseCause',
    'ConnectionBudget',
    'ConnectionGuard',
    'ConnectionLimits',
    'GuardedConnection',
    'GuardedTransport',
    'GuardedTls',
    'HeldBytes',
    'Holding',
    'ProcessMemory',
    'Room',
    'RoomKeeper',
    'RoomRefusal',
    'SystemMemory',
    'choose_closed',
    'derive_limits',
    'listen',
    'receive_body',
)
