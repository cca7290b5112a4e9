"""When servers leave that have announced it, without network or clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from burdockledge.calls import ServerInstance

_MS_PER_SECOND: Final = 1000
# The records don't say whether they name a time or what is left. As Unix
# milliseconds, smaller numbers are before 1973; as time left, over 3 years.
_MIN_UNIX_MS: Final = 100_000_000_000


class ServerDepartures:
    """
    The announced times at which instances leave.

    An announcement is a Unix time, or the time left. It is turned into one of
    the monotonic clock once, so that later jumps of the wall clock change
    nothing. Times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        """Create a set without announcements."""
        self._announced: dict[str, tuple[int, float]] = {}

    @property
    def has_any(self) -> bool:
        """Whether any instance has announced when it leaves."""
        return bool(self._announced)

    def note(
        self, instance_id: str, leaves_ms: int | None, now: float, wall_ms: int
    ) -> None:
        """Note what the newest record of an instance announces, if anything."""
        if leaves_ms is None:
            self._announced.pop(instance_id, None)
            return
        known_ms, _ = self._announced.get(instance_id, (None, now))
        if known_ms == leaves_ms:
            return
        left_ms = (
            leaves_ms - wall_ms if leaves_ms >= _MIN_UNIX_MS else leaves_ms
        )
        self._announced[instance_id] = (
            leaves_ms,
            now + left_ms / _MS_PER_SECOND,
        )

    def seconds_left(self, instance_id: str, now: float) -> float | None:
        """Return the time until an instance leaves, None if not announced."""
        announced = self._announced.get(instance_id)
        return None if announced is None else max(0.0, announced[1] - now)

    def lasting(
        self,
        instances: list[ServerInstance],
        stream_seconds: Callable[[ServerInstance], float],
        now: float,
    ) -> list[ServerInstance]:
        """
        Return the instances that do not leave before a stream would end.

        :param stream_seconds: the expected duration of the stream at an
            instance.
        """
        return [
            instance
            for instance in instances
            if instance.instance_id not in self._announced
            or stream_seconds(instance)
            <= (self.seconds_left(instance.instance_id, now) or 0.0)
        ]

    def retain(self, instance_ids: Collection[str]) -> None:
        """Drop the announcements of all instances but these."""
        for instance_id in tuple(self._announced):
            if instance_id not in instance_ids:
                self._announced.pop(instance_id)


__all__ = ('ServerDepartures',)
