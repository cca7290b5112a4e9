"""Tests of the membership service during network partitions."""

from __future__ import annotations

import asyncio
from random import Random

from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.fakes import FakeDatagramSocket, FakeNetwork
from burdockledge.membership import Membership
from burdockledge.peers import PeerKeys
from burdockledge.telemetry import TimeLine
from burdockledge.wire import MemberStatus, MemberUpdate

KEYS = PeerKeys(('a key of sixteen characters',), None)


def test_partitioned_hosts_rejoin() -> None:
    """
    A partitioned host and the others see each other alive after it ends.

    During the partition both sides consider each other dead. Dead hosts are
    not probed, so without pings to lost addresses they would stay apart.
    """
    loop = VirtualTimeLoop()
    network = FakeNetwork()
    host_names = ('h0', 'h1', 'h2', 'h3')
    services: dict[str, Membership] = {}
    for host_name in host_names:
        clock = VirtualClock(loop)
        own = MemberUpdate(
            host_name, host_name, 'u', 'dc', 1, 0, MemberStatus.alive
        )
        services[host_name] = Membership(
            own, ('h0',), FakeDatagramSocket(network, host_name), KEYS, clock,
            Random(host_name), TimeLine(host_name, clock, 100),
        )  # fmt: skip

    def alive_hosts(host_name: str) -> set[str]:
        return {
            update.host
            for update in services[host_name].table.alive_or_suspect()
            if update.status == MemberStatus.alive
        }

    async def scenario() -> None:
        for host_name, service in services.items():
            context = network.context(host_name)
            await loop.create_task(service.start(), context=context)
        await asyncio.sleep(5)
        assert all(
            alive_hosts(host_name) == set(host_names)
            for host_name in host_names
        )
        for other in host_names[:3]:
            network.block('h3', other)
            network.block(other, 'h3')
        await asyncio.sleep(8)
        assert alive_hosts('h0') == {'h0', 'h1', 'h2'}
        assert alive_hosts('h3') == {'h3'}
        network.heal()
        await asyncio.sleep(4)
        assert all(
            alive_hosts(host_name) == set(host_names)
            for host_name in host_names
        )

    try:
        loop.run_until_complete(scenario())
    finally:
        loop.shut_down()
