"""Tests of a running entry host: settings reload and membership changes."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial

import aiohttp
import pytest

from burdockledge.duties import DutyHolder
from burdockledge.host import RelayHost
from burdockledge.peers import PeerKeys
from burdockledge.relay import SERVERS_STREAM, RetryBudgetSettings
from burdockledge.scheduling import PressurePolicy
from burdockledge.wire import MemberStatus, MemberUpdate, StreamUpdate
from tests.duties.site import make_duty_settings
from tests.platform_adapter.front_harness import make_settings

PEER_KEYS = PeerKeys(('a key of sixteen characters',), None)


def test_reload_applies_all_but_restart_settings() -> None:
    """The retry budget, times and seeds change; addresses do not."""

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            old_settings = make_settings()
            host = RelayHost(old_settings, PEER_KEYS, session)
            applied_budgets: list[RetryBudgetSettings] = []
            vars(host.routing_state)['apply_retry_settings'] = (
                applied_budgets.append
            )
            new_settings = replace(
                old_settings,
                retry_ratio=0.5,
                directory_seconds=1,
                peer_address='127.9.9.9:7',
                seeds=('127.0.0.2:7',),
                sheds_load=True,
            )
            host.apply_settings(new_settings)
            assert applied_budgets == [RetryBudgetSettings(0.5, 50, 10)]
            assert host.settings.directory_seconds == 1
            assert host.settings.peer_address == old_settings.peer_address
            assert host.settings.seeds == new_settings.seeds
            assert not host.settings.sheds_load
            await host.server_client.close()

    asyncio.run(run())


@pytest.mark.parametrize('sheds_load', [False, True])
def test_servers_are_chosen_as_the_settings_say(sheds_load: bool) -> None:
    """Guards against another choice of servers where none is asked for."""

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            settings = replace(make_settings(), sheds_load=sheds_load)
            host = RelayHost(settings, PEER_KEYS, session)
            policy = vars(host.routing_state)['_policy']
            assert isinstance(policy, PressurePolicy) is sheds_load
            await host.server_client.close()

    asyncio.run(run())


def test_the_listeners_close_before_what_their_calls_use() -> None:
    """Guards against LOST: calls that arrive while other services stop."""

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            host = RelayHost(make_settings(), PEER_KEYS, session)
            services = (
                host.front,
                host.membership,
                host.exchange,
                host.store_reader,
                host.evidence_keeper,
            )
            stopped: list[str] = []
            for service in services:
                vars(service)['start'] = partial(asyncio.sleep, 0)
                vars(service)['stop'] = partial(
                    asyncio.to_thread, stopped.append, service.name
                )
            await host.start()
            await host.stop()
            assert stopped[0] == host.front.name
            assert len(stopped) == len(services)

    asyncio.run(run())


def test_all_that_writes_to_the_store_is_told_of_its_restore() -> None:
    """Guards against hosts and blocks that a restored store has lost."""

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            host = RelayHost(make_settings(), PEER_KEYS, session)
            told: list[str] = []
            for service in (host.store_reader, host.evidence_keeper):
                vars(service)['note_restore'] = partial(
                    told.append, service.name
                )
            for era in (1, 2):
                host.exchange.publish(
                    StreamUpdate(SERVERS_STREAM, 0, 0, 0, (), True, era)
                )
            assert told == ['store-reader', 'evidence-keeper']
            await host.server_client.close()

    asyncio.run(run())


def test_exchange_peers_follow_membership() -> None:
    """The exchange sends to alive and suspect hosts, not to dead ones."""
    alive = MemberUpdate(
        'peer', '127.0.0.2:7', '', 'dc', 1, 0, MemberStatus.alive
    )

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            host = RelayHost(make_settings(), PEER_KEYS, session)
            for status, addresses in (
                (MemberStatus.alive, ['127.0.0.2:1']),
                (MemberStatus.suspect, ['127.0.0.2:1']),
                (MemberStatus.dead, []),
            ):
                host.membership.table.apply(replace(alive, status=status), 1)
                host.membership._notify_listeners()  # noqa: SLF001
                assert host.exchange.peers.addresses == addresses
            await host.server_client.close()

    asyncio.run(run())


def test_a_host_gives_its_duties_up_as_it_drains() -> None:
    """Guards against a site without a holder for a lease at each restart."""

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            settings = replace(make_settings(), grace_seconds=0.6)
            without = RelayHost(settings, PEER_KEYS, session)
            assert without.duty_holder is None
            await without.drain()
            host = RelayHost(
                replace(settings, duties=make_duty_settings()),
                PEER_KEYS,
                session,
            )
            holder = host.duty_holder
            assert holder is not None
            assert host.kernel.find(DutyHolder) is holder
            assert holder.list_hosts() == [settings.host]
            told: list[bool] = []
            vars(holder)['release_soon'] = partial(told.append, True)
            await host.drain()
            assert told == [True]
            for one in (host, without):
                await one.server_client.close()

    asyncio.run(run())
