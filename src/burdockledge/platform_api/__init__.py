"""Clients of the platform's services: append-only log and host list."""

from __future__ import annotations

from burdockledge.platform_api._host_list import (
    HostEntry,
    HostListClient,
    HostState,
    HttpHostListClient,
)
from burdockledge.platform_api._http_log import HttpLogClient
from burdockledge.platform_api._log import (
    LogClient,
    LogPage,
    LogRecord,
    PlatformFailure,
)

__all__ = (
    'HostEntry',
    'HostListClient',
    'HostState',
    'HttpHostListClient',
    'HttpLogClient',
    'LogClient',
    'LogPage',
    'LogRecord',
    'PlatformFailure',
)
