"""Determines the initial state from a log that may have lost old records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import ValidationError

from burdockledge.configuration._document import Document
from burdockledge.configuration._records import RECORD_ADAPTER, SnapshotRecord
from burdockledge.configuration._state_machine import (
    INITIAL_STATE,
    AppliedState,
    apply_record,
)

if TYPE_CHECKING:
    from burdockledge.platform_api import LogPage, LogRecord


class Bootstrap:
    """
    Reads log pages from the earliest offset until a state is known.

    A log that still starts at offset 0 is applied from the start. Otherwise a
    snapshot is usable if every record after its offset has been read.
    """

    def __init__(self) -> None:
        """Create a bootstrap without records."""
        self._records: list[LogRecord] = []

    def feed(self, page: LogPage) -> AppliedState | None:
        """
        Read one page.

        :return: the state after the page, None while it is unknown.
        """
        if page.earliest == 0 and not self._records:
            return _apply_records(INITIAL_STATE, page.records)
        for record in page.records:
            self._append_record(record)
        return self._find_snapshot_state()

    def _append_record(self, record: LogRecord) -> None:
        if self._records and self._records[-1].offset + 1 != record.offset:
            self._records.clear()
        self._records.append(record)

    def _find_snapshot_state(self) -> AppliedState | None:
        for record in self._records:
            state = _parse_snapshot(record)
            if state is None or state.offset + 1 < self._records[0].offset:
                continue
            return _apply_records(state, self._records)
        return None


def _parse_snapshot(record: LogRecord) -> AppliedState | None:
    try:
        parsed = RECORD_ADAPTER.validate_json(record.body)
    except ValidationError:
        return None
    if not isinstance(parsed, SnapshotRecord):
        return None
    try:
        document = Document.model_validate(parsed.document)
    except ValidationError:
        return None
    return AppliedState(
        parsed.offset, parsed.version, parsed.document, document
    )


def _apply_records(
    state: AppliedState,
    records: list[LogRecord] | tuple[LogRecord, ...],
) -> AppliedState:
    for record in records:
        if record.offset > state.offset:
            state, _ = apply_record(state, record)
    return state


__all__ = ('Bootstrap',)
