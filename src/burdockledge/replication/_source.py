"""Where the records of a stream are read: the platform's store."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from burdockledge.wire import StreamUpdate


class SourceFailure(enum.Enum):
    """Why a read gave no records."""

    unavailable = 'the store did not answer'
    refused = 'the store refused the call'
    unreadable = 'the answer of the store can not be read'


class RecordSource(ABC):
    """Reads streams, and adds this host to the list of hosts."""

    @abstractmethod
    async def read(
        self, stream: str, position: int
    ) -> Result[StreamUpdate, SourceFailure]:
        """Read from a position on, or the whole of an unknown stream."""

    @abstractmethod
    async def register(self, host: str, address: str) -> bool:
        """
        Add this host, by its peer address, to the stored list of hosts.

        :return: whether the store took it.
        """

    @abstractmethod
    async def hosts(self) -> Result[dict[str, str], SourceFailure]:
        """Return the peer addresses of all hosts ever registered."""


__all__ = ('RecordSource', 'SourceFailure')
