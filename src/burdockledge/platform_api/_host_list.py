"""The platform's list of live and leaving hosts, which may be out of date."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

import aiohttp
from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError
from result import Err, Ok, Result

from burdockledge.http_client import read_body
from burdockledge.platform_api._log import PlatformFailure

if TYPE_CHECKING:
    from aiohttp import ClientSession

_TIMEOUT_SECONDS: Final = 2
# Some ten thousand hosts.
_MAX_LIST_BYTES: Final = 4 * 1024 * 1024
_HTTP_OK: Final = 200


class HostState(enum.Enum):
    """The state of a host as the platform reports it."""

    live = 'live'
    leaving = 'leaving'


class HostEntry(BaseModel):
    """A host of the list: an entry host or a backend server, by ``kind``."""

    model_config = ConfigDict(frozen=True)

    name: str
    kind: str
    address: str
    state: HostState


_ENTRIES_ADAPTER: Final = TypeAdapter(tuple[HostEntry, ...])


class HostListClient(ABC):
    """The interface of a client that reads the list of hosts."""

    @abstractmethod
    async def read(self) -> Result[tuple[HostEntry, ...], PlatformFailure]:
        """Return the list, which may be out of date, or ``unavailable``."""


class HttpHostListClient(HostListClient):
    """Reads the list of hosts over HTTP."""

    def __init__(self, base_url: str, session: ClientSession) -> None:
        """Read ``/hosts`` below ``base_url``."""
        self._url = f'{base_url.rstrip("/")}/hosts'
        self._session = session

    async def read(self) -> Result[tuple[HostEntry, ...], PlatformFailure]:
        """Return the list, or ``unavailable`` without a valid response."""
        client_timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
        try:
            async with self._session.get(
                self._url, timeout=client_timeout, allow_redirects=False
            ) as response:
                if response.status != _HTTP_OK:
                    return Err(PlatformFailure.unavailable)
                body = await read_body(response, _MAX_LIST_BYTES)
                return Ok(_ENTRIES_ADAPTER.validate_json(body))
        except (aiohttp.ClientError, TimeoutError, ValidationError):
            return Err(PlatformFailure.unavailable)


__all__ = ('HostEntry', 'HostListClient', 'HostState', 'HttpHostListClient')
