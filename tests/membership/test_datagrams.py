"""Tests of the UDP socket of membership and replication."""

from __future__ import annotations

import asyncio

import pytest

from burdockledge.membership import UdpSocket
from tests.ports import free_address


@pytest.mark.parametrize(
    'address',
    [
        '127.0.0.1:99999',
        '127.0.0.1:-1',
        '127.0.0.1:0',
        '127.0.0.1:' + '9' * 5000,
        '127.0.0.1:port',
        '999.0.0.1:7340',
        'host.example:7340',
        '[::1]:7340',
        ':7340',
        'nonsense',
        '',
    ],
)
def test_an_odd_address_does_not_close_the_socket(address: str) -> None:
    """Guards against a host that is cut off by one record of an address."""

    async def run() -> None:
        own_address = free_address()
        received: asyncio.Queue[bytes] = asyncio.Queue()
        udp = UdpSocket(own_address)
        await udp.open(lambda datagram, _: received.put_nowait(datagram))
        udp.send(address, b'lost')
        udp.send(own_address, b'sound')
        async with asyncio.timeout(5):
            assert await received.get() == b'sound'
        udp.close()

    asyncio.run(run())
