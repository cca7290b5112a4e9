"""The service that does the duties while this host holds them."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final

from burdockledge.duties._claim_writer import ClaimWriter
from burdockledge.duties._lease_state import ClaimCheck, LeaseState
from burdockledge.duties._lease_times import LeaseTimes
from burdockledge.duties._ports import CallOutcome, FenceNumber
from burdockledge.duties._records import HOLDER_KEY
from burdockledge.duties._term import LeaseOwner, Term
from burdockledge.duties._watch_order import (
    WATCH_SECONDS,
    find_place,
    read_period_seconds,
)
from burdockledge.kernel import TaskGroupService
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.duties._ports import Duty, DutyStore, StoreRecord
    from burdockledge.settings import DutySettings
    from burdockledge.telemetry import Metrics

_log = make_logger('duties')

# Renewals in a lease, so that two may fail before it ends.
_RENEWALS_PER_LEASE: Final = 3
# A failed append or read of the holder is repeated after this time.
_RETRY_SECONDS: Final = 0.3
# The claim of the second watcher comes after that of the first.
_PLACE_SECONDS: Final = 0.5
# All hosts of a site may start at once and then read the topic once.
_MAX_START_SECONDS: Final = 0.5
_RELEASE_ATTEMPTS: Final = 3
# Leases after which a holder whose calls fail gives the duties up.
_FAILING_LEASES: Final = 2
_INCARNATION_BITS: Final = 64
_FAILURES: Final = frozenset((CallOutcome.failed, CallOutcome.unknown))


class DutyHolder(TaskGroupService, LeaseOwner):
    """
    Claims the duties, renews the claim, does them and gives them up.

    ``list_hosts`` returns the names of the hosts that may be alive.
    """

    name = 'duty-holder'

    def __init__(
        self,
        own_host: str,
        store: DutyStore,
        settings: DutySettings,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        """Create a holder without duties; it claims nothing then."""
        super().__init__()
        self._own_host = own_host
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._times = LeaseTimes.from_settings(settings)
        incarnation = f'{random.getrandbits(_INCARNATION_BITS):016x}'
        self._state = LeaseState(own_host, incarnation, self._times)
        self._writer = ClaimWriter(
            own_host, incarnation, store, self._state, clock
        )
        self._duties: list[Duty] = []
        self._term: Term | None = None
        # When the last read of a watcher began.
        self._read_at = -math.inf
        # Since when every call has failed, and how many did.
        self._failing_since = math.inf
        self._failure_count = 0
        self._is_leaving = False
        self._wake = asyncio.Event()
        self.list_hosts: Callable[[], list[str]] = list

    @property
    def fence_number(self) -> FenceNumber | None:
        """The number of the claim of this process, None without one."""
        return self._state.claim

    def register(self, duty: Duty) -> None:
        """Add a duty before the start."""
        self._duties.append(duty)

    async def start(self) -> None:
        """Start to watch the claims, unless there is no duty to do."""
        if not self._duties:
            return
        self._metrics.set_gauge_function(
            'duty_holder', lambda: int(self._state.claim is not None)
        )
        self.supervise(self._hold_forever)

    def release_soon(self) -> None:
        """Give the duties up, as this host is about to stop."""
        self._is_leaving = True
        self._state.stop_calls()
        self._wake.set()

    def is_valid(self, number: FenceNumber) -> bool:
        """Return whether a call with a number may be sent now."""
        return self._state.is_valid(number, self._clock.monotonic())

    def records(self) -> Mapping[str, StoreRecord]:
        """Return the newest records of the topic."""
        snapshot = self._state.snapshot
        return {} if snapshot is None else snapshot.records

    async def write(
        self, number: FenceNumber, key: str, content: bytes
    ) -> bool:
        """Write a record under the claim with a number."""
        is_written = await self._writer.append(number, key, content)
        if not is_written:
            self._wake.set()
        return is_written

    async def is_superseded(self, number: FenceNumber) -> bool:
        """Return whether the store shows a newer claim."""
        if self._state.claim != number:
            return True
        await self._writer.read()
        is_superseded = self._state.check_claim() == ClaimCheck.superseded
        if is_superseded:
            self._wake.set()
        return is_superseded

    def note_outcome(
        self, duty: str, number: FenceNumber, outcome: CallOutcome
    ) -> None:
        """Record how a call of a duty ended."""
        now = self._clock.monotonic()
        self._metrics.count('duty_calls', duty=duty, outcome=outcome.name)
        _log.info(
            'Call of a duty.',
            duty=duty,
            outcome=outcome.value,
            **_describe(number),
        )
        self._state.note_outcome(number, outcome, now)
        if outcome in _FAILURES:
            self._failing_since = min(self._failing_since, now)
            self._failure_count += 1
        elif outcome != CallOutcome.not_sent:
            self._forget_failures()
        if outcome == CallOutcome.fenced:
            _log.warning('Duties are lost.', why='fenced', **_describe(number))
            self._wake.set()

    async def _hold_forever(self) -> None:
        await self._pause(self._random.random() * _MAX_START_SECONDS)
        while not self._is_leaving:
            await self._change_term()
            await self._pause(await self._step())
        await self._release('the host stops')

    async def _step(self) -> float:
        """Do what is due for the claim; return the seconds until the next."""
        if self._state.claim is None:
            seconds = await self._watch()
        else:
            seconds = await self._keep()
        await self._change_term()
        return seconds

    async def _pause(self, seconds: float) -> None:
        """Sleep, unless a lease has ended or this host stops."""
        self._wake.clear()
        if self._is_leaving:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _change_term(self) -> None:
        """Run the duties under the claim of now, and under no other."""
        claim = self._state.claim
        if self._term is not None and self._term.number != claim:
            await self._stop_term()
        if self._term is None and claim is not None:
            self._forget_failures()
            self._term = Term(claim, self._duties)
            self._term.start(self, self.supervise)

    async def _stop_term(self) -> None:
        if self._term is not None:
            term = self._term
            self._term = None
            await term.stop()

    async def _watch(self) -> float:
        """Read the topic if it is due, and claim; return the pause."""
        seconds = self._seconds_until_read()
        if seconds > 0:
            return min(seconds, WATCH_SECONDS)
        self._read_at = self._clock.monotonic()
        if not await self._writer.read():
            return WATCH_SECONDS
        if self._take_up():
            return 0
        if self._seconds_until_claim() > 0:
            return min(max(0.0, self._seconds_until_read()), WATCH_SECONDS)
        return 0 if await self._claim() else _RETRY_SECONDS

    async def _keep(self) -> float:
        """Renew the claim if it is due; return the pause."""
        if self._writer.is_in_doubt and not await self._writer.read():
            return _RETRY_SECONDS
        check = self._state.check_claim()
        if check != ClaimCheck.holds:
            return await self._replace(check)
        if self._must_give_up():
            await self._release('calls to the API fail')
            return WATCH_SECONDS
        period = self._times.lease / _RENEWALS_PER_LEASE
        renewed_at = self._state.renewed_at
        now = self._clock.monotonic()
        if now < renewed_at + period:
            return renewed_at + period - now
        if not await self._writer.renew():
            return _RETRY_SECONDS
        if self._times.lease < now - renewed_at < math.inf:
            _log.warning(
                'Claim is renewed late.',
                seconds=round(now - renewed_at, 2),
                **self._describe_claim(),
            )
        return period

    def _take_up(self) -> bool:
        """Hold a claim that was carried out without an answer."""
        now = self._clock.monotonic()
        if self._state.own_claim() is None or self._state.is_paused(now):
            return False
        self._state.take_up(now)
        _log.info(
            'Duties are claimed.',
            why='a claim without an answer was carried out',
            **self._describe_claim(),
        )
        return True

    async def _claim(self) -> bool:
        before = self._state.holder_host
        if not await self._writer.claim():
            return False
        _log.info(
            'Duties are claimed.', before=before, **self._describe_claim()
        )
        return True

    async def _replace(self, check: ClaimCheck) -> float:
        """Claim anew or step down, as the store does not show the claim."""
        number = self._state.claim
        has_lease = self._state.has_lease(self._clock.monotonic())
        if check == ClaimCheck.lost and has_lease:
            await self._stop_term()
            if await self._claim():
                return 0
        _log.warning('Duties are lost.', why=check.value, **_describe(number))
        self._state.end(self._clock.monotonic(), must_pause=False)
        return 0

    def _must_give_up(self) -> bool:
        """Return whether only another host may get through to the API."""
        failing_seconds = self._clock.monotonic() - self._failing_since
        return (
            failing_seconds > _FAILING_LEASES * self._times.lease
            and self._failure_count > 1
        )

    async def _release(self, why: str) -> None:
        """Let another host claim; it may do so at once if that is safe."""
        number = self._state.claim
        if number is None:
            return
        self._state.stop_calls()
        await self._stop_term()
        release = self._state.encode_release(self._clock.monotonic())
        is_written = False
        for _ in range(_RELEASE_ATTEMPTS):
            is_written = await self._writer.append(number, HOLDER_KEY, release)
            if is_written or self._state.claim != number:
                break
            await asyncio.sleep(_RETRY_SECONDS)
        self._state.end(self._clock.monotonic(), must_pause=True)
        _log.info(
            'Duties are given up.',
            why=why,
            is_written=is_written,
            **_describe(number),
        )

    def _seconds_until_read(self) -> float:
        now = self._clock.monotonic()
        if self._state.snapshot is None:
            return self._read_at + WATCH_SECONDS - now
        period = read_period_seconds(
            self._place(), self._times.wait, self._state.unchanged_seconds
        )
        until_read = self._read_at + period - now
        if period > WATCH_SECONDS:
            return until_read
        return min(until_read, self._seconds_until_claim())

    def _seconds_until_claim(self) -> float:
        return self._state.seconds_until_claim(
            self._clock.monotonic(), self._place() * _PLACE_SECONDS
        )

    def _place(self) -> int:
        return find_place(
            self._own_host, self.list_hosts(), self._state.holder_host
        )

    def _forget_failures(self) -> None:
        self._failing_since = math.inf
        self._failure_count = 0

    def _describe_claim(self) -> dict[str, int | None]:
        return _describe(self._state.claim)


def _describe(number: FenceNumber | None) -> dict[str, int | None]:
    """Return the fields of a log line that name a claim."""
    if number is None:
        return {'era': None, 'offset': None}
    return {'era': number.era, 'offset': number.offset}


__all__ = ('DutyHolder',)
