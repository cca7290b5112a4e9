"""A host whose settings change while it runs."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import aiohttp

from burdockledge.host import RelayHost
from burdockledge.peers import PeerKeys
from burdockledge.relay import BudgetTerms
from burdockledge.wire import MemberStatus, MemberUpdate
from tests.platform_adapter.site import settings

KEYS = PeerKeys(('a key of sixteen characters',), None)


def test_a_reload_changes_what_may_change() -> None:
    """Terms and times follow the file; addresses wait for a restart."""

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            before = settings()
            host = RelayHost(before, KEYS, session)
            told: list[BudgetTerms] = []
            vars(host.knowledge)['use_terms'] = told.append
            changed = replace(
                before,
                retry_ratio=0.5,
                directory_seconds=1,
                peer_address='127.9.9.9:7',
                seeds=('127.0.0.2:7',),
            )
            host.use_settings(changed)
            assert told == [BudgetTerms(0.5, 50, 10)]
            assert host.settings.directory_seconds == 1
            assert host.settings.peer_address == before.peer_address
            assert host.settings.seeds == changed.seeds
            await host.client.close()

    asyncio.run(run())


def test_the_exchange_follows_the_members() -> None:
    """A host that joins is told of calls, one that died is not."""
    alive = MemberUpdate(
        'peer', '127.0.0.2:7', '', 'dc', 1, 0, MemberStatus.alive
    )

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            host = RelayHost(settings(), KEYS, session)
            for status, told in (
                (MemberStatus.alive, ['127.0.0.2:1']),
                (MemberStatus.suspect, ['127.0.0.2:1']),
                (MemberStatus.dead, []),
            ):
                host.membership.table.apply(replace(alive, status=status), 1)
                host.membership._notify_listeners()  # noqa: SLF001
                assert host.exchange.peers.addresses == told
            await host.client.close()

    asyncio.run(run())
