"""Sockets of callers that read slowly."""

from __future__ import annotations

import contextlib
import socket
import time

# A small receive buffer, over a link of usual packets: the loopback's own are
# 64 KiB, for which the system would buffer megabytes.
_RECEIVE_BUFFER = 4096
_SEGMENT_BYTES = 1448
_MEASURED_SECONDS = 1.0


def open_socket() -> socket.socket:
    """Return a socket that is not connected."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
    caller.setblocking(False)
    return caller


def kernel_bytes(part_bytes: int = 64 * 1024) -> int:
    """
    Return what the system takes for a caller that does not read.

    :param part_bytes: how much is written to it at once.
    """
    listener = socket.socket()
    listener.bind(('127.0.0.2', 0))
    listener.listen()
    caller = open_socket()
    with contextlib.suppress(BlockingIOError):
        caller.connect(listener.getsockname())
    accepted, _ = listener.accept()
    accepted.setblocking(False)
    accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    time.sleep(0.1)
    caller.send(bytes(300))
    time.sleep(0.1)
    accepted.recv(1024)
    taken = 0
    ends_at = time.monotonic() + _MEASURED_SECONDS
    while time.monotonic() < ends_at:
        try:
            taken += accepted.send(bytes(part_bytes))
        except BlockingIOError:
            time.sleep(0.02)
    for one in (accepted, caller, listener):
        one.close()
    return taken
