"""Claims in a log that comes back from an older copy of its records."""

from __future__ import annotations

import asyncio
from random import Random

from result import Ok, Result

from burdockledge.claims import ClaimService, Held, IdempotencyKey, KeyWindow
from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.platform_api import (
    LogClient,
    LogPage,
    LogRecord,
    PlatformFailure,
)
from burdockledge.telemetry import TimeLine

NOW_MS = 10_000_000
KEY_LIFETIME_MS = 1_000_000


class RestorableLog(LogClient):
    """A log that gives offsets out again after a restore."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.bodies: list[str] = []

    async def append(
        self, stream: str, body: str
    ) -> Result[int, PlatformFailure]:
        """Append a record."""
        self.bodies.append(body)
        return Ok(len(self.bodies) - 1)

    async def read(
        self, stream: str, from_offset: int, wait_seconds: float
    ) -> Result[LogPage, PlatformFailure]:
        """Return the records from an offset on, none from beyond the end."""
        await asyncio.sleep(0.01)
        records = tuple(
            LogRecord(offset=offset, at_ms=NOW_MS, body=body)
            for offset, body in enumerate(self.bodies)
            if offset >= from_offset
        )
        end = max(from_offset, len(self.bodies))
        return Ok(
            LogPage(earliest=0, next_offset=end, now_ms=NOW_MS, records=records)
        )


def test_two_hosts_do_not_hold_a_key_after_a_restore_of_the_log() -> None:
    """Guards against TWICE: claims at offsets given out again are not read."""
    loop = VirtualTimeLoop()
    log = RestorableLog()

    def make_service(host: str, boot: int) -> ClaimService:
        return ClaimService(
            log,
            host,
            boot,
            KeyWindow(KEY_LIFETIME_MS),
            Random(host),
            TimeLine(host, VirtualClock(loop), 100),
        )

    def key(name: str) -> IdempotencyKey:
        return IdempotencyKey(name, NOW_MS, name)

    async def scenario() -> list[bool]:
        first, second = make_service('a', 1), make_service('b', 2)
        await first.start()
        for number in range(4):
            await first.claim(key(f'lost {number}'), 'body', 5)
        del log.bodies[1:]
        await second.start()
        results = [await second.claim(key('k'), 'body', 5)]
        for number in range(4):
            await second.claim(key(f'new {number}'), 'body', 5)
        await asyncio.sleep(1)
        results.append(await first.claim(key('k'), 'body', 5))
        await asyncio.gather(first.stop(), second.stop())
        return [isinstance(result, Held) for result in results]

    try:
        held = loop.run_until_complete(scenario())
    finally:
        loop.shut_down()
    assert held == [True, False]
