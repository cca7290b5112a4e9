"""Ports for the listeners of tests."""

from __future__ import annotations

import itertools
import os
import socket
from typing import Final

# Below the ports that the kernel gives to outgoing connections and to
# listeners that ask for any, so that these do not take one in between.
_FIRST_PORT: Final = 12_000
_PORTS_PER_WORKER: Final = 600
_MAX_WORKERS: Final = 32

_numbers = itertools.count(os.getpid())


def free_port() -> int:
    """Return a TCP and UDP port of loopback that this test process owns."""
    worker = os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw')
    first = _FIRST_PORT + int(worker) % _MAX_WORKERS * _PORTS_PER_WORKER
    for number in itertools.islice(_numbers, _PORTS_PER_WORKER):
        port = first + number % _PORTS_PER_WORKER
        if _can_bind(socket.SOCK_STREAM, port) and _can_bind(
            socket.SOCK_DGRAM, port
        ):
            return port
    raise OSError('no port is free')


def free_address() -> str:
    """Return a loopback address with such a port."""
    return f'127.0.0.1:{free_port()}'


def _can_bind(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(type=kind) as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
