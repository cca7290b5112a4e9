"""The records of claims in the topic of duties."""

from __future__ import annotations

from typing import Final

from pydantic import BaseModel, ConfigDict, ValidationError

HOLDER_KEY: Final = 'holder'
RENEWAL_KEY: Final = 'renewal'


class HolderRecord(BaseModel):
    """
    A claim, or a release if ``is_released``.

    ``host`` and ``incarnation`` name the process that wrote it, ``era`` the
    era of the store for which it was written. ``former_hosts`` held the duties
    shortly before. With ``is_open`` another host may claim at once.
    """

    model_config = ConfigDict(frozen=True)

    host: str
    incarnation: str
    era: int
    former_hosts: frozenset[str] = frozenset()
    is_released: bool = False
    is_open: bool = False


class RenewalRecord(BaseModel):
    """A sign of life; ``number`` tells the renewals of a process apart."""

    host: str
    incarnation: str
    number: int


def encode_record(record: BaseModel) -> bytes:
    """Return the content of a record."""
    return record.model_dump_json().encode()


def decode_holder(content: bytes) -> HolderRecord | None:
    """Return a claim or release, None if it can not be read."""
    try:
        return HolderRecord.model_validate_json(content)
    except ValidationError:
        return None


__all__ = (
    'HOLDER_KEY',
    'RENEWAL_KEY',
    'HolderRecord',
    'RenewalRecord',
    'decode_holder',
    'encode_record',
)
