"""The duty to report how many calls of each team servers ran."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from burdockledge.duties import CallOutcome, Duty
from burdockledge.telemetry import make_logger
from burdockledge.usage._counter import KEPT_SECONDS
from burdockledge.usage._reports import SentReport, UsageReports

if TYPE_CHECKING:
    from burdockledge.clock import Clock
    from burdockledge.duties import DutyApi, Lease
    from burdockledge.settings import DutySettings
    from burdockledge.telemetry import Metrics
    from burdockledge.usage._ports import UsageReportFormat, UsageSource

_log = make_logger('usage')

_USAGE_DUTY: Final = 'usage'
# A window is decided this long after its end at the latest. Hosts that are cut
# off from others for some seconds still answer; four seconds remain for the
# record and the report.
_DECIDE_SECONDS: Final = 6.0
# A holder that has just begun to ask the other hosts waits for answers.
_FIRST_ANSWERS_SECONDS: Final = 2.0
# Before the end of the first second of its process a host may not yet know
# that the store was restored.
_FIRST_SECOND: Final = 1.0
_PENDING_RUN_SECONDS: Final = 0.2
_IDLE_RUN_SECONDS: Final = 0.5
# Pauses before a report is sent again.
_MIN_RETRY_SECONDS: Final = 0.5
_MAX_RETRY_SECONDS: Final = 2.0
# After these outcomes the next report is sent at once.
_NEXT_IS_SENT: Final = frozenset((CallOutcome.accepted, CallOutcome.failed))


class UsageReporter(Duty):
    """
    Decides each window once, records the decision, and sends the record.

    A window is decided by its record in the store; a report that is not
    recorded is never sent.
    """

    name = _USAGE_DUTY

    def __init__(
        self,
        source: UsageSource,
        api: DutyApi,
        report_format: UsageReportFormat,
        settings: DutySettings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create a reporter that has decided no window."""
        self._source = source
        self._api = api
        self._format = report_format
        self._clock = clock
        self._metrics = metrics
        self._window_seconds = settings.window_seconds
        self._late_seconds = settings.usage_late_seconds
        self._lease_seconds = settings.lease_seconds
        self._reports = UsageReports(
            report_format, settings.window_seconds, KEPT_SECONDS
        )
        # Bytes whose write has not succeeded, while the duty is held.
        self._unrecorded: dict[int, bytes] = {}
        # Since when no other host can have held the duty, in true time.
        self._held_since = 0.0
        self._ran_at: float | None = None
        self._retry_at = 0.0
        self._retry_seconds = 0.0

    async def run(self, lease: Lease) -> float:
        """Decide the windows that are due and send what is recorded."""
        if not self._source.knows_time():
            # With a wrong clock, windows far ahead would be taken for the
            # present ones, and none before them be decided any more.
            return _PENDING_RUN_SECONDS
        now = self._source.now()
        self._note_run(now)
        self._reports.adopt(lease.records(), now)
        self._reports.skip_to(
            self._first_window(lease),
            self._count_missed,
            'a former holder may have decided them',
        )
        self._reports.forget_old(now, self._count_missed)
        self._source.note_holding(self._reports.recorded_before)
        await self._decide_due(lease)
        await self._send_due(lease)
        if lease.is_valid():
            # A report may have taken seconds.
            self._ran_at = self._clock.monotonic()
        ended_before = math.floor(self._source.now() / self._window_seconds)
        is_waiting = self._reports.next_window < ended_before
        if is_waiting or self._reports.waiting():
            return _PENDING_RUN_SECONDS
        return _IDLE_RUN_SECONDS

    def forget(self) -> None:
        """
        Keep all: what a gap between two leases makes doubtful is told by time.

        Within the length of a lease this process may hold the duty again, and
        a write of the former lease may still succeed.
        """

    def _note_run(self, now: float) -> None:
        """
        Note when this host began to hold the duty without a gap.

        Within the length of a lease after the last run no other host can have
        held it and lost it again.
        """
        ran_at = self._ran_at
        self._ran_at = self._clock.monotonic()
        if ran_at is None or self._ran_at - ran_at >= self._lease_seconds:
            self._held_since = now
            # Another holder decides these windows, unless records show them.
            self._unrecorded.clear()

    def _first_window(self, lease: Lease) -> int:
        """
        Return the first window that no former holder can have decided.

        Without a record it may have been decided all the same: the store may
        have been restored since. What was decided before this process saw the
        era of the store had ended before, too.
        """
        known_since = max(
            self._source.started_at() + _FIRST_SECOND,
            self._source.era_since(lease.fence_number.era),
        )
        # The window during which it began ends later.
        since = min(self._held_since, known_since)
        return max(
            math.floor(since / self._window_seconds), self._source.kept_from()
        )

    async def _decide_due(self, lease: Lease) -> None:
        while lease.is_valid():
            window = self._reports.next_window
            missing = self._source.missing(window)
            if not self._is_due(window, missing):
                return
            if not await self._decide(lease, window, missing):
                return

    def _is_due(self, window: int, missing: list[str]) -> bool:
        now = self._source.now()
        end = self._end_of(window)
        asking_since = self._source.asking_since()
        if now < end or asking_since is None:
            return False
        latest = max(
            end + _DECIDE_SECONDS, asking_since + _FIRST_ANSWERS_SECONDS
        )
        return not missing or now >= latest

    async def _decide(
        self, lease: Lease, window: int, missing: list[str]
    ) -> bool:
        """Record the report of a window; return whether it is recorded."""
        content = self._unrecorded.get(window)
        if content is None:
            counts = self._source.counts(window)
            content = self._format.encode(window, counts)
            self._unrecorded[window] = content
            self._metrics.count('usage_hosts_missing', len(missing))
            _log.info(
                'Usage window is decided.',
                window=window,
                calls=sum(counts.values()),
                teams=len(counts),
                missing=missing,
            )
        if not await lease.write(self._reports.key_of(window), content):
            _log.warning('Usage window is not recorded.', window=window)
            return False
        self._unrecorded.pop(window, None)
        self._reports.add_recorded(window, content)
        self._source.note_holding(self._reports.recorded_before)
        return True

    async def _send_due(self, lease: Lease) -> None:
        """
        Send the reports that were not accepted, oldest first.

        One that the API refuses does not keep back the newer ones.
        """
        if self._retry_at > self._clock.monotonic():
            return
        for report in self._reports.waiting():
            if not lease.is_valid():
                return
            if not await self._record_again(lease, report):
                break
            outcome = await self._api.report_usage(lease, report.content)
            self._note_outcome(report, outcome)
            if outcome not in _NEXT_IS_SENT:
                break
            # Calls of a slow API take seconds.
            await self._decide_due(lease)
        self._note_pause()

    def _note_pause(self) -> None:
        """Wait before the next reports, if some were not accepted."""
        if not self._reports.waiting():
            self._retry_seconds = 0.0
            return
        self._retry_seconds = min(
            max(_MIN_RETRY_SECONDS, 2 * self._retry_seconds),
            _MAX_RETRY_SECONDS,
        )
        self._retry_at = self._clock.monotonic() + self._retry_seconds

    async def _record_again(self, lease: Lease, report: SentReport) -> bool:
        """Record a report that a restore of the store has lost."""
        if self._reports.is_recorded(report, lease.records()):
            return True
        return await lease.write(
            self._reports.key_of(report.window), report.content
        )

    def _note_outcome(self, report: SentReport, outcome: CallOutcome) -> None:
        late_seconds = (
            self._source.now() - self._end_of(report.window)
        ) - self._late_seconds
        _log.info(
            'Usage window is sent.',
            window=report.window,
            outcome=outcome.value,
            late_seconds=max(0.0, round(late_seconds, 1)),
        )
        if outcome is CallOutcome.accepted:
            report.is_accepted = True
            self._metrics.count('usage_windows_reported')
            if late_seconds > 0:
                self._metrics.count('usage_windows_late')

    def _count_missed(self, first: int, count: int, why: str) -> None:
        self._metrics.count('usage_windows_missed', count)
        _log.warning(
            'Usage windows are not reported by this host.',
            first=first,
            count=count,
            why=why,
        )

    def _end_of(self, window: int) -> float:
        return (window + 1) * self._window_seconds


__all__ = ('UsageReporter',)
