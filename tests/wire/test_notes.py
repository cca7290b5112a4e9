"""Notes between hosts: small, whole, and safe against foreign bytes."""

from __future__ import annotations

import os
from random import Random

import pytest

from burdockledge.wire import (
    DATAGRAM_BYTES,
    CallEnded,
    CallHeard,
    CallStarted,
    Fragment,
    Note,
    NoteAssembler,
    StreamEntry,
    StreamPull,
    StreamUpdate,
    WireError,
    decode_note,
    encode_note,
    server_number,
    split_note,
)


def note(size: int = 10) -> Note:
    """Return a note with a message of each kind."""
    entries = (StreamEntry('k', 3, os.urandom(size)), StreamEntry('z', 4, None))
    return Note(
        'host',
        [StreamUpdate('s', 1, 5, 3, entries, True)],
        [StreamPull('s', 4)],
        [CallStarted(1, 2, 3, 4, [5, 6], [7, 8], 9, True)],
        [CallHeard(1, 2)],
        [CallEnded(1, 2, 0)],
    )


@pytest.mark.parametrize('size', [0, 10, 5000, 200_000])
def test_notes_survive_the_wire(size: int) -> None:
    """Large notes are cut, arrive in any order and are joined."""
    sent = note(size)
    datagrams = split_note(sent, 1)
    assert all(len(one) < DATAGRAM_BYTES + 100 for one in datagrams)
    if len(datagrams) == 1:
        assert decode_note(datagrams[0]) == sent
        return
    Random(1).shuffle(datagrams)
    assembler = NoteAssembler()
    joined = None
    for datagram in datagrams:
        fragment = decode_note(datagram).fragment
        assert fragment is not None
        joined = assembler.add(fragment) or joined
    assert joined == sent


def test_a_newer_note_replaces_a_torn_one() -> None:
    """A note that lost a piece gives way to the next one."""
    assembler = NoteAssembler()
    old = [decode_note(one).fragment for one in split_note(note(5000), 1)]
    new = [decode_note(one).fragment for one in split_note(note(5000), 2)]
    assert assembler.add(old[0]) is None  # type: ignore[arg-type]
    found = [assembler.add(piece) for piece in new]  # type: ignore[arg-type]
    assert found[-1] is not None
    assert assembler.add(old[1]) is None  # type: ignore[arg-type]


def test_the_news_of_a_call_are_small() -> None:
    """Start, first event and end of a call take some tens of bytes."""
    call, server = 2**31 - 1, server_number('i-7f3a91c2/1777923239008')
    started = CallStarted(
        call, server, 5, 17_000, [2**32 - 1] * 3, [13_000, 400, 3000], 600, True
    )
    whole = Note(
        'front-leicester-1', [], [], [started], [CallHeard(call, server)],
        [CallEnded(call, server, 0)],
    )  # fmt: skip
    assert len(encode_note(whole)) < 130


@pytest.mark.parametrize(
    'encoded', [b'', b'\x00', b'\xff' * 40, bytes(range(200))], ids=len
)
def test_foreign_bytes_are_errors(encoded: bytes) -> None:
    """Bytes that are no note raise one kind of error."""
    with pytest.raises(WireError):
        decode_note(encoded)


@pytest.mark.parametrize(
    'fragment', [Fragment(1, 0, 1, b'no note'), Fragment(1, 0, 10**6, b'')]
)
def test_foreign_fragments_are_errors(fragment: Fragment) -> None:
    """Pieces that form no note raise the same error."""
    with pytest.raises(WireError):
        NoteAssembler().add(fragment)
