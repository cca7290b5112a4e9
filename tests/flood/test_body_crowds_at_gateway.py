"""Crowds with bodies, and with TLS, leave ``serve`` its memory."""

from __future__ import annotations

import asyncio
import ssl
from pathlib import Path
from typing import Final

import pytest

from tests.flood.body_crowds import call_until_answered
from tests.flood.crowded_gateway import (
    HEALTH_REQUEST,
    CrowdedGateway,
    ledger_request,
)
from tests.flood.hostile_crowds import Crowd, hold_connection, once
from tests.peers.certificates import CertificateAuthority

MEMORY_MEBIBYTES: Final = 88
MAX_DESCRIPTORS: Final = 1400
CROWD_SECONDS: Final = 2.5
ANSWER_SECONDS: Final = 20
BODY_CROWDS: Final = (
    Crowd(
        'bodies short of their end',
        'serve',
        560,
        once(ledger_request(60_000)[:-1]),
    ),
    Crowd(
        'large bodies short of their end',
        'serve',
        100,
        once(ledger_request(1_000_000)[:-1]),
    ),
    Crowd(
        'whole bodies at a slow service',
        'serve',
        560,
        once(ledger_request(50_000)),
    ),
    Crowd('bodies sent ahead', 'serve', 60, once(ledger_request(50_000) * 20)),
    Crowd('idle connections', 'tls', 560, once(b'')),
    Crowd('connections without a handshake', 'tls', 560, once(b'')),
    Crowd(
        'bodies short of their end',
        'tls',
        200,
        once(ledger_request(60_000)[:-1]),
    ),
)


@pytest.mark.parametrize(
    'crowd', BODY_CROWDS, ids=lambda crowd: f'{crowd.name}, {crowd.port}'
)
def test_a_crowd_with_bodies_leaves_a_gateway_its_resources(
    crowd: Crowd, tmp_path: Path
) -> None:
    """Guards against a gateway that is killed for its memory."""
    settings: dict[str, object] = {
        'memory_mb': MEMORY_MEBIBYTES,
        'max_fds': MAX_DESCRIPTORS,
        'max_body_bytes': 1_000_000,
    }
    tls = None
    if crowd.port == 'tls':
        authority = CertificateAuthority(tmp_path)
        certificate, key = authority.issue('h1')
        settings |= {'tls_certificate': certificate, 'tls_key': key}
        tls = ssl.create_default_context(cafile=str(authority.path))

    crowd_tls = None if 'handshake' in crowd.name else tls

    async def run() -> None:
        gateway = CrowdedGateway(tmp_path, settings, tls)
        await gateway.start()
        await gateway.publish_service()
        tasks = []
        descriptors = 0
        try:
            calm = gateway.mebibytes('VmRSS')
            for _ in range(crowd.count):
                tasks.append(
                    asyncio.create_task(
                        hold_connection(
                            gateway.ip, gateway.port, crowd, crowd_tls
                        )
                    )
                )
            loop = asyncio.get_running_loop()
            stop_at = loop.time() + CROWD_SECONDS
            while loop.time() < stop_at:
                descriptors = max(descriptors, gateway.open_descriptors())
                await asyncio.sleep(0.05)
            answer = await call_until_answered(
                lambda: gateway.call(HEALTH_REQUEST), ANSWER_SECONDS
            )
            peak = gateway.mebibytes('VmHWM')
            is_alive = gateway.process.returncode is None
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await gateway.stop()
        print(
            f'{crowd.name}, {crowd.port}: calm {calm:.0f} MiB, peak '
            f'{peak:.0f} MiB, {descriptors} descriptors, {answer[:12]!r}'
        )
        assert is_alive
        assert peak < MEMORY_MEBIBYTES
        assert descriptors < MAX_DESCRIPTORS
        assert answer.startswith(b'HTTP/1.1 200')

    asyncio.run(run())
