"""The newest records and patch outcomes, for peers and operators."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Final

from burdockledge.wire import ConfigurationRecord

if TYPE_CHECKING:
    from burdockledge.configuration._state_machine import PatchOutcome
    from burdockledge.platform_api import LogRecord

_MAX_RECORDS: Final = 512
_MAX_OUTCOMES: Final = 4096


class History:
    """The newest part of the configuration stream, bounded in size."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._records: deque[LogRecord] = deque(maxlen=_MAX_RECORDS)
        self._outcomes: OrderedDict[str, PatchOutcome] = OrderedDict()

    def add(self, record: LogRecord, outcome: PatchOutcome | None) -> None:
        """Add an applied record; a patch id keeps its first outcome."""
        if self._records and self._records[-1].offset + 1 != record.offset:
            self._records.clear()
        self._records.append(record)
        if outcome is None:
            return
        self._outcomes.setdefault(outcome.patch_id, outcome)
        if len(self._outcomes) > _MAX_OUTCOMES:
            self._outcomes.popitem(last=False)

    def outcome(self, patch_id: str) -> PatchOutcome | None:
        """Return the outcome of a patch, None if it is not known."""
        return self._outcomes.get(patch_id)

    def outcomes(self) -> tuple[PatchOutcome, ...]:
        """Return the kept outcomes, oldest first."""
        return tuple(self._outcomes.values())

    def records_after(self, offset: int) -> list[ConfigurationRecord] | None:
        """Return all records after an offset, None if some were discarded."""
        if not self._records or self._records[0].offset > offset + 1:
            return None
        return [
            ConfigurationRecord(record.offset, record.at_ms, record.body)
            for record in self._records
            if record.offset > offset
        ]


__all__ = ('History',)
