"""Asks the hosts for their counts of calls, and answers such questions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from burdockledge.duties import find_place
from burdockledge.kernel import TaskGroupService
from burdockledge.usage._collector import UsageCollector
from burdockledge.usage._counter import UsageCounter
from burdockledge.usage._fleet_clock import FleetClock
from burdockledge.usage._ports import UsageSource
from burdockledge.wire import NO_ERA, Note, UsagePull, UsageTotals

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.replication import GossipExchange

_TICK_SECONDS: Final = 0.15
# Hosts that do not ask only have to see whether they should.
_IDLE_TICK_SECONDS: Final = 0.5
# The holder asks once per second; after this time without a question from it
# there is another holder or none.
_HOLDER_SECONDS: Final = 3.5
# The questions of a host are answered once more as this host stops.
_ASKER_SECONDS: Final = 3.0
# Windows in one answer: the one that is open, the one that has just ended, and
# two that were lost. Of 24 teams they need less than 1,200 bytes compressed.
_MAX_WINDOWS: Final = 4
_PROCESS_BITS: Final = 48
# With the clocks of two other hosts, the median is right if any one is wrong.
# Hosts usually hear from these within a second; one that is alone goes by its
# own clock after the longer time.
_CORRECTING_HOSTS: Final = 2
_MAX_CORRECTION_SECONDS: Final = 3.0
_FAREWELLS: Final = 3


class UsageGossip(TaskGroupService, UsageSource):
    """
    Counts own calls, and collects the counts of all hosts where it must.

    The holder of the duty collects them, and the host that is to claim it
    next, which thus knows what killed hosts have counted.
    ``store_era`` returns the newest known era of the store.
    """

    name = 'usage'

    def __init__(
        self,
        host: str,
        exchange: GossipExchange,
        window_seconds: float,
        clock: Clock,
        random: Random,
    ) -> None:
        """Take the notes of an exchange, and let it send the time."""
        super().__init__()
        self._host = host
        self._exchange = exchange
        self._clock = clock
        self._process = random.getrandbits(_PROCESS_BITS)
        self._counter = UsageCounter(window_seconds)
        self._collector = UsageCollector(window_seconds)
        self._fleet_clock = FleetClock()
        self._started_at = clock.monotonic()
        self._knows_time = False
        # Calls of the time before, by team and monotonic time.
        self._undated_runs: list[tuple[str, float]] = []
        self._asking_since: float | None = None
        self._holding_at: float | None = None
        # The host that was last known to report usage, and when.
        self._holder: tuple[str, float] | None = None
        # The addresses of hosts that ask this one, and when they last did.
        self._askers: dict[str, float] = {}
        self._eras: dict[int, float] = {}
        self.store_era: Callable[[], int] = lambda: NO_ERA
        exchange.sends_time = True
        exchange.on_note = self._receive

    async def start(self) -> None:
        """Start to ask other hosts whenever this host has to."""
        self.supervise(self._ask_forever)

    async def stop(self) -> None:
        """Send the last counts to the hosts that ask for them."""
        now = self._clock.monotonic()
        for address, asked_at in self._askers.items():
            if now - asked_at < _ASKER_SECONDS:
                first = self._collector.reported_before
                for _ in range(_FAREWELLS):
                    self._answer(address, first)
        await super().stop()

    def note_run(self, team: str, at: float) -> None:
        """Count a call that a server began to run at a monotonic time."""
        if self.knows_time():
            self._counter.count(team, self._true_time(at))
        else:
            self._undated_runs.append((team, at))

    def knows_time(self) -> bool:
        """Return whether the clocks of other hosts have corrected the time."""
        if self._knows_time:
            return True
        seconds = self._clock.monotonic() - self._started_at
        self._knows_time = (
            self._fleet_clock.host_count >= _CORRECTING_HOSTS
            or seconds >= _MAX_CORRECTION_SECONDS
        )
        if self._knows_time:
            for team, at in self._undated_runs:
                self._counter.count(team, self._true_time(at))
            self._undated_runs.clear()
        return self._knows_time

    def now(self) -> float:
        """Return the true time."""
        return self._true_time(self._clock.monotonic())

    def started_at(self) -> float:
        """Return when this process started."""
        return self._true_time(self._started_at)

    def asking_since(self) -> float | None:
        """Return since when this host asks the others, None if it does not."""
        if self._asking_since is None:
            return None
        return self._true_time(self._asking_since)

    def era_since(self, era: int) -> float:
        """Return when this process first saw an era of the store."""
        first_seen_at = self._eras.setdefault(era, self._clock.monotonic())
        return self._true_time(first_seen_at)

    def kept_from(self) -> int:
        """Return the first window whose counts are kept."""
        return self._collector.reported_before

    def note_holding(self, recorded_before: int) -> None:
        """Record that this host reports usage now."""
        self._holding_at = self._clock.monotonic()
        self._holder = (self._host, self._holding_at)
        self._collector.reported_before = max(
            self._collector.reported_before, recorded_before
        )
        if self._asking_since is None:
            self._asking_since = self._holding_at
        self._merge_own()

    def counts(self, window: int) -> dict[str, int]:
        """Return the calls of each team in a window, as far as known."""
        return self._collector.counts(window)

    def missing(self, window: int) -> list[str]:
        """Return the hosts whose totals of a window are not final here."""
        hosts = (self._host, *self._exchange.peers.addresses_by_host)
        return self._collector.missing(window, hosts)

    async def _ask_forever(self) -> None:
        while True:
            self._note_era()
            pause_seconds = _TICK_SECONDS
            if self.knows_time():
                pause_seconds = self._ask_if_due(self._clock.monotonic())
            await asyncio.sleep(pause_seconds)

    def _ask_if_due(self, now: float) -> float:
        """Ask the other hosts if this host has to; return the pause."""
        if self._must_ask(now):
            if self._asking_since is None:
                self._asking_since = now
            self._ask(now)
            return _TICK_SECONDS
        self._asking_since = None
        self._counter.close(self.now())
        self._collector.forget_old(self.now())
        return _IDLE_TICK_SECONDS

    def _note_era(self) -> None:
        era = self.store_era()
        if era != NO_ERA and era not in self._eras:
            self.era_since(era)

    def _must_ask(self, now: float) -> bool:
        if self._is_holder(now):
            return True
        holder = None
        if self._holder is not None and (
            now - self._holder[1] < _HOLDER_SECONDS
        ):
            holder = self._holder[0]
        peers = self._exchange.peers.addresses_by_host
        return find_place(self._host, peers, holder) == 0

    def _is_holder(self, now: float) -> bool:
        return (
            self._holding_at is not None
            and now - self._holding_at < _HOLDER_SECONDS
        )

    def _ask(self, now: float) -> None:
        self._merge_own()
        addresses = self._exchange.peers.addresses_by_host
        due = self._collector.due_hosts(addresses, now, self.now())
        is_holder = self._is_holder(now)
        for host in due:
            pull = self._collector.pull_for(
                host, self._process, is_holder=is_holder
            )
            self._exchange.send(
                addresses[host], Note(self._host, usage_pull=pull)
            )

    def _merge_own(self) -> None:
        true_now = self.now()
        self._collector.forget_old(true_now)
        self._collector.merge(
            UsageTotals(
                self._host,
                self._process,
                self._counter.close(true_now),
                self._counter.totals(self._collector.reported_before),
            ),
            self._host,
            self._clock.monotonic(),
        )

    def _receive(self, note: Note, source: str) -> None:
        now = self._clock.monotonic()
        if note.sent_at_ms is not None:
            self._fleet_clock.note_host(note.host, note.sent_at_ms, now)
        for totals in note.usage_totals:
            if totals.host != self._host or totals.process != self._process:
                self._collector.merge(totals, note.host, now)
        if note.usage_pull is not None:
            self._answer_pull(note.host, source, note.usage_pull, now)

    def _answer_pull(
        self, host: str, source: str, pull: UsagePull, now: float
    ) -> None:
        if pull.is_holder:
            self._holder = (host, now)
            self._collector.reported_before = max(
                self._collector.reported_before, pull.reported_before
            )
        self._askers[source] = now
        first = pull.reported_before
        if pull.process == self._process:
            first = pull.from_window
        ended: list[UsageTotals] = []
        if self._asking_since is not None:
            ended = self._collector.ended_processes(
                pull.reported_before,
                (self._host, *self._exchange.peers.addresses_by_host),
                host,
                pull.own_process,
            )
        self._answer(source, first, *ended)

    def _answer(self, address: str, first: int, *others: UsageTotals) -> None:
        """Send own totals from a window on, and those of other processes."""
        if not self.knows_time():
            # What is said to be final can't be corrected.
            return
        closed_before = self._counter.close(self.now())
        oldest = closed_before - _MAX_WINDOWS + 1
        if first < oldest:
            # More windows are missing: the oldest ones first.
            counts = self._counter.totals(first)
            windows = dict(list(counts.items())[:_MAX_WINDOWS])
            if len(counts) > _MAX_WINDOWS:
                closed_before = min(closed_before, max(windows) + 1)
        else:
            windows = self._counter.totals(first)
        totals = UsageTotals(self._host, self._process, closed_before, windows)
        self._exchange.send(
            address, Note(self._host, usage_totals=[totals, *others])
        )

    def _true_time(self, at: float) -> float:
        return self._fleet_clock.seconds_at(
            at, self._clock.wall_ms(), self._clock.monotonic()
        )


__all__ = ('UsageGossip',)
