"""Notices of servers over real connections."""

from __future__ import annotations

import asyncio

import pytest

from burdockledge.calls import CallBody, ForwardedCall, ServerInstance
from burdockledge.platform import HttpServerClient
from burdockledge.relay import OutboundCall, SendFailure
from tests.platform_adapter.standin_server import (
    StandInServer,
    response_bytes,
)


@pytest.mark.parametrize('opens_connection', [True, False])
def test_a_call_is_withheld_at_the_last_step(opens_connection: bool) -> None:
    """Guards against bytes that leave after a notice, on any connection."""

    async def answer(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            response_bytes(
                head,
                b'later',
                '503 Busy',
                'server-leaving: 1\r\nretry-after: 2.5\r\n',
            )
        )

    async def run() -> None:
        server = StandInServer(answer)
        await server.start()
        client = HttpServerClient()
        instance = ServerInstance('i-1', 1, 'book', server.address, 'dc', 6)

        def outbound(obstacle: str | None) -> OutboundCall:
            call = ForwardedCall(
                'r', 'POST', '/x', 'h', (('Burdockledge-Request-Id', 'r'),),
                CallBody(), None, None,
            )  # fmt: skip
            return OutboundCall(
                call, instance, None, 0, 1.0, None, obstacle=lambda: obstacle
            )

        if not opens_connection:
            response = (await client.send(outbound(None))).unwrap()
            assert response.notice.is_leaving
            assert response.notice.pause_seconds == 2.5
            assert [chunk async for chunk in response.chunks()] == [b'later']
            response.close()
        before = len(server.requests)
        withheld = (await client.send(outbound('it leaves'))).unwrap_err()
        assert withheld is SendFailure.withheld
        assert withheld.proves_not_run
        assert len(server.requests) == before
        await client.close()
        await server.stop()

    asyncio.run(run())
