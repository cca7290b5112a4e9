"""The base class of the services of an entry host."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import ClassVar


class Service(ABC):
    """A named component of the process with a life cycle."""

    name: ClassVar[str]

    @abstractmethod
    async def start(self) -> None:
        """Start the service; return once other services may call it."""

    @abstractmethod
    async def stop(self) -> None:
        """Stop the service and release its resources."""


__all__ = ('Service',)
