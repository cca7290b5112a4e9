"""Runs the slot schedulers of the backend servers that this host leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from burdockledge.kernel import TaskGroupService
from burdockledge.ordering import OutgoingMessage, SlotScheduler
from burdockledge.wire import MemberStatus, Offer, Release

if TYPE_CHECKING:
    from burdockledge.clock import Clock
    from burdockledge.configuration import AppliedState, Configuration
    from burdockledge.membership import Membership
    from burdockledge.peers import PeerBus

_EXPIRY_INTERVAL_SECONDS: Final = 3


class SlotSchedulerService(TaskGroupService):
    """
    Answers the offers of all hosts for slots of any backend server.

    While the hosts' member lists differ, offers for one server may reach two
    leaders. Both grant its slots, so the server gets more requests at once and
    serves each of them more slowly; nothing else goes wrong.
    """

    name = 'leads'

    def __init__(
        self,
        bus: PeerBus,
        configuration: Configuration,
        membership: Membership,
        clock: Clock,
    ) -> None:
        """Create no scheduler yet; the first offer for a server creates it."""
        super().__init__()
        self._bus = bus
        self._configuration = configuration
        self._membership = membership
        self._clock = clock
        self._schedulers: dict[str, SlotScheduler] = {}
        self._boot_by_host: dict[str, int] = {}

    @property
    def schedulers(self) -> dict[str, SlotScheduler]:
        """The slot schedulers by server name."""
        return self._schedulers

    async def start(self) -> None:
        """Answer offers and releases."""
        self._bus.subscribe(Offer, self._on_offer)
        self._bus.subscribe(Release, self._on_release)
        self._configuration.subscribe(self._on_configuration_change)
        self._membership.subscribe(self._on_membership_change)
        self.supervise(self._expire_forever)

    def _on_offer(self, sender: str, offer: Offer) -> None:
        scheduler = self._scheduler(offer.server)
        if scheduler is not None:
            self._send(scheduler.offer(offer, sender, self._clock.monotonic()))

    def _on_release(self, sender: str, release: Release) -> None:
        scheduler = self._schedulers.get(release.server)
        if scheduler is not None:
            self._send(
                scheduler.release(release, sender, self._clock.monotonic())
            )

    def _scheduler(self, server_name: str) -> SlotScheduler | None:
        scheduler = self._schedulers.get(server_name)
        if scheduler is not None:
            return scheduler
        document = self._configuration.document
        server = document.servers.get(server_name)
        if server is None:
            return None
        scheduler = SlotScheduler(
            server_name, server.slots, document.policy.queue_limit
        )
        scheduler.tiers.set_guaranteed_shares(self._shares_by_tier())
        self._schedulers[server_name] = scheduler
        return scheduler

    def _shares_by_tier(self) -> dict[int, float]:
        shares: dict[int, float] = {}
        for request_class in self._configuration.document.classes.values():
            known_share = shares.get(request_class.tier, 0.0)
            share = max(known_share, request_class.guaranteed_share)
            shares[request_class.tier] = share
        return shares

    def _on_configuration_change(self, state: AppliedState) -> None:
        now = self._clock.monotonic()
        for server_name, scheduler in self._schedulers.items():
            scheduler.tiers.set_guaranteed_shares(self._shares_by_tier())
            server = state.document.servers.get(server_name)
            if server is not None:
                limit = state.document.policy.queue_limit
                self._send(scheduler.resize(server.slots, limit, now))

    def _on_membership_change(self) -> None:
        for update in self._membership.table.updates():
            known_boot = self._boot_by_host.setdefault(update.host, update.boot)
            is_dead = update.status == MemberStatus.dead
            if is_dead or known_boot != update.boot:
                self._boot_by_host[update.host] = update.boot
                self._drop_host(update.host)

    def _drop_host(self, host: str) -> None:
        now = self._clock.monotonic()
        for scheduler in self._schedulers.values():
            self._send(scheduler.drop_host(host, now))

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_SECONDS)
            now = self._clock.monotonic()
            for scheduler in self._schedulers.values():
                self._send(scheduler.expire(now))

    def _send(self, messages: list[OutgoingMessage]) -> None:
        for outgoing in messages:
            self._bus.send(outgoing.host, outgoing.message)


__all__ = ('SlotSchedulerService',)
