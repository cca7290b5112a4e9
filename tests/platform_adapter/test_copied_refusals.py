"""A copy of a refusal does not refuse a later send of the same request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import pytest

from tests.platform_adapter.front_harness import (
    FrontHarness,
    request_bytes,
    run_with_front,
)
from tests.platform_adapter.standin_server import response_bytes

NOT_RUN: Final = 'Burdockledge-Not-Executed: 1\r\n'
STATUSES: Final = ('503 Busy', '429 Many', '421 Other')
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
PATHS: Final = ('/unsafe/x', '/stream/x')
PAUSE_SECONDS: Final = 0.05
MAX_REQUESTS: Final = 256
# The pieces that a server writes on the connection of the refusal, given the
# refusal and the answer that is due.
Arrival = Callable[[bytes, bytes], tuple[bytes, ...]]
ARRIVALS: Final[dict[str, Arrival]] = {
    'before the answer': lambda copy, real: (copy, real),
    'glued to the answer': lambda copy, real: (copy + real,),
    'in two parts': lambda copy, real: (copy[:20], copy[20:], real),
    'twice': lambda copy, real: (copy, copy, real),
    'without an answer': lambda copy, _: (copy,),
}


@dataclass
class CopyingServer:
    """
    Refuses the first send of a request, and runs the next ones.

    A run on the connection of the refusal begins with a copy of that.
    ``runs`` counts the runs.
    """

    status: str
    arrival: Arrival
    refusals: dict[asyncio.StreamWriter, bytes] = field(default_factory=dict)
    runs: int = 0

    async def answer(
        self, head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to one request."""
        if not self.refusals:
            refusal = response_bytes(head, b'no', self.status, NOT_RUN)
            self.refusals[writer] = refusal
            writer.write(refusal)
            return
        self.runs += 1
        real = response_bytes(head, b'id: 1\ndata: x\n\n')
        copy = self.refusals.get(writer)
        for piece in (real,) if copy is None else self.arrival(copy, real):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)


def statuses_of_one_id(
    server: CopyingServer, path: str, sends: int, retries: int
) -> list[int]:
    """Return the statuses of requests with one id, sent in turn."""
    statuses = []

    async def test(harness: FrontHarness) -> None:
        for _ in range(sends):
            response = await harness.send(request_bytes(path), 0.4)
            status_line = response.partition(b'\r\n')[0]
            statuses.append(int((status_line.split() or (b'', b'0'))[1]))

    run_with_front(server.answer, test, retries)
    return statuses


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('arrival', ARRIVALS)
@pytest.mark.parametrize('status', STATUSES)
def test_a_copied_refusal_does_not_refuse_a_repeat_of_the_host(
    status: str, arrival: str, path: str
) -> None:
    """Guards against TWICE and REFUSED: the repeat is run, once."""
    server = CopyingServer(status, ARRIVALS[arrival])
    outcome = statuses_of_one_id(server, path, sends=1, retries=10)
    assert NOT_RUN_STATUSES.isdisjoint(outcome)
    assert server.runs == 1


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('arrival', ARRIVALS)
@pytest.mark.parametrize('status', STATUSES)
def test_a_copied_refusal_does_not_refuse_a_repeat_of_the_caller(
    status: str, arrival: str, path: str
) -> None:
    """Guards against TWICE and REFUSED: a caller uses its id once more."""
    server = CopyingServer(status, ARRIVALS[arrival])
    outcome = statuses_of_one_id(server, path, sends=2, retries=0)
    assert outcome[0] == 503
    assert outcome[1] not in NOT_RUN_STATUSES
    assert server.runs == 1


def test_a_connection_carries_a_bounded_number_of_requests() -> None:
    """Guards against ids of requests that fill the memory of a host."""
    connections = []

    async def answer(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(response_bytes(head))

    async def test(harness: FrontHarness) -> None:
        requests = [
            request_bytes().replace(b'Id: r1', b'Id: r%d' % number)
            for number in range(MAX_REQUESTS + 1)
        ]
        response = await harness.send(b''.join(requests), 4)
        assert response.count(b'200 OK') == len(requests)
        connections.append(harness.server.connection_count)

    run_with_front(answer, test)
    assert connections == [2]
