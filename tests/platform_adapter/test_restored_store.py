"""A host follows a store that came back from an older copy."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final

import pytest

from tests.flood.flooded_host import FloodedHost, request_bytes
from tests.platform_adapter.front_harness import respond_ok
from tests.platform_adapter.standin_server import StandInServer
from tests.soak._bounds import (
    CONFIGURATION_SECONDS,
    CONTACT_SECONDS,
    DRAIN_SECONDS,
)

OPERATOR: Final = 'keyed.op'
SERVERS: Final = 'keyed.servers'
TOLERANCE_SECONDS: Final = 0.7
AWAY_SECONDS: Final = 0.5
_POLL_SECONDS: Final = 0.05


class RestoredHost(FloodedHost):
    """A host process whose store is restored, and what others write there."""

    def __init__(self, folder: Path) -> None:
        """Create a host that has not started."""
        super().__init__(folder, 'unsafe')
        # The operator's newest version, once it is not the first.
        self._version = b''
        self._request_count = 0

    def add_route(self) -> str:
        """Write a version with one more route; return the route."""
        newest = self._version or self.store.topics[OPERATOR][-1][1]
        document = json.loads(newest)
        document['version'] += 1
        route = f'added-{document["version"]}'
        document['routes'].append(
            {
                **document['routes'][0],
                'name': route,
                'path_prefix': f'/good/{route}/',
            }
        )
        self._version = json.dumps(document).encode()
        self.write_version_again()
        return route

    def write_version_again(self) -> None:
        """Write the newest version as it is."""
        self.store.write(OPERATOR, 'config', self._version)

    def write_server(self, server: str, **fields: object) -> None:
        """Write the entry of a server; without fields it is gone."""
        content = b''
        if fields:
            content = json.dumps({
                'backend': 'good', 'zone': 'a', 'slots': 32, 'state': 'ready',
                'seq': 1, 'born': 1, **fields,
            }).encode()  # fmt: skip
        self.store.write(SERVERS, server, content)

    async def restore(self, ends: dict[str, int]) -> None:
        """Let the store be away for a moment and come back from a copy."""

        async def refuse(_: Any) -> Any:
            return self.store.refuse(503)

        self.store_handler = refuse
        await asyncio.sleep(AWAY_SECONDS)
        self.store.restore(ends)
        self.store_handler = None

    async def serves(self, route: str) -> bool:
        """Return whether a request on a route is answered by a server."""
        self._request_count += 1
        answer = await self.call(
            request_bytes(f'/good/{route}/', f'r{self._request_count}')
        )
        return answer.startswith(b'HTTP/1.1 200')

    async def wait_until_served(self, route: str, seconds: float) -> None:
        """Fail unless a route is in use in time."""
        async with asyncio.timeout(seconds + TOLERANCE_SECONDS):
            while not await self.serves(route):
                await asyncio.sleep(_POLL_SECONDS)


def run_restored(
    folder: Path, test: Callable[[RestoredHost], Awaitable[None]]
) -> None:
    """Run a test with a host that is ready."""

    async def run() -> None:
        host = RestoredHost(folder)
        await host.start({'good': respond_ok})
        try:
            await test(host)
        finally:
            await host.stop()

    asyncio.run(run())


@pytest.mark.timeout(60)
@pytest.mark.parametrize(
    ('lost', 'others'),
    [
        pytest.param(1, 0, id='one version is lost'),
        pytest.param(6, 0, id='offsets go back, and a read gets 410'),
        pytest.param(3, 2, id='offsets are given out again, no read gets 410'),
        pytest.param(3, 9, id='offsets go on beyond those that were read'),
    ],
)
def test_versions_after_a_restore_are_in_force_in_time(
    lost: int, others: int, tmp_path: Path
) -> None:
    """
    Guards against a host that compares offsets of two eras (CONFIG).

    ``lost`` versions are gone; beside the newest one, ``others`` records are
    written before the host reads the store again.
    """

    async def test(host: RestoredHost) -> None:
        ends = host.store.ends()
        for _ in range(lost):
            route = host.add_route()
        await host.wait_until_served(route, CONFIGURATION_SECONDS)
        await host.restore(ends)
        host.add_route()
        for number in range(others):
            host.store.write(OPERATOR, f'other-{number}', b'{}')
        assert await host.serves(route)
        await host.wait_until_served(
            f'added-{lost + 2}', CONTACT_SECONDS + CONFIGURATION_SECONDS
        )
        last_route = host.add_route()
        await host.wait_until_served(last_route, CONFIGURATION_SECONDS)

    run_restored(tmp_path, test)


@pytest.mark.timeout(60)
def test_a_version_that_the_copy_lacks_stays_in_force(tmp_path: Path) -> None:
    """Guards against a host that returns to the copy's version (CONFIG)."""

    async def test(host: RestoredHost) -> None:
        ends = host.store.ends()
        route = host.add_route()
        await host.wait_until_served(route, CONFIGURATION_SECONDS)
        for _ in range(2):
            await host.restore(ends)
            until = time.monotonic() + CONTACT_SECONDS
            while time.monotonic() < until:
                assert await host.serves(route)
                await asyncio.sleep(_POLL_SECONDS)
        host.write_version_again()
        last_route = host.add_route()
        await host.wait_until_served(last_route, CONFIGURATION_SECONDS)
        assert await host.serves(route)

    run_restored(tmp_path, test)


@pytest.mark.timeout(60)
@pytest.mark.parametrize('word', ['draining', 'gone'])
def test_a_server_that_left_in_the_lost_span_stays_unused(
    word: str, tmp_path: Path
) -> None:
    """Guards against new requests to a server that left (DRAIN)."""

    async def test(host: RestoredHost) -> None:
        server = StandInServer(respond_ok)
        await server.start()
        host.write_server('leaving', address=server.address)
        async with asyncio.timeout(CONTACT_SECONDS):
            while not server.requests:
                await host.serves('unsafe')
        ends = host.store.ends()
        if word == 'draining':
            host.write_server(
                'leaving', address=server.address, seq=2, state='draining'
            )
        else:
            host.write_server('leaving')
        await asyncio.sleep(DRAIN_SECONDS)
        await host.restore(ends)
        count = len(server.requests)
        until = time.monotonic() + CONTACT_SECONDS
        while time.monotonic() < until:
            assert await host.serves('unsafe')
            await asyncio.sleep(_POLL_SECONDS)
        assert len(server.requests) == count
        await server.stop()

    run_restored(tmp_path, test)


@pytest.mark.timeout(60)
def test_a_server_that_registered_in_the_lost_span_stays_in_use(
    tmp_path: Path,
) -> None:
    """Guards against refusals until a server writes its entry again."""

    async def test(host: RestoredHost) -> None:
        server = StandInServer(respond_ok)
        await server.start()
        host.write_server('good-1')
        ends = host.store.ends()
        host.write_server('new', address=server.address)
        async with asyncio.timeout(CONTACT_SECONDS):
            while not server.requests:
                await host.serves('unsafe')
        for _ in range(2):
            await host.restore(ends)
            until = time.monotonic() + 1
            while time.monotonic() < until:
                assert await host.serves('unsafe')
                await asyncio.sleep(_POLL_SECONDS)
            host.write_server('new', address=server.address, seq=2)
        assert await host.serves('unsafe')
        await server.stop()

    run_restored(tmp_path, test)
