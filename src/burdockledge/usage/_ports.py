"""What the reporter of usage needs of the fleet and of the platform."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class UsageSource(ABC):
    """
    The counts of all hosts, as far as this host knows them.

    Times are true times in seconds since 1970.
    """

    @abstractmethod
    def now(self) -> float:
        """Return the time."""

    @abstractmethod
    def knows_time(self) -> bool:
        """Return whether the clocks of other hosts have corrected the time."""

    @abstractmethod
    def started_at(self) -> float:
        """Return when this process started."""

    @abstractmethod
    def asking_since(self) -> float | None:
        """Return since when this host asks the others, None if it does not."""

    @abstractmethod
    def era_since(self, era: int) -> float:
        """Return when this process first saw an era of the store."""

    @abstractmethod
    def note_holding(self, recorded_before: int) -> None:
        """
        Record that this host reports usage now.

        :param recorded_before: no counts of windows before this one are needed.
        """

    @abstractmethod
    def kept_from(self) -> int:
        """Return the first window whose counts are kept."""

    @abstractmethod
    def counts(self, window: int) -> dict[str, int]:
        """Return the calls of each team in a window, as far as known."""

    @abstractmethod
    def missing(self, window: int) -> list[str]:
        """Return the hosts whose totals of a window are not final here."""


class UsageReportFormat(ABC):
    """The bytes of a usage report."""

    @abstractmethod
    def encode(self, window: int, counts: Mapping[str, int]) -> bytes:
        """Return the report of a window."""

    @abstractmethod
    def window_of(self, report: bytes) -> int | None:
        """Return the window of a report, None if it can not be read."""


__all__ = ('UsageReportFormat', 'UsageSource')
