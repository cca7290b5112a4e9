"""The duties of an entry host, as its settings name them."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import aiohttp
import pytest

from burdockledge.duties import Duty, DutyHolder
from burdockledge.host import RelayHost
from burdockledge.peers import PeerKeys
from burdockledge.settings import DutySettings
from tests.platform_adapter.front_harness import make_settings

DUTIES = DutySettings('127.0.0.1:9', False, True, 50, True, 3, 5, 10)


@pytest.mark.parametrize('suspends_orders', [False, True])
@pytest.mark.parametrize(
    ('duties', 'names'),
    [
        (None, []),
        (DUTIES, ['autoscale']),
        (replace(DUTIES, orders_servers=False), []),
    ],
)
def test_servers_are_ordered_only_if_the_settings_say_so(
    duties: DutySettings | None,
    names: list[str],
    suspends_orders: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against orders without a setting, and a flag lost by a reload."""
    registered: list[Duty] = []
    monkeypatch.setattr(
        DutyHolder, 'register', lambda _, duty: registered.append(duty)
    )

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            settings = replace(
                make_settings(), duties=duties, suspends_orders=suspends_orders
            )
            keys = PeerKeys(('a key of sixteen characters',), None)
            host = RelayHost(settings, keys, session)
            host.apply_settings(replace(settings, suspends_orders=False))
            assert host.settings.suspends_orders == suspends_orders
            await host.server_client.close()

    asyncio.run(run())
    # Duties of other kinds have tests of their own.
    assert [
        duty.name for duty in registered if duty.name == 'autoscale'
    ] == names
