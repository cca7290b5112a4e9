"""What a host keeps of peers that are gone."""

from __future__ import annotations

import asyncio
from unittest import mock

import aiohttp

from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.host import RelayHost
from burdockledge.peers import PeerKeys
from burdockledge.wire import MemberStatus, MemberUpdate, Probe, ProbeKind
from tests.host_churn import container_sizes
from tests.platform_adapter.front_harness import make_settings

PEERS = 2000
# Longer than dead hosts are remembered.
FORGET_SECONDS = 3600
MAX_ADDRESSES = 1024
KEYS = PeerKeys(('a key of sixteen characters',), None)


def make_probe(number: int) -> Probe:
    """Return an ack of a host that has just left."""
    sender = MemberUpdate(
        f'host-{number}', f'127.1.{number // 250}.{number % 250}:7', '', 'dc',
        1, 0, MemberStatus.dead,
    )  # fmt: skip
    return Probe(ProbeKind.ack, number, sender, [], 0, None)


def test_membership_forgets_hosts_and_addresses() -> None:
    """Guards against memory that grows with each host that ever joined."""
    loop = VirtualTimeLoop()

    async def run() -> None:
        clock = VirtualClock(loop)
        with mock.patch('burdockledge.host.SystemClock', lambda: clock):
            async with aiohttp.ClientSession() as session:
                membership = RelayHost(
                    make_settings(), KEYS, session
                ).membership
                for peer in range(PEERS):
                    membership._apply_updates(make_probe(peer))  # noqa: SLF001
                    membership._notify_listeners()  # noqa: SLF001
                await asyncio.sleep(FORGET_SECONDS)
                membership.table.expire(loop.time())
                membership._apply_updates(make_probe(0))  # noqa: SLF001
                membership._notify_listeners()  # noqa: SLF001
                sizes = container_sizes(membership)
        assert sizes['Membership._seen_addresses'] == MAX_ADDRESSES
        assert sizes['Membership._recorded_statuses'] == 2

    loop.run_until_complete(run())
    loop.shut_down()
