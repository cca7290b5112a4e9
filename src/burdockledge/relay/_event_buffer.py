"""Splits a stream of server-sent events at the ends of events."""

from __future__ import annotations

from typing import Final

from burdockledge.relay._ports import OversizedResponseError

# An event of a token stream has some hundred bytes. The bound keeps a server
# that never ends an event from filling the host's memory.
MAX_EVENT_BYTES: Final = 1024 * 1024
_EVENT_END: Final = b'\n\n'
_ID_FIELD: Final = b'id:'


class EventBuffer:
    """
    Buffers the bytes of an event until the event is complete.

    Events end with two line feeds; other line ends are not recognised.
    ``last_id`` is the id of the last complete event that has one.
    """

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._partial = b''
        self.last_id: str | None = None

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._partial

    @property
    def size(self) -> int:
        """The bytes of the incomplete event."""
        return len(self._partial)

    def feed(self, chunk: bytes) -> bytes:
        """
        Add a chunk and return the events that it completes, unchanged.

        :raises OversizedResponseError: if an event exceeds
            ``MAX_EVENT_BYTES``.
        """
        buffered = self._partial + chunk
        end = buffered.rfind(_EVENT_END)
        if end < 0:
            if len(buffered) > MAX_EVENT_BYTES:
                raise OversizedResponseError
            self._partial = buffered
            return b''
        complete = buffered[: end + 2]
        self._partial = buffered[end + 2 :]
        self._update_last_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Drop an incomplete event, the rest of a response that was cut off."""
        self._partial = b''

    def _update_last_id(self, complete: bytes) -> None:
        start = complete.rfind(b'\nid:')
        if start >= 0:
            start += 1
        elif complete.startswith(_ID_FIELD):
            start = 0
        else:
            return
        line = complete[start + len(_ID_FIELD) :].split(b'\n', 1)[0]
        self.last_id = line.strip().decode('latin-1')


__all__ = ('MAX_EVENT_BYTES', 'EventBuffer')
