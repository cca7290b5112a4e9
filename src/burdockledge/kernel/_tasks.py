"""A service that owns background tasks and cancels them when it stops."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from burdockledge.kernel._service import Service

if TYPE_CHECKING:
    from collections.abc import Coroutine


_CANCEL_RETRY_SECONDS: Final = 1


class TaskGroupService(Service):
    """Base class of services that run background tasks."""

    def __init__(self) -> None:
        """Create a service without tasks."""
        self._tasks: set[asyncio.Task[Any]] = set()

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

    async def stop(self) -> None:
        """Cancel every background task and wait until all have ended."""
        while self._tasks:
            tasks = tuple(self._tasks)
            for task in tasks:
                task.cancel()
            # A task may swallow a cancellation that coincides with a timeout
            # of its own, so cancel the remaining tasks again.
            await asyncio.wait(tasks, timeout=_CANCEL_RETRY_SECONDS)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            work = getattr(task.get_coro(), '__qualname__', 'task')
            task.get_loop().call_exception_handler(
                {
                    'message': f'{work} of {self.name} failed',
                    'exception': error,
                },
            )


__all__ = ('TaskGroupService',)
