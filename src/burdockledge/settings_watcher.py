"""Reloads the settings of an entry host when their file changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.kernel import TaskGroupService
from burdockledge.platform import load_host_settings
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from burdockledge.settings import RelayHostSettings

_log = make_logger('host')

_POLL_SECONDS: Final = 1.0


class SettingsWatcher(TaskGroupService):
    """
    Reloads the settings when they are asked for or their file has changed.

    ``reload_requested`` asks for a reload.
    """

    name = 'settings-watcher'

    def __init__(
        self,
        path: Path,
        loaded_modified_ns: int,
        apply_settings: Callable[[RelayHostSettings], None],
    ) -> None:
        """
        Create a watcher of one file.

        :param loaded_modified_ns: the modification time of the file when the
            settings in use were read from it.
        """
        super().__init__()
        self._path = path
        self._loaded_modified_ns = loaded_modified_ns
        self._apply_settings = apply_settings
        self.reload_requested = asyncio.Event()

    async def start(self) -> None:
        """Start to watch the file."""
        self.supervise(self._watch_forever)

    async def _watch_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(_POLL_SECONDS):
                    await self.reload_requested.wait()
            except TimeoutError:
                if file_modified_ns(self._path) == self._loaded_modified_ns:
                    continue
            self.reload_requested.clear()
            self._loaded_modified_ns = file_modified_ns(self._path)
            self._reload()

    def _reload(self) -> None:
        loaded = load_host_settings(self._path)
        if isinstance(loaded, Err):
            _log.warning('Settings are not reloaded.', why=loaded.err_value)
            return
        self._apply_settings(loaded.ok_value)


def file_modified_ns(path: Path) -> int:
    """Return the modification time of a file, 0 if it can not be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # The file may be about to be replaced; the next poll tries again.
        return 0


__all__ = ('SettingsWatcher', 'file_modified_ns')
