"""The records of ordered counts in the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Final
from urllib.parse import quote, unquote

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from burdockledge.autoscaling._types import Pool, ServerKind
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockledge.duties import StoreRecord

_log = make_logger('autoscaling')

_PREFIX: Final = 'orders'
_KEY_PARTS: Final = 4
# The store counts the bytes of a key in one byte.
_MAX_KEY_BYTES: Final = 255
_MAX_INT32: Final = (1 << 31) - 1

_Number = Annotated[int, Field(ge=0, le=_MAX_INT32)]


class _OrderRecord(BaseModel):
    """The content of a record."""

    model_config = ConfigDict(frozen=True, strict=True)

    count: _Number
    # The largest count that may be in force if the order is not carried out.
    before: _Number
    # Of the data centre, both kinds together.
    size: _Number


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """
    An ordered count, and the planned size of its data centre.

    ``before`` may be in force instead, if the order was not carried out.
    """

    count: int
    before: int
    size: int


def record_key(service: str, pool: Pool) -> str:
    """Return the key of the record of a pool."""
    return '/'.join(
        (
            _PREFIX,
            quote(service, safe=''),
            quote(pool.data_centre, safe=''),
            pool.kind.value,
        )
    )


def can_record(service: str, data_centre: str) -> bool:
    """Return whether the store takes the keys of a data centre's pools."""
    return all(
        len(record_key(service, Pool(data_centre, kind))) <= _MAX_KEY_BYTES
        for kind in ServerKind
    )


def encode_record(record: OrderRecord) -> bytes:
    """Return the content of a record."""
    return (
        _OrderRecord(count=record.count, before=record.before, size=record.size)
        .model_dump_json()
        .encode()
    )


def decode_records(
    records: Mapping[str, StoreRecord],
) -> dict[str, dict[Pool, OrderRecord]]:
    """Return the recorded orders by service; invalid records are left out."""
    orders: dict[str, dict[Pool, OrderRecord]] = {}
    for key, record in records.items():
        if not key.startswith(f'{_PREFIX}/'):
            continue
        try:
            service, pool = _parse_key(key)
            decoded = _OrderRecord.model_validate_json(record.content)
        except (ValueError, ValidationError) as error:
            _log.warning('Order can not be read.', key=key, why=repr(error))
            continue
        orders.setdefault(service, {})[pool] = OrderRecord(
            decoded.count, decoded.before, decoded.size
        )
    return orders


def _parse_key(key: str) -> tuple[str, Pool]:
    parts = key.split('/')
    if len(parts) != _KEY_PARTS:
        raise ValueError('the key has another form')
    return unquote(parts[1]), Pool(unquote(parts[2]), ServerKind(parts[3]))


__all__ = (
    'OrderRecord',
    'can_record',
    'decode_records',
    'encode_record',
    'record_key',
)
