"""Reads response bodies that are held in memory as a whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import ClientResponse


class OversizedBodyError(aiohttp.ClientPayloadError):
    """A body is longer than its reader may hold."""


async def read_body(response: ClientResponse, max_bytes: int) -> bytes:
    """
    Return a whole body.

    :raises OversizedBodyError: if it is longer than ``max_bytes``; if it says
        so itself, before any of it is read.
    """
    length = response.content_length
    if length is not None and length > max_bytes:
        response.close()
        raise OversizedBodyError(f'the body has {length} bytes')
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise OversizedBodyError(f'the body has over {max_bytes} bytes')
    return bytes(body)


__all__ = ('OversizedBodyError', 'read_body')
