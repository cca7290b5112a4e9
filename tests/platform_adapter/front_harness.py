"""Runs the listeners of a host and one stand-in server on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from burdockledge.calls import ServerInstance
from burdockledge.clock import SystemClock
from burdockledge.directory import Directory
from burdockledge.membership import MemberTable
from burdockledge.peers import PeerKeys
from burdockledge.platform import (
    Front,
    HttpServerClient,
    PartEndpoint,
    PlaceEndpoint,
)
from burdockledge.relay import GuardedPart, PartOperations, Placement, Relay
from burdockledge.settings import RelayHostSettings
from burdockledge.telemetry import Metrics
from burdockledge.wire import MemberStatus, MemberUpdate
from tests.platform_adapter.standin_server import (
    Handler,
    StandInServer,
    response_bytes,
    send_and_receive,
)
from tests.ports import free_address
from tests.relay.fakes import FakeRoutingState

PEER_KEYS = PeerKeys(('a key of sixteen characters',), None)


class FakePartOperations(PartOperations):
    """Knows one blocked part."""

    def guarded_parts(self) -> list[GuardedPart]:
        """Return the blocked part."""
        return [GuardedPart('model', 'bad', 'blocked', 2, 1.5)]

    def release(self, service: str, part_id: int) -> bool:
        """Release the blocked part only."""
        return (service, part_id) == ('model', 0xBAD)


class SingleServerRoutingState(FakeRoutingState):
    """Always places calls on the stand-in server, even if it was tried."""

    instance: ServerInstance

    def place(self, *_: object) -> Placement | None:
        """Choose the stand-in server."""
        return Placement(1, self.instance, 0, 0, 0)


def make_settings() -> RelayHostSettings:
    """Return host settings with unused ports."""
    caller, readiness, directory, control, peer = (
        free_address() for _ in range(5)
    )
    return RelayHostSettings(
        'own', 'dc', caller, readiness, directory, control, peer, 1, (),
        'none:1', 2, 2, 8, 0.2, 50, 10, 2,
    )  # fmt: skip


@dataclass
class FrontHarness:
    """A host's listeners, member table and metrics, and one stand-in server."""

    settings: RelayHostSettings
    server: StandInServer
    member_table: MemberTable
    front: Front
    metrics: Metrics

    async def send(self, request: bytes, timeout_seconds: float = 0.7) -> bytes:
        """Send bytes to the callers' address and return the response bytes."""
        return await send_and_receive(
            self.settings.caller_address, request, timeout_seconds
        )


def run_with_front(
    handler: Handler,
    test: Callable[[FrontHarness], Awaitable[None]],
    retries: int = 10,
    *,
    reads_bodies: bool = True,
    placements: PlaceEndpoint | None = None,
) -> None:
    """
    Run a test against a running front and a stand-in server.

    :param handler: responds to the requests that reach the server.
    :param retries: how many retries the budget of the service has.
    :param reads_bodies: whether the server reads each body before it responds.
    :param placements: answers where calls would go, None for no endpoint.
    """

    async def run() -> None:
        server = StandInServer(handler, reads_bodies=reads_bodies)
        await server.start()
        routing_state = SingleServerRoutingState(retries_left=retries)
        routing_state.instance = ServerInstance(
            's1', 1, 'book', server.address, 'dc', 6
        )
        client = HttpServerClient()
        settings = make_settings()
        own_member = MemberUpdate(
            'own', settings.peer_address, settings.caller_address, 'dc', 1, 0,
            MemberStatus.alive,
        )  # fmt: skip
        member_table = MemberTable(own_member, 0)
        metrics = Metrics()
        relay = Relay(routing_state, client, SystemClock(), Random(1), metrics)
        front = Front(
            settings,
            relay,
            Directory(member_table, Random(1)),
            metrics,
            PartEndpoint(FakePartOperations(), PEER_KEYS),
            placements,
        )
        await front.start()
        try:
            await test(
                FrontHarness(settings, server, member_table, front, metrics)
            )
        finally:
            await front.stop()
            await client.close()
            await server.stop()

    asyncio.run(run())


async def respond_ok(
    head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Respond to the request with status 200."""
    writer.write(response_bytes(head))


def request_bytes(
    path: str = '/safe/x', extra: str = '', body: bytes = b''
) -> bytes:
    """
    Return the bytes of a valid request.

    :param extra: more header lines, each with its CRLF.
    """
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: h',
        'Burdockledge-Request-Id: r1',
        'Burdockledge-Deadline-Ms: 1500',
        'Authorization: Token key',
        f'Content-Length: {len(body)}',
    )
    return ('\r\n'.join(lines) + f'\r\n{extra}\r\n').encode() + body
