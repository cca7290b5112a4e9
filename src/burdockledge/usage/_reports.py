"""The decided windows that a reporter knows."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockledge.duties import StoreRecord
    from burdockledge.usage._ports import UsageReportFormat

_log = make_logger('usage')

_KEY_PREFIX: Final = 'usage/'
_RECORD_COUNT: Final = 8
# Records of a former holder that are older than this are sent after the newer
# ones, as they are late in any case.
_RESEND_FIRST_SECONDS: Final = 15.0
# A record of a window that ends later than this after now is not believed.
_MAX_AHEAD_SECONDS: Final = 10.0

# Called with the first window, the number of windows and the reason.
MissedListener = Callable[[int, int, str], None]


@dataclass(slots=True)
class SentReport:
    """A decided window, and whether the API has accepted its report."""

    window: int
    content: bytes
    is_accepted: bool = False
    is_sent_last: bool = False


class UsageReports:
    """
    Holds the windows that were decided lately, by this or another host.

    ``next_window`` is the first one that is not decided, as windows are
    decided in order, and ``recorded_before`` the one after the last decided
    one. Windows between them are left out here, but not by each other host.
    """

    def __init__(
        self,
        report_format: UsageReportFormat,
        window_seconds: float,
        kept_seconds: float,
    ) -> None:
        """Create an empty set."""
        self._format = report_format
        self._window_seconds = window_seconds
        self._kept_seconds = kept_seconds
        self._reports: dict[int, SentReport] = {}
        self._adopted: dict[str, bytes] = {}
        self.next_window = 0
        self.recorded_before = 0

    def key_of(self, window: int) -> str:
        """Return the key of the record of a window."""
        return f'{_KEY_PREFIX}{window % _RECORD_COUNT}'

    def waiting(self) -> list[SentReport]:
        """Return the reports to send, in order."""
        return sorted(
            (
                report
                for report in self._reports.values()
                if not report.is_accepted
            ),
            key=lambda report: (report.is_sent_last, report.window),
        )

    def adopt(self, records: Mapping[str, StoreRecord], now: float) -> None:
        """Take over the windows that are recorded in the store."""
        for key, record in records.items():
            is_known = self._adopted.get(key) == record.content
            if key.startswith(_KEY_PREFIX) and not is_known:
                self._adopt_record(key, record.content, now)

    def add_recorded(self, window: int, content: bytes) -> None:
        """Add a window whose record this host has written."""
        self._adopted[self.key_of(window)] = content
        self._reports[window] = SentReport(window, content)
        self._note_decided(window)

    def skip_to(self, window: int, on_missed: MissedListener, why: str) -> None:
        """Decide no window before this one."""
        if self.next_window and window > self.next_window:
            on_missed(self.next_window, window - self.next_window, why)
        self.next_window = max(self.next_window, window)

    def forget_old(self, now: float, on_missed: MissedListener) -> None:
        """Give up the windows that are too old to be reported."""
        oldest = math.floor((now - self._kept_seconds) / self._window_seconds)
        for window in tuple(self._reports):
            if window < oldest and not self._reports.pop(window).is_accepted:
                on_missed(window, 1, 'no report was accepted in time')
        self.skip_to(oldest, on_missed, 'no record was written in time')

    def is_recorded(
        self, report: SentReport, records: Mapping[str, StoreRecord]
    ) -> bool:
        """Return whether a report, or a newer one in its place, is stored."""
        record = records.get(self.key_of(report.window))
        if record is None:
            return False
        if record.content == report.content:
            return True
        window = self._format.window_of(record.content)
        return window is None or window > report.window

    def _adopt_record(self, key: str, content: bytes, now: float) -> None:
        window = self._format.window_of(content)
        if window is None:
            self._adopted[key] = content
            _log.warning('Usage record can not be read.', key=key)
        elif self._end_of(window) <= now + _MAX_AHEAD_SECONDS:
            self._adopted[key] = content
            self._adopt_window(window, content, now)

    def _adopt_window(self, window: int, content: bytes, now: float) -> None:
        self._note_decided(window)
        age_seconds = now - self._end_of(window)
        known = self._reports.get(window)
        if known is not None:
            if known.content != content:
                _log.error('Usage window has two records.', window=window)
        elif age_seconds < self._kept_seconds:
            self._reports[window] = SentReport(
                window,
                content,
                is_sent_last=age_seconds > _RESEND_FIRST_SECONDS,
            )

    def _note_decided(self, window: int) -> None:
        self.recorded_before = max(self.recorded_before, window + 1)
        self.next_window = max(self.next_window, self.recorded_before)

    def _end_of(self, window: int) -> float:
        return (window + 1) * self._window_seconds


__all__ = ('MissedListener', 'SentReport', 'UsageReports')
