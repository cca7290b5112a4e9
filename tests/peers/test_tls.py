"""Tests of TLS: HTTPS for callers, mutual TLS of peers, reload of files."""

from __future__ import annotations

import asyncio
import ssl
from typing import TYPE_CHECKING

import aiohttp
import pytest

from burdockledge.peers import TlsContexts
from burdockledge.settings import TlsSettings
from tests.gateway.running_host import run_host
from tests.peers.certificates import CertificateAuthority

if TYPE_CHECKING:
    from pathlib import Path


def test_callers_are_served_over_https_only(tmp_path: Path) -> None:
    """A caller that trusts the authority gets an answer; plain HTTP fails."""

    async def scenario() -> None:
        authority = CertificateAuthority(tmp_path)
        certificate, key = authority.issue('h1')
        client_context = ssl.create_default_context(cafile=str(authority.path))
        async with run_host(certificate, key) as live:
            assert live.url.startswith('https://')
            async with live.session.get(
                f'{live.url}/v1/models',
                headers=live.headers(),
                ssl=client_context,
            ) as response:
                assert response.status == 200
            http_url = live.url.replace('https', 'http')
            with pytest.raises(aiohttp.ClientError):
                await live.session.get(f'{http_url}/v1/models')

    asyncio.run(scenario())


async def get_common_name(port: int, client_context: ssl.SSLContext) -> str:
    """Return the common name in the certificate of a server."""
    _, writer = await asyncio.open_connection(
        '127.0.0.1', port, ssl=client_context
    )
    certificate = writer.get_extra_info('peercert')
    writer.close()
    return certificate['subject'][0][0][1]


def test_certificate_is_reloaded(tmp_path: Path) -> None:
    """After a reload the same context presents the new certificate."""

    async def scenario() -> list[str]:
        authority = CertificateAuthority(tmp_path)
        certificate, key = authority.issue('old')
        settings = TlsSettings(tls_certificate=certificate, tls_key=key)
        contexts = TlsContexts(settings)
        client_context = ssl.create_default_context(cafile=str(authority.path))
        server = await asyncio.start_server(
            lambda _, writer: writer.close(),
            '127.0.0.1',
            0,
            ssl=contexts.caller_server,
        )
        port = server.sockets[0].getsockname()[1]
        common_names = [await get_common_name(port, client_context)]
        assert not contexts.reload()
        authority.issue('new')
        assert contexts.reload()
        common_names.append(await get_common_name(port, client_context))
        server.close()
        return common_names

    assert asyncio.run(scenario()) == ['old', 'new']


@pytest.mark.parametrize('has_certificate', [True, False])
def test_peer_connection_requires_client_certificate(
    tmp_path: Path, has_certificate: bool
) -> None:
    """A client without a certificate of the authority receives no data."""

    async def scenario() -> bytes:
        authority = CertificateAuthority(tmp_path)
        certificate, key = authority.issue('peer')
        contexts = TlsContexts(
            TlsSettings(
                tls_certificate=certificate,
                tls_key=key,
                peer_tls_ca=authority.path,
            ),
        )

        async def send_greeting(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            writer.write(b'hello')
            writer.close()

        server = await asyncio.start_server(
            send_greeting, '127.0.0.1', 0, ssl=contexts.peer_server
        )
        port = server.sockets[0].getsockname()[1]
        client = contexts.peer_client
        if not has_certificate:
            client = ssl.create_default_context(cafile=str(authority.path))
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', port, ssl=client
            )
            received = await reader.read()
            writer.close()
        except OSError:
            received = b''
        server.close()
        return received

    assert asyncio.run(scenario()) == (b'hello' if has_certificate else b'')
