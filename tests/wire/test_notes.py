"""Tests of the codec of notes: size, fragments and invalid input."""

from __future__ import annotations

import os
from random import Random
from typing import Any

import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocolFactory

from burdockledge.wire import (
    DATAGRAM_PAYLOAD_BYTES,
    CallEnded,
    CallHeard,
    CallStarted,
    Clearance,
    CrashSuspect,
    Fragment,
    Note,
    NoteAssembler,
    StreamEntry,
    StreamPull,
    StreamUpdate,
    UsagePull,
    UsageTotals,
    WireError,
    _codec,
    decode_note,
    encode_note,
    encode_note_datagrams,
    hash_server_key,
)
from burdockledge.wire._codec import read_struct, write_struct
from burdockledge.wire.generated.burdockledge import ttypes


def make_note(content_bytes: int = 10) -> Note:
    """Return a note with an item in each list of messages."""
    entries = (
        StreamEntry('k', 3, os.urandom(content_bytes)),
        StreamEntry('z', 4, None),
    )
    return Note(
        'host',
        [StreamUpdate('s', 1, 5, 3, entries, True)],
        [StreamPull('s', 4)],
        [CallStarted(1, 2, 3, 4, [5, 6], [7, 8], 9, True)],
        [CallHeard(1, 2, 3, 1.9)],
        [CallEnded(1, 2, 0)],
        suspects=[CrashSuspect(1, 2, [2**62, 3], True, 200, 10)],
        clearances=[Clearance(1, 2**62, 5)],
        evidence_digest=2**62,
        limited_calls=[2**32 - 1],
        written_at_ms=2**41,
        sent_at_ms=2**41,
        usage_pull=UsagePull(2**40, 5, 4, True, 2**41),
        usage_totals=[UsageTotals('host', 2**40, 5, {4: {'team': 3}, 5: {}})],
    )


@pytest.mark.parametrize('content_bytes', [0, 10, 5000, 200_000])
def test_note_round_trip(content_bytes: int) -> None:
    """A note is decoded, also from fragments that arrive out of order."""
    sent = make_note(content_bytes)
    datagrams = encode_note_datagrams(sent, 1)
    assert all(
        len(payload) < DATAGRAM_PAYLOAD_BYTES + 100 for payload in datagrams
    )
    if len(datagrams) == 1:
        assert decode_note(datagrams[0]) == sent
        return
    Random(1).shuffle(datagrams)
    assembler = NoteAssembler()
    assembled = None
    for datagram in datagrams:
        fragment = decode_note(datagram).fragment
        assert fragment is not None
        assembled = assembler.add('h1', fragment, 0.0) or assembled
    assert assembled == sent


def test_call_events_are_small() -> None:
    """The start, first event and end of a call fit in less than 130 bytes."""
    call, server = 2**31 - 1, hash_server_key('i-7f3a91c2/1777923239008')
    started = CallStarted(
        call, server, 5, 17_000, [2**32 - 1] * 3, [13_000, 400, 3000], 600, True
    )
    note = Note(
        'front-leicester-1', [], [], [started], [CallHeard(call, server)],
        [CallEnded(call, server, 0)],
    )  # fmt: skip
    assert len(encode_note(note)) < 130


@pytest.mark.parametrize(
    'encoded', [b'', b'\x00', b'\xff' * 40, bytes(range(200))], ids=len
)
def test_invalid_bytes_raise_wire_error(encoded: bytes) -> None:
    """Bytes that do not encode a note raise ``WireError``."""
    with pytest.raises(WireError):
        decode_note(encoded)


@pytest.mark.parametrize(
    'fragment',
    [
        Fragment(1, 0, 1, b'no note'),
        Fragment(1, 0, 10**6, b''),
        Fragment(1, 2, 2, b''),
        Fragment(1, -1, 2, b''),
        Fragment(1, 0, 0, b''),
    ],
)
def test_invalid_fragments_raise_wire_error(fragment: Fragment) -> None:
    """Fragments that can not form a note raise ``WireError``."""
    with pytest.raises(WireError):
        NoteAssembler().add('h1', fragment, 0.0)


def make_raw_note() -> Any:
    """Return a note as hosts of the former version build and read it."""
    return ttypes.Note(
        host='host',
        started=[
            ttypes.CallStarted(
                call=1, server=2, tier=3, unread_tokens=4, parts=[5, 2**40],
                part_tokens=[7, 8], output_tokens=9, pause_target_ms=150,
            )
        ],
        heard=[ttypes.CallHeard(call=1, server=2, first_event_ms=3, limit=1.9)],
        ended=[ttypes.CallEnded(call=1, server=2, result=4)],
    )  # fmt: skip


def test_former_version_understands_call_events() -> None:
    """Guards against other bytes during a rolling update, either way."""
    note = Note(
        'host',
        started=[
            CallStarted(1, 2, 3, 4, [5, 2**40], [7, 8], 9, pause_target_ms=150)
        ],
        heard=[CallHeard(1, 2, 3, 1.9)],
        ended=[CallEnded(1, 2, 4)],
    )
    encoded = write_struct(make_raw_note())
    assert encode_note(note) == encoded
    assert decode_note(encoded) == note


@pytest.mark.parametrize(
    ('messages', 'field'),
    [
        ('started', 'parts'),
        ('started', 'call'),
        ('heard', 'server'),
        ('ended', 'result'),
    ],
)
def test_call_event_without_a_field_raises_wire_error(
    messages: str, field: str
) -> None:
    """Guards against events that are applied without what they need."""
    raw = make_raw_note()
    setattr(getattr(raw, messages)[0], field, None)
    with pytest.raises(WireError, match=field):
        decode_note(write_struct(raw))


def test_codec_in_python_is_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against notes that need the codec in C, which may be missing."""
    sent = make_note()
    encoded = encode_note(sent)
    monkeypatch.setattr(_codec, 'IS_ACCELERATED', False)
    monkeypatch.setattr(_codec, '_PROTOCOL_FACTORY', TCompactProtocolFactory())
    assert encode_note(sent) == encoded
    assert decode_note(encoded) == sent


def test_note_after_one_that_broke_off_is_decoded() -> None:
    """Guards against what a bad note leaves behind for the next one."""
    note = make_note()
    encoded = encode_note(note)
    for length in range(1, len(encoded)):
        with pytest.raises(WireError):
            decode_note(encoded[:length])
        assert decode_note(encoded) == note


def test_former_version_reads_notes_with_usage() -> None:
    """Guards against notes that hosts without usage reports drop."""
    former = type(
        'Note',
        (ttypes.Note,),
        {'__slots__': (), 'thrift_spec': ttypes.Note.thrift_spec[:14]},
    )
    sent = make_note()
    read = read_struct(former(), encode_note(sent))
    assert read.host == sent.host
    assert read.written_at_ms == sent.written_at_ms
    assert read.usage_totals is None


@pytest.mark.parametrize(
    'window',
    [
        ttypes.UsageWindow(window=1, teams=['a'], counts=[]),
        ttypes.UsageWindow(window=1, teams=['a'], counts=[-1]),
        ttypes.UsageWindow(window=1, teams=['a']),
        ttypes.UsageWindow(teams=[], counts=[]),
    ],
)
def test_invalid_usage_raises_wire_error(window: Any) -> None:
    """Guards against counts that belong to no team or window."""
    totals = ttypes.UsageTotals(
        host='h', process=1, complete_before=2, windows=[window]
    )
    with pytest.raises(WireError):
        decode_note(write_struct(ttypes.Note(host='h', usage_totals=[totals])))
