"""Answers of servers whose seal is missing or spoilt."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform_adapter.cut_answers import call
from tests.platform_adapter.front_harness import FrontHarness, run_with_front
from tests.platform_adapter.standin_server import (
    chunked_head,
    response_bytes,
    unframed_head,
)

EVENT = b'id: 1\ndata: x\n\n'
SEAL = b'Burdockledge-Response-Seal: seal.1'
SPOILT_SEALS = {
    'one bit of its name is wrong': b'Burdockledge-Response-Real: seal.1',
    'its value is missing': b'Burdockledge-Response-Seal: ',
    'it is missing': b'X-Other: seal.1',
}
OTHER_BYTES = b'HTTP/2.0 200 OK\r\n\r\nwrong bytes'


def answers(head: bytes) -> dict[str, bytes]:
    """Return whole answers with a seal, framed in each way."""
    chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (len(EVENT), EVENT)
    return {
        'length': response_bytes(head, EVENT),
        'chunks': chunked_head(head) + chunk,
        'close': unframed_head(head) + EVENT,
    }


@pytest.mark.parametrize('path', ['/unsafe/x', '/safe/x', '/stream/x'])
@pytest.mark.parametrize('framing', ['length', 'chunks', 'close'])
@pytest.mark.parametrize('name', [*SPOILT_SEALS, 'other bytes'])
def test_a_success_with_a_spoilt_seal_is_not_passed_on(
    name: str, framing: str, path: str
) -> None:
    """Guards against successes without the seal of a server."""
    request_count = 0

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal request_count
        request_count += 1
        answer = answers(head)[framing]
        if request_count == 1:
            answer = (
                answer.replace(SEAL, SPOILT_SEALS[name])
                if name in SPOILT_SEALS
                else OTHER_BYTES
            )
        writer.write(answer)
        await writer.drain()
        writer.close()

    async def test(harness: FrontHarness) -> None:
        received = await call(harness, path)
        assert received.is_whole
        if path == '/safe/x':
            assert (received.status, received.body) == (200, EVENT)
            assert SEAL in received.headers
            assert request_count == 2
        else:
            assert received.status == 502
            assert request_count == 1

    run_with_front(handler, test)
