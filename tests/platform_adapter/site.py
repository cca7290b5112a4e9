"""A front with one stand-in server, on loopback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from burdockledge.clock import SystemClock
from burdockledge.directory import Directory
from burdockledge.membership import MemberTable
from burdockledge.platform import Front, HttpServerClient
from burdockledge.relay import Placement, Relay, ServerInstance
from burdockledge.settings import RelayHostSettings
from burdockledge.telemetry import Metrics
from burdockledge.wire import MemberStatus, MemberUpdate
from tests.platform_adapter.standin import (
    Handler,
    StandInServer,
    answer,
    exchange,
)
from tests.relay.fakes import FakeRoutingState


class OneServer(FakeRoutingState):
    """Knows the stand-in server only, however often it was tried."""

    ref: ServerInstance

    def place(self, *_: object) -> Placement | None:
        """Choose the stand-in."""
        return Placement(1, self.ref, 0, 0, 0)


def free_address() -> str:
    """Return an address that nobody listens on."""
    with socket.socket() as found:
        found.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{found.getsockname()[1]}'


def settings() -> RelayHostSettings:
    """Return settings on free ports."""
    front, ready, directory, control, peer = (free_address() for _ in range(5))
    return RelayHostSettings(
        'own', 'dc', front, ready, directory, control, peer, 1, (), 'none:1',
        2, 2, 8, 0.2, 50, 10, 2,
    )  # fmt: skip


@dataclass
class Site:
    """A front, its relay and one stand-in server."""

    settings: RelayHostSettings
    server: StandInServer
    table: MemberTable
    front: Front

    async def ask(self, request: bytes, seconds: float = 0.7) -> bytes:
        """Send bytes to the callers' address."""
        return await exchange(self.settings.caller_address, request, seconds)


def with_site(
    handler: Handler, test: Callable[[Site], Awaitable[None]]
) -> None:
    """Run a test against a front and a stand-in server."""

    async def run() -> None:
        server = StandInServer(handler)
        await server.start()
        knowledge = OneServer()
        knowledge.ref = ServerInstance('s1', 1, 'book', server.address, 'dc', 6)
        client = HttpServerClient()
        used = settings()
        own = MemberUpdate(
            'own', used.peer_address, used.caller_address, 'dc', 1, 0,
            MemberStatus.alive,
        )  # fmt: skip
        table = MemberTable(own, 0)
        metrics = Metrics()
        relay = Relay(knowledge, client, SystemClock(), Random(1), metrics)
        front = Front(used, relay, Directory(table, Random(1)), metrics)
        await front.start()
        try:
            await test(Site(used, server, table, front))
        finally:
            await front.stop()
            await client.close()
            await server.stop()

    asyncio.run(run())


async def fine(
    head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer every request."""
    writer.write(answer(head))


def request(path: str = '/safe/x', extra: str = '', body: bytes = b'') -> bytes:
    """Return the bytes of a proper request."""
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: h',
        'Burdockledge-Request-Id: r1',
        'Burdockledge-Deadline-Ms: 1500',
        'Authorization: Token key',
        f'Content-Length: {len(body)}',
    )
    return ('\r\n'.join(lines) + f'\r\n{extra}\r\n').encode() + body
