"""Tests of links over TCP: authentication, heartbeats, reload of keys."""

from __future__ import annotations

import asyncio

import pytest

from burdockledge.clock import SystemClock
from burdockledge.peers import LinkConfig, PeerKeys, PeerKeysError, TcpPeerBus
from burdockledge.telemetry import TimeLine
from burdockledge.wire import Grant, Hello
from tests.ports import free_port

KEY = 'a shared key of peers'
OTHER_KEY = 'another key of peers'


def make_bus(name: str, address: str, *keys: str) -> TcpPeerBus:
    """Return a bus that is not started; its silence timeout is 0.5 s."""
    config = LinkConfig(
        Hello(name, 1, b'', b''),
        PeerKeys(keys, None),
        None,
        0.5,
    )
    time_line = TimeLine(name, SystemClock(), 100)
    return TcpPeerBus(config, address, None, time_line)


@pytest.mark.parametrize(
    ('sender_keys', 'receiver_keys', 'is_delivered'),
    [
        ((KEY,), (KEY,), True),
        ((KEY,), (OTHER_KEY, KEY), False),
        ((KEY, OTHER_KEY), (OTHER_KEY, KEY), True),
        ((OTHER_KEY,), (KEY,), False),
    ],
)
def test_delivery_requires_a_shared_key(
    sender_keys: tuple[str, ...],
    receiver_keys: tuple[str, ...],
    is_delivered: bool,
) -> None:
    """
    The receiver needs the first key of the sender, and the reverse.

    During a key rotation both sides have both keys, in any order.
    """

    async def scenario() -> bool:
        address = f'127.0.0.1:{free_port()}'
        receiver = make_bus('b', address, *receiver_keys)
        sender = make_bus('a', f'127.0.0.1:{free_port()}', *sender_keys)
        sender.set_address_lookup({'b': address}.get)
        is_received: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        receiver.subscribe(Grant, lambda *_: is_received.set_result(True))
        sender.subscribe_link_down(lambda *_: is_received.set_result(False))
        await receiver.start()
        await sender.start()
        sender.send('b', Grant(b'x' * 16, 's'))
        async with asyncio.timeout(10):
            delivered = await is_received
        await sender.stop()
        await receiver.stop()
        return delivered

    assert asyncio.run(scenario()) is is_delivered


def test_link_without_echoes_is_closed() -> None:
    """The link to a peer that never echoes a heartbeat is closed."""

    async def scenario() -> None:
        async def read_without_echo(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await reader.read()
            writer.close()

        server = await asyncio.start_server(read_without_echo, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        sender = make_bus('a', f'127.0.0.1:{free_port()}', KEY)
        sender.set_address_lookup({'b': f'127.0.0.1:{port}'}.get)
        link_down = asyncio.Event()
        sender.subscribe_link_down(lambda *_: link_down.set())
        await sender.start()
        sender.send('b', Grant(b'x' * 16, 's'))
        async with asyncio.timeout(10):
            await link_down.wait()
        await sender.stop()
        server.close()

    asyncio.run(scenario())


def test_keys_are_reloaded(tmp_path) -> None:
    """A changed file replaces the keys; a bad file leaves them in use."""
    path = tmp_path / 'keys'
    path.write_text(f'{KEY.replace(" ", "-")}\n', 'utf-8')
    keys = PeerKeys((), path)
    proof = keys.sign(b'x')
    path.write_text(f'{OTHER_KEY.replace(" ", "-")}\n', 'utf-8')
    assert keys.reload()
    assert not keys.verify(proof, b'x')
    path.write_text('short\n', 'utf-8')
    with pytest.raises(PeerKeysError):
        keys.reload()
    assert keys.verify(keys.sign(b'x'), b'x')
