"""The container that starts, stops and looks up the services."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, TypeVar

from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from burdockledge.kernel._service import Service

_log = make_logger('kernel')

# What a service that takes too long to stop leaves to each of the others.
_STOP_RESERVE_SECONDS: Final = 0.03

ServiceT = TypeVar('ServiceT', bound='Service')


class Kernel:
    """The services of one process, in order of registration."""

    def __init__(self) -> None:
        """Create a kernel without services."""
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []

    def register(self, service: Service) -> None:
        """
        Add a service under its own name.

        :raises ValueError: if the name is taken, which is a programming error.
        """
        if service.name in self._services:
            raise ValueError(f'service {service.name} is registered twice')
        self._services[service.name] = service

    def find(self, kind: type[ServiceT]) -> ServiceT:
        """
        Return the service that is registered under the name of a class.

        :raises LookupError: if no such service is registered.
        """
        found = self._services.get(kind.name)
        if not isinstance(found, kind):
            raise LookupError(f'service {kind.name} is not registered')
        return found

    async def start(self) -> None:
        """Start all services in order; if one fails, stop those started."""
        for service in self._services.values():
            try:
                await service.start()
            except BaseException:
                await self.stop()
                raise
            self._started.append(service)

    def running(self) -> list[str]:
        """Return the names of the services that have not stopped yet."""
        return [service.name for service in self._started]

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            await self._started.pop().stop()

    async def stop_within(self, seconds: float) -> None:
        """
        Stop the started services in reverse order, and wait for so long.

        A service whose stop takes longer or fails is left as it is, and the
        next one is stopped.

        :param seconds: the limit for all services together.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        stuck: list[Service] = []
        while self._started:
            service = self._started[-1]
            reserve = _STOP_RESERVE_SECONDS * (len(self._started) - 1)
            stop = loop.create_task(service.stop())
            # A stop may swallow its cancellation, so it is not awaited after.
            await asyncio.wait(
                (stop,),
                timeout=max(
                    _STOP_RESERVE_SECONDS, ends_at - loop.time() - reserve
                ),
            )
            self._started.pop()
            if not stop.done():
                stop.cancel()
                stuck.append(service)
                _log.warning('Service does not stop.', service=service.name)
            elif not stop.cancelled() and stop.exception() is not None:
                _log.warning(
                    'Service failed to stop.',
                    service=service.name,
                    error=repr(stop.exception()),
                )
        self._started = stuck


__all__ = ('Kernel',)
