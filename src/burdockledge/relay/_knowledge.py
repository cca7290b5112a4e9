"""What a relay decides by: configuration, servers, loads and hosts."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockledge.relay._routes import RouteIndex
    from burdockledge.relay._types import Prompt, Route, ServerInstance


@dataclass(frozen=True, slots=True)
class Placed:
    """
    A call on its way to a server, with what decided the choice.

    The server fetches what it lacks of the prompt from ``source``, if any.
    """

    call: int
    instance: ServerInstance
    expected_seconds: float
    unread_tokens: int
    running: int
    source: ServerInstance | None = None


class Knowledge(ABC):
    """The beliefs of one host that decide on calls."""

    @abstractmethod
    def routes(self) -> RouteIndex | None:
        """Return the routes in force, None before the first version."""

    @abstractmethod
    async def wait_ready(self) -> None:
        """Wait until the routes and the servers are known."""

    @abstractmethod
    def place(
        self,
        service: str,
        route: Route,
        urgency: int,
        prompt: Prompt,
        tried: frozenset[str],
    ) -> Placed | None:
        """Choose a server, and tell all hosts that it gets a call."""

    @abstractmethod
    def heard(self, placed: Placed) -> None:
        """Note that a server began to answer."""

    @abstractmethod
    def ended(self, placed: Placed, result: int) -> None:
        """Note how a placed call ended (a ``CallResult``)."""

    @abstractmethod
    def note_first(self, service: str) -> None:
        """Count the first send of a call in the retry budget."""

    @abstractmethod
    def take_repeat(self, service: str) -> bool:
        """Take a repeat from the retry budget."""

    @abstractmethod
    def age_ms(self) -> int:
        """Return the age of the configuration and the servers."""


__all__ = ('Knowledge', 'Placed')
