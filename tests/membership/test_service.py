"""Hosts that lose each other and meet again; virtual time."""

from __future__ import annotations

import asyncio
from random import Random

from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.fakes import FakeNetwork, FakePort
from burdockledge.membership import Membership
from burdockledge.peers import PeerKeys
from burdockledge.telemetry import TimeLine
from burdockledge.wire import MemberStatus, MemberUpdate

KEYS = PeerKeys(('a key of sixteen characters',), None)


def test_hosts_meet_again_after_a_cut() -> None:
    """A host that was held dead by all, and held all dead, is alive soon."""
    loop = VirtualTimeLoop()
    network = FakeNetwork()
    names = ('h0', 'h1', 'h2', 'h3')
    members: dict[str, Membership] = {}
    for name in names:
        clock = VirtualClock(loop)
        own = MemberUpdate(name, name, 'u', 'dc', 1, 0, MemberStatus.alive)
        members[name] = Membership(
            own, ('h0',), FakePort(network, name), KEYS, clock, Random(name),
            TimeLine(name, clock, 100),
        )  # fmt: skip

    def alive(name: str) -> set[str]:
        return {
            update.host
            for update in members[name].table.usable()
            if update.status == MemberStatus.alive
        }

    async def script() -> None:
        for name, member in members.items():
            context = network.context(name)
            await loop.create_task(member.start(), context=context)
        await asyncio.sleep(5)
        assert all(alive(name) == set(names) for name in names)
        for other in names[:3]:
            network.cut('h3', other)
            network.cut(other, 'h3')
        await asyncio.sleep(8)
        assert alive('h0') == {'h0', 'h1', 'h2'}
        assert alive('h3') == {'h3'}
        network.heal()
        await asyncio.sleep(4)
        assert all(alive(name) == set(names) for name in names)

    try:
        loop.run_until_complete(script())
    finally:
        loop.shut_down()
