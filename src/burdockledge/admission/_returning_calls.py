"""Recognises calls that come back after a refusal by this host."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final, NamedTuple

# Far more than a host refuses within the longest Retry-After.
_MAX_KEPT: Final = 1000
# Callers may come back somewhat late, and the way to the host takes time.
_SLACK_SECONDS: Final = 0.5


class CallKey(NamedTuple):
    """What both calls of a caller have in common."""

    team: str
    route: str
    part_ids: tuple[int, ...]
    body_bytes: int


class ReturningCalls:
    """
    The calls that were refused and may come back.

    A caller may come back to another host, which doesn't recognise it. Times
    are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        """Create a memory without refused calls."""
        self._windows: OrderedDict[CallKey, tuple[float, float]] = OrderedDict()

    def note_refusal(
        self, key: CallKey, retry_after_seconds: float, now: float
    ) -> None:
        """Record when the caller of a refused call may come back."""
        # A caller may shorten the time to a third of what it has left.
        self._windows[key] = (now, now + retry_after_seconds + _SLACK_SECONDS)
        self._windows.move_to_end(key)
        if len(self._windows) > _MAX_KEPT:
            self._windows.popitem(last=False)

    def take(self, key: CallKey, now: float) -> bool:
        """Return whether a call came back; each refusal counts once."""
        window = self._windows.pop(key, None)
        return window is not None and window[0] < now <= window[1]


__all__ = ('CallKey', 'ReturningCalls')
