"""
Churns everything that others name to a host: routes, teams, servers, parts.

Run as a module, it prints the memory of its process after each wave, and the
sizes of the host's containers after the last, as JSON lines.
"""

from __future__ import annotations

import asyncio
import json
import logging
import sys
from collections import Counter, deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, fields, is_dataclass
from pathlib import Path
from random import Random
from typing import Final
from unittest import mock

import aiohttp
import structlog
from result import Err, Ok, Result

from burdockledge.calls import CallBody, ForwardedCall, Prompt, PromptPart
from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.host import RelayHost
from burdockledge.peers import PeerKeys
from burdockledge.relay import (
    CONFIGURATION_STREAM,
    SERVERS_STREAM,
    OutboundCall,
    Relay,
    SendFailure,
    ServerClient,
    ServerResponse,
)
from burdockledge.wire import StreamEntry, StreamUpdate
from tests.platform_adapter.front_harness import make_settings
from tests.relay.fakes import FakeCaller, FakeResponse, events

WAVES: Final = 30
ROUTES_PER_WAVE: Final = 350
SERVERS_PER_WAVE: Final = 170
SERVICES_PER_WAVE: Final = 5
PARTS_PER_CALL: Final = 5
WAVE_SECONDS: Final = 20.0
# Of the calls, one in so many meets a server that fails or names a limit.
_ODD_CALLS: Final = 10
_KEYS: Final = PeerKeys(('a key of sixteen characters',), None)


@dataclass
class OddClient(ServerClient):
    """Answers with a short stream, at times with a limit or not at all."""

    sends: int = 0

    async def send(
        self, outbound: OutboundCall
    ) -> Result[ServerResponse, SendFailure]:
        """Return the next response."""
        self.sends += 1
        if self.sends % _ODD_CALLS == 0:
            return Err(SendFailure.broken)
        limit = 50.0 if self.sends % _ODD_CALLS == 1 else None
        return Ok(
            FakeResponse(
                headers=(('Content-Type', 'text/event-stream'),),
                body=(events(1), events(2)),
                call_rate_limit=limit,
            )
        )


class HostChurn:
    """A host in virtual time whose surroundings are replaced wave by wave."""

    def __init__(self, host: RelayHost, clock: VirtualClock) -> None:
        """Create the waves of one host."""
        self.host = host
        self._offset = 0
        self._relay = Relay(
            host.routing_state, OddClient(), clock, Random(1), host.metrics
        )

    async def run_wave(self, wave: int) -> None:
        """Replace routes, teams, services and servers; call every route."""
        self._publish(CONFIGURATION_STREAM, {'config': _configuration(wave)})
        self._publish(SERVERS_STREAM, _servers(wave))
        for number in range(ROUTES_PER_WAVE):
            await self._relay.handle(_call(wave, number), FakeCaller())
        for number in range(SERVICES_PER_WAVE):
            self.host.routing_state.retry_after_seconds(_service(wave, number))
        await asyncio.sleep(WAVE_SECONDS)

    def _publish(
        self, stream: str, contents: Mapping[str, dict[str, object]]
    ) -> None:
        self._offset += 1
        entries = tuple(
            StreamEntry(key, self._offset, json.dumps(content).encode())
            for key, content in contents.items()
        )
        self._offset += 1
        self.host.exchange.publish(
            StreamUpdate(stream, 0, self._offset, 0, entries, is_whole=True)
        )


def run_churn(waves: int, observe: Callable[[int, RelayHost], None]) -> None:
    """Run waves against a host, and observe it after each."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    loop = VirtualTimeLoop()

    async def run() -> None:
        clock = VirtualClock(loop)
        with mock.patch('burdockledge.host.SystemClock', lambda: clock):
            async with aiohttp.ClientSession() as session:
                host = RelayHost(make_settings(), _KEYS, session)
                churn = HostChurn(host, clock)
                for wave in range(waves):
                    await churn.run_wave(wave)
                    observe(wave, host)
                await host.server_client.close()

    loop.run_until_complete(run())
    loop.shut_down()


def container_sizes(root: object) -> Counter[str]:
    """Return the total size of the containers that each attribute leads to."""
    sizes: Counter[str] = Counter()
    seen: set[int] = set()
    remaining: deque[tuple[str, object]] = deque([('', root)])
    while remaining:
        path, thing = remaining.pop()
        if id(thing) in seen:
            continue
        seen.add(id(thing))
        if isinstance(thing, Mapping | list | set | deque):
            sizes[path] += len(thing)
            inner = thing.values() if isinstance(thing, Mapping) else thing
            remaining.extend((f'{path}[]', one) for one in inner)
        elif type(thing).__module__.startswith('burdockledge.'):
            name = type(thing).__name__
            remaining.extend(
                (f'{name}.{attribute}', one)
                for attribute, one in _attributes(thing)
            )
    return sizes


def memory_mb() -> float:
    """Return the memory that this process shares with no file."""
    status = Path('/proc/self/status').read_text('ascii')
    line = next(
        one for one in status.splitlines() if one.startswith('RssAnon:')
    )
    return int(line.split()[1]) / 1000


def _attributes(thing: object) -> Iterator[tuple[str, object]]:
    yield from getattr(thing, '__dict__', {}).items()
    for base in type(thing).__mro__:
        for slot in getattr(base, '__slots__', ()):
            if hasattr(thing, slot):
                yield slot, getattr(thing, slot)
    if is_dataclass(thing):
        for field in fields(thing):
            yield field.name, getattr(thing, field.name, None)


def _configuration(wave: int) -> dict[str, object]:
    names = [f'w{wave}r{number}' for number in range(ROUTES_PER_WAVE)]
    return {
        'version': wave + 1,
        'routes': [
            {
                'name': name, 'hostname': f'{name}.example',
                'path_prefix': f'/{name}/', 'route_type': 'streaming',
                'timeout_ms': 8000, 'target_latency_ms': 1000,
                'backend': _service(wave, number), 'max_attempts': 2,
                'gap_aim_ms': 1000 + wave * ROUTES_PER_WAVE + number,
            }
            for number, name in enumerate(names)
        ],
        'backends': [
            {'name': _service(wave, number), 'engine': {'kv_capacity': 400_000}}
            for number in range(SERVICES_PER_WAVE)
        ],
        'tenants': [
            {'name': f'team-{name}', 'api_keys': [f'key-{name}']}
            for name in names
        ],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 4194304,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
        },
    }  # fmt: skip


def _servers(wave: int) -> dict[str, dict[str, object]]:
    return {
        f'w{wave}s{number}': {
            'server_id': f'w{wave}s{number}',
            'backend': _service(wave, number),
            'address': f'127.0.0.1:{1000 + number}',
            'zone': 'dc', 'slots': 8, 'state': 'ready', 'born': 1,
        }
        for number in range(SERVERS_PER_WAVE)
    }  # fmt: skip


def _service(wave: int, number: int) -> str:
    return f'w{wave}-service-{number % SERVICES_PER_WAVE}'


def _call(wave: int, number: int) -> ForwardedCall:
    name = f'w{wave}r{number}'
    first = (wave * ROUTES_PER_WAVE + number) * PARTS_PER_CALL
    parts = tuple(
        PromptPart(first + part + 1, 100) for part in range(PARTS_PER_CALL)
    )
    return ForwardedCall(
        f'{name}', 'POST', f'/{name}/x', f'{name}.example', (),
        CallBody(b'prompt'),
        f'key-{name}', 5, Prompt(parts, 100 * PARTS_PER_CALL, 200),
    )  # fmt: skip


def _print(wave: int, host: RelayHost) -> None:
    line: dict[str, object] = {'memory_mb': memory_mb()}
    if wave == WAVES - 1:
        line['sizes'] = container_sizes(host)
    sys.stdout.write(f'{json.dumps(line)}\n')


if __name__ == '__main__':
    run_churn(WAVES, _print)
