"""HTTPS to callers, mutual TLS between hosts, rotation without a restart."""

from __future__ import annotations

import asyncio
import ssl
from typing import TYPE_CHECKING

import aiohttp
import pytest

from burdockledge.peers import TlsContexts
from burdockledge.settings import TlsSettings
from tests.gateway.running_host import run_host
from tests.peers.certificates import Authority

if TYPE_CHECKING:
    from pathlib import Path


def test_callers_are_served_over_https(tmp_path: Path) -> None:
    """A caller that trusts the authority is answered, plain HTTP is not."""

    async def scenario() -> None:
        authority = Authority(tmp_path)
        certificate, key = authority.issue('h1')
        trusting = ssl.create_default_context(cafile=str(authority.path))
        async with run_host(certificate, key) as live:
            assert live.url.startswith('https://')
            async with live.session.get(
                f'{live.url}/v1/models', headers=live.headers(), ssl=trusting
            ) as response:
                assert response.status == 200
            plain = live.url.replace('https', 'http')
            with pytest.raises(aiohttp.ClientError):
                await live.session.get(f'{plain}/v1/models')

    asyncio.run(scenario())


async def presented(port: int, trusting: ssl.SSLContext) -> str:
    """Return the common name that a server presents."""
    _, writer = await asyncio.open_connection('127.0.0.1', port, ssl=trusting)
    shown = writer.get_extra_info('peercert')
    writer.close()
    return shown['subject'][0][0][1]


def test_a_certificate_is_rotated(tmp_path: Path) -> None:
    """New connections get the new certificate from the same context."""

    async def scenario() -> list[str]:
        authority = Authority(tmp_path)
        certificate, key = authority.issue('old')
        settings = TlsSettings(tls_certificate=certificate, tls_key=key)
        contexts = TlsContexts(settings)
        trusting = ssl.create_default_context(cafile=str(authority.path))
        server = await asyncio.start_server(
            lambda _, writer: writer.close(),
            '127.0.0.1',
            0,
            ssl=contexts.callers,
        )
        port = server.sockets[0].getsockname()[1]
        seen = [await presented(port, trusting)]
        assert not contexts.reload()
        authority.issue('new')
        assert contexts.reload()
        seen.append(await presented(port, trusting))
        server.close()
        return seen

    assert asyncio.run(scenario()) == ['old', 'new']


@pytest.mark.parametrize('is_signed', [True, False])
def test_peers_need_a_certificate(tmp_path: Path, is_signed: bool) -> None:
    """A peer without a certificate of the authority gets nothing."""

    async def scenario() -> bytes:
        authority = Authority(tmp_path)
        certificate, key = authority.issue('peer')
        contexts = TlsContexts(
            TlsSettings(
                tls_certificate=certificate,
                tls_key=key,
                peer_tls_ca=authority.path,
            ),
        )

        async def greet(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            writer.write(b'hello')
            writer.close()

        server = await asyncio.start_server(
            greet, '127.0.0.1', 0, ssl=contexts.peer_server
        )
        port = server.sockets[0].getsockname()[1]
        client = contexts.peer_client
        if not is_signed:
            client = ssl.create_default_context(cafile=str(authority.path))
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', port, ssl=client
            )
            answer = await reader.read()
            writer.close()
        except OSError:
            answer = b''
        server.close()
        return answer

    assert asyncio.run(scenario()) == (b'hello' if is_signed else b'')
