"""Applying patches, and the initial state from a truncated log."""

from __future__ import annotations

from typing import Any

import pytest

from burdockledge.configuration import (
    INITIAL_STATE,
    Bootstrap,
    PatchRecord,
    PatchStatus,
    SnapshotRecord,
    apply_record,
    merge_patch,
)
from burdockledge.platform_api import LogPage, LogRecord


def patch_record(offset: int, base: int, change: dict[str, Any]) -> LogRecord:
    """Return a log record with a patch."""
    record = PatchRecord(id=f'p{offset}', base=base, patch=change)
    return LogRecord(offset=offset, at_ms=0, body=record.model_dump_json())


OFFERS_3 = {'policy': {'offers': 3}}


@pytest.mark.parametrize(
    ('base', 'change', 'status'),
    [
        (0, OFFERS_3, PatchStatus.accepted),
        (1, OFFERS_3, PatchStatus.stale),
        (7, OFFERS_3, PatchStatus.stale),
        (0, {'policy': {'offers': 0}}, PatchStatus.invalid),
        (0, {'teams': {'a': {'classes': ['x']}}}, PatchStatus.invalid),
        (0, {'unheard': 1}, PatchStatus.invalid),
    ],
)
def test_patch_outcomes(
    base: int,
    change: dict[str, Any],
    status: PatchStatus,
) -> None:
    """Only a valid patch based on the version in force is accepted."""
    state, outcome = apply_record(INITIAL_STATE, patch_record(0, base, change))
    assert outcome is not None
    assert outcome.status is status
    assert state.version == (status is PatchStatus.accepted)
    assert state.offset == 0


def test_missing_record_is_an_error() -> None:
    """Records must be applied without gaps."""
    with pytest.raises(ValueError, match='after'):
        apply_record(INITIAL_STATE, patch_record(1, 0, OFFERS_3))


@pytest.mark.parametrize(
    ('target', 'change', 'merged'),
    [
        ({'a': 'b'}, {'a': 'c'}, {'a': 'c'}),
        ({'a': 'b'}, {'b': 'c'}, {'a': 'b', 'b': 'c'}),
        ({'a': 'b', 'b': 'c'}, {'a': None}, {'b': 'c'}),
        ({'a': ['b']}, {'a': 'c'}, {'a': 'c'}),
        ({'a': {'b': 'c'}}, {'a': {'b': 'd', 'c': None}}, {'a': {'b': 'd'}}),
        ({}, {'a': {'bb': {'ccc': None}}}, {'a': {'bb': {}}}),
        ({'a': 'foo'}, 'bar', 'bar'),
    ],
)
def test_merge_patch(target: Any, change: Any, merged: Any) -> None:
    """Cases from RFC 7396, appendix A."""
    assert merge_patch(target, change) == merged


def log_page(earliest: int, *records: LogRecord) -> LogPage:
    """Return a log page with records."""
    return LogPage(
        earliest=earliest,
        next_offset=earliest + len(records),
        now_ms=0,
        records=records,
    )


def snapshot_record(record_offset: int, offset: int, version: int) -> LogRecord:
    """Return a log record with a snapshot."""
    record = SnapshotRecord(offset=offset, version=version, document=OFFERS_3)
    return LogRecord(
        offset=record_offset, at_ms=0, body=record.model_dump_json()
    )


@pytest.mark.parametrize(
    ('first_page', 'version'),
    [
        (log_page(0), 0),
        (log_page(0, patch_record(0, 0, OFFERS_3)), 1),
        (log_page(5, patch_record(5, 3, OFFERS_3)), None),
        (log_page(5, snapshot_record(5, 4, 3)), 3),
        (log_page(5, snapshot_record(5, 3, 3)), None),
        (log_page(5, patch_record(5, 3, {}), snapshot_record(6, 4, 3)), 4),
        (log_page(5, snapshot_record(5, 2, 2), snapshot_record(6, 5, 3)), 3),
    ],
)
def test_bootstrap(first_page: LogPage, version: int | None) -> None:
    """A snapshot is usable if the page holds every record after it."""
    state = Bootstrap().feed(first_page)
    assert (state and state.version) == version
