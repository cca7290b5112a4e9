"""Test that a server writes its refusals once more where it is told to."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from aiohttp import web

from tests.soak._copies import MOMENTS, RefusalCopier
from tests.soak._record import Record

_REQUEST = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n'
_ANSWER = b'the answer'
_REFUSAL_BODY = b'not now'
_SEEDS = range(40)


async def bytes_of_two_answers(copier: RefusalCopier) -> bytes:
    """Return what a server writes that refuses a request, then runs it."""
    requests: list[str] = []

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        await copier.write_before_answer(request, 'r')
        requests.append('r')
        if len(requests) == 1:
            return await copier.refuse(
                request, 503, {'Burdockledge-Request-Id': 'r'}
            )
        await copier.write_with_answer(request, 'r')
        return web.Response(body=_ANSWER)

    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    reader, writer = await asyncio.open_connection(*runner.addresses[0])
    written = b''
    async with asyncio.timeout(5):
        for last in (_REFUSAL_BODY, _ANSWER):
            writer.write(_REQUEST)
            while not written.endswith(last):
                written += await reader.read(65536)
    writer.close()
    await runner.cleanup()
    return written


@pytest.mark.parametrize('seed', _SEEDS)
def test_copies_are_whole_and_within_no_answer(seed: int) -> None:
    """Guards against a server of the soak that breaks its own answers."""
    record = Record()
    copier = RefusalCopier('s', record, Random(seed))
    written = asyncio.run(bytes_of_two_answers(copier))
    heads = written.count(b'HTTP/1.1 503 Service Unavailable\r\n')
    assert heads == written.count(_REFUSAL_BODY)
    assert heads == written.count(b'Burdockledge-Request-Id: r\r\n')
    assert heads == 1 + sum(copy.count for copy in record.copies)
    assert written.endswith(_ANSWER)


def test_copies_come_at_every_moment() -> None:
    """Guards against a soak that plays only some of the cases."""
    played = set()
    for seed in _SEEDS:
        record = Record()
        copier = RefusalCopier('s', record, Random(seed))
        asyncio.run(bytes_of_two_answers(copier))
        played |= {
            (copy.moment, copy.under_way is not None) for copy in record.copies
        }
    assert {moment for moment, _ in played} == set(MOMENTS)
    assert len(played) == len(MOMENTS)
