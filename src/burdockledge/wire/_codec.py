"""Converts messages to and from the thrift compact protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from burdockledge.wire import _messages as messages
from burdockledge.wire.generated.burdockledge import ttypes

if TYPE_CHECKING:
    from collections.abc import Iterable

MessageT = TypeVar('MessageT')

_FACTORY: Final = TCompactProtocolAcceleratedFactory(
    string_length_limit=16 * 1024 * 1024,
    container_length_limit=100_000,
)


class WireError(Exception):
    """Bytes of a peer that do not decode."""


def encode_frame(frame: messages.Frame) -> bytes:
    """Encode a frame without its length prefix."""
    raw = ttypes.Frame(
        offers=to_raw_list(ttypes.Offer, frame.offers),
        grants=to_raw_list(ttypes.Grant, frame.grants),
        refusals=to_raw_list(ttypes.Refusal, frame.refusals),
        releases=to_raw_list(ttypes.Release, frame.releases),
        yields=to_raw_list(ttypes.Yield, frame.yields),
        pull=to_raw(ttypes.ConfigurationPull, frame.pull),
        heartbeat=frame.heartbeat,
        stamp=frame.stamp,
    )
    if frame.state is not None:
        raw.state = ttypes.ConfigurationState(
            offset=frame.state.offset,
            version=frame.state.version,
            document=frame.state.document,
            records=[
                to_raw(ttypes.ConfigurationRecord, record)
                for record in frame.state.records
            ],
        )
    return write_struct(raw)


def decode_frame(encoded: bytes) -> messages.Frame:
    """
    Decode a frame.

    :raises WireError: if the bytes are no frame.
    """
    raw = read_struct(ttypes.Frame(), encoded)
    return messages.Frame(
        offers=to_typed_list(messages.Offer, raw.offers),
        grants=to_typed_list(messages.Grant, raw.grants),
        refusals=to_typed_list(messages.Refusal, raw.refusals),
        releases=to_typed_list(messages.Release, raw.releases),
        yields=to_typed_list(messages.Yield, raw.yields),
        pull=to_typed_optional(messages.ConfigurationPull, raw.pull),
        state=_typed_state(raw.state),
        heartbeat=raw.heartbeat,
        stamp=raw.stamp,
    )


def encode_hello(hello: messages.Hello) -> bytes:
    """Encode the opening message of a link."""
    return write_struct(to_raw(ttypes.Hello, hello))


def decode_hello(encoded: bytes) -> messages.Hello:
    """
    Decode the opening message of a link.

    :raises WireError: if the bytes are no opening message.
    """
    return to_typed(messages.Hello, read_struct(ttypes.Hello(), encoded))


def encode_probe(probe: messages.Probe) -> bytes:
    """Encode a membership datagram."""
    return write_struct(
        ttypes.Probe(
            kind=probe.kind,
            sequence=probe.sequence,
            sender=to_raw(ttypes.MemberUpdate, probe.sender),
            updates=[
                to_raw(ttypes.MemberUpdate, update) for update in probe.updates
            ],
            configuration_offset=probe.configuration_offset,
            target=to_raw(ttypes.MemberUpdate, probe.target),
        ),
    )


def decode_probe(encoded: bytes) -> messages.Probe:
    """
    Decode a membership datagram.

    :raises WireError: if the bytes are no datagram.
    """
    raw = read_struct(ttypes.Probe(), encoded)
    if raw.sender is None or raw.kind is None:
        raise WireError('datagram without kind or sender')
    return messages.Probe(
        kind=raw.kind,
        sequence=raw.sequence or 0,
        sender=to_typed(messages.MemberUpdate, raw.sender),
        updates=to_typed_list(messages.MemberUpdate, raw.updates),
        configuration_offset=raw.configuration_offset or 0,
        target=to_typed_optional(messages.MemberUpdate, raw.target),
    )


def write_struct(raw: Any) -> bytes:
    """Encode a generated struct."""
    buffer = TMemoryBuffer()
    raw.write(_FACTORY.getProtocol(buffer))
    encoded: bytes = buffer.getvalue()
    return encoded


def read_struct(raw: Any, encoded: bytes) -> Any:
    """
    Decode a generated struct.

    :raises WireError: if the bytes do not decode.
    """
    try:
        raw.read(_FACTORY.getProtocol(TMemoryBuffer(encoded)))
    except Exception as error:
        # The accelerated decoder raises many built-in types on bad bytes.
        raise WireError(f'bytes do not decode: {error}') from error
    return raw


def to_raw(kind: Any, message: object) -> Any:
    """Convert a message to its generated struct."""
    if message is None:
        return None
    return kind(
        **{name: getattr(message, name) for name in _names(type(message))},
    )


def to_raw_list(kind: Any, items: Iterable[object]) -> Any:
    """Convert messages to generated structs, None for no message."""
    return [to_raw(kind, message) for message in items] or None


def to_typed(kind: type[MessageT], raw: Any) -> MessageT:
    """
    Convert a generated struct to a message.

    :raises WireError: if a field is missing.
    """
    fields = {name: getattr(raw, name) for name in _names(kind)}
    if any(field is None for field in fields.values()):
        raise WireError(f'{kind.__name__} lacks a field')
    return kind(**fields)


def to_typed_list(kind: type[MessageT], raws: Any) -> list[MessageT]:
    """Convert generated structs to messages."""
    return [to_typed(kind, raw) for raw in raws or ()]


def to_typed_optional(kind: type[MessageT], raw: Any) -> MessageT | None:
    return None if raw is None else to_typed(kind, raw)


def _typed_state(raw: Any) -> messages.ConfigurationState | None:
    if raw is None:
        return None
    return messages.ConfigurationState(
        offset=raw.offset,
        version=raw.version,
        document=raw.document,
        records=to_typed_list(messages.ConfigurationRecord, raw.records),
    )


def _names(kind: type[object]) -> tuple[str, ...]:
    return tuple(getattr(kind, '__slots__', ()))


__all__ = (
    'WireError',
    'decode_frame',
    'decode_hello',
    'decode_probe',
    'encode_frame',
    'encode_hello',
    'encode_probe',
    'read_struct',
    'to_raw',
    'to_raw_list',
    'to_typed',
    'to_typed_list',
    'write_struct',
)
