"""Calls of duties, with a stand-in of the platform's API on loopback."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace

import pytest

from burdockledge.clock import SystemClock
from burdockledge.duties import (
    CallOutcome,
    FenceNumber,
    Lease,
    StoreRecord,
)
from burdockledge.platform import HttpDutyApi, _duty_api
from tests.duties.site import make_duty_settings
from tests.platform_adapter.standin_server import Handler, StandInServer
from tests.ports import free_address

REPORT = b'{"window_id": 7, "counts": {"team": 3}}'


class FakeLease(Lease):
    """A lease that a test ends."""

    def __init__(
        self, *, is_valid: bool = True, is_superseded: bool = False
    ) -> None:
        """Create the lease of the claim at offset 41 of era 2."""
        self._is_valid = is_valid
        self._is_superseded = is_superseded
        self.outcomes: list[CallOutcome] = []

    @property
    def fence_number(self) -> FenceNumber:
        """The number of the claim."""
        return FenceNumber(2, 41)

    def is_valid(self) -> bool:
        """Return whether the lease holds."""
        return self._is_valid

    def records(self) -> Mapping[str, StoreRecord]:
        """Return nothing."""
        return {}

    async def write(self, key: str, content: bytes) -> bool:
        """Write nothing."""
        return False

    async def is_superseded(self) -> bool:
        """Return whether there is a newer claim."""
        return self._is_superseded

    def note_outcome(self, outcome: CallOutcome) -> None:
        """Keep the outcome."""
        self.outcomes.append(outcome)


def answer_with(status: int, body: bytes = b'') -> Handler:
    """Return a handler that gives one answer."""
    head = f'HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n'

    async def answer(
        _: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head.encode() + body)

    return answer


async def close(
    _: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Close the connection without an answer."""
    writer.close()


async def stay_silent(
    _: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Give no answer while the client waits."""
    await reader.read()


def run_with_api(
    handler: Handler,
    test: Callable[[HttpDutyApi, StandInServer], Awaitable[None]],
    calls_per_second: float = 50,
) -> None:
    """Run a test with a client of a stand-in."""

    async def run() -> None:
        server = StandInServer(handler)
        await server.start()
        settings = replace(
            make_duty_settings(),
            api_address=server.address,
            calls_per_second=calls_per_second,
        )
        await test(HttpDutyApi('own', settings, SystemClock()), server)
        await server.stop()

    asyncio.run(run())


async def order(api: HttpDutyApi, lease: Lease, *, spot: bool) -> CallOutcome:
    """Order servers."""
    return await api.order_servers(lease, 'chat', 'a', 3, is_reclaimable=spot)


def test_calls_bear_the_holder_and_its_number() -> None:
    """Guards against calls that the platform can not order."""

    async def test(api: HttpDutyApi, server: StandInServer) -> None:
        lease = FakeLease()
        assert await api.report_usage(lease, REPORT) == CallOutcome.accepted
        for spot in (False, True):
            assert await order(api, lease, spot=spot) == CallOutcome.accepted
        (usage, report), (_, plain), (_, reclaimable) = server.requests
        assert usage.startswith(b'POST /usage HTTP/1.1\r\n')
        assert b'Burdockledge-Duty-Holder: own\r\n' in usage
        token = 2 * 2**32 + 42
        assert f'Burdockledge-Fence-Token: {token}\r\n'.encode() in usage
        assert report == REPORT
        expected = {'backend': 'chat', 'zone': 'a', 'desired_count': 3}
        assert json.loads(plain) == expected
        assert json.loads(reclaimable) == {**expected, 'spot': True}
        assert server.connection_count == 3
        assert lease.outcomes == [CallOutcome.accepted] * 3

    run_with_api(answer_with(200), test)


@pytest.mark.parametrize(
    ('handler', 'usage', 'scale'),
    [
        (answer_with(409), 'fenced', 'unavailable'),
        (answer_with(409, b'{"error": "fenced"}'), 'fenced', 'fenced'),
        (answer_with(409, b'none available'), 'fenced', 'unavailable'),
        (answer_with(429), 'limited', 'limited'),
        (answer_with(503), 'failed', 'failed'),
        (answer_with(400), 'failed', 'failed'),
        (answer_with(302), 'failed', 'failed'),
        (answer_with(500), 'unknown', 'unknown'),
        (close, 'unknown', 'unknown'),
        (stay_silent, 'unknown', 'unknown'),
    ],
)
def test_answers_tell_how_a_call_ended(
    handler: Handler, usage: str, scale: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls that may have run and pass for refused ones."""
    monkeypatch.setattr(_duty_api, '_CALL_SECONDS', 0.3)

    async def test(api: HttpDutyApi, _: StandInServer) -> None:
        lease = FakeLease()
        assert (await api.report_usage(lease, REPORT)).name == usage
        assert (await order(api, lease, spot=False)).name == scale
        assert [one.name for one in lease.outcomes] == [usage, scale]

    run_with_api(handler, test)


def test_a_conflict_after_a_newer_claim_is_for_fencing() -> None:
    """Guards against a former holder that orders in another place."""

    async def test(api: HttpDutyApi, _: StandInServer) -> None:
        lease = FakeLease(is_superseded=True)
        assert await order(api, lease, spot=False) == CallOutcome.fenced

    run_with_api(answer_with(409), test)


def test_a_call_is_not_sent_after_the_lease() -> None:
    """Guards against a lease that ends while the connection is opened."""

    async def test(api: HttpDutyApi, server: StandInServer) -> None:
        lease = FakeLease(is_valid=False)
        assert await api.report_usage(lease, REPORT) == CallOutcome.not_sent
        assert server.connection_count == 1
        assert not server.requests

    run_with_api(answer_with(200), test)


def test_a_call_without_connection_was_not_carried_out() -> None:
    """Guards against a wait for a late call that was never sent."""

    async def test() -> None:
        settings = replace(make_duty_settings(), api_address=free_address())
        api = HttpDutyApi('own', settings, SystemClock())
        outcome = await api.report_usage(FakeLease(), REPORT)
        assert outcome == CallOutcome.failed

    asyncio.run(test())


def test_a_cancelled_call_may_have_been_carried_out() -> None:
    """Guards against a release that seems safe with a call under way."""

    async def test(api: HttpDutyApi, server: StandInServer) -> None:
        lease = FakeLease()
        call = asyncio.create_task(api.report_usage(lease, REPORT))
        while not server.requests:
            await asyncio.sleep(0.01)
        call.cancel()
        await asyncio.wait((call,))
        assert lease.outcomes == [CallOutcome.unknown]

    run_with_api(stay_silent, test)


def test_calls_keep_well_under_the_limit() -> None:
    """Guards against 429 for all hosts, and against calls in a queue."""

    async def test(api: HttpDutyApi, server: StandInServer) -> None:
        lease = FakeLease()
        calls = [api.report_usage(lease, REPORT) for _ in range(5)]
        outcomes = await asyncio.gather(*calls)
        # With a limit of 4, a host makes 2 calls in a second.
        assert outcomes.count(CallOutcome.limited) == 2
        assert len(server.requests) == 3

    run_with_api(answer_with(200), test, calls_per_second=4)
