"""Notes: datagrams that replicate stream records and call events."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import Any, Final

import xxhash

from burdockledge.wire._codec import (
    WireError,
    build_message_list,
    build_optional_message,
    build_struct,
    build_struct_list,
    messages_to_write,
    read_struct,
    struct_type_with_messages,
    write_struct,
)
from burdockledge.wire._usage import (
    UsagePull,
    UsageTotals,
    build_totals,
    build_totals_struct,
)
from burdockledge.wire.generated.burdockledge import ttypes

# Payload that fits into an Ethernet frame beside the headers and the MAC.
DATAGRAM_PAYLOAD_BYTES: Final = 1200
# The era of messages from hosts of versions that know none.
NO_ERA: Final = -1


@dataclass(frozen=True, slots=True)
class StreamEntry:
    """The newest record of a key; content None marks a removed key."""

    key: str
    offset: int
    content: bytes | None


@dataclass(frozen=True, slots=True)
class StreamUpdate:
    """
    Records of a stream, complete from ``start`` up to but not ``end``.

    With ``is_whole`` it holds the newest record of every key instead.
    ``age_ms`` is the time since the stream was known to end at ``end``.
    Offsets order records within one ``era`` of the store, which begins when
    the store comes back from a copy of its records.
    """

    stream: str
    start: int
    end: int
    age_ms: int
    entries: tuple[StreamEntry, ...]
    is_whole: bool
    era: int = 0


@dataclass(frozen=True, slots=True)
class StreamPull:
    """
    Asks a peer for records from ``position`` on.

    A peer at the same position answers if its last confirmation of it is
    newer; ``age_ms`` is the age of that of the sender. The position holds in
    one ``era`` of the store.
    """

    stream: str
    position: int
    age_ms: int = 0
    era: int = 0


@dataclass(frozen=True, slots=True)
class CallStarted:
    """
    A call that a host sent to a backend server.

    ``server`` is the hash of the server's key. ``unread_tokens`` are the
    prompt tokens that are not expected in its prefix cache; ``parts`` and
    ``part_tokens`` are the ids and lengths of the parts of the prompt.
    ``output_tokens`` is the length that is allowed for the output.
    ``pause_target_ms`` is the longest pause between events of a stream that
    is on time, 0 if there is none.
    """

    call: int
    server: int
    tier: int
    unread_tokens: int
    parts: list[int]
    part_tokens: list[int]
    output_tokens: int
    # Unused, but hosts of versions before 0.4 reject a call without it.
    is_brisk: bool = False
    pause_target_ms: int = 0


@dataclass(frozen=True, slots=True)
class CallHeard:
    """
    The first response event of a call arrived: its prompt was processed.

    ``first_event_ms`` is the time since the call was sent, 0 if unknown.
    ``limit`` is how many calls a second the server takes from all hosts,
    negative if it names no limit.
    """

    call: int
    server: int
    first_event_ms: int = 0
    limit: float = -1.0


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call ended; ``result`` is a member of ``CallResult``."""

    call: int
    server: int
    result: int


@dataclass(frozen=True, slots=True)
class CrashSuspect:
    """
    A call whose connection broke before its response had content.

    ``server`` is the hash of the server's key, ``parts`` are keys of the
    prompt parts that the call shares with others. ``had_head`` tells whether
    the head of its response had arrived. ``sent_before_ms`` is the time from
    the send to the break, ``age_ms`` the time since the break.
    """

    call: int
    server: int
    parts: list[int]
    had_head: bool
    sent_before_ms: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Clearance:
    """
    Voids the evidence against a prompt part, or the crash of a server.

    ``subject`` is the key of the part or the hash of the server's key;
    ``age_ms`` is the time since the clearance. Evidence after it counts.
    """

    id: int
    subject: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Fragment:
    """
    A fragment of a compressed note.

    ``note`` is a number that no other note of its sender bears, also of the
    sender's earlier processes.
    """

    note: int
    index: int
    count: int
    content: bytes


@dataclass(slots=True)
class Note:
    """
    A gossip message between two hosts.

    ``updates`` and ``pulls`` replicate streams. ``started``, ``heard`` and
    ``ended`` are call events of the sender. ``passed`` holds encoded notes of
    other hosts, forwarded within a group. ``fragment`` is a part of a note
    that does not fit into a datagram. ``suspects`` and ``clearances`` are
    evidence on crashes; ``evidence_digest`` asks for that of the receiver
    unless it is the same, a negative one asks for none. ``limited_calls``
    names the server of each call to one that names a limit; it is sent to
    every host directly. ``written_at_ms`` is the sender's wall clock in a note
    that is kept in the store, ``sent_at_ms`` that in a note to another host.
    ``usage_pull`` asks for counts of calls, ``usage_totals`` answers.
    """

    host: str
    updates: list[StreamUpdate] = field(default_factory=list)
    pulls: list[StreamPull] = field(default_factory=list)
    started: list[CallStarted] = field(default_factory=list)
    heard: list[CallHeard] = field(default_factory=list)
    ended: list[CallEnded] = field(default_factory=list)
    fragment: Fragment | None = None
    passed: list[bytes] = field(default_factory=list)
    suspects: list[CrashSuspect] = field(default_factory=list)
    clearances: list[Clearance] = field(default_factory=list)
    evidence_digest: int | None = None
    limited_calls: list[int] = field(default_factory=list)
    written_at_ms: int | None = None
    sent_at_ms: int | None = None
    usage_pull: UsagePull | None = None
    usage_totals: list[UsageTotals] = field(default_factory=list)

    @property
    def has_call_events(self) -> bool:
        """Whether the note holds call events of its sender."""
        return bool(self.started or self.heard or self.ended)

    @property
    def has_evidence(self) -> bool:
        """Whether the note holds evidence on crashes."""
        return bool(self.suspects or self.clearances)


# A note as it is encoded; its call events are messages already.
_RawNote: Final[Any] = struct_type_with_messages(
    ttypes.Note,
    {'started': CallStarted, 'heard': CallHeard, 'ended': CallEnded},
)


def hash_server_key(key: str) -> int:
    """Return the 32-bit hash that stands for a server's key in notes."""
    return xxhash.xxh32_intdigest(key.encode())


def encode_note(note: Note) -> bytes:
    """Encode a note; the result may be larger than a datagram."""
    return write_struct(
        _RawNote(
            host=note.host,
            updates=[_build_update_struct(update) for update in note.updates]
            or None,
            pulls=build_struct_list(ttypes.StreamPull, note.pulls),
            started=messages_to_write(ttypes.CallStarted, note.started),
            heard=messages_to_write(ttypes.CallHeard, note.heard),
            ended=messages_to_write(ttypes.CallEnded, note.ended),
            fragment=build_struct(ttypes.Fragment, note.fragment),
            passed=note.passed or None,
            suspects=build_struct_list(ttypes.CrashSuspect, note.suspects),
            clearances=build_struct_list(ttypes.Clearance, note.clearances),
            evidence_digest=note.evidence_digest,
            limited_calls=note.limited_calls or None,
            written_at_ms=note.written_at_ms,
            sent_at_ms=note.sent_at_ms,
            usage_pull=build_struct(ttypes.UsagePull, note.usage_pull),
            usage_totals=[
                build_totals_struct(totals) for totals in note.usage_totals
            ]
            or None,
        ),
    )


def decode_note(encoded: bytes) -> Note:
    """
    Decode a note.

    :raises WireError: if the bytes do not encode a note.
    """
    raw = read_struct(_RawNote(), encoded)
    if raw.host is None:
        raise WireError('note without host')
    return Note(
        host=raw.host,
        updates=[_build_update(update) for update in raw.updates or ()],
        pulls=build_message_list(StreamPull, raw.pulls),
        started=build_message_list(CallStarted, raw.started),
        heard=build_message_list(CallHeard, raw.heard),
        ended=build_message_list(CallEnded, raw.ended),
        fragment=build_optional_message(Fragment, raw.fragment),
        passed=list(raw.passed or ()),
        suspects=build_message_list(CrashSuspect, raw.suspects),
        clearances=build_message_list(Clearance, raw.clearances),
        evidence_digest=raw.evidence_digest,
        limited_calls=list(raw.limited_calls or ()),
        written_at_ms=raw.written_at_ms,
        sent_at_ms=raw.sent_at_ms,
        usage_pull=build_optional_message(UsagePull, raw.usage_pull),
        usage_totals=[
            build_totals(totals) for totals in raw.usage_totals or ()
        ],
    )


def encode_note_datagrams(note: Note, note_number: int) -> list[bytes]:
    """
    Encode a note into the payloads of one or more datagrams.

    A note over ``DATAGRAM_PAYLOAD_BYTES`` is compressed and divided into
    fragments, which are notes themselves and slightly larger than that.
    """
    encoded = encode_note(note)
    if len(encoded) <= DATAGRAM_PAYLOAD_BYTES:
        return [encoded]
    compressed = zlib.compress(encoded)
    chunks = [
        compressed[start : start + DATAGRAM_PAYLOAD_BYTES]
        for start in range(0, len(compressed), DATAGRAM_PAYLOAD_BYTES)
    ]
    return [
        encode_note(
            Note(
                note.host,
                fragment=Fragment(note_number, index, len(chunks), chunk),
            ),
        )
        for index, chunk in enumerate(chunks)
    ]


def _build_update_struct(update: StreamUpdate) -> Any:
    return ttypes.StreamUpdate(
        stream=update.stream,
        start=update.start,
        end=update.end,
        age_ms=update.age_ms,
        entries=[
            build_struct(ttypes.StreamEntry, entry) for entry in update.entries
        ],
        is_whole=update.is_whole,
        era=update.era,
    )


def _build_update(raw: Any) -> StreamUpdate:
    if raw.stream is None or raw.end is None or raw.start is None:
        raise WireError('stream update lacks a field')
    return StreamUpdate(
        stream=raw.stream,
        start=raw.start,
        end=raw.end,
        age_ms=raw.age_ms or 0,
        entries=tuple(_build_entry(entry) for entry in raw.entries or ()),
        is_whole=bool(raw.is_whole),
        era=raw.era,
    )


def _build_entry(raw: Any) -> StreamEntry:
    if raw.key is None or raw.offset is None:
        raise WireError('stream entry lacks a field')
    return StreamEntry(raw.key, raw.offset, raw.content)


__all__ = (
    'DATAGRAM_PAYLOAD_BYTES',
    'NO_ERA',
    'CallEnded',
    'CallHeard',
    'CallStarted',
    'Clearance',
    'CrashSuspect',
    'Fragment',
    'Note',
    'StreamEntry',
    'StreamPull',
    'StreamUpdate',
    'decode_note',
    'encode_note',
    'hash_server_key',
    'encode_note_datagrams',
)
