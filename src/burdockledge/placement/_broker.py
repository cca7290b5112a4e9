"""
Acquires slots by late binding: the first leader to grant one is used.

Each request is offered to the leaders of several servers at once. When one
grants a slot, the other offers are withdrawn.

Source: Ousterhout et al., "Sparrow: Distributed, Low Latency Scheduling",
2013, on late binding and on sampling two servers.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from burdockledge.hashing import rank
from burdockledge.kernel import TaskGroupService
from burdockledge.placement._rendezvous import leader_host
from burdockledge.wire import Grant, Offer, Refusal, Release, Yield

if TYPE_CHECKING:
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.configuration import Configuration
    from burdockledge.membership import Membership
    from burdockledge.peers import PeerBus
    from burdockledge.placement._health import HealthTracker
    from burdockledge.placement._servers import ServerTable
    from burdockledge.telemetry import TimeLine

_REFRESH_INTERVAL_SECONDS: Final = 1
_RENEW_INTERVAL_SECONDS: Final = 4
_NO_OFFER_RETRY_SECONDS: Final = 0.25
_MS_PER_SECOND: Final = 1000
_DEFAULT_RETRY_AFTER_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """
    A request for a slot on any one of several servers.

    ``id_bytes`` is a random id of 16 bytes, new for each slot request.
    ``wait_budget_seconds`` is the time until the first token is due; leaders
    refuse an offer if they expect a longer wait, but never for a budget of 0
    or less. ``max_wait_seconds`` is how long to wait for a slot at most.
    ``cost_tokens`` is the estimated cost, charged until the slot is released
    with the real one. ``prefix_hash`` is a hash of the prompt's start, or
    empty.
    """

    id_bytes: bytes
    tier: int
    team: str
    weight: float
    wait_budget_seconds: float
    max_wait_seconds: float
    cost_tokens: int
    servers: tuple[str, ...]
    prefix_hash: str = ''
    is_resumable: bool = False


@dataclass(frozen=True, slots=True)
class Slot:
    """A granted slot, to be released with the number of tokens served."""

    request: SlotRequest
    server: str
    leader: str


@dataclass(frozen=True, slots=True)
class NoSlot:
    """No leader granted a slot in time; nothing was run."""

    retry_after_ms: int
    reason: str


@dataclass(slots=True)
class _PendingRequest:
    """
    A request that waits for a slot.

    ``leader_by_server`` holds the open offers: each server that the request is
    offered to, with the leader that has the offer.
    """

    request: SlotRequest
    due_at: float
    future: asyncio.Future[Slot | NoSlot]
    leader_by_server: dict[str, str] = field(default_factory=dict)
    refused_servers: set[str] = field(default_factory=set)
    retry_after_ms: int = _DEFAULT_RETRY_AFTER_MS


class SlotBroker(TaskGroupService):
    """Acquires slots for the requests that this host accepted."""

    name = 'broker'

    def __init__(
        self,
        bus: PeerBus,
        configuration: Configuration,
        membership: Membership,
        servers: ServerTable,
        health: HealthTracker,
        clock: Clock,
        random: Random,
        time_line: TimeLine,
    ) -> None:
        """Create a broker without pending requests or slots."""
        super().__init__()
        self._bus = bus
        self._configuration = configuration
        self._membership = membership
        self._servers = servers
        self._health = health
        self._clock = clock
        self._random = random
        self._time_line = time_line
        self._pending_requests: dict[bytes, _PendingRequest] = {}
        self._held_slots: dict[bytes, Slot] = {}
        self._yield_requested: set[bytes] = set()

    @property
    def held_slot_count(self) -> int:
        """The number of slots that this host holds."""
        return len(self._held_slots)

    @property
    def pending_request_count(self) -> int:
        """The number of requests of this host that wait for a slot."""
        return len(self._pending_requests)

    async def start(self) -> None:
        """Subscribe to leaders' messages and renew the held slots."""
        self._bus.subscribe(Grant, self._on_grant)
        self._bus.subscribe(Refusal, self._on_refusal)
        self._bus.subscribe(Yield, self._on_yield)
        self._bus.subscribe_link_down(self._on_link_down)
        self._membership.subscribe(self._on_membership_change)
        self.supervise(self._renew_forever)

    async def acquire(self, request: SlotRequest) -> Result[Slot, NoSlot]:
        """
        Wait for a slot on any of the request's servers.

        :return: a slot that the caller must release, or why there is none.
        """
        loop = asyncio.get_running_loop()
        pending = _PendingRequest(
            request,
            self._clock.monotonic() + request.wait_budget_seconds,
            loop.create_future(),
        )
        self._pending_requests[request.id_bytes] = pending
        try:
            return await self._wait(pending)
        except asyncio.CancelledError:
            held = self._held_slots.get(request.id_bytes)
            if held is not None:
                self.release(held, 0)
            raise
        finally:
            self._pending_requests.pop(request.id_bytes, None)
            for server in tuple(pending.leader_by_server):
                self._withdraw(pending, server)

    def release(self, slot: Slot, tokens: int) -> None:
        """Release a slot and report to its leader the tokens it served."""
        self._yield_requested.discard(slot.request.id_bytes)
        held = self._held_slots.pop(slot.request.id_bytes, None)
        if held is not None:
            self._send_release(held.leader, held.request, held.server, tokens)

    def must_yield(self, slot: Slot) -> bool:
        """Return whether the leader asked for a slot back."""
        return slot.request.id_bytes in self._yield_requested

    async def _wait(self, pending: _PendingRequest) -> Result[Slot, NoSlot]:
        deadline = self._clock.monotonic() + pending.request.max_wait_seconds
        self._add_offers(pending)
        while not pending.future.done():
            remaining_seconds = deadline - self._clock.monotonic()
            if remaining_seconds <= 0:
                return Err(NoSlot(pending.retry_after_ms, 'no slot in time'))
            interval_seconds = (
                _REFRESH_INTERVAL_SECONDS
                if pending.leader_by_server
                else _NO_OFFER_RETRY_SECONDS
            )
            done, _ = await asyncio.wait(
                (pending.future,),
                timeout=min(remaining_seconds, interval_seconds),
            )
            if not done:
                self._refresh_offers(pending)
        return _as_result(pending.future.result())

    def _refresh_offers(self, pending: _PendingRequest) -> None:
        """Repeat the open offers, to new leaders if they changed."""
        for server in tuple(pending.leader_by_server):
            if self._servers.accepts_work(server):
                self._send_offer(pending, server)
            else:
                self._withdraw(pending, server)
        self._add_offers(pending)

    def _add_offers(self, pending: _PendingRequest) -> None:
        limit = self._configuration.document.policy.offers
        for server in self._candidate_servers(pending):
            if len(pending.leader_by_server) >= limit:
                return
            self._send_offer(pending, server)
        if not pending.leader_by_server and pending.refused_servers:
            self._resolve(
                pending,
                NoSlot(pending.retry_after_ms, 'every lead refuses'),
            )

    def _candidate_servers(self, pending: _PendingRequest) -> list[str]:
        """
        Return further servers to offer to, in random order.

        The first offer goes to the server preferred for the prompt's prefix,
        whose cache may hold it.
        """
        request = pending.request
        open_servers = [
            server
            for server in request.servers
            if server not in pending.leader_by_server
            and server not in pending.refused_servers
            and self._servers.accepts_work(server)
        ]
        usable = self._health.usable(open_servers)
        if len(usable) <= 1:
            return usable
        if pending.leader_by_server or not request.prefix_hash:
            self._random.shuffle(usable)
            return usable
        preferred = rank(request.prefix_hash, usable)[0]
        usable.remove(preferred)
        self._random.shuffle(usable)
        return [preferred, *usable]

    def _send_offer(self, pending: _PendingRequest, server: str) -> None:
        leader = self._leader_of(server)
        if leader is None:
            return
        previous_leader = pending.leader_by_server.get(server)
        if previous_leader is not None and previous_leader != leader:
            self._send_release(previous_leader, pending.request, server, 0)
        pending.leader_by_server[server] = leader
        remaining_seconds = pending.due_at - self._clock.monotonic()
        self._time_line.record('offer', server, detail=leader)
        self._bus.send(
            leader, _make_offer(pending.request, server, remaining_seconds)
        )

    def _leader_of(self, server: str) -> str | None:
        configured = self._servers.get(server)
        if configured is None:
            return None
        return leader_host(
            server, configured, self._membership.table.alive_or_suspect()
        )

    def _withdraw(self, pending: _PendingRequest, server: str) -> None:
        leader = pending.leader_by_server.pop(server, None)
        if leader is not None:
            self._send_release(leader, pending.request, server, 0)

    def _send_release(
        self,
        leader: str,
        request: SlotRequest,
        server: str,
        tokens: int,
    ) -> None:
        self._bus.send(leader, Release(request.id_bytes, server, tokens))

    def _on_grant(self, sender: str, grant: Grant) -> None:
        pending = self._pending_requests.get(grant.request)
        is_open = pending is not None and not pending.future.done()
        if (
            pending is None
            or not is_open
            or (grant.server not in pending.leader_by_server)
        ):
            held = self._held_slots.get(grant.request)
            if held is None or (held.server, held.leader) != (
                grant.server,
                sender,
            ):
                self._bus.send(
                    sender,
                    Release(grant.request, grant.server, 0),
                )
            return
        if not self._servers.accepts_work(grant.server):
            self._withdraw(pending, grant.server)
            return
        pending.leader_by_server.pop(grant.server, None)
        slot = Slot(pending.request, grant.server, sender)
        self._held_slots[grant.request] = slot
        self._resolve(pending, slot)

    def _on_refusal(self, _sender: str, refusal: Refusal) -> None:
        pending = self._pending_requests.get(refusal.request)
        if pending is None:
            return
        pending.leader_by_server.pop(refusal.server, None)
        pending.refused_servers.add(refusal.server)
        pending.retry_after_ms = refusal.retry_after_ms
        self._add_offers(pending)

    def _on_yield(self, _sender: str, message: Yield) -> None:
        held = self._held_slots.get(message.request)
        if held is None or held.server != message.server:
            return
        # A request that may run only once cannot be resumed elsewhere, so it
        # keeps its slot.
        if held.request.is_resumable:
            self._yield_requested.add(message.request)

    def _resolve(self, pending: _PendingRequest, result: Slot | NoSlot) -> None:
        if not pending.future.done():
            pending.future.set_result(result)

    def _on_link_down(self, host: str) -> None:
        for pending in self._pending_requests.values():
            for server, leader in tuple(pending.leader_by_server.items()):
                if leader == host:
                    # The next refresh offers again, to this leader or another.
                    pending.leader_by_server.pop(server)

    def _on_membership_change(self) -> None:
        for pending in self._pending_requests.values():
            for server, leader in tuple(pending.leader_by_server.items()):
                if self._leader_of(server) != leader:
                    self._send_offer(pending, server)
        self._renew_slots(only_moved=True)

    async def _renew_forever(self) -> None:
        while True:
            await asyncio.sleep(_RENEW_INTERVAL_SECONDS)
            self._renew_slots(only_moved=False)

    def _renew_slots(self, *, only_moved: bool) -> None:
        """
        Report held slots to their leaders, which renews the leases.

        :param only_moved: report only slots whose server has a new leader.
        """
        for id_bytes, slot in tuple(self._held_slots.items()):
            leader = self._leader_of(slot.server) or slot.leader
            if only_moved and leader == slot.leader:
                continue
            self._held_slots[id_bytes] = Slot(slot.request, slot.server, leader)
            offer = _make_offer(slot.request, slot.server, 0, running=True)
            self._bus.send(leader, offer)


def _make_offer(
    request: SlotRequest,
    server: str,
    wait_budget_seconds: float,
    *,
    running: bool = False,
) -> Offer:
    return Offer(
        request=request.id_bytes,
        server=server,
        tier=request.tier,
        team=request.team,
        weight=request.weight,
        wait_budget_ms=max(0, int(wait_budget_seconds * _MS_PER_SECOND)),
        cost_tokens=request.cost_tokens,
        running=running,
        resumable=request.is_resumable,
    )


def _as_result(result: Slot | NoSlot) -> Result[Slot, NoSlot]:
    return Ok(result) if isinstance(result, Slot) else Err(result)


__all__ = ('NoSlot', 'Slot', 'SlotBroker', 'SlotRequest')
