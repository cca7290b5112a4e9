"""The interface that decodes the records of the store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockledge.calls import RoutingDocument
    from burdockledge.registry import Registration


class RecordDecoder(ABC):
    """Decodes records of the configuration and server streams."""

    @abstractmethod
    def decode_routing(
        self, key: str, content: bytes
    ) -> RoutingDocument | None:
        """Return the configuration, None for other and invalid records."""

    @abstractmethod
    def decode_registration(
        self, key: str, content: bytes
    ) -> Registration | None:
        """Return a server's registration, None if the record is invalid."""


__all__ = ('RecordDecoder',)
