"""Watches the steps of a send for silence of the server."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final, TypeVar

from burdockledge.relay._ports import StalledResponseError

if TYPE_CHECKING:
    from collections.abc import Awaitable

# While a silent server is kept, the listener is asked again this often.
_REPEAT_SECONDS: Final = 0.5

_StepT = TypeVar('_StepT')


class SilenceListener(ABC):
    """Decides whether a silent server is left."""

    @abstractmethod
    def should_leave(self) -> bool:
        """
        Return whether to leave the server, which has been silent for long.

        What the next send needs is reserved in the same call.
        """

    @abstractmethod
    def note_late_progress(self) -> None:
        """Release what was reserved: the server went on before it was left."""


class SilenceWatch:
    """
    Ends the wait for a server once its listener decides to leave it.

    The listener is asked after a time without progress, and every
    ``_REPEAT_SECONDS`` from then on until there is progress.
    """

    def __init__(
        self, silence_seconds: float, listener: SilenceListener
    ) -> None:
        """Begin with the progress of now."""
        self._loop = asyncio.get_running_loop()
        self._silence_seconds = silence_seconds
        self._listener = listener
        self._limit: asyncio.Timeout | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_leaving = False
        self.note_progress()

    def note_progress(self) -> None:
        """Start the time anew."""
        self._asks_at = self._loop.time() + self._silence_seconds

    async def wait(self, step: Awaitable[_StepT]) -> _StepT:
        """
        Return what a step of the send returns.

        :raises StalledResponseError: if the server is left.
        """
        try:
            async with asyncio.timeout(None) as limit:
                self._limit = limit
                self._timer = self._loop.call_at(self._asks_at, self._ask)
                outcome = await step
        except TimeoutError as error:
            if limit.expired():
                raise StalledResponseError from error
            raise
        finally:
            if self._timer is not None:
                self._timer.cancel()
        if self._is_leaving:
            # The step was complete before the timeout could cancel it.
            self._is_leaving = False
            self._listener.note_late_progress()
        return outcome

    def _ask(self) -> None:
        if self._limit is not None and self._listener.should_leave():
            self._is_leaving = True
            self._limit.reschedule(self._loop.time())
            return
        self._asks_at = self._loop.time() + _REPEAT_SECONDS
        self._timer = self._loop.call_at(self._asks_at, self._ask)


__all__ = ('SilenceListener', 'SilenceWatch')
