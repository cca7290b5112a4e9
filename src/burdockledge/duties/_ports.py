"""Ports between the holder of duties, the duties, the store and the API."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar, NamedTuple

if TYPE_CHECKING:
    from result import Result


class CallOutcome(enum.Enum):
    """How a call to the platform's API ended."""

    accepted = 'accepted'
    # A holder with a higher fence number has called.
    fenced = 'fenced'
    # There are no servers of the ordered kind at the moment.
    unavailable = 'unavailable'
    # The limit of calls a second was exceeded; the call was not carried out.
    limited = 'limited'
    # The call was not carried out for another reason.
    failed = 'failed'
    # The call may have been carried out, or may be carried out later.
    unknown = 'unknown'
    # The lease had ended before the call was sent.
    not_sent = 'not sent'


class StoreFailure(enum.Enum):
    """Why a call to the store brought no result."""

    unavailable = 'the store does not answer'
    refused = 'the store refuses'
    unreadable = 'the answer can not be read'
    # Of an append only: the partition does not end at the expected offset.
    conflict = 'another record was appended before'


class FenceNumber(NamedTuple):
    """
    Orders the claims of a duty, also across restores of the store.

    An offset orders records within an era of the store only.
    """

    era: int
    offset: int


class StoreRecord(NamedTuple):
    """The newest record of a key, with its offset."""

    offset: int
    content: bytes


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """
    The newest record of each key of the topic of duties.

    ``end`` is the offset of the next record.
    """

    era: int
    end: int
    records: Mapping[str, StoreRecord]


class DutyStore(ABC):
    """The topic of duties in the platform's store."""

    @abstractmethod
    async def read(self) -> Result[StoreSnapshot, StoreFailure]:
        """Read the newest record of each key."""

    @abstractmethod
    async def append(
        self, key: str, content: bytes, expected_end: int
    ) -> Result[StoreSnapshot, StoreFailure]:
        """
        Append a record if the topic ends at an offset.

        A call that fails as unavailable may have been carried out, or may be
        carried out later if the topic still ends at that offset.

        :return: the era and the end after the append, with this record only.
        """


class Lease(ABC):
    """The right of this host to do the duties, until it ends."""

    @property
    @abstractmethod
    def fence_number(self) -> FenceNumber:
        """The number that all calls under this lease bear."""

    @abstractmethod
    def is_valid(self) -> bool:
        """Return whether a call may be sent now; ask right before it."""

    @abstractmethod
    def records(self) -> Mapping[str, StoreRecord]:
        """Return the newest records of the topic, those of this host too."""

    @abstractmethod
    async def write(self, key: str, content: bytes) -> bool:
        """
        Write a record while the lease holds.

        :return: whether the record is in the store. If not, it may still be
            written later; the next ``records`` tell.
        """

    async def is_superseded(self) -> bool:
        """Return whether the store shows a newer claim of another host."""
        return False

    @abstractmethod
    def note_outcome(self, outcome: CallOutcome) -> None:
        """Record how a call ended; ``fenced`` ends the lease."""


class Duty(ABC):
    """Work that only one host does at a time."""

    name: ClassVar[str]

    @abstractmethod
    async def run(self, lease: Lease) -> float:
        """Do what is due; return the seconds until the next run."""

    @abstractmethod
    def forget(self) -> None:
        """Drop what holds only under the lease that has ended."""


class DutyApi(ABC):
    """
    The calls of duties to the platform.

    Each call checks the lease right before it is sent, uses a connection of
    its own, and tells the lease how it ended.
    """

    @abstractmethod
    async def report_usage(self, lease: Lease, report: bytes) -> CallOutcome:
        """Send the usage report of a window as it was recorded."""

    @abstractmethod
    async def order_servers(
        self,
        lease: Lease,
        service: str,
        data_centre: str,
        count: int,
        *,
        is_reclaimable: bool,
    ) -> CallOutcome:
        """Order a number of servers of one kind in a data centre."""


__all__ = (
    'CallOutcome',
    'Duty',
    'DutyApi',
    'DutyStore',
    'FenceNumber',
    'Lease',
    'StoreFailure',
    'StoreRecord',
    'StoreSnapshot',
)
