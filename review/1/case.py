"""A server entry with unreadable bytes, and then a change of the configuration."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.deployment import (  # noqa: E402
    CONFIG_SECONDS,
    CannotRunError,
    Caller,
    Deployment,
    Record,
    run_case,
)
from standins.server import Server  # noqa: E402
from standins.store import Store  # noqa: E402

# Bytes that no JSON reader can read: 4,000 brackets that are never closed.
UNREADABLE_ENTRY = b'[' * 4000
# A record of the store holds 262,144 bytes at most.
PROBE_SECONDS = 12.0


def configuration(version: int, service: str, keys: list[str]) -> dict:
    """Return a configuration whose route leads to one service."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-lookup', 'hostname': 'desk.example',
                'path_prefix': '/lookup/', 'route_type': 'safe',
                'timeout_ms': 2000, 'target_latency_ms': 400, 'priority': 2,
                'backend': service, 'max_attempts': 2, 'public': False,
            },
        ],
        'backends': [{'name': 'book-old'}, {'name': 'book-new'}],
        'tenants': [{'name': 'shops', 'api_keys': keys}],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 4194304,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
        },
    }  # fmt: skip


async def work() -> bool:
    """Return whether CONFIG was broken."""
    record = Record(FOLDER / 'record.txt')
    is_disturbed = os.environ.get('TROUBLE') != '0'
    store = Store(record)
    await store.start()
    servers = [
        Server(f'i-{service}-{number}', service, store, record)
        for service in ('book-old', 'book-new')
        for number in range(2)
    ]
    for server in servers:
        await server.start()
    store.write_configuration(configuration(1, 'book-old', ['kept', 'taken']))
    caller = Caller(record)
    with Deployment(record, store.address, 3) as deployment:
        await deployment.start()
        await asyncio.sleep(3)
        for host in deployment.hosts:
            _, status = await caller.send(
                host, 'GET', '/lookup/1', 'kept', headers=[('Host', 'desk.example')]
            )
            if status != 200:
                raise CannotRunError(f'{host.name} answers {status}')
        if is_disturbed:
            store.write('keyed.servers', 'i-other-writer', UNREADABLE_ENTRY)
            record('other writer', 'writes', key='servers/i-other-writer',
                   bytes=len(UNREADABLE_ENTRY))
        await asyncio.sleep(5)
        store.write_configuration(configuration(2, 'book-new', ['kept']))
        acked_at = time.monotonic()
        # Twice the bound, so that a slow machine is no cause.
        await asyncio.sleep(2 * CONFIG_SECONDS)
        sent = []
        while time.monotonic() < acked_at + PROBE_SECONDS:
            for host in deployment.hosts:
                for key in ('kept', 'taken'):
                    request_id, status = await caller.send(
                        host, 'GET', '/lookup/2', key,
                        headers=[('Host', 'desk.example')],
                    )
                    sent.append((request_id, key, status))
            await asyncio.sleep(0.5)
    for server in servers:
        await server.stop()
    ran = {
        request_id: server.service
        for server in servers
        for request_id, _ in server.runs
    }
    by_old = [one for one, _, _ in sent if ran.get(one) == 'book-old']
    with_taken_key = [
        one for one, key, _ in sent if key == 'taken' and one in ran
    ]
    well = [
        one for one, key, status in sent
        if (key == 'kept' and ran.get(one) == 'book-new' and status == 200)
        or (key == 'taken' and status == 401)
    ]
    text = (
        f'{len(sent)} requests later than {2 * CONFIG_SECONDS:g} s after the ack:'
        f' {len(by_old)} ran at the service of the older version,'
        f' {len(with_taken_key)} ran with the key that was taken away,'
        f' {len(well)} as version 2 says'
    )
    record('judge', text)
    print(text)
    return bool(by_old or with_taken_key)


sys.exit(run_case(work()))
