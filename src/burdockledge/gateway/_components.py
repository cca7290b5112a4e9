"""The components of an entry host that its HTTP interface uses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from burdockledge.claims import ClaimService
    from burdockledge.clock import Clock
    from burdockledge.configuration import Configuration
    from burdockledge.execution import (
        AtMostOnceRunner,
        GenerationRunner,
        ServiceCallRunner,
    )
    from burdockledge.gateway._lifecycle import Lifecycle
    from burdockledge.membership import Membership
    from burdockledge.peers import PeerBus
    from burdockledge.placement import (
        ServerTable,
        SlotBroker,
        SlotSchedulerService,
    )
    from burdockledge.settings import ServeSettings
    from burdockledge.telemetry import Metrics, TimeLine


@dataclass(frozen=True, slots=True)
class HostComponents:
    """
    The components of an entry host that its HTTP interface uses.

    ``schedulers`` runs the slot schedulers of the servers that this host
    leads.
    """

    settings: ServeSettings
    clock: Clock
    random: Random
    bus: PeerBus
    configuration: Configuration
    membership: Membership
    servers: ServerTable
    broker: SlotBroker
    schedulers: SlotSchedulerService
    claims: ClaimService
    generation_runner: GenerationRunner
    service_runner: ServiceCallRunner
    at_most_once_runner: AtMostOnceRunner
    lifecycle: Lifecycle
    metrics: Metrics
    time_line: TimeLine


__all__ = ('HostComponents',)
