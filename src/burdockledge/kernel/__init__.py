"""The service container: starts, stops and looks up services by name."""

from __future__ import annotations

from burdockledge.kernel._kernel import Kernel
from burdockledge.kernel._service import Service
from burdockledge.kernel._signals import on_stop_signal
from burdockledge.kernel._tasks import TaskGroupService

__all__ = ('Kernel', 'Service', 'TaskGroupService', 'on_stop_signal')
