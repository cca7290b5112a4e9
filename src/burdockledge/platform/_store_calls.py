"""Single calls to the platform's store, and reads of whole topics."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import aiohttp

from burdockledge.http_client import OversizedBodyError, read_body
from burdockledge.platform import _names as names
from burdockledge.platform._store_records import (
    NewestPage,
    StoreRecordsError,
    decode_newest_page,
)
from burdockledge.replication import SourceFailure
from burdockledge.telemetry import make_logger

_log = make_logger('store')

# The users' store takes up to 0.3 s for a response when it is slow.
_CALL_TIMEOUT_SECONDS: Final = 0.9
# Twice what the users' store sends at once: a megabyte of records.
_MAX_ANSWER_BYTES: Final = 2 * 1024 * 1024
# What the newest records of a topic may have on all pages: some ten thousand
# servers.
_MAX_TOPIC_BYTES: Final = 16 * 1024 * 1024
_OK: Final = 200
_NOT_FOUND: Final = 404
_REFUSED_STATUSES: Final = frozenset((429, 503))
# Eras are 32-bit integers in the messages of the hosts.
_MAX_ERA: Final = (1 << 31) - 1


class StoreError(Exception):
    """A call to the store that failed."""

    def __init__(self, failure: SourceFailure) -> None:
        """Hold the failure that the client reports."""
        super().__init__(failure.value)
        self.failure = failure


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """
    An answer of the store.

    ``era`` is 0 if the store names none.
    """

    status: int
    era: int
    body: bytes


class StoreCalls:
    """Calls to one store."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        """
        Create the calls to a store.

        :param address: ``IP:port`` of the store.
        """
        self._base_url = f'http://{address}'
        self._session = session

    async def read_newest_pages(
        self, topic: str
    ) -> tuple[int, list[NewestPage]]:
        """
        Return the newest record of each key of a topic, and the era.

        :raises StoreError: if a page can not be read or is of another era.
        """
        pages: list[NewestPage] = []
        size = 0
        query = {'topic': topic, 'part': '0'}
        era: int | None = None
        while True:
            answer = await self.call('GET', names.NEWEST_PATH, query)
            if era not in {None, answer.era}:
                raise StoreError(SourceFailure.outdated)
            era = answer.era
            page = _decode_page(topic, answer)
            pages.append(page)
            if page.next_after is None:
                return era, pages
            size += len(answer.body)
            if size > _MAX_TOPIC_BYTES or page.next_after <= query.get(
                'after', ''
            ):
                _log.warning('Pages of a topic do not end.', topic=topic)
                raise StoreError(SourceFailure.unreadable)
            query['after'] = page.next_after

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None = None,
    ) -> StoreAnswer:
        """
        Send one call.

        :raises StoreError: if there is no whole answer.
        """
        client_timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_SECONDS)
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                params=query,
                data=body,
                timeout=client_timeout,
                allow_redirects=False,
            ) as response:
                return StoreAnswer(
                    response.status,
                    _parse_era(response.headers.get(names.STORE_ERA)),
                    await read_body(response, _MAX_ANSWER_BYTES),
                )
        except OversizedBodyError as error:
            raise StoreError(SourceFailure.unreadable) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreError(SourceFailure.unavailable) from error


def _decode_page(topic: str, answer: StoreAnswer) -> NewestPage:
    """Return the page in an answer, an empty one for a missing topic."""
    if answer.status == _NOT_FOUND:
        return NewestPage((), 0)
    require_ok(answer.status)
    try:
        return decode_newest_page(topic, answer.body)
    except StoreRecordsError as error:
        raise StoreError(SourceFailure.unreadable) from error


def require_ok(status: int) -> None:
    """
    Check the status of an answer.

    :raises StoreError: if it is no success.
    """
    if status in _REFUSED_STATUSES:
        raise StoreError(SourceFailure.refused)
    if status != _OK:
        raise StoreError(SourceFailure.unreadable)


def _parse_era(header: str | None) -> int:
    """Return the era that an answer names, 0 if it names none."""
    if header is None:
        return 0
    try:
        era = int(header)
    except ValueError as error:
        raise StoreError(SourceFailure.unreadable) from error
    if not 0 <= era <= _MAX_ERA:
        raise StoreError(SourceFailure.unreadable)
    return era


__all__ = ('StoreAnswer', 'StoreCalls', 'StoreError', 'require_ok')
