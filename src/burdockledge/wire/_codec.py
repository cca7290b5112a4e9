"""Encoding of messages in the thrift compact protocol."""

from __future__ import annotations

from importlib.util import find_spec
from typing import TYPE_CHECKING, Any, Final, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from burdockledge.wire import _messages as messages
from burdockledge.wire.generated.burdockledge import ttypes

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

MessageT = TypeVar('MessageT')

# Whether the codec in C is there; without it all is slower.
IS_ACCELERATED: Final = find_spec('thrift.protocol.fastbinary') is not None

_PROTOCOL_FACTORY: Final = TCompactProtocolAcceleratedFactory(
    string_length_limit=16 * 1024 * 1024,
    container_length_limit=100_000,
)
_READER: Final[Any] = _PROTOCOL_FACTORY.getProtocol(TMemoryBuffer())


class WireError(Exception):
    """Bytes received from a peer can not be decoded."""


def encode_frame(frame: messages.Frame) -> bytes:
    """Encode a frame without its length prefix."""
    raw = ttypes.Frame(
        offers=build_struct_list(ttypes.Offer, frame.offers),
        grants=build_struct_list(ttypes.Grant, frame.grants),
        refusals=build_struct_list(ttypes.Refusal, frame.refusals),
        releases=build_struct_list(ttypes.Release, frame.releases),
        yields=build_struct_list(ttypes.Yield, frame.yields),
        pull=build_struct(ttypes.ConfigurationPull, frame.pull),
        heartbeat=frame.heartbeat,
        stamp=frame.stamp,
    )
    if frame.state is not None:
        raw.state = ttypes.ConfigurationState(
            offset=frame.state.offset,
            version=frame.state.version,
            document=frame.state.document,
            records=[
                build_struct(ttypes.ConfigurationRecord, record)
                for record in frame.state.records
            ],
        )
    return write_struct(raw)


def decode_frame(encoded: bytes) -> messages.Frame:
    """
    Decode a frame.

    :raises WireError: if the bytes do not encode a frame.
    """
    raw = read_struct(ttypes.Frame(), encoded)
    return messages.Frame(
        offers=build_message_list(messages.Offer, raw.offers),
        grants=build_message_list(messages.Grant, raw.grants),
        refusals=build_message_list(messages.Refusal, raw.refusals),
        releases=build_message_list(messages.Release, raw.releases),
        yields=build_message_list(messages.Yield, raw.yields),
        pull=build_optional_message(messages.ConfigurationPull, raw.pull),
        state=_build_state(raw.state),
        heartbeat=raw.heartbeat,
        stamp=raw.stamp,
    )


def encode_hello(hello: messages.Hello) -> bytes:
    """Encode a handshake message of a link."""
    return write_struct(build_struct(ttypes.Hello, hello))


def decode_hello(encoded: bytes) -> messages.Hello:
    """
    Decode a handshake message of a link.

    :raises WireError: if the bytes do not encode a handshake message.
    """
    return build_message(messages.Hello, read_struct(ttypes.Hello(), encoded))


def encode_probe(probe: messages.Probe) -> bytes:
    """Encode a membership datagram."""
    return write_struct(
        ttypes.Probe(
            kind=probe.kind,
            sequence=probe.sequence,
            sender=build_struct(ttypes.MemberUpdate, probe.sender),
            updates=[
                build_struct(ttypes.MemberUpdate, update)
                for update in probe.updates
            ],
            configuration_offset=probe.configuration_offset,
            target=build_struct(ttypes.MemberUpdate, probe.target),
        ),
    )


def decode_probe(encoded: bytes) -> messages.Probe:
    """
    Decode a membership datagram.

    :raises WireError: if the bytes do not encode such a datagram.
    """
    raw = read_struct(ttypes.Probe(), encoded)
    if raw.sender is None or raw.kind is None:
        raise WireError('datagram without kind or sender')
    return messages.Probe(
        kind=raw.kind,
        sequence=raw.sequence or 0,
        sender=build_message(messages.MemberUpdate, raw.sender),
        updates=build_message_list(messages.MemberUpdate, raw.updates),
        configuration_offset=raw.configuration_offset or 0,
        target=build_optional_message(messages.MemberUpdate, raw.target),
    )


def write_struct(raw: Any) -> bytes:
    """Encode an instance of a generated thrift class."""
    buffer = TMemoryBuffer()
    raw.write(_PROTOCOL_FACTORY.getProtocol(buffer))
    encoded: bytes = buffer.getvalue()
    return encoded


def read_struct(raw: Any, encoded: bytes) -> Any:
    """
    Decode bytes into an instance of a generated thrift class.

    :return: the instance.
    :raises WireError: if the bytes can not be decoded.
    """
    try:
        raw.read(_protocol_of(encoded))
    except Exception as error:
        # The accelerated decoder raises many built-in exceptions on invalid
        # bytes.
        raise WireError(f'bytes can not be decoded: {error}') from error
    return raw


def _protocol_of(encoded: bytes) -> Any:
    """
    Return a protocol that reads bytes, until the next call.

    The accelerated codec keeps nothing in it; a new one for each note would
    cost as much as a call event. Hosts decode in one thread only.
    """
    if not IS_ACCELERATED:
        return _PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(encoded))
    _READER.trans = TMemoryBuffer(encoded)
    return _READER


def build_struct(struct_type: Any, message: object) -> Any:
    """Convert a message to a generated thrift class with the same fields."""
    if message is None:
        return None
    return struct_type(
        **{
            name: getattr(message, name) for name in _field_names(type(message))
        },
    )


def build_struct_list(
    struct_type: Any, typed_messages: Iterable[object]
) -> Any:
    """Convert messages to instances of a thrift class; return None for none."""
    return [
        build_struct(struct_type, message) for message in typed_messages
    ] or None


def messages_to_write(
    struct_type: Any, typed_messages: Sequence[object]
) -> Any:
    """
    Return what stands for messages in an instance of a thrift class.

    The accelerated codec reads the fields of any object by their names.
    """
    if IS_ACCELERATED:
        return typed_messages or None
    return build_struct_list(struct_type, typed_messages)


def build_message(message_type: type[MessageT], raw: Any) -> MessageT:
    """
    Convert an instance of a generated thrift class to a message.

    :raises WireError: if a field is missing.
    """
    fields = {name: getattr(raw, name) for name in _field_names(message_type)}
    if any(field is None for field in fields.values()):
        raise WireError(f'{message_type.__name__} lacks a field')
    return message_type(**fields)


def build_message_list(
    message_type: type[MessageT], structs: Any
) -> list[MessageT]:
    """
    Convert a list of thrift instances, or None, to messages.

    Messages stay, which the decoder of ``struct_type_with_messages`` builds.
    """
    if not structs:
        return []
    if isinstance(structs[0], message_type):
        messages_built: list[MessageT] = structs
        return messages_built
    return [build_message(message_type, raw) for raw in structs]


def struct_type_with_messages(
    struct_type: Any, message_types: Mapping[str, type[object]]
) -> Any:
    """
    Return a thrift class whose lists hold messages.

    The accelerated codec builds frozen classes by their fields' names, and
    raises ``TypeError`` without a field that has no default; the codec in
    Python builds generated classes.

    :param message_types: the types of the items by the names of the fields.
    """
    spec = tuple(
        _field_with_messages(one, message_types)
        for one in struct_type.thrift_spec
    )
    return type(
        struct_type.__name__,
        (struct_type,),
        {'__slots__': (), 'thrift_spec': spec},
    )


def _field_with_messages(
    field: Any, message_types: Mapping[str, type[object]]
) -> Any:
    if field is None or field[2] not in message_types:
        return field
    item_kind, item_type, is_frozen = field[3]
    item_type = [message_types[field[2]], item_type[1]]
    return (*field[:3], (item_kind, item_type, is_frozen), field[4])


def build_optional_message(
    message_type: type[MessageT], raw: Any
) -> MessageT | None:
    """Convert a thrift instance to a message, None to None."""
    return None if raw is None else build_message(message_type, raw)


def _build_state(raw: Any) -> messages.ConfigurationState | None:
    if raw is None:
        return None
    return messages.ConfigurationState(
        offset=raw.offset,
        version=raw.version,
        document=raw.document,
        records=build_message_list(messages.ConfigurationRecord, raw.records),
    )


def _field_names(message_type: type[object]) -> tuple[str, ...]:
    return tuple(getattr(message_type, '__slots__', ()))


__all__ = (
    'IS_ACCELERATED',
    'WireError',
    'decode_frame',
    'decode_hello',
    'decode_probe',
    'encode_frame',
    'encode_hello',
    'encode_probe',
    'read_struct',
    'build_struct',
    'build_struct_list',
    'build_message',
    'build_message_list',
    'messages_to_write',
    'struct_type_with_messages',
    'write_struct',
)
