"""Connections that take no answer for whole that was cut off."""

from __future__ import annotations

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler


class BackendConnection(ResponseHandler):
    """
    A client connection that fails a body as soon as it can not be completed.

    aiohttp itself takes a body of unknown length for complete once its
    connection has ended, in whichever way, and lets the reader of a body with
    broken chunk framing wait without end.
    """

    def data_received(self, data: bytes) -> None:
        """Fail the body that is being read if its framing is broken."""
        super().data_received(data)
        if self.exception() is not None:
            self._fail_body('The framing of the body is broken.')

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being read if the connection broke."""
        if exc is not None:
            self._fail_body('The connection was reset.')
        super().connection_lost(exc)

    def _fail_body(self, why: str) -> None:
        payload = self._payload
        if payload is None or payload.is_eof():
            return
        if payload.exception() is None:
            payload.set_exception(aiohttp.ClientPayloadError(why))
        self._parser = None


class BackendConnector(aiohttp.TCPConnector):
    """Opens connections of type ``BackendConnection``."""

    def __init__(self, **options: Any) -> None:
        """Create a connector; the options are those of the base class."""
        super().__init__(**options)
        self._factory: Any = functools.partial(
            BackendConnection, loop=self._loop
        )


__all__ = ('BackendConnection', 'BackendConnector')
