"""Stand-ins of the store and of the API for duties, in virtual time."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from contextvars import Context
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

from result import Err, Ok, Result

from burdockledge.duties import (
    CallOutcome,
    DutyApi,
    DutyStore,
    FenceNumber,
    Lease,
    StoreFailure,
    StoreRecord,
    StoreSnapshot,
)

LEASE_SECONDS = 3.0
_WAY_SECONDS = 0.005
_STORE_TIMEOUT_SECONDS = 0.9
_API_TIMEOUT_SECONDS = 2.0
AnswerT = TypeVar('AnswerT')


def host_of(process: str) -> str:
    """Return the name of the host that a process runs as."""
    return process.partition('#')[0]


def _deliver(
    execute: Callable[[], AnswerT], seconds: float, *, is_answered: bool
) -> asyncio.Future[AnswerT]:
    """Carry out a request later, also if its sender is frozen or killed."""
    loop = asyncio.get_running_loop()
    future: asyncio.Future[AnswerT] = loop.create_future()

    def arrive() -> None:
        answer = execute()
        if is_answered and not future.done():
            future.set_result(answer)

    loop.call_later(seconds, arrive, context=Context())
    return future


@dataclass
class FakeTopic:
    """
    The topic of duties.

    ``cut`` and ``refused`` name hosts. The next append of a host is carried
    out ``late_appends`` seconds later, and not answered.
    """

    records: list[tuple[str, bytes]] = field(default_factory=list)
    era: int = 0
    cut: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    late_appends: dict[str, float] = field(default_factory=dict)
    way_seconds: float = _WAY_SECONDS
    reads: int = 0

    def restore(self, end: int) -> None:
        """Come back from a copy that ends at an offset."""
        del self.records[end:]
        self.era += 1

    def newest(self) -> StoreSnapshot:
        """Return the newest record of each key."""
        records = {
            key: StoreRecord(offset, content)
            for offset, (key, content) in enumerate(self.records)
        }
        return StoreSnapshot(self.era, len(self.records), records)

    def append(
        self, key: str, content: bytes, end: int
    ) -> Result[StoreSnapshot, StoreFailure]:
        """Append a record if the topic ends at an offset."""
        if end != len(self.records):
            return Err(StoreFailure.conflict)
        self.records.append((key, content))
        record = StoreRecord(end, content)
        return Ok(StoreSnapshot(self.era, end + 1, {key: record}))


class FakeStoreClient(DutyStore):
    """The store client of one process."""

    def __init__(self, topic: FakeTopic, process: str) -> None:
        """Create the client of a process."""
        self._topic = topic
        self._host = host_of(process)

    async def read(self) -> Result[StoreSnapshot, StoreFailure]:
        """Read the topic."""
        self._topic.reads += 1
        return await self._exchange(lambda: Ok(self._topic.newest()))

    async def append(
        self, key: str, content: bytes, expected_end: int
    ) -> Result[StoreSnapshot, StoreFailure]:
        """Append a record."""
        late = self._topic.late_appends.pop(self._host, 0)
        return await self._exchange(
            lambda: self._topic.append(key, content, expected_end), late
        )

    async def _exchange(
        self,
        execute: Callable[[], Result[StoreSnapshot, StoreFailure]],
        late: float = 0,
    ) -> Result[StoreSnapshot, StoreFailure]:
        if self._host in self._topic.refused:
            await asyncio.sleep(_WAY_SECONDS)
            return Err(StoreFailure.refused)
        if self._host in self._topic.cut:
            await asyncio.sleep(_STORE_TIMEOUT_SECONDS)
            return Err(StoreFailure.unavailable)
        answer = _deliver(
            execute, late or self._topic.way_seconds, is_answered=not late
        )
        try:
            async with asyncio.timeout(_STORE_TIMEOUT_SECONDS):
                return await answer
        except TimeoutError:
            return Err(StoreFailure.unavailable)


class Call(NamedTuple):
    """A call that has reached the API."""

    at: float
    process: str
    subject: str
    number: FenceNumber
    outcome: CallOutcome


@dataclass
class FakeApi:
    """
    The platform's API, with the rules that calls must keep.

    ``cut`` names hosts whose calls fail, ``late`` the seconds after which
    calls of a host are carried out; they get no answer. Calls get the outcomes
    of ``answers`` first.
    """

    checks_numbers: bool = True
    cut: set[str] = field(default_factory=set)
    late: dict[str, float] = field(default_factory=dict)
    answers: list[CallOutcome] = field(default_factory=list)
    answer_seconds: float = _WAY_SECONDS
    calls: list[Call] = field(default_factory=list)
    broken_rules: list[str] = field(default_factory=list)
    senders: dict[FenceNumber, str] = field(default_factory=dict)

    def execute(
        self, process: str, subject: str, number: FenceNumber
    ) -> CallOutcome:
        """Carry out a call."""
        now = asyncio.get_running_loop().time()
        if self.senders.setdefault(number, process) != process:
            self.broken_rules.append(f'{number} of two machines')
        earlier = [
            call
            for call in self.calls
            if call.subject == subject and call.outcome == CallOutcome.accepted
        ]
        outcome = CallOutcome.accepted
        if any(call.number > number for call in earlier):
            outcome = CallOutcome.fenced
            if not self.checks_numbers:
                self.broken_rules.append(f'{number} at {now} after a higher')
        elif self.answers:
            outcome = self.answers.pop(0)
        self.calls.append(Call(now, process, subject, number, outcome))
        if outcome == CallOutcome.accepted:
            self._check_holders(host_of(process), earlier, now)
        return outcome

    def _check_holders(
        self, host: str, earlier: list[Call], now: float
    ) -> None:
        """Check that no host calls, then another one, then the first again."""
        others_between = False
        for call in reversed(earlier):
            if now - call.at >= LEASE_SECONDS:
                return
            if host_of(call.process) != host:
                others_between = True
            elif others_between:
                self.broken_rules.append(f'{host} again at {now}')
                return


class FakeDutyApi(DutyApi):
    """The API client of one process."""

    def __init__(self, api: FakeApi, process: str) -> None:
        """Create the client of a process."""
        self._api = api
        self._process = process
        self._fenced: set[FenceNumber] = set()
        self.outcomes: dict[CallOutcome, int] = defaultdict(int)

    async def report_usage(self, lease: Lease, report: bytes) -> CallOutcome:
        """Report usage."""
        return await self._call(lease, 'usage')

    async def order_servers(
        self,
        lease: Lease,
        service: str,
        data_centre: str,
        count: int,
        *,
        is_reclaimable: bool,
    ) -> CallOutcome:
        """Order servers."""
        return await self._call(lease, f'{service}/{data_centre}')

    async def _call(self, lease: Lease, subject: str) -> CallOutcome:
        outcome = CallOutcome.unknown
        try:
            outcome = await self._send(lease, subject)
        finally:
            self.outcomes[outcome] += 1
            lease.note_outcome(outcome)
        return outcome

    async def _send(self, lease: Lease, subject: str) -> CallOutcome:
        await asyncio.sleep(_WAY_SECONDS)
        host = host_of(self._process)
        if host in self._api.cut:
            return CallOutcome.failed
        if not lease.is_valid():
            return CallOutcome.not_sent
        number = lease.fence_number
        if number in self._fenced:
            self._api.broken_rules.append(f'{number} after it was fenced')
        late = self._api.late.get(host, 0)
        answer = _deliver(
            lambda: self._api.execute(self._process, subject, number),
            late or self._api.answer_seconds,
            is_answered=not late,
        )
        try:
            async with asyncio.timeout(_API_TIMEOUT_SECONDS):
                outcome = await answer
        except TimeoutError:
            return CallOutcome.unknown
        if outcome == CallOutcome.unavailable and await lease.is_superseded():
            outcome = CallOutcome.fenced
        if outcome == CallOutcome.fenced:
            self._fenced.add(number)
        return outcome
