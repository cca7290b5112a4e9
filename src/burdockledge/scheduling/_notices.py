"""
What servers say of themselves: that they leave, or that they want a pause.

A notice belongs to the instance that gave it, and no later news of the same
instance takes it back. Without network or clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

# Instances beyond these are forgotten, the oldest notices first. Far more
# than the servers of a fleet.
_MAX_INSTANCES: Final = 4096


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """
    What the head of one response says of its server.

    ``pause_seconds`` is how long the server wants no call from this host; 0
    for no pause, NaN if it can not be read.
    """

    is_leaving: bool = False
    pause_seconds: float = 0.0


class ServerNotices:
    """
    The notices that still hold, by instance.

    A pause binds this host alone, a server that leaves is left by all.
    Times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        """Create a set without notices."""
        self._leaving: OrderedDict[str, None] = OrderedDict()
        self._paused_until: OrderedDict[str, float] = OrderedDict()

    @property
    def leaving_count(self) -> int:
        """The number of known instances that leave."""
        return len(self._leaving)

    @property
    def has_any(self) -> bool:
        """Whether any instance has given a notice that may still matter."""
        return bool(self._leaving or self._paused_until)

    def paused_count(self, now: float) -> int:
        """Return the number of instances that want a pause now."""
        return sum(until > now for until in self._paused_until.values())

    def note_leaving(self, instance_id: str) -> bool:
        """Note that an instance leaves; return whether that is new."""
        if instance_id in self._leaving:
            return False
        self._leaving[instance_id] = None
        if len(self._leaving) > _MAX_INSTANCES:
            self._leaving.popitem(last=False)
        return True

    def note_pause(self, instance_id: str, seconds: float, now: float) -> bool:
        """
        Note that an instance wants a pause; of several, the latest end counts.

        :return: whether the instance is left out for longer than before.
        """
        until = now + seconds
        if not math.isfinite(until) or until <= max(
            now, self._paused_until.get(instance_id, now)
        ):
            return False
        self._paused_until[instance_id] = until
        self._paused_until.move_to_end(instance_id)
        if len(self._paused_until) > _MAX_INSTANCES:
            self._paused_until.popitem(last=False)
        return True

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether an instance said that it leaves."""
        return instance_id in self._leaving

    def pause_seconds(self, instance_id: str, now: float) -> float:
        """Return what is left of the pause of an instance, 0 for none."""
        until = self._paused_until.get(instance_id, now)
        return max(0.0, until - now)

    def note_answer(self, instance_id: str) -> None:
        """Note an answer of an instance that asks for no pause."""
        self._paused_until.pop(instance_id, None)

    def is_recovering(self, instance_id: str, now: float) -> bool:
        """Return whether no answer has come since a pause that is over."""
        return self._paused_until.get(instance_id, math.inf) <= now


__all__ = ('ServerNotice', 'ServerNotices')
