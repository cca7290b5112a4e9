"""The interface of the store that holds the record streams."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from burdockledge.wire import StreamUpdate


class SourceFailure(enum.Enum):
    """The reason for which a read failed."""

    unavailable = 'the store did not answer'
    refused = 'the store refused the call'
    unreadable = 'the answer of the store can not be read'
    outdated = 'the answer is of an earlier era of the store'


class RecordSource(ABC):
    """Reads streams of records and keeps a list of the entry hosts."""

    @abstractmethod
    async def read(
        self, stream: str, position: int, era: int = 0
    ) -> Result[StreamUpdate, SourceFailure]:
        """
        Read the records of a stream from an offset on.

        :param position: the first offset to read; a negative one reads the
            newest record of every key.
        :param era: the era of the store to which the position belongs. If the
            store has come to a later one, the newest record of every key is
            read instead.
        """

    @abstractmethod
    async def register(self, host: str, peer_address: str) -> bool:
        """
        Add a host with its peer address to the stored list of hosts.

        :return: whether the store accepted it.
        """

    @abstractmethod
    async def registered_hosts(self) -> Result[dict[str, str], SourceFailure]:
        """Return the peer address of every host ever registered, by name."""

    @abstractmethod
    async def write_kept(self, key: str, content: bytes | None) -> bool:
        """
        Keep a record for hosts that start later; without content, drop it.

        :return: whether the store accepted it.
        """

    @abstractmethod
    async def read_kept(self) -> Result[dict[str, bytes], SourceFailure]:
        """Return the kept records, by key."""


__all__ = ('RecordSource', 'SourceFailure')
