"""Assembles notes from the fragments that arrive in single datagrams."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from burdockledge.wire._codec import WireError
from burdockledge.wire._notes import Note, decode_note

if TYPE_CHECKING:
    from burdockledge.wire._notes import Fragment

_MAX_NOTE_BYTES: Final = 16 * 1024 * 1024
_MAX_FRAGMENTS: Final = 4000
# The fragments of a note are sent at once. What has not arrived after this
# time is lost.
_MAX_IDLE_SECONDS: Final = 2.0
# Bytes of the fragments of all incomplete notes: two of the largest ones.
_MAX_HELD_BYTES: Final = 10 * 1024 * 1024

# Address of the sender, number of the note, number of its fragments.
_NoteKey = tuple[str, int, int]


@dataclass(slots=True)
class _Incomplete:
    """A note that lacks fragments; ``heard_at`` is when the last one came."""

    heard_at: float
    chunks: dict[int, bytes] = field(default_factory=dict)

    @property
    def byte_count(self) -> int:
        """The bytes of all fragments."""
        return sum(len(chunk) for chunk in self.chunks.values())


class NoteAssembler:
    """
    Assembles the notes of all senders.

    Numbers only tell the notes of a sender apart. Their order means nothing,
    as a sender that restarts may begin with a lower one. ``abandoned_count``
    counts the notes of which some fragments never arrived.
    """

    def __init__(self) -> None:
        """Create an assembler without fragments."""
        # The notes of which a fragment came last are at the end.
        self._incomplete: OrderedDict[_NoteKey, _Incomplete] = OrderedDict()
        self._held_bytes = 0
        self.abandoned_count = 0

    def add(self, source: str, fragment: Fragment, now: float) -> Note | None:
        """
        Add a fragment.

        :param source: the address of the sender.
        :param now: the time in seconds of the monotonic clock.
        :return: the note if this was its last missing fragment, else None.
        :raises WireError: if the fragments can not form a note.
        """
        is_count_valid = fragment.count <= _MAX_FRAGMENTS
        if not is_count_valid or fragment.index not in range(fragment.count):
            raise WireError('fragment with an invalid index or count')
        key = (source, fragment.note, fragment.count)
        note = self._incomplete.setdefault(key, _Incomplete(now))
        self._incomplete.move_to_end(key)
        note.heard_at = now
        if fragment.index not in note.chunks:
            note.chunks[fragment.index] = fragment.content
            self._held_bytes += len(fragment.content)
        if len(note.chunks) == fragment.count:
            self._drop(key)
            chunks = [note.chunks[index] for index in range(fragment.count)]
            return decode_note(_decompress(b''.join(chunks)))
        self._abandon(now)
        return None

    def _abandon(self, now: float) -> None:
        """Drop notes that are idle, and the most idle ones beyond the limit."""
        while self._incomplete:
            key, oldest = next(iter(self._incomplete.items()))
            is_idle = now - oldest.heard_at > _MAX_IDLE_SECONDS
            if not is_idle and self._held_bytes <= _MAX_HELD_BYTES:
                return
            self._drop(key)
            self.abandoned_count += 1

    def _drop(self, key: _NoteKey) -> None:
        self._held_bytes -= self._incomplete.pop(key).byte_count


def _decompress(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        return decompressor.decompress(compressed, _MAX_NOTE_BYTES)
    except zlib.error as error:
        raise WireError(f'note can not be decompressed: {error}') from error


__all__ = ('NoteAssembler',)
