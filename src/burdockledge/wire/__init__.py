"""Typed messages between entry hosts and their thrift encoding."""

from __future__ import annotations

from burdockledge.wire._codec import (
    WireError,
    decode_frame,
    decode_hello,
    decode_probe,
    encode_frame,
    encode_hello,
    encode_probe,
)
from burdockledge.wire._messages import (
    ConfigurationPull,
    ConfigurationRecord,
    ConfigurationState,
    Frame,
    Grant,
    Hello,
    MemberStatus,
    MemberUpdate,
    Message,
    Offer,
    Probe,
    ProbeKind,
    Refusal,
    Release,
    Yield,
)

__all__ = (
    'ConfigurationPull',
    'ConfigurationRecord',
    'ConfigurationState',
    'Frame',
    'Grant',
    'Hello',
    'MemberStatus',
    'MemberUpdate',
    'Message',
    'Offer',
    'Probe',
    'ProbeKind',
    'Refusal',
    'Release',
    'WireError',
    'Yield',
    'decode_frame',
    'decode_hello',
    'decode_probe',
    'encode_frame',
    'encode_hello',
    'encode_probe',
)
