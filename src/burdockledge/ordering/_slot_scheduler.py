"""
The slot scheduler of a backend server, without any input or output.

The scheduler runs on the server's leader host and only decides the order of
requests; the hosts that accepted the requests keep them. If a leader fails, or
two hosts both act as leader, requests are delayed but not lost.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.ordering._tiers import TierQueues
from burdockledge.ordering._waiting_offer import WaitingOffer
from burdockledge.wire import Grant, Refusal, Yield

if TYPE_CHECKING:
    from burdockledge.wire import Offer, Release

_MS_PER_SECOND: Final = 1000
_HOLD_TIME_SMOOTHING: Final = 0.05
_MIN_RETRY_AFTER_MS: Final = 100
LEASE_SECONDS: Final = 12
_MIN_RELEASES_FOR_ESTIMATE: Final = 8


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message from the scheduler to a host."""

    host: str
    message: Grant | Refusal | Yield


@dataclass(slots=True)
class _RunningRequest:
    """
    A request that holds a slot.

    ``is_granted_by_share`` tells whether it got the slot by its tier's
    guaranteed share.
    """

    offer: Offer
    host: str
    granted_at: float
    renewed_at: float
    is_granted_by_share: bool
    is_yield_requested: bool = False


class SlotScheduler:
    """
    Grants the slots of one backend server to the offers that wait for them.

    Times are those of the leader's monotonic clock, in seconds. Each method
    that changes the state returns the messages to send.
    """

    def __init__(self, server: str, slots: int, queue_limit: int) -> None:
        """
        Create the scheduler of a server.

        :param queue_limit: the largest number of waiting offers.
        """
        self._server = server
        self._slots = slots
        self._queue_limit = queue_limit
        self._tiers = TierQueues()
        self._waiting: dict[bytes, WaitingOffer] = {}
        self._running: dict[bytes, _RunningRequest] = {}
        self._mean_hold_seconds = 0.0
        self._release_count = 0

    @property
    def tiers(self) -> TierQueues:
        """The queues of waiting offers, by tier."""
        return self._tiers

    @property
    def running_count(self) -> int:
        """The number of slots in use."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """The number of waiting offers."""
        return len(self._waiting)

    def resize(
        self,
        slots: int,
        queue_limit: int,
        now: float,
    ) -> list[OutgoingMessage]:
        """Change the limits; running requests keep their slots."""
        self._slots = slots
        self._queue_limit = queue_limit
        return self._grant_free_slots(now)

    def offer(
        self, offer: Offer, host: str, now: float
    ) -> list[OutgoingMessage]:
        """
        Accept, renew or refuse an offer.

        A repeated offer renews its lease. If its slot was already granted, the
        grant is sent again, as the first one may have been lost. An offer that
        is already running takes a slot even if none is free.
        """
        running = self._running.get(offer.request)
        if running is not None:
            running.renewed_at = now
            if offer.running:
                return []
            return [OutgoingMessage(host, Grant(offer.request, self._server))]
        known = self._waiting.get(offer.request)
        if known is not None:
            known.renewed_at = now
            return []
        if offer.running:
            self._tiers.is_last_pop_by_share = False
            self._run(offer, host, now)
            return []
        refusal = self._refuse_if_late(offer)
        if refusal is not None:
            return [OutgoingMessage(host, refusal)]
        messages = self._make_room(offer, host)
        if any(
            outgoing.message.request == offer.request for outgoing in messages
        ):
            return messages
        waiting = WaitingOffer(
            offer=offer,
            host=host,
            due_at=now + offer.wait_budget_ms / _MS_PER_SECOND,
            renewed_at=now,
        )
        self._waiting[offer.request] = waiting
        self._tiers.push(waiting)
        return [*messages, *self._grant_free_slots(now)]

    def release(
        self,
        release: Release,
        host: str,
        now: float,
    ) -> list[OutgoingMessage]:
        """Withdraw a waiting offer, or free a slot and charge its tokens."""
        waiting = self._waiting.pop(release.request, None)
        if waiting is not None:
            self._tiers.withdraw(waiting)
            return []
        running = self._running.pop(release.request, None)
        if running is None or running.host != host:
            return []
        self._charge_release(running, release.tokens, now)
        return self._grant_free_slots(now)

    def drop_host(self, host: str, now: float) -> list[OutgoingMessage]:
        """Drop the offers and free the slots of a host that is gone."""
        return self._drop_entries(lambda entry: entry.host == host, now)

    def expire(self, now: float) -> list[OutgoingMessage]:
        """Drop offers and free slots that were not renewed within the lease."""
        min_renewed_at = now - LEASE_SECONDS
        return self._drop_entries(
            lambda entry: entry.renewed_at < min_renewed_at, now
        )

    def expected_wait_seconds(self, tier: int, team: str) -> float:
        """
        Estimate how long a new offer would wait for a slot, in seconds.

        The estimate is 0 until enough releases have been measured.
        """
        if self._release_count < _MIN_RELEASES_FOR_ESTIMATE:
            return 0.0
        if len(self._running) < self._slots and not self._waiting:
            return 0.0
        seconds_between_releases = self._mean_hold_seconds / max(self._slots, 1)
        return (
            self._tiers.offers_ahead(tier, team) + 1
        ) * seconds_between_releases

    def _drop_entries(
        self,
        should_drop: Callable[[WaitingOffer | _RunningRequest], bool],
        now: float,
    ) -> list[OutgoingMessage]:
        for request, waiting in tuple(self._waiting.items()):
            if should_drop(waiting):
                self._waiting.pop(request)
                self._tiers.withdraw(waiting)
        for request, running in tuple(self._running.items()):
            if should_drop(running):
                self._running.pop(request)
        return self._grant_free_slots(now)

    def _refuse_if_late(self, offer: Offer) -> Refusal | None:
        """
        Refuse an offer that would probably get a slot too late.

        An offer without wait budget is accepted: it was admitted earlier and
        is late already.
        """
        if offer.wait_budget_ms <= 0:
            return None
        wait_ms = int(
            self.expected_wait_seconds(offer.tier, offer.team) * _MS_PER_SECOND
        )
        if wait_ms <= offer.wait_budget_ms:
            return None
        return Refusal(
            offer.request,
            self._server,
            max(_MIN_RETRY_AFTER_MS, wait_ms - offer.wait_budget_ms),
        )

    def _make_room(self, offer: Offer, host: str) -> list[OutgoingMessage]:
        """Refuse the newest offer of the lowest tier if the queue is full."""
        if len(self._waiting) < self._queue_limit:
            return []
        lowest = self._tiers.waiting_tiers()[-1]
        if offer.tier >= lowest:
            return [OutgoingMessage(host, self._queue_full_refusal(offer))]
        for request, waiting in reversed(self._waiting.items()):
            if waiting.offer.tier == lowest:
                self._waiting.pop(request)
                self._tiers.withdraw(waiting)
                return [
                    OutgoingMessage(
                        waiting.host, self._queue_full_refusal(waiting.offer)
                    )
                ]
        return []

    def _queue_full_refusal(self, offer: Offer) -> Refusal:
        return Refusal(offer.request, self._server, _MS_PER_SECOND)

    def _grant_free_slots(self, now: float) -> list[OutgoingMessage]:
        messages: list[OutgoingMessage] = []
        while len(self._running) < self._slots:
            waiting = self._tiers.pop(now)
            if waiting is None:
                break
            offer = waiting.offer
            self._waiting.pop(offer.request)
            self._run(offer, waiting.host, now)
            messages.append(
                OutgoingMessage(
                    waiting.host, Grant(offer.request, self._server)
                ),
            )
        messages.extend(self._request_yields())
        return messages

    def _request_yields(self) -> list[OutgoingMessage]:
        """
        Ask running requests to yield slots that a higher tier waits for.

        Requests that got their slots by a guaranteed share keep them, so that
        no tier starves. The lowest tier is asked first, and within a tier the
        newest request.
        """
        tiers = self._tiers.waiting_tiers()
        if not tiers:
            return []
        lower = [
            running
            for running in self._running.values()
            if running.offer.tier > tiers[0]
        ]
        already_asked = sum(running.is_yield_requested for running in lower)
        missing_slots = self._tiers.queue(tiers[0]).size - already_asked
        yieldable = [running for running in lower if _may_yield(running)]
        yieldable.sort(key=_yield_order, reverse=True)
        return [
            self._yield(running)
            for running in yieldable[: max(0, missing_slots)]
        ]

    def _yield(self, running: _RunningRequest) -> OutgoingMessage:
        running.is_yield_requested = True
        return OutgoingMessage(
            running.host,
            Yield(running.offer.request, self._server),
        )

    def _run(self, offer: Offer, host: str, now: float) -> None:
        queue = self._tiers.queue(offer.tier)
        queue.charge(offer.team, offer.weight, offer.cost_tokens)
        self._running[offer.request] = _RunningRequest(
            offer,
            host,
            now,
            now,
            self._tiers.is_last_pop_by_share,
        )

    def _charge_release(
        self, running: _RunningRequest, tokens: int, now: float
    ) -> None:
        offer = running.offer
        queue = self._tiers.queue(offer.tier)
        queue.charge(offer.team, offer.weight, tokens - offer.cost_tokens)
        if tokens == 0:
            return
        hold_seconds = now - running.granted_at
        self._release_count += 1
        smoothing = max(_HOLD_TIME_SMOOTHING, 1 / self._release_count)
        self._mean_hold_seconds += (
            hold_seconds - self._mean_hold_seconds
        ) * smoothing


def _may_yield(running: _RunningRequest) -> bool:
    if running.is_granted_by_share or running.is_yield_requested:
        return False
    return running.offer.resumable


def _yield_order(running: _RunningRequest) -> tuple[int, float]:
    return (running.offer.tier, running.granted_at)


__all__ = ('LEASE_SECONDS', 'OutgoingMessage', 'SlotScheduler')
