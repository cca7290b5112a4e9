"""The topic of duties in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Final

from pydantic import BaseModel, Field, ValidationError
from result import Err, Ok, Result

from burdockledge.duties import (
    DutyStore,
    StoreFailure,
    StoreRecord,
    StoreSnapshot,
)
from burdockledge.platform import _names as names
from burdockledge.platform._store_calls import (
    StoreCalls,
    StoreError,
    require_ok,
)
from burdockledge.platform._store_records import encode_record
from burdockledge.replication import SourceFailure

if TYPE_CHECKING:
    import aiohttp

_CONFLICT: Final = 412
_FAILURES: Final = {
    SourceFailure.unavailable: StoreFailure.unavailable,
    SourceFailure.refused: StoreFailure.refused,
    SourceFailure.unreadable: StoreFailure.unreadable,
    SourceFailure.outdated: StoreFailure.unavailable,
}


class _Appended(BaseModel):
    """The answer to an append that was carried out."""

    offset: Annotated[int, Field(ge=0)]
    end: Annotated[int, Field(ge=0)]


class HttpDutyStore(DutyStore):
    """Reads the topic of duties, and appends to it at a known end only."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        """
        Create a client of one store.

        :param address: ``IP:port`` of the store.
        """
        self._calls = StoreCalls(address, session)

    async def read(self) -> Result[StoreSnapshot, StoreFailure]:
        """Read the newest record of each key."""
        try:
            era, pages = await self._calls.read_newest_pages(names.DUTIES_TOPIC)
        except StoreError as error:
            return Err(_FAILURES[error.failure])
        end = pages[0].end
        if any(page.end != end for page in pages):
            # A record was appended between two pages, so that an earlier page
            # may lack it.
            return Err(StoreFailure.unavailable)
        records = {
            entry.key: StoreRecord(entry.offset, entry.content or b'')
            for page in pages
            for entry in page.entries
        }
        return Ok(StoreSnapshot(era, end, records))

    async def append(
        self, key: str, content: bytes, expected_end: int
    ) -> Result[StoreSnapshot, StoreFailure]:
        """Append a record if the topic ends at an offset."""
        query = {
            'topic': names.DUTIES_TOPIC,
            'part': '0',
            'at': str(expected_end),
        }
        try:
            answer = await self._calls.call(
                'POST', names.APPEND_PATH, query, encode_record(key, content)
            )
            if answer.status == _CONFLICT:
                return Err(StoreFailure.conflict)
            require_ok(answer.status)
            appended = _Appended.model_validate_json(answer.body)
        except StoreError as error:
            return Err(_FAILURES[error.failure])
        except ValidationError:
            return Err(StoreFailure.unreadable)
        record = StoreRecord(appended.offset, content)
        return Ok(StoreSnapshot(answer.era, appended.end, {key: record}))


__all__ = ('HttpDutyStore',)
