"""The claim table: first valid claim, window, complete history, outcomes."""

from __future__ import annotations

import pytest

from burdockledge.claims import (
    MAX_CLOCK_SKEW_MS,
    ClaimBatch,
    ClaimEntry,
    ClaimTable,
    FinalEntry,
    KeyWindow,
    Outcome,
)
from burdockledge.platform_api import LogRecord

LIFETIME_MS = 1_000_000
CREATED_MS = 10_000_000


def make_claim(nonce: str, body: str = 'b') -> ClaimEntry:
    """Return a claim of the key ``k``."""
    return ClaimEntry(key='k', made_ms=CREATED_MS, body=body, nonce=nonce)


def make_final(nonce: str, outcome: Outcome = Outcome.completed) -> FinalEntry:
    """Return a recorded outcome of the key ``k``."""
    return FinalEntry(key='k', nonce=nonce, outcome=outcome)


def make_table(
    *entries: ClaimEntry | FinalEntry, at_ms: int = CREATED_MS
) -> ClaimTable:
    """Return a table that has applied each entry as a record of its own."""
    table = ClaimTable(KeyWindow(LIFETIME_MS))
    table.update_log_bounds(0, at_ms)
    for offset, entry in enumerate(entries):
        batch = ClaimBatch(host='h', boot=1, entries=(entry,))
        body = batch.model_dump_json()
        table.apply(LogRecord(offset=offset, at_ms=at_ms, body=body))
    return table


def test_first_claim_holds_the_key() -> None:
    """A later claim of the same key has no effect."""
    entry = make_table(
        make_claim('first'), make_claim('second', 'other')
    ).entry('k')
    assert entry is not None
    assert (entry.nonce, entry.body_digest) == ('first', 'b')


def test_only_first_final_of_the_holder_counts() -> None:
    """An outcome with another nonce, or a second one, has no effect."""
    table = make_table(
        make_claim('first'),
        make_final('second', Outcome.not_run),
        make_final('first', Outcome.unknown),
        make_final('first', Outcome.completed),
    )
    entry = table.entry('k')
    assert entry is not None
    assert entry.final is not None
    assert entry.final.outcome is Outcome.unknown


@pytest.mark.parametrize(
    ('at_ms', 'is_held'),
    [
        (CREATED_MS, True),
        (CREATED_MS - MAX_CLOCK_SKEW_MS, True),
        (CREATED_MS - MAX_CLOCK_SKEW_MS - 1, False),
        (CREATED_MS + LIFETIME_MS, True),
        (CREATED_MS + LIFETIME_MS + 1, False),
    ],
)
def test_claim_outside_window_is_ignored(at_ms: int, is_held: bool) -> None:
    """The window is inclusive at both ends; the start allows clock skew."""
    table = make_table(make_claim('first'), at_ms=at_ms)
    assert (table.entry('k') is not None) is is_held


def test_dropped_unread_records_make_history_incomplete() -> None:
    """A gap in the offsets means that an earlier claim may have been missed."""
    table = make_table(make_claim('first'))
    assert table.has_complete_history(CREATED_MS)
    table.update_log_bounds(earliest_offset=9, now_ms=CREATED_MS)
    assert not table.has_complete_history(CREATED_MS)
    assert table.next_offset == 9


def test_record_with_wrong_offset_is_rejected() -> None:
    """Skipping a record raises an error, because it may hold a claim."""
    table = make_table()
    with pytest.raises(ValueError, match='is not'):
        table.apply(LogRecord(offset=3, at_ms=0, body='{}'))


@pytest.mark.parametrize('body', ['', '{', '[]', '{"host": 1}', 'null'])
def test_unparsable_records_are_skipped(body: str) -> None:
    """A record that is not a claim batch changes nothing but the offset."""
    table = make_table()
    assert table.apply(LogRecord(offset=0, at_ms=1, body=body)) == ()
    assert len(table) == 0
