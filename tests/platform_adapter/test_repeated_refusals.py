"""A refusal that a server writes once more refuses no other request."""

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
from tests.platform_adapter.standin_server import header_value, response_bytes

ID_LINE: Final = b'Burdockledge-Request-Id: a\r\n'
NOT_RUN: Final = 'Burdockledge-Not-Executed: 1\r\n'
STATUSES: Final = ('503 Busy', '429 Many', '421 Other')
Change = Callable[[bytes], bytes]
CHANGES: Final[dict[str, Change]] = {
    'as it was': lambda refusal: refusal,
    'without its id': lambda refusal: refusal.replace(ID_LINE, b''),
    'with two ids': lambda refusal: refusal.replace(
        ID_LINE, b'Burdockledge-Request-Id: b\r\n' + ID_LINE
    ),
    'with its id at last': lambda refusal: refusal.replace(
        ID_LINE, ID_LINE + b'Burdockledge-Request-Id: b\r\n'
    ),
}


@dataclass
class RepeatingServer:
    """
    Refuses the first request, and repeats that refusal at a later one.

    The refusal goes out again as the second request is being run, which is
    answered later unless ``is_silent``, if it comes on the same connection,
    as a late copy does. ``has_ids`` tells whether its first
    answers, two for request ``a``, carry ids.
    """

    status: str
    change: Change
    has_ids: bool = True
    is_silent: bool = False
    is_glued: bool = False
    refusal: bytes = b''
    refused_on: asyncio.StreamWriter | None = None
    runs: list[str] = field(default_factory=list)

    async def answer(
        self, head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to one request."""
        request_id = header_value(head, 'Burdockledge-Request-Id') or ''
        if not self.refusal:
            self.refusal = response_bytes(head, b'no', self.status, NOT_RUN)
            if not self.has_ids:
                self.refusal = self.refusal.replace(ID_LINE, b'')
            writer.write(self.refusal)
            self.refused_on = writer
            return
        self.runs.append(request_id)
        real = response_bytes(head, f'run {request_id}'.encode())
        if request_id == 'a':
            writer.write(real if self.has_ids else real.replace(ID_LINE, b''))
            return
        is_same = writer is self.refused_on
        copy = self.change(self.refusal) if is_same else b''
        if self.is_glued:
            writer.write(copy + real)
            return
        writer.write(copy)
        await writer.drain()
        await asyncio.sleep(0.05)
        if not self.is_silent:
            writer.write(real)


def outcome_of_second(
    server: RepeatingServer, path: str = '/unsafe/x'
) -> tuple[int, bytes]:
    """Return the status and the body that the second caller got."""
    responses: list[bytes] = []

    async def test(harness: FrontHarness) -> None:
        for request_id in (b'a', b'b'):
            request = request_bytes(path).replace(
                b'Id: r1', b'Id: ' + request_id
            )
            responses.append(await harness.send(request, 0.4))

    run_with_front(server.answer, test)
    assert responses[0].endswith(b'run a')
    status_line, _, rest = responses[1].partition(b'\r\n')
    if not status_line:
        return 0, b''
    return int(status_line.split()[1]), rest.partition(b'\r\n\r\n')[2]


@pytest.mark.parametrize('is_glued', [False, True])
@pytest.mark.parametrize('change', CHANGES)
@pytest.mark.parametrize('status', STATUSES)
def test_a_repeated_refusal_is_not_passed_on_as_not_run(
    status: str, change: str, is_glued: bool
) -> None:
    """Guards against REFUSED and TWICE: the second request has run."""
    server = RepeatingServer(status, CHANGES[change], is_glued=is_glued)
    outcome = outcome_of_second(server)
    assert outcome == (200, b'run b') or outcome[0] == 502
    assert server.runs == ['a', 'b']


@pytest.mark.parametrize('status', STATUSES)
def test_a_repeated_refusal_does_not_answer_for_a_running_request(
    status: str,
) -> None:
    """The caller gets no answer while the server is at work."""
    server = RepeatingServer(status, CHANGES['as it was'], is_silent=True)
    assert outcome_of_second(server)[0] not in {408, 421, 429, 503}
    assert server.runs == ['a', 'b']


@pytest.mark.parametrize('status', STATUSES)
def test_a_refusal_of_a_server_without_ids_refuses_its_own_request_only(
    status: str,
) -> None:
    """Answers without ids can't be told apart on one connection."""
    server = RepeatingServer(status, CHANGES['as it was'], has_ids=False)
    outcome = outcome_of_second(server)
    assert outcome[0] not in {408, 421, 429, 503}
    assert server.runs.count('b') == 1
