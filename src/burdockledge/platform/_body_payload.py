"""Sends the bodies of calls without a second copy of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from aiohttp.payload import Payload

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter

    from burdockledge.calls import CallBody

# Written at once: what the socket does not take is copied by the transport.
_PART_BYTES: Final = 32 * 1024


class _BodyPayload(Payload):
    """A body that is written part by part, as its server reads it."""

    def __init__(self, body: CallBody) -> None:
        super().__init__(body, content_type='application/octet-stream')
        self._body = body
        self._size = body.size

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the whole body."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body up to a length, all of it if that is None."""
        with self._body.sending() as content, memoryview(content) as view:
            for start in range(0, len(view), _PART_BYTES):
                await writer.write(view[start : start + _PART_BYTES])
                await writer.drain()

    def decode(self, encoding: str = 'utf-8', errors: str = 'strict') -> str:
        """Return the body as text."""
        return self._body.content.decode(encoding, errors)


def body_payload(body: CallBody) -> Any:
    """Return what aiohttp sends as a body, None for an empty one."""
    if body.size > _PART_BYTES:
        return _BodyPayload(body)
    return body.content or None


__all__ = ('body_payload',)
