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
        offers=raw_list_of(ttypes.Offer, frame.offers),
        grants=raw_list_of(ttypes.Grant, frame.grants),
        refusals=raw_list_of(ttypes.Refusal, frame.refusals),
        releases=raw_list_of(ttypes.Release, frame.releases),
        yields=raw_list_of(ttypes.Yield, frame.yields),
        pull=raw_of(ttypes.ConfigurationPull, frame.pull),
        heartbeat=frame.heartbeat,
        stamp=frame.stamp,
    )
    if frame.state is not None:
        raw.state = ttypes.ConfigurationState(
            offset=frame.state.offset,
            version=frame.state.version,
            document=frame.state.document,
            records=[
                raw_of(ttypes.ConfigurationRecord, record)
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
        offers=typed_list_of(messages.Offer, raw.offers),
        grants=typed_list_of(messages.Grant, raw.grants),
        refusals=typed_list_of(messages.Refusal, raw.refusals),
        releases=typed_list_of(messages.Release, raw.releases),
        yields=typed_list_of(messages.Yield, raw.yields),
        pull=typed_optional_of(messages.ConfigurationPull, raw.pull),
        state=_typed_state(raw.state),
        heartbeat=raw.heartbeat,
        stamp=raw.stamp,
    )


def encode_hello(hello: messages.Hello) -> bytes:
    """Encode the opening message of a link."""
    return write_struct(raw_of(ttypes.Hello, hello))


def decode_hello(encoded: bytes) -> messages.Hello:
    """
    Decode the opening message of a link.

    :raises WireError: if the bytes are no opening message.
    """
    return typed_of(messages.Hello, read_struct(ttypes.Hello(), encoded))


def encode_probe(probe: messages.Probe) -> bytes:
    """Encode a membership datagram."""
    return write_struct(
        ttypes.Probe(
            kind=probe.kind,
            sequence=probe.sequence,
            sender=raw_of(ttypes.MemberUpdate, probe.sender),
            updates=[
                raw_of(ttypes.MemberUpdate, update) for update in probe.updates
            ],
            configuration_offset=probe.configuration_offset,
            target=raw_of(ttypes.MemberUpdate, probe.target),
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
        sender=typed_of(messages.MemberUpdate, raw.sender),
        updates=typed_list_of(messages.MemberUpdate, raw.updates),
        configuration_offset=raw.configuration_offset or 0,
        target=typed_optional_of(messages.MemberUpdate, raw.target),
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


def raw_of(kind: Any, message: object) -> Any:
    """Convert a message to its generated struct."""
    if message is None:
        return None
    return kind(
        **{name: getattr(message, name) for name in _names(type(message))},
    )


def raw_list_of(kind: Any, items: Iterable[object]) -> Any:
    """Convert messages to generated structs, None for no message."""
    return [raw_of(kind, message) for message in items] or None


def typed_of(kind: type[MessageT], raw: Any) -> MessageT:
    """
    Convert a generated struct to a message.

    :raises WireError: if a field is missing.
    """
    fields = {name: getattr(raw, name) for name in _names(kind)}
    if any(field is None for field in fields.values()):
        raise WireError(f'{kind.__name__} lacks a field')
    return kind(**fields)


def typed_list_of(kind: type[MessageT], raws: Any) -> list[MessageT]:
    """Convert generated structs to messages."""
    return [typed_of(kind, raw) for raw in raws or ()]


def typed_optional_of(kind: type[MessageT], raw: Any) -> MessageT | None:
    return None if raw is None else typed_of(kind, raw)


def _typed_state(raw: Any) -> messages.ConfigurationState | None:
    if raw is None:
        return None
    return messages.ConfigurationState(
        offset=raw.offset,
        version=raw.version,
        document=raw.document,
        records=typed_list_of(messages.ConfigurationRecord, raw.records),
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
    'raw_of',
    'raw_list_of',
    'typed_of',
    'typed_list_of',
    'write_struct',
)
