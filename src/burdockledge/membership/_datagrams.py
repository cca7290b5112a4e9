"""Datagram sockets for membership and replication traffic."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

DatagramHandler = Callable[[bytes, str], None]


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
            local_addr=_split_address(self._listen_address),
        )
        self._transport = endpoint[0]

    def send(self, address: str, datagram: bytes) -> None:
        """Send a datagram; drop it while the socket is closed."""
        if self._transport is not None:
            self._transport.sendto(datagram, _split_address(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None


def _split_address(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(':')
    return ip.strip('[]'), int(port)


__all__ = ('DatagramSocket', 'DatagramHandler', 'UdpSocket')
