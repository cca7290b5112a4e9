"""The list of entry hosts, refreshed as callers refresh it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

import aiohttp

if TYPE_CHECKING:
    from random import Random

    from aiohttp import ClientSession

_REQUEST_TIMEOUT_SECONDS: Final = 2
_FALLBACK_TTL_SECONDS: Final = 1
_REQUEST_ERRORS: Final = (
    aiohttp.ClientError,
    TimeoutError,
    KeyError,
    ValueError,
)


class HostDirectory:
    """Keeps a list of entry hosts, which any listed host can refresh."""

    def __init__(
        self,
        session: ClientSession,
        seed_urls: tuple[str, ...],
        team_key: str,
        random: Random,
    ) -> None:
        """Start with the seed URLs."""
        self._session = session
        self._urls = list(seed_urls)
        self._seed_urls = seed_urls
        self._headers = {'Authorization': f'Bearer {team_key}'}
        self._random = random
        self._refresh_seconds: float = _FALLBACK_TTL_SECONDS

    def pick(self, excluded: str = '') -> str:
        """Return a random host URL, other than the excluded one if possible."""
        candidates = [url for url in self._urls if url != excluded]
        return self._random.choice(candidates or list(self._seed_urls))

    async def refresh_forever(self) -> None:
        """Refresh the list whenever its TTL has passed."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._refresh_seconds)

    async def refresh(self) -> None:
        """Request the list from one host; keep the old list on failure."""
        url = self.pick()
        try:
            async with self._session.get(
                f'{url}/v1/entry-hosts',
                headers=self._headers,
                timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS),
            ) as response:
                answer: dict[str, Any] = await response.json()
                listed_urls = [host['url'] for host in answer['entry_hosts']]
                self._refresh_seconds = float(answer['ttl_seconds'])
        except _REQUEST_ERRORS:
            self._refresh_seconds = _FALLBACK_TTL_SECONDS
            return
        self._urls = listed_urls or self._urls


__all__ = ('HostDirectory',)
