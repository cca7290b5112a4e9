"""Client sessions that leave every repetition to their callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp

from burdockledge.http_client._connection import READ_BYTES

if TYPE_CHECKING:
    from burdockledge.http_client._connection import BoundedConnector


def make_session(
    connector: BoundedConnector, **options: Any
) -> aiohttp.ClientSession:
    """
    Create a session that sends each request once and keeps no cookies.

    aiohttp follows redirects by a parameter of each request, so callers pass
    ``allow_redirects=False``.

    :param options: those of the session; requires a running event loop.
    """
    session = aiohttp.ClientSession(
        connector=connector,
        read_bufsize=READ_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
        **options,
    )
    # aiohttp would send PUT, DELETE and GET again over a new connection if
    # theirs breaks, although they may have run.
    session._retry_connection = False  # noqa: SLF001
    return session


__all__ = ('make_session',)
