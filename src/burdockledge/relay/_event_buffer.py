"""Splits a stream of server-sent events at the ends of events."""

from __future__ import annotations

from typing import Final

from burdockledge.relay._ports import OversizedResponseError

# An event of a token stream has some hundred bytes. The bound keeps a server
# that never ends an event from filling the host's memory.
MAX_EVENT_BYTES: Final = 1024 * 1024
# An empty line, after the end of the line before.
_EVENT_ENDS: Final = (b'\n\n', b'\n\r\n')
_ID_FIELD: Final = b'id:'


class EventBuffer:
    """
    Buffers the bytes of an event until the event is complete.

    Events end with an empty line of LF or of CRLF, as the first one of the
    stream does; the text of an error with other line ends is no event.
    ``last_id`` is the id of the last complete event that has one.
    """

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._partial = b''
        self._event_end: bytes | None = None
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
        event_end = self._event_end or _first_event_end(buffered)
        start = buffered.rfind(event_end)
        if start < 0:
            if len(buffered) > MAX_EVENT_BYTES:
                raise OversizedResponseError
            self._partial = buffered
            return b''
        end = start + len(event_end)
        complete = buffered[:end]
        self._partial = buffered[end:]
        self._event_end = event_end
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


def _first_event_end(buffered: bytes) -> bytes:
    """Return the form of the first event end, any without one."""
    found = [end for end in _EVENT_ENDS if end in buffered]
    return min(found, key=buffered.find, default=_EVENT_ENDS[0])


__all__ = ('MAX_EVENT_BYTES', 'EventBuffer')
