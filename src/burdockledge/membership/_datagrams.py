"""Datagram sockets for membership and replication traffic."""

from __future__ import annotations

import asyncio
import ipaddress
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import lru_cache
from typing import Final

from burdockledge.settings import MAX_PORT
from burdockledge.telemetry import make_logger

DatagramHandler = Callable[[bytes, str], None]

_log = make_logger('datagrams')

# Far more than the addresses that one host sends to.
_MAX_PARSED_ADDRESSES: Final = 4096


class DatagramSocket(ABC):
    """Sends and receives datagrams; addresses have the form ``IP:port``."""

    @abstractmethod
    async def open(self, handler: DatagramHandler) -> None:
        """Start to call the handler with each datagram and its source."""

    @abstractmethod
    def send(self, address: str, datagram: bytes) -> None:
        """Send a datagram without a guarantee of delivery."""

    @abstractmethod
    def close(self) -> None:
        """Stop receiving."""


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, handler: DatagramHandler) -> None:
        self._handler = handler

    def datagram_received(
        self,
        data: bytes,
        addr: tuple[str, int],
    ) -> None:
        self._handler(data, f'{addr[0]}:{addr[1]}')


class UdpSocket(DatagramSocket):
    """Sends and receives datagrams over UDP."""

    def __init__(self, listen_address: str) -> None:
        """Store the ``IP:port`` to bind to; ``open`` binds it."""
        self._listen_address = listen_address
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, handler: DatagramHandler) -> None:
        """Bind the socket and start to receive."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: _Protocol(handler),
            local_addr=_parse_address(self._listen_address),
        )
        self._transport = endpoint[0]

    def send(self, address: str, datagram: bytes) -> None:
        """
        Send a datagram.

        It is dropped while the socket is closed, and if the address is no IP
        address and port: the event loop would close the socket at such an
        address, or look up its name.
        """
        target = _parse_address(address)
        if self._transport is not None and target is not None:
            self._transport.sendto(datagram, target)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None


@lru_cache(maxsize=_MAX_PARSED_ADDRESSES)
def _parse_address(address: str) -> tuple[str, int] | None:
    """Return the IP address and the port; log an invalid address once."""
    host, _, port = address.rpartition(':')
    try:
        ip = ipaddress.ip_address(host.strip('[]'))
        is_valid = 0 <= int(port) <= MAX_PORT
    except ValueError:
        is_valid = False
    if is_valid:
        return str(ip), int(port)
    _log.warning('Address is left out.', address=address)
    return None


__all__ = ('DatagramSocket', 'DatagramHandler', 'UdpSocket')
