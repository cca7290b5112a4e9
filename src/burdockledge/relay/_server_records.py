"""Applies the records of servers to the registry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockledge.scheduling import ServerDepartures
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockledge.calls import ServerInstance
    from burdockledge.clock import Clock
    from burdockledge.registry import Registration, ServerRegistry
    from burdockledge.relay._record_decoder import RecordDecoder
    from burdockledge.wire import StreamEntry

_log = make_logger('knowledge')


class ServerRecords:
    """
    Registers and removes servers as their records say.

    A registration that is in doubt, as the store was restored from a copy, is
    held back until it no longer is, or another record replaces it.

    Times are in seconds of the monotonic clock.
    """

    def __init__(
        self, decoder: RecordDecoder, registry: ServerRegistry, clock: Clock
    ) -> None:
        """
        Apply records to a registry.

        :param clock: tells when a server leaves that has announced the time.
        """
        self._decoder = decoder
        self._registry = registry
        self._clock = clock
        self.departures = ServerDepartures()
        self._held: dict[str, Registration] = {}

    @property
    def held_count(self) -> int:
        """The number of registrations that are held back."""
        return len(self._held)

    def apply(
        self, entries: Iterable[StreamEntry], now: float
    ) -> list[ServerInstance]:
        """Apply records; return the instances that were registered."""
        registered = [self._apply(entry, now) for entry in entries]
        return [instance for instance in registered if instance is not None]

    def release(self) -> list[ServerInstance]:
        """Register what is no longer in doubt; return those instances."""
        settled = [
            server_id
            for server_id, registration in self._held.items()
            if not self._registry.is_in_doubt(registration)
        ]
        registered = [
            self._register(self._held.pop(server_id)) for server_id in settled
        ]
        return [instance for instance in registered if instance is not None]

    def _apply(self, entry: StreamEntry, now: float) -> ServerInstance | None:
        registration = None
        if entry.content is not None:
            registration = self._decoder.decode_registration(
                entry.key, entry.content
            )
        self._held.pop(entry.key, None)
        if registration is None:
            if self._registry.remove(entry.key, now):
                _log.info('Server is gone.', server=entry.key)
            return None
        if self._registry.is_in_doubt(registration):
            self._held[entry.key] = registration
            _log.info(
                'Registration is in doubt.',
                server=entry.key,
                state=registration.state.value,
                born_ms=registration.instance.started_ms,
            )
            return None
        return self._register(registration)

    def _register(self, registration: Registration) -> ServerInstance | None:
        if not self._registry.register(registration):
            return None
        instance = registration.instance
        self.departures.note(
            instance.instance_id,
            registration.leaves_ms,
            self._clock.monotonic(),
            self._clock.wall_ms(),
        )
        _log.info(
            'Server is registered.',
            server=instance.server_id,
            service=instance.service,
            state=registration.state.value,
            address=instance.address,
            born_ms=instance.started_ms,
        )
        return instance


__all__ = ('ServerRecords',)
