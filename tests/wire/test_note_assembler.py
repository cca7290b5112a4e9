"""Tests of notes that are assembled from fragments."""

from __future__ import annotations

from random import Random

import pytest

from burdockledge.wire import (
    Fragment,
    Note,
    NoteAssembler,
    StreamEntry,
    StreamUpdate,
    decode_note,
    encode_note_datagrams,
)


def make_note(seed: int, size: int = 5000) -> Note:
    """Return a note of several datagrams; it can not be compressed."""
    entry = StreamEntry('key', 1, Random(seed).randbytes(size))
    return Note('h1', updates=[StreamUpdate('s', 0, 2, 0, (entry,), True)])


def make_fragments(note: Note, number: int) -> list[Fragment]:
    """Return the fragments of a note."""
    fragments = [
        decode_note(datagram).fragment
        for datagram in encode_note_datagrams(note, number)
    ]
    return [fragment for fragment in fragments if fragment is not None]


@pytest.mark.parametrize(
    ('first_number', 'second_number'), [(1, 2), (2, 1), (2**60, 1)]
)
@pytest.mark.parametrize('lost', [0, 1, 4])
def test_number_of_a_note_does_not_keep_others_out(
    first_number: int, second_number: int, lost: int
) -> None:
    """Guards against a host that ignores peers whose numbers begin again."""
    assembler = NoteAssembler()
    first = make_fragments(make_note(1), first_number)
    for fragment in first[lost:]:
        assembler.add('h1', fragment, 0.0)
    second = make_note(2)
    results = [
        assembler.add('h1', fragment, 0.1)
        for fragment in make_fragments(second, second_number)
    ]
    assert results[-1] == second


def test_fragments_of_several_notes_may_mix() -> None:
    """Notes of one sender, and of two with one number, arrive in any order."""
    assembler = NoteAssembler()
    notes = {
        ('h1', 7): make_note(1),
        ('h1', 8): make_note(2),
        ('h2', 7): make_note(3),
    }
    arrivals = [
        (source, fragment)
        for (source, number), note in notes.items()
        for fragment in make_fragments(note, number)
    ]
    Random(4).shuffle(arrivals)
    assembled = [
        assembler.add(source, fragment, 0.0) for source, fragment in arrivals
    ]
    assert len([note for note in assembled if note is not None]) == 3
    assert all(note in assembled for note in notes.values())


@pytest.mark.parametrize(
    ('gap_seconds', 'abandoned'), [(1.9, 0), (2.1, 1)], ids=['late', 'lost']
)
def test_incomplete_note_is_abandoned(
    gap_seconds: float, abandoned: int
) -> None:
    """A note whose fragments were lost is dropped some time later."""
    assembler = NoteAssembler()
    fragments = make_fragments(make_note(1), 1)
    for fragment in fragments[1:]:
        assembler.add('h1', fragment, 0.0)
    assembler.add('h2', fragments[0], gap_seconds)
    assert assembler.abandoned_count == abandoned
    last = assembler.add('h1', fragments[0], gap_seconds)
    assert (last is None) == bool(abandoned)


def test_incomplete_notes_have_a_limit() -> None:
    """Guards against fragments without end that fill a host's memory."""
    assembler = NoteAssembler()
    chunk = bytes(1200)
    for number in range(40_000):
        assembler.add('h1', Fragment(number, 0, 2, chunk), 0.0)
    held = 40_000 - assembler.abandoned_count
    assert 9_000_000 < held * len(chunk) <= 10 * 1024 * 1024


def test_repeated_fragment_counts_once() -> None:
    """Datagrams may arrive twice."""
    assembler = NoteAssembler()
    fragments = make_fragments(make_note(1), 1)
    for fragment in [*fragments[1:]] * 2:
        assert assembler.add('h1', fragment, 0.0) is None
    assert assembler.add('h1', fragments[0], 0.0) == make_note(1)
