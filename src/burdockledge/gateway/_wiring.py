"""What the handlers need, given by the composition root."""

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
class GatewayParts:
    """The parts behind the HTTP interface."""

    settings: ServeSettings
    clock: Clock
    random: Random
    bus: PeerBus
    configuration: Configuration
    membership: Membership
    servers: ServerTable
    broker: SlotBroker
    leads: SlotSchedulerService
    claims: ClaimService
    chat: GenerationRunner
    plain: ServiceCallRunner
    once: AtMostOnceRunner
    lifecycle: Lifecycle
    metrics: Metrics
    time_line: TimeLine


__all__ = ('GatewayParts',)
