"""Strangers who send without an end to the address for peers."""

from __future__ import annotations

import asyncio

import pytest

from tests.peers.test_tcp import KEY, make_bus
from tests.ports import free_port

# A block before the proof of a key has 4 KiB; the rest is on the way in
# sockets and buffers.
MAX_TAKEN_BYTES = 16 * 1024 * 1024


@pytest.mark.parametrize(
    'piece',
    [
        b'\xff' * 65536,
        # The longest block that is read before a key is proven.
        b'\x00\x00\x10\x00' + b'z' * 4096,
        b'\x00\x00\x00\x00' * 16384,
    ],
)
def test_a_stranger_is_cut_off(piece: bytes) -> None:
    """Guards against memory that is filled without a key."""
    taken = 0

    async def flood(address: str) -> None:
        nonlocal taken
        ip, _, port = address.rpartition(':')
        _, writer = await asyncio.open_connection(ip, int(port))
        with pytest.raises(ConnectionError):
            while True:
                writer.write(piece)
                await writer.drain()
                taken += len(piece)
                await asyncio.sleep(0)

    async def run() -> None:
        address = f'127.0.0.1:{free_port()}'
        bus = make_bus('b', address, KEY)
        await bus.start()
        async with asyncio.timeout(3):
            await flood(address)
        await bus.stop()

    asyncio.run(run())
    assert taken < MAX_TAKEN_BYTES
