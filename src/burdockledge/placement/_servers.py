"""Tracks which backend servers accept new work and which are leaving."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.configuration import BackendState
from burdockledge.kernel import TaskGroupService
from burdockledge.platform_api import HostState
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockledge.configuration import BackendServer, Configuration
    from burdockledge.platform_api import HostListClient

_log = make_logger('servers')

_POLL_INTERVAL_SECONDS: Final = 1
_ENTRY_HOST_KIND: Final = 'entry-host'


class ServerTable(TaskGroupService):
    """
    The backend servers of the configuration and whether they accept work.

    A server gets no new work as soon as the configuration, the platform's host
    list or the server's own refusal says that it is leaving. If
    ``on_entry_hosts`` is set, it is called with the addresses of the live
    entry hosts each time the host list is read.
    """

    name = 'servers'

    def __init__(
        self,
        configuration: Configuration,
        host_list_client: HostListClient | None,
    ) -> None:
        """Create a table from the configuration and the host list, if any."""
        super().__init__()
        self._configuration = configuration
        self._host_list_client = host_list_client
        self._leaving_by_host_list: frozenset[str] = frozenset()
        self._leaving_until: dict[str, float] = {}
        self.on_entry_hosts: Callable[[tuple[str, ...]], None] | None = None

    async def start(self) -> None:
        """Start to poll the platform's host list."""
        if self._host_list_client is not None:
            self.supervise(partial(self._poll, self._host_list_client))

    def get(self, name: str) -> BackendServer | None:
        """Return a server of the configuration, or None if it is unknown."""
        return self._configuration.document.servers.get(name)

    def accepts_work(self, name: str) -> bool:
        """Return whether a server may get new work."""
        server = self.get(name)
        if server is None or server.state is BackendState.leaving:
            return False
        return (
            name not in self._leaving_by_host_list
            and not self._is_marked_leaving(name)
        )

    def mark_leaving(self, name: str) -> None:
        """
        Record that a server refused work because it is stopping.

        The mark expires after one poll interval of the host list.
        """
        now = asyncio.get_running_loop().time()
        self._leaving_until[name] = now + _POLL_INTERVAL_SECONDS

    def _is_marked_leaving(self, name: str) -> bool:
        until = self._leaving_until.get(name)
        if until is None:
            return False
        return asyncio.get_running_loop().time() < until

    async def _poll(self, host_list_client: HostListClient) -> None:
        while True:
            read_result = await host_list_client.read()
            if isinstance(read_result, Err):
                _log.debug('Host list could not be read.')
            else:
                entries = read_result.ok_value
                self._leaving_by_host_list = frozenset(
                    entry.name
                    for entry in entries
                    if entry.state is HostState.leaving
                )
                self._report_entry_hosts(
                    tuple(
                        entry.address
                        for entry in entries
                        if entry.kind == _ENTRY_HOST_KIND
                        and entry.state is HostState.live
                    ),
                )
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    def _report_entry_hosts(self, addresses: tuple[str, ...]) -> None:
        if self.on_entry_hosts is not None:
            self.on_entry_hosts(addresses)


__all__ = ('ServerTable',)
