"""Splits a byte stream into complete server-sent events."""

from __future__ import annotations

from typing import Final

_EVENT_END: Final = b'\n\n'
_DONE_EVENT: Final = b'data: [DONE]'
_COMMENT_PREFIX: Final = b':'
_MAX_EVENT_BYTES: Final = 1_048_576


class SseSplitter:
    """
    Extracts the token events of one request from a stream.

    Comments and the end marker are dropped. An event belongs to the request
    if its data contains the id of the request. ``is_done`` is set by the end
    marker; ``is_corrupt`` by an event of another request or an incomplete
    event that is too large.
    """

    def __init__(self, request_id: str) -> None:
        """Accept only events of the given request."""
        self._id_field = f'"id":"{request_id}"'.encode()
        self._partial_event = b''
        self.is_done = False
        self.is_corrupt = False

    def feed(self, chunk: bytes) -> tuple[bytes, int]:
        """
        Add received bytes.

        :return: the token events completed by them, and their number.
        """
        buffer = self._partial_event + chunk
        complete_end = buffer.rfind(_EVENT_END)
        if complete_end < 0:
            self._partial_event = buffer
            self.is_corrupt |= len(buffer) > _MAX_EVENT_BYTES
            return b'', 0
        complete_end += len(_EVENT_END)
        complete = buffer[:complete_end]
        self._partial_event = buffer[complete_end:]
        count = complete.count(_EVENT_END)
        # Events are examined one by one only if some of them lack the id.
        if complete.count(self._id_field) != count:
            return self._filter_events(complete)
        return complete, count

    def _filter_events(self, complete: bytes) -> tuple[bytes, int]:
        kept: list[bytes] = []
        for event in complete.split(_EVENT_END)[:-1]:
            if event.startswith(_COMMENT_PREFIX):
                continue
            if event == _DONE_EVENT:
                self.is_done = True
            elif self._id_field in event:
                kept.append(event)
            else:
                self.is_corrupt = True
                break
        return b''.join(event + _EVENT_END for event in kept), len(kept)


__all__ = ('SseSplitter',)
