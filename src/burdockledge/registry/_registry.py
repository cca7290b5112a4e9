"""Tracks which backend servers are registered and may get calls."""

from __future__ import annotations

import copy
import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockledge.calls import ServerInstance

# Servers whose entries expired during an outage of the store register again
# within about two seconds of its return (users' letter on the platform
# milestone).
EXPIRY_GRACE_SECONDS: Final = 2.2
# The store expires an entry after three missed heartbeats of 1.2 s (the
# platform's pages). The last heartbeat may be one interval older than the
# last read, so an outage longer than the remaining two may expire entries.
OUTAGE_THRESHOLD_SECONDS: Final = 2.5
# Entries of servers that have left stay in a store that is restored from a copy
# until they expire: three missed heartbeats of 1.2 s, and the time until a host
# reads that.
RESTORE_DOUBT_SECONDS: Final = 5.0
# For how long a removed server is remembered, to recognise its entry in a copy
# of the store, which is some seconds old.
_REMOVED_MEMORY_SECONDS: Final = 60.0


class ServerState(enum.Enum):
    """The state that a server reports in its registration."""

    ready = 'ready'
    draining = 'draining'


@dataclass(frozen=True, slots=True)
class Registration:
    """
    What a server registered: its instance and its state.

    ``leaves_ms`` is the Unix time at which it leaves, None if it named none.
    """

    instance: ServerInstance
    state: ServerState
    leaves_ms: int | None = None


@dataclass(slots=True)
class _Entry:
    """A registration; ``expires_at`` is set if its removal is delayed."""

    registration: Registration
    expires_at: float | None = None


class ServerRegistry:
    """
    Builds the set of available servers from registrations and removals.

    A removal takes effect at once, except after an outage of the store.
    Then the entry may have expired only because its server couldn't send
    heartbeats, so the server stays available for ``EXPIRY_GRACE_SECONDS``,
    in which a live server registers again.

    A store that is restored from a copy lacks the newest registrations and
    shows servers that have left since. So removals are delayed then, too, and
    until they were read ``RESTORE_DOUBT_SECONDS`` later registrations are in
    doubt that contradict what a server had said before.

    All times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        """Create an empty registry."""
        self._entries: dict[str, _Entry] = {}
        self._last_read_at: float | None = None
        self._grace_until = 0.0
        self._doubt_until = 0.0
        # The start of each removed server and when it was removed, by its id;
        # the oldest one first.
        self._removed: dict[str, tuple[int, float]] = {}

    def snapshot(self) -> ServerRegistry:
        """Return a copy on which queries change nothing here."""
        other = copy.copy(self)
        other.unshare()
        return other

    def unshare(self) -> None:
        """Stop sharing with another copy what queries may change."""
        self._entries = dict(self._entries)

    def note_restore(self, now: float) -> None:
        """Note that the records are now those of a restored store."""
        self._grace_until = max(self._grace_until, now + EXPIRY_GRACE_SECONDS)
        self._doubt_until = now + RESTORE_DOUBT_SECONDS
        for entry in self._entries.values():
            # What the server wrote again may have been lost again.
            if entry.expires_at is not None and entry.expires_at >= now:
                entry.expires_at = max(entry.expires_at, self._grace_until)

    def is_in_doubt(self, registration: Registration) -> bool:
        """
        Return whether a registration may be older than what is known.

        That of a server that was removed or draining, or has started anew
        since, proves nothing if it may come from a copy of the store.
        """
        if (self._last_read_at or 0.0) >= self._doubt_until:
            return False
        instance = registration.instance
        entry = self._entries.get(instance.server_id)
        is_ready = registration.state is ServerState.ready
        if entry is None:
            removed_start, _ = self._removed.get(instance.server_id, (-1, 0.0))
            return is_ready and instance.started_ms <= removed_start
        known = entry.registration
        if instance.started_ms != known.instance.started_ms:
            return instance.started_ms < known.instance.started_ms
        return is_ready and known.state is ServerState.draining

    def note_store_read(self, read_at: float) -> None:
        """
        Note the time of the latest known read of the store by any host.

        Call it before the removals of that read, so that a long gap since
        the read before delays them.
        """
        last_read_at = self._last_read_at
        if (
            last_read_at is not None
            and read_at - last_read_at > OUTAGE_THRESHOLD_SECONDS
        ):
            self._grace_until = read_at + EXPIRY_GRACE_SECONDS
        if last_read_at is None or read_at > last_read_at:
            self._last_read_at = read_at

    def register(self, registration: Registration) -> bool:
        """
        Add or replace a registration and cancel a delayed removal.

        :return: whether anything changed.
        """
        known = self._entries.get(registration.instance.server_id)
        if known == _Entry(registration):
            return False
        self._removed.pop(registration.instance.server_id, None)
        self._entries[registration.instance.server_id] = _Entry(registration)
        return True

    def remove(self, server_id: str, now: float) -> bool:
        """
        Remove a server, at once or at the end of the grace period.

        :return: whether anything changed.
        """
        entry = self._entries.get(server_id)
        if entry is None or entry.expires_at is not None:
            return False
        if now < self._grace_until:
            entry.expires_at = self._grace_until
        else:
            self._drop(server_id, now)
        return True

    def ready_instances(self, service: str, now: float) -> list[ServerInstance]:
        """Return the instances of a service that may get new calls."""
        return [
            entry.registration.instance
            for entry in self._unexpired(now)
            if entry.registration.instance.service == service
            and entry.registration.state is ServerState.ready
        ]

    def is_ready(self, instance: ServerInstance, now: float) -> bool:
        """Return whether an instance may get calls, as its server says."""
        entry = self._entries.get(instance.server_id)
        return (
            entry is not None
            and entry.registration.instance.instance_id == instance.instance_id
            and entry.registration.state is ServerState.ready
            and (entry.expires_at is None or entry.expires_at >= now)
        )

    def all_instances(self, now: float) -> list[ServerInstance]:
        """Return every registered instance, including draining ones."""
        return [entry.registration.instance for entry in self._unexpired(now)]

    def service_of(self, instance_id: str) -> str | None:
        """Return the service of an instance, None if it is unknown."""
        entry = self._entries.get(instance_id.rpartition('/')[0])
        return None if entry is None else entry.registration.instance.service

    def _unexpired(self, now: float) -> Iterator[_Entry]:
        """Yield the current entries, and drop those that expired."""
        for server_id, entry in tuple(self._entries.items()):
            if entry.expires_at is not None and entry.expires_at < now:
                # No word of its server: the store may have lost the entry.
                self._entries.pop(server_id)
                continue
            yield entry

    def _drop(self, server_id: str, now: float) -> None:
        entry = self._entries.pop(server_id)
        started_ms = entry.registration.instance.started_ms
        self._removed[server_id] = (started_ms, now)
        oldest_id = next(iter(self._removed))
        while self._removed[oldest_id][1] < now - _REMOVED_MEMORY_SECONDS:
            self._removed.pop(oldest_id)
            oldest_id = next(iter(self._removed))


__all__ = (
    'EXPIRY_GRACE_SECONDS',
    'OUTAGE_THRESHOLD_SECONDS',
    'RESTORE_DOUBT_SECONDS',
    'Registration',
    'ServerRegistry',
    'ServerState',
)
