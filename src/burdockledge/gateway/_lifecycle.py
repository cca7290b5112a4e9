"""The lifecycle of an entry host and its requests in flight."""

from __future__ import annotations

import asyncio
import enum
from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

from transitions import Machine

if TYPE_CHECKING:
    from collections.abc import Iterator


class LifecycleState(enum.Enum):
    """The lifecycle states of an entry host."""

    starting = 'starting'
    serving = 'serving'
    draining = 'draining'
    stopped = 'stopped'


class Lifecycle:
    """
    The state of an entry host and the number of its requests in flight.

    The order of states is starting, serving, draining, stopped; a host that is
    stopped before it serves goes from starting to draining. ``drain_requested``
    is set to ask for a graceful shutdown.
    """

    state: LifecycleState

    def __init__(self) -> None:
        """Begin in the state ``starting`` without requests."""
        self._idle = asyncio.Event()
        self._idle.set()
        self._in_flight = 0
        self._in_flight_by_team: Counter[str] = Counter()
        self.drain_requested = asyncio.Event()
        self._machine = Machine(
            model=self,
            states=LifecycleState,
            initial=LifecycleState.starting,
            auto_transitions=False,
            transitions=[
                _transition('serve', 'starting', 'serving'),
                _transition('drain', 'starting', 'draining'),
                _transition('drain', 'serving', 'draining'),
                _transition('finish', 'draining', 'stopped'),
            ],
        )

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are accepted."""
        return self.state is LifecycleState.serving

    @property
    def in_flight(self) -> int:
        """The number of requests in flight, of all teams."""
        return self._in_flight

    def team_in_flight(self, team: str) -> int:
        """Return the number of requests of a team in flight."""
        return self._in_flight_by_team[team]

    def advance(self, trigger: str) -> None:
        """
        Change the state by a trigger: ``serve``, ``drain`` or ``finish``.

        :raises transitions.MachineError: if the state does not allow it.
        """
        self.trigger(trigger)  # type: ignore[attr-defined]

    @contextmanager
    def track_request(self, team: str) -> Iterator[None]:
        """Count a request of a team as in flight within the ``with`` block."""
        self._in_flight_by_team[team] += 1
        try:
            with self.track_body():
                yield
        finally:
            self._in_flight_by_team[team] -= 1
            if not self._in_flight_by_team[team]:
                self._in_flight_by_team.pop(team)

    @contextmanager
    def track_body(self) -> Iterator[None]:
        """
        Count a request as in flight within the ``with`` block.

        It does not count for the limit of its team, as its body is still to
        be read.
        """
        self._in_flight += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        # A request whose body was read begins at once.
        while self._in_flight:
            await self._idle.wait()


def _transition(trigger: str, source: str, dest: str) -> list[str | None]:
    return [trigger, source, dest]


__all__ = ('Lifecycle', 'LifecycleState')
