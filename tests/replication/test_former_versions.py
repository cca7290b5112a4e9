"""Hosts beside hosts of versions that know no eras of the store."""

from __future__ import annotations

from burdockledge.replication import StreamState
from burdockledge.wire import NO_ERA, StreamEntry, StreamUpdate


def whole(era: int, end: int, content: bytes) -> StreamUpdate:
    """Return a whole stream with one record."""
    entry = StreamEntry('a', end - 1, content)
    return StreamUpdate('s', 0, end, 0, (entry,), True, era)


def test_a_host_that_starts_after_a_restore_follows_the_store() -> None:
    """Guards against CONFIG: a peer's offset of an era before counts as own."""
    state = StreamState('s')
    state.merge(whole(2, 3, b'1'), 1)
    # A peer of a former version still holds what it read before the restore.
    state.merge(whole(NO_ERA, 90, b'old'), 2)
    state.merge(whole(2, 4, b'2'), 3)
    assert [entry.content for entry in state.entries()] == [b'2']
    assert state.place == (2, 4)
