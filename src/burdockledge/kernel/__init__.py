"""The service container: starts, stops and looks up services by name."""

from __future__ import annotations

from burdockledge.kernel._exit_guard import ExitGuard
from burdockledge.kernel._kernel import Kernel
from burdockledge.kernel._loop_watch import LoopWatch
from burdockledge.kernel._service import Service
from burdockledge.kernel._signals import on_stop_signal
from burdockledge.kernel._tasks import (
    MAX_RESTART_SECONDS,
    MIN_RESTART_SECONDS,
    TaskGroupService,
)

__all__ = (
    'MAX_RESTART_SECONDS',
    'MIN_RESTART_SECONDS',
    'ExitGuard',
    'Kernel',
    'LoopWatch',
    'Service',
    'TaskGroupService',
    'on_stop_signal',
)
