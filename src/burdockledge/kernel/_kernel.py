"""The container that starts, stops and looks up the services."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from burdockledge.kernel._service import Service

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

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            await self._started.pop().stop()


__all__ = ('Kernel',)
