"""The interface of the platform's append-only log."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict

if TYPE_CHECKING:
    from result import Result


class PlatformFailure(enum.Enum):
    """
    Why a call to the platform gave no result.

    ``not_appended``: the record was certainly not appended. ``in_doubt``: it
    may have been appended. ``unavailable``: a read got no valid response.
    """

    not_appended = 'not_appended'
    in_doubt = 'in_doubt'
    unavailable = 'unavailable'


class LogRecord(BaseModel):
    """A record; ``at_ms`` is the log's wall clock in ms at the append."""

    model_config = ConfigDict(frozen=True)

    offset: int
    at_ms: int
    body: str


class LogPage(BaseModel):
    """
    The records of a stream from an offset on, in order.

    ``earliest`` is the lowest offset that the log still retains;
    ``next_offset`` is where the next read starts; ``now_ms`` is the log's wall
    clock in ms.
    """

    model_config = ConfigDict(frozen=True)

    earliest: int
    next_offset: int
    now_ms: int
    records: tuple[LogRecord, ...]


class LogClient(ABC):
    """The interface of a client that appends to and reads log streams."""

    @abstractmethod
    async def append(
        self,
        stream: str,
        body: str,
    ) -> Result[int, PlatformFailure]:
        """
        Append a record.

        :return: its offset, or ``not_appended`` or ``in_doubt``.
        """

    @abstractmethod
    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_seconds: float,
    ) -> Result[LogPage, PlatformFailure]:
        """
        Return the records from an offset on.

        If there is none yet, wait up to ``wait_seconds`` for the first.
        A log that cannot be read gives ``unavailable``.
        """


__all__ = ('LogClient', 'LogPage', 'LogRecord', 'PlatformFailure')
