"""The HTTP interface to callers and operators."""

from __future__ import annotations

from burdockledge.gateway._components import HostComponents
from burdockledge.gateway._lifecycle import Lifecycle, LifecycleState
from burdockledge.gateway._server import Gateway

__all__ = ('Gateway', 'HostComponents', 'Lifecycle', 'LifecycleState')
