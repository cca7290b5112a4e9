"""The service that does the duties while this host holds them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockledge.kernel import TaskGroupService

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.duties._ports import Duty, DutyStore
    from burdockledge.settings import DutySettings
    from burdockledge.telemetry import Metrics


class DutyHolder(TaskGroupService):
    """Claims the duties, renews the claim, does them and gives them up."""

    name = 'duty-holder'

    def __init__(
        self,
        own_host: str,
        store: DutyStore,
        settings: DutySettings,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        """Create a holder without duties; it claims nothing then."""
        super().__init__()
        self._own_host = own_host
        self._store = store
        self._settings = settings
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._duties: list[Duty] = []
        self.list_hosts: Callable[[], list[str]] = list

    def register(self, duty: Duty) -> None:
        """Add a duty before the start."""
        self._duties.append(duty)

    async def start(self) -> None:
        """Start to watch the claims of other hosts."""

    def release_soon(self) -> None:
        """Give the duties up as this host is about to stop."""


__all__ = ('DutyHolder',)
