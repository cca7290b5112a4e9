"""An in-memory log with a retention time, without a transport."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from burdockledge.platform_api import LogPage, LogRecord

if TYPE_CHECKING:
    from collections.abc import Callable

_PAGE_RECORDS: Final = 500
_MS_PER_SECOND: Final = 1000


class _Stream:
    def __init__(self) -> None:
        self.records: deque[LogRecord] = deque()
        self.next_offset = 0

    @property
    def earliest(self) -> int:
        if self.records:
            return self.records[0].offset
        return self.next_offset


class LogStore:
    """Streams of records, which are dropped after the retention time."""

    def __init__(
        self,
        wall_ms: Callable[[], int],
        retention_seconds: float,
    ) -> None:
        """Create an empty store; ``wall_ms`` is the wall clock."""
        self._wall_ms = wall_ms
        self._retention_ms = retention_seconds * _MS_PER_SECOND
        self._streams: dict[str, _Stream] = {}

    def append(self, stream_name: str, body: str) -> int:
        """Append a record and return its offset."""
        stream = self._stream(stream_name)
        record = LogRecord(
            offset=stream.next_offset,
            at_ms=self._wall_ms(),
            body=body,
        )
        stream.records.append(record)
        stream.next_offset += 1
        return record.offset

    def next_offset(self, stream_name: str) -> int:
        """Return the offset of the next record to be appended."""
        return self._stream(stream_name).next_offset

    def read(self, stream_name: str, from_offset: int) -> LogPage:
        """Return a page from an offset, or from the earliest kept record."""
        stream = self._stream(stream_name)
        start = max(from_offset, stream.earliest)
        skipped = start - stream.earliest
        records: list[LogRecord] = []
        if skipped < len(stream.records):
            end = min(len(stream.records), skipped + _PAGE_RECORDS)
            records = [stream.records[index] for index in range(skipped, end)]
        return LogPage(
            earliest=stream.earliest,
            next_offset=records[-1].offset + 1 if records else start,
            now_ms=self._wall_ms(),
            records=tuple(records),
        )

    def _stream(self, name: str) -> _Stream:
        stream = self._streams.setdefault(name, _Stream())
        oldest_ms = self._wall_ms() - self._retention_ms
        while stream.records and stream.records[0].at_ms < oldest_ms:
            stream.records.popleft()
        return stream


__all__ = ('LogStore',)
