"""Derives the bounds over all connections from the limits of the process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

_MEBIBYTE: Final = 1024 * 1024
# A host with two services has 57 MiB in calm; the rest is for its knowledge.
CALM_BYTES: Final = 64 * _MEBIBYTE
# Buffers that grow, and the objects around them, take up to twice their bytes.
_MEMORY_SHARE: Final = 0.5
# Twice the largest body that the configuration allows by default: one such
# upload never meets the budget in calm.
MIN_HELD_BYTES: Final = 8 * _MEBIBYTE
# More would not serve ordinary callers, and the memory beside the calm figure
# has to stay under 120 MiB with large answers (16 MiB) and calls in flight.
MAX_HELD_BYTES: Final = 32 * _MEBIBYTE
# The protocol, parser, task and transport of an open connection.
CONNECTION_BYTES: Final = 12 * 1024
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

    ``held_bytes`` bounds what is unfinished or unread; ``connections`` those
    of callers. Other listeners may have ``SPARE_CONNECTIONS`` more.
    """

    held_bytes: int
    connections: int

    @property
    def large_answer_bytes(self) -> int:
        """
        What large answers together may hold until they are complete.

        An answer takes twice its bytes as it is completed.
        """
        return self.held_bytes // 2


def derive_limits(
    memory_bytes: int | None, max_descriptors: int | None
) -> ConnectionLimits:
    """
    Return the bounds for the limits of a process.

    :param memory_bytes: None if unknown.
    :param max_descriptors: None if unknown.
    """
    spare_bytes = (memory_bytes or _DEFAULT_MEMORY_BYTES) - CALM_BYTES
    held_bytes = int(spare_bytes * _MEMORY_SHARE)
    descriptors = max_descriptors or _DEFAULT_DESCRIPTORS
    connections = (
        descriptors - _RESERVED_DESCRIPTORS
    ) // _DESCRIPTORS_PER_CALLER - SPARE_CONNECTIONS
    return ConnectionLimits(
        min(MAX_HELD_BYTES, max(MIN_HELD_BYTES, held_bytes)),
        max(_MIN_CONNECTIONS, connections),
    )


__all__ = (
    'CONNECTION_BYTES',
    'SPARE_CONNECTIONS',
    'ConnectionLimits',
    'derive_limits',
)
