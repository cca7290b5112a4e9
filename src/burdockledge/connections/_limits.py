"""Derives the bounds over all connections from the limits of the process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

_MEBIBYTE: Final = 1024 * 1024
# Assumed to be held in calm until that is known; a host with two services has
# 58 MiB, pages of files included.
CALM_BYTES: Final = 64 * _MEBIBYTE
# Of the memory beyond what is held in calm. The rest is for large answers, for
# what the host learns, and for memory between blocks in use.
_MEMORY_SHARE: Final = 0.5
# Twice the largest body that the configuration allows by default: one such
# upload never meets the budget in calm.
MIN_HELD_BYTES: Final = 8 * _MEBIBYTE
# Large answers may hold this part of the same amount besides.
_ANSWERS_DIVISOR: Final = 3
# Open connections may take this part of the bound by their mere number.
_CONNECTIONS_DIVISOR: Final = 2
# The protocol, parser, task and transport of an open connection.
CONNECTION_BYTES: Final = 12 * 1024
# The same with TLS: its keys, records and buffers.
TLS_CONNECTION_BYTES: Final = 80 * 1024
# What is read at once of a body that has room.
UPLOAD_READ_BYTES: Final = 64 * 1024
# Files, the store, other hosts and listeners.
_RESERVED_DESCRIPTORS: Final = 200
# A caller's call may need a connection to a server.
_DESCRIPTORS_PER_CALLER: Final = 2
# Assumed if the settings name no limits: the least of the customers' hosts.
_DEFAULT_MEMORY_BYTES: Final = 200 * _MEBIBYTE
_DEFAULT_DESCRIPTORS: Final = 4100
# Below this, a host could not serve the callers of one burst.
_MIN_CONNECTIONS: Final = 32
# Connections of operators and of the platform beyond those of callers, so that
# callers can not keep a host from reporting that it is ready.
SPARE_CONNECTIONS: Final = 16


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """
    Bounds over all connections.

    ``held_bytes`` bounds connections, requests, and responses that are not
    read; ``connections`` the connections of callers. Other listeners may have
    ``SPARE_CONNECTIONS`` more.
    """

    held_bytes: int
    connections: int

    @property
    def large_answer_bytes(self) -> int:
        """
        What large answers together may hold until they are complete.

        An answer takes twice its bytes as it is completed.
        """
        return self.held_bytes // _ANSWERS_DIVISOR


def derive_limits(
    memory_bytes: int | None,
    max_descriptors: int | None,
    calm_bytes: int = CALM_BYTES,
    connection_bytes: int = CONNECTION_BYTES,
) -> ConnectionLimits:
    """
    Return the bounds for the limits of a process.

    :param memory_bytes: None if unknown.
    :param max_descriptors: None if unknown.
    :param calm_bytes: what the process holds without callers.
    :param connection_bytes: what an open connection takes.
    """
    spare_bytes = (memory_bytes or _DEFAULT_MEMORY_BYTES) - calm_bytes
    held_bytes = max(MIN_HELD_BYTES, int(spare_bytes * _MEMORY_SHARE))
    descriptors = max_descriptors or _DEFAULT_DESCRIPTORS
    by_descriptors = (
        descriptors - _RESERVED_DESCRIPTORS
    ) // _DESCRIPTORS_PER_CALLER - SPARE_CONNECTIONS
    by_memory = held_bytes // _CONNECTIONS_DIVISOR // connection_bytes
    return ConnectionLimits(
        held_bytes, max(_MIN_CONNECTIONS, min(by_descriptors, by_memory))
    )


__all__ = (
    'CONNECTION_BYTES',
    'TLS_CONNECTION_BYTES',
    'UPLOAD_READ_BYTES',
    'SPARE_CONNECTIONS',
    'ConnectionLimits',
    'derive_limits',
)
