"""The HTTP client of the platform's log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import aiohttp
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from burdockledge.http_client import read_body
from burdockledge.platform_api._log import LogClient, LogPage, PlatformFailure

if TYPE_CHECKING:
    from aiohttp import ClientSession

_APPEND_TIMEOUT_SECONDS: Final = 2
# Added to the time for which the log may hold a long poll open.
_READ_MARGIN_SECONDS: Final = 3
_MAX_APPEND_ANSWER_BYTES: Final = 64 * 1024
# A page holds what the log has appended since the last one, or all it keeps.
_MAX_PAGE_BYTES: Final = 64 * 1024 * 1024
_HTTP_CREATED: Final = 201
_HTTP_OK: Final = 200
_HTTP_TOO_MANY_REQUESTS: Final = 429


class _AppendResponse(BaseModel):
    offset: int


class HttpLogClient(LogClient):
    """Appends and reads at ``/streams/NAME/records`` of the log service."""

    def __init__(self, base_url: str, session: ClientSession) -> None:
        """Call the log service at ``base_url``."""
        self._base_url = base_url.rstrip('/')
        self._session = session

    async def append(
        self,
        stream: str,
        body: str,
    ) -> Result[int, PlatformFailure]:
        """
        Append a record.

        Status 201 proves that the record was appended; status 429, or that no
        connection was made, proves that it was not. All else is in doubt.

        :return: the record's offset, ``not_appended`` or ``in_doubt``.
        """
        try:
            async with self._session.post(
                self._url(stream),
                data=body.encode(),
                timeout=aiohttp.ClientTimeout(total=_APPEND_TIMEOUT_SECONDS),
                allow_redirects=False,
            ) as response:
                if response.status == _HTTP_CREATED:
                    appended = _AppendResponse.model_validate_json(
                        await read_body(response, _MAX_APPEND_ANSWER_BYTES),
                    )
                    return Ok(appended.offset)
                if response.status == _HTTP_TOO_MANY_REQUESTS:
                    return Err(PlatformFailure.not_appended)
                return Err(PlatformFailure.in_doubt)
        except aiohttp.ClientConnectorError:
            return Err(PlatformFailure.not_appended)
        except (aiohttp.ClientError, TimeoutError, ValidationError):
            return Err(PlatformFailure.in_doubt)

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_seconds: float,
    ) -> Result[LogPage, PlatformFailure]:
        """Read a page by a long poll of up to ``wait_seconds``."""
        parameters = {'from': str(from_offset), 'wait': str(wait_seconds)}
        client_timeout = aiohttp.ClientTimeout(
            total=wait_seconds + _READ_MARGIN_SECONDS
        )
        try:
            async with self._session.get(
                self._url(stream),
                params=parameters,
                timeout=client_timeout,
                allow_redirects=False,
            ) as response:
                if response.status != _HTTP_OK:
                    return Err(PlatformFailure.unavailable)
                body = await read_body(response, _MAX_PAGE_BYTES)
                return Ok(LogPage.model_validate_json(body))
        except (aiohttp.ClientError, TimeoutError, ValidationError):
            return Err(PlatformFailure.unavailable)

    def _url(self, stream: str) -> str:
        return f'{self._base_url}/streams/{stream}/records'


__all__ = ('HttpLogClient',)
