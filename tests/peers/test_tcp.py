"""Links between hosts: authenticated, and found when they fall silent."""

from __future__ import annotations

import asyncio

import pytest

from burdockledge.clock import SystemClock
from burdockledge.peers import LinkIdentity, PeerKeys, PeerKeysError, TcpPeerBus
from burdockledge.telemetry import TimeLine
from burdockledge.wire import Grant, Hello
from tests.gateway.running_host import free_port

KEY = 'a shared key of peers'
OTHER = 'another key of peers'


def make_bus(name: str, address: str, *keys: str) -> TcpPeerBus:
    """Return a bus that is not started."""
    identity = LinkIdentity(
        Hello(name, 1, b'', b''),
        PeerKeys(keys, None),
        None,
        0.5,
    )
    time_line = TimeLine(name, SystemClock(), 100)
    return TcpPeerBus(identity, address, None, time_line)


@pytest.mark.parametrize(
    ('sender_keys', 'receiver_keys', 'is_delivered'),
    [
        ((KEY,), (KEY,), True),
        ((KEY,), (OTHER, KEY), False),
        ((KEY, OTHER), (OTHER, KEY), True),
        ((OTHER,), (KEY,), False),
    ],
)
def test_only_peers_with_a_shared_key_are_heard(
    sender_keys: tuple[str, ...],
    receiver_keys: tuple[str, ...],
    is_delivered: bool,
) -> None:
    """During a rotation both sides hold both keys."""

    async def scenario() -> bool:
        address = f'127.0.0.1:{free_port()}'
        receiver = make_bus('b', address, *receiver_keys)
        sender = make_bus('a', f'127.0.0.1:{free_port()}', *sender_keys)
        sender.use_addresses({'b': address}.get)
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        receiver.subscribe(Grant, lambda *_: done.set_result(True))
        sender.subscribe_link_down(lambda *_: done.set_result(False))
        await receiver.start()
        await sender.start()
        sender.send('b', Grant(b'x' * 16, 's'))
        async with asyncio.timeout(10):
            delivered = await done
        await sender.stop()
        await receiver.stop()
        return delivered

    assert asyncio.run(scenario()) is is_delivered


def test_a_silent_peer_is_found() -> None:
    """A peer that takes bytes and never echoes ends the link."""

    async def scenario() -> None:
        async def swallow(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await reader.read()
            writer.close()

        server = await asyncio.start_server(swallow, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        sender = make_bus('a', f'127.0.0.1:{free_port()}', KEY)
        sender.use_addresses({'b': f'127.0.0.1:{port}'}.get)
        lost = asyncio.Event()
        sender.subscribe_link_down(lambda *_: lost.set())
        await sender.start()
        sender.send('b', Grant(b'x' * 16, 's'))
        async with asyncio.timeout(10):
            await lost.wait()
        await sender.stop()
        server.close()

    asyncio.run(scenario())


def test_keys_are_read_again(tmp_path) -> None:
    """A changed file changes the keys; a bad one is refused."""
    path = tmp_path / 'keys'
    path.write_text(f'{KEY.replace(" ", "-")}\n', 'utf-8')
    keys = PeerKeys((), path)
    proof = keys.sign(b'x')
    path.write_text(f'{OTHER.replace(" ", "-")}\n', 'utf-8')
    assert keys.reload()
    assert not keys.verify(proof, b'x')
    path.write_text('short\n', 'utf-8')
    with pytest.raises(PeerKeysError):
        keys.reload()
    assert keys.verify(keys.sign(b'x'), b'x')
