"""Merges what the hosts have counted, and tells whom to ask again."""

from __future__ import annotations

import math
import sys
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from burdockledge.usage._counter import KEPT_SECONDS
from burdockledge.wire import UsagePull, UsageTotals

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Every host is asked at this interval: what a killed host has counted since
# its last answer is lost.
_ASK_SECONDS: Final = 1.0
# A host that does not answer is asked again after this time.
_ASK_AGAIN_SECONDS: Final = 0.3
# The same for a window that has ended: with 30% of the datagrams lost, the 20
# rounds before the decision leave one host of a million incomplete.
_ASK_ENDED_SECONDS: Final = 0.15
# A host that is silent for this long is asked like the others.
_SILENT_SECONDS: Final = 4.0
# A little more than the hosts take to close a window.
_ENDED_SECONDS: Final = 0.3
# A living host is heard from more often, also with lost datagrams.
_HEARD_SECONDS: Final = 4.0
# Totals of ended processes in one answer, to keep it small.
_MAX_ENDED_PROCESSES: Final = 4
_UNKNOWN_PROCESS: Final = -1


@dataclass(slots=True)
class _Process:
    """What is known of the counts of one process of a host."""

    host: str
    number: int
    heard_at: float
    complete_before: int = 0
    windows: dict[int, dict[str, int]] = field(default_factory=dict)

    def merge(self, totals: UsageTotals) -> None:
        """Keep the highest known count of each team."""
        for window, counts in totals.windows.items():
            known = self.windows.setdefault(window, {})
            for team, count in counts.items():
                # Each datagram brings the names again; they are kept once.
                name = sys.intern(team)
                known[name] = max(count, known.get(name, 0))
        self.complete_before = max(self.complete_before, totals.complete_before)

    def totals_from(self, first: int) -> UsageTotals:
        """Return the totals from a window on."""
        windows = {
            window: counts
            for window, counts in self.windows.items()
            if window >= first
        }
        return UsageTotals(
            self.host, self.number, self.complete_before, windows
        )

    def forget_before(self, window: int) -> None:
        """Drop windows that are not reported any more."""
        if min(self.windows, default=window) < window:
            self.windows = {
                known: counts
                for known, counts in self.windows.items()
                if known >= window
            }


@dataclass(slots=True)
class _Ask:
    """When a host was asked first, since it last answered, and last."""

    first_at: float
    last_at: float


class UsageCollector:
    """
    Holds the highest known totals of each process of each host.

    Times are in seconds of the same monotonic clock, but for the true times
    that are called so.
    """

    def __init__(self, window_seconds: float) -> None:
        """Create a collector without totals."""
        self._window_seconds = window_seconds
        self._processes: dict[tuple[str, int], _Process] = {}
        # The process of each host that answered last.
        self._newest: dict[str, _Process] = {}
        self._asks: dict[str, _Ask] = {}
        self._heard_at = 0.0
        # Windows before this one need not be collected.
        self.reported_before = 0

    def merge(self, totals: UsageTotals, sender: str, now: float) -> None:
        """Merge totals that a host sent of its own or of another process."""
        key = (totals.host, totals.process)
        process = self._processes.get(key)
        if process is None:
            process = _Process(*key, now)
            self._processes[key] = process
        process.merge(totals)
        if totals.host == sender:
            process.heard_at = now
            self._heard_at = now
            self._newest[sender] = process
            self._asks.pop(sender, None)

    def forget_old(self, true_now: float) -> None:
        """Drop the windows that are reported, or too old for it."""
        oldest = math.floor((true_now - KEPT_SECONDS) / self._window_seconds)
        self.reported_before = max(self.reported_before, oldest)
        for key, process in tuple(self._processes.items()):
            process.forget_before(self.reported_before)
            if not process.windows and process.complete_before < oldest:
                self._processes.pop(key)
                if self._newest.get(process.host) is process:
                    self._newest.pop(process.host)

    def counts(self, window: int) -> dict[str, int]:
        """Return the calls of each team in a window, as far as known."""
        sums: Counter[str] = Counter()
        for process in self._processes.values():
            sums.update(process.windows.get(window, {}))
        return dict(sums)

    def missing(self, window: int, hosts: Iterable[str]) -> list[str]:
        """Return the hosts whose totals of a window are not final here."""
        return [host for host in hosts if self._complete_before(host) <= window]

    def due_hosts(
        self, hosts: Iterable[str], now: float, true_now: float
    ) -> list[str]:
        """Return the hosts to ask now, and note that they are asked."""
        ended_before = math.floor(
            (true_now - _ENDED_SECONDS) / self._window_seconds
        )
        due = [host for host in hosts if self._is_due(host, ended_before, now)]
        for host in due:
            ask = self._asks.get(host)
            if ask is None or now - ask.last_at > _SILENT_SECONDS:
                # This host has not asked for a while, or was frozen.
                ask = _Ask(now, now)
                self._asks[host] = ask
            ask.last_at = now
        return due

    def pull_for(
        self, host: str, own_process: int, *, is_holder: bool
    ) -> UsagePull:
        """Return the question for the totals that are missing of a host."""
        process = self._newest.get(host)
        return UsagePull(
            _UNKNOWN_PROCESS if process is None else process.number,
            max(self._complete_before(host), self.reported_before),
            self.reported_before,
            is_holder,
            own_process,
        )

    def ended_processes(
        self, first: int, living: Collection[str], asker: str, process: int
    ) -> list[UsageTotals]:
        """
        Return totals of processes that seem to have ended, newest first.

        Another host that reports usage may lack them.

        :param first: the first window that it lacks.
        :param living: the hosts that are not considered dead.
        :param asker: the other host.
        :param process: its process, which replaces former ones.
        """
        ended = [
            known
            for known in self._processes.values()
            if (known.host == asker and known.number != process)
            or self._has_ended(known, living)
        ]
        ended.sort(key=lambda known: known.heard_at, reverse=True)
        answers = [known.totals_from(first) for known in ended]
        return [totals for totals in answers if totals.windows][
            :_MAX_ENDED_PROCESSES
        ]

    def _complete_before(self, host: str) -> int:
        process = self._newest.get(host)
        return 0 if process is None else process.complete_before

    def _is_due(self, host: str, ended_before: int, now: float) -> bool:
        ask = self._asks.get(host)
        process = self._newest.get(host)
        if ask is None:
            is_waiting = process is not None and (
                now - process.heard_at < _ASK_SECONDS
            )
            if not is_waiting:
                return True
            return self._complete_before(host) < ended_before
        pause_seconds = _ASK_SECONDS
        if now - ask.first_at <= _SILENT_SECONDS:
            has_ended = self._complete_before(host) < ended_before
            pause_seconds = (
                _ASK_ENDED_SECONDS if has_ended else _ASK_AGAIN_SECONDS
            )
        return now - ask.last_at >= pause_seconds

    def _has_ended(self, process: _Process, living: Collection[str]) -> bool:
        if process.host not in living:
            return True
        if self._newest.get(process.host) is not process:
            return True
        return process.heard_at < self._heard_at - _HEARD_SECONDS


__all__ = ('UsageCollector',)
