"""Tests of the codec of frames, probes and handshake messages."""

from __future__ import annotations

import contextlib

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockledge.wire import (
    ConfigurationPull,
    ConfigurationRecord,
    ConfigurationState,
    Frame,
    Grant,
    MemberUpdate,
    Offer,
    Probe,
    Refusal,
    Release,
    WireError,
    decode_frame,
    decode_hello,
    decode_probe,
    encode_frame,
    encode_probe,
)

MEMBER = MemberUpdate('h', 'a:1', 'http://a', 'dc', 1 << 40, 3, 1)


def test_frame_round_trip() -> None:
    """Decoding an encoded frame restores every field."""
    frame = Frame(heartbeat=5, stamp=1 << 60)
    for message in (
        Offer(b'x' * 16, 's', 2, 'team', 1.5, 100, 7, running=True),
        Grant(b'x' * 16, 's'),
        Refusal(b'x' * 16, 's', 9),
        Release(b'x' * 16, 's', 4),
        ConfigurationPull(-1),
        ConfigurationState(3, 2, '', [ConfigurationRecord(3, 4, '{}')]),
    ):
        frame.add(message)
    assert decode_frame(encode_frame(frame)) == frame


def test_probe_round_trip() -> None:
    """Decoding an encoded probe restores every field."""
    probe = Probe(2, 7, MEMBER, [MEMBER, MEMBER], 12, MEMBER)
    assert decode_probe(encode_probe(probe)) == probe


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_wire_error(encoded: bytes) -> None:
    """Decoding arbitrary bytes succeeds or raises ``WireError``."""
    for decode in (decode_frame, decode_probe, decode_hello):
        with contextlib.suppress(WireError):
            decode(encoded)
