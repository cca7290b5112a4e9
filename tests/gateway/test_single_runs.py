"""What callers of a service see as its connections break."""

from __future__ import annotations

import asyncio

import pytest
import uuid6

from burdockledge.configuration import PatchRecord
from tests.backends.breaking_server import BreakingServer
from tests.gateway.running_host import RunningHost, run_host


async def use_services(host: RunningHost, *servers: BreakingServer) -> None:
    """Replace the service of a host by others of the same name."""
    entries = {
        f's{number}': {
            'kind': 'service',
            'url': server.url,
            'data_centre': 'dc1',
            'service': 'ledger',
        }
        for number, server in enumerate(servers)
    }
    patch = {
        'servers': {'s': None, **entries},
        'classes': {'counter': {'servers': ['e', *entries]}},
    }
    await host.host.components.configuration.publish(
        PatchRecord(id='p2', base=1, patch=patch), 10
    )


@pytest.mark.parametrize('method', ['PUT', 'DELETE', 'POST'])
@pytest.mark.parametrize('is_gone', [False, True])
def test_a_call_with_a_key_runs_once_as_its_connection_breaks(
    method: str, is_gone: bool
) -> None:
    """Guards against runs at one server twice, or at one after another."""

    async def run() -> None:
        servers = [BreakingServer(is_gone=is_gone) for _ in range(2)]
        for server in servers:
            await server.start()
        async with run_host() as host:
            await use_services(host, *servers)
            headers = host.headers(
                **{
                    'Burdockledge-Idempotent': 'false',
                    'Idempotency-Key': str(uuid6.uuid7()),
                }
            )
            async with host.session.request(
                method, f'{host.url}/v1/services/ledger/x', headers=headers
            ) as response:
                assert response.headers['Burdockledge-Outcome'] == 'unknown'
        runs = [path for server in servers for path in server.runs]
        assert runs == ['/x']
        for server in servers:
            server.stop()

    asyncio.run(run())
