"""Tests of background tasks that fail."""

from __future__ import annotations

import ast
import asyncio
from collections.abc import Awaitable
from pathlib import Path

import pytest

import burdockledge
from burdockledge.clock import VirtualTimeLoop
from burdockledge.kernel import MAX_RESTART_SECONDS, TaskGroupService


class FaultyService(TaskGroupService):
    """A service whose background work raises some times, then goes on."""

    name = 'faulty'

    def __init__(self, failures: int) -> None:
        """Create a service that has done nothing yet."""
        super().__init__()
        self.failures_left = failures
        self.is_endless = True
        self.started_at: list[float] = []

    async def start(self) -> None:
        """Do nothing; the tests choose how to start the work."""

    async def start_once(self) -> None:
        """Start the work as a plain task."""
        self.spawn(self.work())

    async def start_supervised(self) -> None:
        """Start the work as a duty."""
        self.supervise(self.work)

    async def work(self) -> None:
        """Fail, or go on until the service stops."""
        self.started_at.append(asyncio.get_running_loop().time())
        if self.failures_left:
            self.failures_left -= 1
            _raise_deep_error()
        if self.is_endless:
            await asyncio.Event().wait()


def _raise_deep_error() -> None:
    raise RecursionError('too deep')


def run_for(
    loop: VirtualTimeLoop,
    service: TaskGroupService,
    start: Awaitable[None],
    seconds: float,
) -> None:
    """Start a service, let it run for some virtual time and stop it."""

    async def run() -> None:
        await start
        await asyncio.sleep(seconds)
        await service.stop()

    loop.run_until_complete(run())
    loop.shut_down()


def test_a_duty_that_fails_is_started_again() -> None:
    """Guards against a host that goes on without a duty (review/1)."""
    loop = VirtualTimeLoop()
    service = FaultyService(failures=3)
    run_for(loop, service, service.start_supervised(), 10)
    pauses = [
        later - earlier
        for earlier, later in zip(
            service.started_at, service.started_at[1:], strict=False
        )
    ]
    assert pauses == pytest.approx([0.1, 0.2, 0.4])
    assert service.task_failures == 3


def test_a_duty_that_always_fails_does_not_spin() -> None:
    """The pause grows up to its bound, and ends with the service."""
    loop = VirtualTimeLoop()
    service = FaultyService(failures=1000)
    run_for(loop, service, service.start_supervised(), 60)
    last, end = service.started_at[-2:]
    assert end - last == pytest.approx(MAX_RESTART_SECONDS)
    assert service.task_failures == len(service.started_at) < 40


def test_a_duty_that_returns_is_over() -> None:
    """A duty such as a registration is done once it returns."""
    loop = VirtualTimeLoop()
    service = FaultyService(failures=0)
    service.is_endless = False
    run_for(loop, service, service.start_supervised(), 10)
    assert len(service.started_at) == 1


def endless_methods(tree: ast.AST) -> set[str]:
    """Return the methods with a loop that only an error can end."""
    return {
        function.name
        for function in ast.walk(tree)
        if isinstance(function, ast.AsyncFunctionDef)
        and any(
            isinstance(loop, ast.While)
            and isinstance(loop.test, ast.Constant)
            and not any(
                isinstance(node, (ast.Return, ast.Break))
                for node in ast.walk(loop)
            )
            for loop in ast.walk(function)
        )
    }


def started_methods(tree: ast.AST, starter: str) -> set[str]:
    """Return the methods that are handed to one way of starting tasks."""
    return {
        name.attr
        for call in ast.walk(tree)
        if isinstance(call, ast.Call)
        and isinstance(call.func, ast.Attribute)
        and call.func.attr == starter
        for argument in call.args
        for name in ast.walk(argument)
        if isinstance(name, ast.Attribute)
    }


@pytest.mark.parametrize(
    'path',
    [
        path
        for path in sorted(Path(burdockledge.__file__).parent.rglob('*.py'))
        if 'TaskGroupService)' in path.read_text('utf-8')
    ],
    ids=lambda path: path.stem,
)
def test_duties_without_an_end_are_supervised(path: Path) -> None:
    """Guards against one that ends in silence at its first error."""
    tree = ast.parse(path.read_text('utf-8'))
    endless = endless_methods(tree)
    assert not endless & started_methods(tree, 'spawn')
    assert not endless & started_methods(tree, 'create_task')
