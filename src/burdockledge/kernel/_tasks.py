"""A service that owns background tasks and cancels them when it stops."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from burdockledge.kernel._service import Service

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


_CANCEL_RETRY_SECONDS: Final = 1
# Bounds of the pause before a failed duty is started again. The longest one
# is as long as hosts may take to apply a configuration.
MIN_RESTART_SECONDS: Final = 0.1
MAX_RESTART_SECONDS: Final = 2.0


class TaskGroupService(Service):
    """
    Base class of services that run background tasks.

    ``task_failures`` counts the errors that ended a task or a duty.
    """

    def __init__(self) -> None:
        """Create a service without tasks."""
        self._tasks: set[asyncio.Task[Any]] = set()
        self.task_failures = 0

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """
        Run a coroutine as a task until it ends or the service stops.

        :return: the task; the service holds a reference, so that it is not
            garbage-collected.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def supervise(
        self, duty: Callable[[], Coroutine[Any, Any, None]]
    ) -> asyncio.Task[Any]:
        """
        Run a duty of this service until it returns or the service stops.

        A duty that raises is started again, after a pause that grows with
        each failure in a row: a host without it would go on as if it did its
        part.
        """
        return self.spawn(self._run_duty(duty))

    async def stop(self) -> None:
        """Cancel every background task and wait until all have ended."""
        while self._tasks:
            tasks = tuple(self._tasks)
            for task in tasks:
                task.cancel()
            # A task may swallow a cancellation that coincides with a timeout
            # of its own, so cancel the remaining tasks again.
            await asyncio.wait(tasks, timeout=_CANCEL_RETRY_SECONDS)

    async def _run_duty(
        self, duty: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        loop = asyncio.get_running_loop()
        pause_seconds = MIN_RESTART_SECONDS
        while True:
            started_at = loop.time()
            try:
                return await duty()
            except Exception as error:
                method = getattr(duty, 'func', duty)
                self._report(getattr(method, '__qualname__', 'duty'), error)
            if loop.time() - started_at > MAX_RESTART_SECONDS:
                pause_seconds = MIN_RESTART_SECONDS
            await asyncio.sleep(pause_seconds)
            pause_seconds = min(2 * pause_seconds, MAX_RESTART_SECONDS)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            work = getattr(task.get_coro(), '__qualname__', 'task')
            self._report(work, error)

    def _report(self, work: str, error: BaseException) -> None:
        self.task_failures += 1
        asyncio.get_running_loop().call_exception_handler(
            {'message': f'{work} of {self.name} failed', 'exception': error},
        )


__all__ = ('MAX_RESTART_SECONDS', 'MIN_RESTART_SECONDS', 'TaskGroupService')
