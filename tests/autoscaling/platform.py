"""A fake of the platform's API, of a fleet and of a lease."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from burdockledge.autoscaling import (
    Demand,
    Fleet,
    Pool,
    ServerKind,
    ServerOrders,
    ServiceView,
)
from burdockledge.calls import AutoscaleConfiguration
from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.duties import (
    CallOutcome,
    DutyApi,
    FenceNumber,
    Lease,
    StoreRecord,
)
from burdockledge.telemetry import Metrics

SERVICE = 'model'
PRICES = {'a': 1.0, 'b': 0.8, 'c': 1.25}
BOOT_SECONDS = 4.0
NOTICE_SECONDS = 2.5
AUTOSCALE = AutoscaleConfiguration(1, 40, BOOT_SECONDS, 0.18, PRICES)
MEAN_DEMAND = Demand(13, 6, 17, 13, 13, 30)
# One kind, a third of the work, three times as much.
BURST_DEMAND = Demand(14, 6, 30, 24, 20, 30)


def normal(data_centre: str) -> Pool:
    """Return the pool of normal servers of a data centre."""
    return Pool(data_centre, ServerKind.normal)


def spot(data_centre: str) -> Pool:
    """Return the pool of spot servers of a data centre."""
    return Pool(data_centre, ServerKind.spot)


@dataclass(frozen=True)
class Order:
    """An order that arrived, and what came of it."""

    at: float
    pool: Pool
    count: int
    outcome: CallOutcome


class FakePlatform(DutyApi):
    """Boots and removes servers as ordered; faults are set by the test."""

    def __init__(
        self, clock: VirtualClock, servers: Mapping[Pool, int]
    ) -> None:
        """Start with servers that are ready."""
        self._clock = clock
        # When each server is ready, by pool.
        self._ready_at = {
            pool: [0.0] * count for pool, count in servers.items()
        }
        self.orders: list[Order] = []
        self.unavailable_until: dict[ServerKind, float] = {}
        # Data centres without any spot servers to order.
        self.unavailable_in: set[str] = set()
        # The outcome of all orders instead of the true one.
        self.outcome: CallOutcome | None = None
        self.is_carried_out = True
        self.late_seconds = 0.0

    def ready(self) -> dict[Pool, int]:
        """Return the ready servers by pool."""
        now = self._clock.monotonic()
        return {
            pool: sum(ready_at <= now for ready_at in times)
            for pool, times in self._ready_at.items()
        }

    def ready_by_kind(self) -> dict[ServerKind, int]:
        """Return the ready servers by kind."""
        ready = self.ready()
        return {
            kind: sum(n for pool, n in ready.items() if pool.kind is kind)
            for kind in ServerKind
        }

    def reclaim(self, data_centre: str) -> None:
        """Take all spot servers of a data centre; they drain at once."""
        self._ready_at[spot(data_centre)] = []

    async def report_usage(self, lease: Lease, report: bytes) -> CallOutcome:
        """Is not used here."""
        raise NotImplementedError

    async def order_servers(
        self,
        lease: Lease,
        service: str,
        data_centre: str,
        count: int,
        *,
        is_reclaimable: bool,
    ) -> CallOutcome:
        """Carry out an order unless a fault is set."""
        assert service == SERVICE
        now = self._clock.monotonic()
        kind = ServerKind.spot if is_reclaimable else ServerKind.normal
        pool = Pool(data_centre, kind)
        present = self._ready_at.get(pool, [])
        outcome = self.outcome or CallOutcome.accepted
        is_addition = count > len(present)
        is_available = now >= self.unavailable_until.get(kind, 0) and not (
            is_reclaimable and data_centre in self.unavailable_in
        )
        if is_addition and not is_available:
            outcome = CallOutcome.unavailable
        self.orders.append(Order(now, pool, count, outcome))
        lease.note_outcome(outcome)
        is_refused = outcome in {CallOutcome.unavailable, CallOutcome.fenced}
        if self.is_carried_out and not is_refused:
            asyncio.get_running_loop().call_later(
                self.late_seconds, self.carry_out_late, pool, count
            )
        return outcome

    def carry_out_late(
        self, pool: Pool, count: int, boot_seconds: float = BOOT_SECONDS
    ) -> None:
        """Carry out an order whose answer, if any, was sent before."""
        times = self._ready_at.setdefault(pool, [])
        boots = self._clock.monotonic() + boot_seconds
        times += [boots] * (count - len(times))
        del times[count:]


class FakeLease(Lease):
    """A lease whose records outlive it."""

    def __init__(self, records: dict[str, StoreRecord]) -> None:
        """Hold a lease over the records of a store."""
        self._records = records
        self.is_held = True
        self.is_store_up = True

    @property
    def fence_number(self) -> FenceNumber:
        """Some number."""
        return FenceNumber(1, 1)

    def is_valid(self) -> bool:
        """Return whether the test has not ended the lease."""
        return self.is_held

    def records(self) -> Mapping[str, StoreRecord]:
        """Return all records."""
        return self._records

    async def write(self, key: str, content: bytes) -> bool:
        """Write a record unless the store is down."""
        if self.is_store_up:
            self._records[key] = StoreRecord(len(self._records), content)
        return self.is_store_up

    def note_outcome(self, outcome: CallOutcome) -> None:
        """End the lease as another host has called."""
        self.is_held = self.is_held and outcome is not CallOutcome.fenced


class FakeFleet(Fleet):
    """The servers of the platform, and a demand that the test sets."""

    def __init__(self, platform: FakePlatform) -> None:
        """Start without traffic."""
        self._platform = platform
        self.autoscale = AUTOSCALE
        self.demand = Demand()
        self.is_current = True
        self.is_configured = True

    def views(self, now: float) -> list[ServiceView]:
        """Return the one service, if it is configured for orders."""
        if not self.is_configured:
            return []
        return [
            ServiceView(
                SERVICE,
                self.autoscale,
                self._platform.ready(),
                self.demand,
                self.is_current,
            )
        ]


class Scene:
    """A holder, the platform and the store in virtual time."""

    def __init__(
        self, servers: Mapping[Pool, int], *, is_suspended: bool = False
    ) -> None:
        """Start a holder with servers that are ready."""
        self._loop = VirtualTimeLoop()
        self._clock = VirtualClock(self._loop)
        self.platform = FakePlatform(self._clock, servers)
        self.fleet = FakeFleet(self.platform)
        self.records: dict[str, StoreRecord] = {}
        self.lease = FakeLease(self.records)
        self.metrics = Metrics()
        self._is_suspended = is_suspended
        self.least_ready = sum(servers.values())
        self.duty = self._new_duty()

    @property
    def now(self) -> float:
        """The present time."""
        return self._clock.monotonic()

    def change_holder(self) -> None:
        """Let another host take over, with the records of the store."""
        self.lease = FakeLease(self.records)
        self.duty = self._new_duty()

    def play(self, seconds: float) -> None:
        """Run the duty for some time."""
        self._loop.run_until_complete(self._play(self.now + seconds))

    def totals(self) -> dict[str, int]:
        """Return the ready servers of each data centre."""
        totals: Counter[str] = Counter()
        for pool, count in self.platform.ready().items():
            totals[pool.data_centre] += count
        return dict(totals)

    def kinds(self) -> dict[ServerKind, int]:
        """Return the ready servers of each kind."""
        return self.platform.ready_by_kind()

    async def _play(self, end: float) -> None:
        while self.now < end:
            seconds = await self.duty.run(self.lease)
            await asyncio.sleep(seconds)
            ready = sum(self.platform.ready().values())
            self.least_ready = min(self.least_ready, ready)

    def _new_duty(self) -> ServerOrders:
        return ServerOrders(
            self.fleet,
            self.platform,
            self._clock,
            self.metrics,
            50,
            is_suspended=self._is_suspended,
        )


def even_fleet(count: int = 15) -> dict[Pool, int]:
    """Return as many normal servers in each data centre."""
    return {normal(data_centre): count for data_centre in PRICES}
