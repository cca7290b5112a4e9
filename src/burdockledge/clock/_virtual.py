"""
An event loop with virtual time, which skips the waits between timers.

A callback belongs to the simulated process in whose context it was scheduled.
A frozen process runs none of its callbacks until it is thawed, as a process
between SIGSTOP and SIGCONT.
"""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, TypeVarTuple, Unpack

from burdockledge.clock._clock import Clock

if TYPE_CHECKING:
    from selectors import SelectorKey

_START_WALL_MS: Final = 1_790_000_000_000
_MS_PER_SECOND: Final = 1000
_MIN_TIMER_SECONDS: Final = 1e-6

ArgumentTs = TypeVarTuple('ArgumentTs')
SIMULATED_PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar(
    'SIMULATED_PROCESS'
)


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances virtual time by the requested timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError(
                'virtual time: every task waits and no timer runs'
            )
        self.now += max(timeout, 0.0)
        return []


@dataclass(slots=True)
class _ProcessCallback:
    """A callback of a simulated process and the handle that may cancel it."""

    process: str
    callback: Callable[..., object]
    arguments: tuple[Any, ...]
    context: contextvars.Context
    handle: asyncio.Handle | None = None


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that runs timers in order without waiting for them."""

    def __init__(self) -> None:
        """Create a loop whose time starts at 0 seconds."""
        self._selector_clock = _VirtualTimeSelector()
        self._held_callbacks: dict[str, list[_ProcessCallback]] = {}
        super().__init__(self._selector_clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._selector_clock.now

    def freeze(self, process: str) -> None:
        """Hold back the callbacks of a process until it is thawed."""
        self._held_callbacks.setdefault(process, [])

    def thaw(self, process: str) -> None:
        """Schedule the held callbacks in order and resume the process."""
        for process_callback in self._held_callbacks.pop(process, ()):
            self._schedule(process_callback)

    def shut_down(self) -> None:
        """Cancel every task, including those of frozen processes, and close."""
        for process in tuple(self._held_callbacks):
            self.thaw(process)
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        self.run_until_complete(_wait_for_tasks(tasks))
        self.close()

    def call_soon(
        self,
        callback: Callable[[Unpack[ArgumentTs]], object],
        *args: *ArgumentTs,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback for the process of its context."""
        process_callback = _bind_to_process(callback, args, context)
        if process_callback is None:
            return super().call_soon(callback, *args, context=context)
        process_callback.handle = self._schedule(process_callback)
        return process_callback.handle

    def call_at(
        self,
        when: float,
        callback: Callable[[Unpack[ArgumentTs]], object],
        *args: *ArgumentTs,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a timer for the process of its context."""
        # A timer below the resolution of the loop would not advance the time.
        when = max(when, self.time() + _MIN_TIMER_SECONDS)
        process_callback = _bind_to_process(callback, args, context)
        if process_callback is None:
            return super().call_at(when, callback, *args, context=context)
        handle = super().call_at(
            when,
            self._run_unless_frozen,
            process_callback,
            context=process_callback.context,
        )
        process_callback.handle = handle
        return handle

    def _schedule(self, process_callback: _ProcessCallback) -> asyncio.Handle:
        # self.call_soon would bind the callback to the process a second time.
        schedule = super().call_soon  # noqa: WPS613
        return schedule(
            self._run_unless_frozen,
            process_callback,
            context=process_callback.context,
        )

    def _run_unless_frozen(self, process_callback: _ProcessCallback) -> None:
        if (
            process_callback.handle is not None
            and process_callback.handle.cancelled()
        ):
            # Cancelled after it was due, while the process was frozen.
            return
        held_callbacks = self._held_callbacks.get(process_callback.process)
        if held_callbacks is None:
            process_callback.callback(*process_callback.arguments)
        else:
            held_callbacks.append(process_callback)


async def _wait_for_tasks(tasks: set[asyncio.Task[Any]]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)


def _bind_to_process(
    callback: Callable[..., object],
    arguments: tuple[Any, ...],
    context: contextvars.Context | None,
) -> _ProcessCallback | None:
    callback_context = (
        contextvars.copy_context() if context is None else context
    )
    process = callback_context.get(SIMULATED_PROCESS)
    if process is None:
        return None
    return _ProcessCallback(process, callback, arguments, callback_context)


class VirtualClock(Clock):
    """A clock that reads a virtual loop and whose wall clock can jump."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a clock over the time of a loop."""
        self._loop = loop
        self._jump_ms = 0

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return self._loop.time()

    def wall_ms(self) -> int:
        """Return simulated milliseconds since the Unix epoch, with jumps."""
        return (
            _START_WALL_MS
            + self._jump_ms
            + int(self._loop.time() * _MS_PER_SECOND)
        )

    def jump(self, delta_ms: int) -> None:
        """Make the wall clock jump by a signed number of milliseconds."""
        self._jump_ms += delta_ms


__all__ = ('SIMULATED_PROCESS', 'VirtualClock', 'VirtualTimeLoop')
