"""
Offers a request to several leads and binds to the first grant.

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
from burdockledge.placement._rendezvous import lead_of
from burdockledge.wire import Grant, Offer, Refusal, Release, Yield

if TYPE_CHECKING:
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.configuration import Configuration
    from burdockledge.membership import Membership
    from burdockledge.peers import PeerBus
    from burdockledge.placement._health import HealthBook
    from burdockledge.placement._servers import ServerBook
    from burdockledge.telemetry import TimeLine

_REFRESH_SECONDS: Final = 1
_RENEW_SECONDS: Final = 4
_REOFFER_SECONDS: Final = 0.25
_MS: Final = 1000
_DEFAULT_RETRY_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """
    What a request needs.

    ``wait_seconds`` is the time until its first token is due, ``limit_seconds``
    the longest wait for a slot; ``prefix`` names its prompt's beginning.
    """

    request: bytes
    tier: int
    team: str
    weight: float
    wait_seconds: float
    limit_seconds: float
    cost_tokens: int
    servers: tuple[str, ...]
    prefix: str = ''
    is_resumable: bool = False


@dataclass(frozen=True, slots=True)
class Slot:
    """A granted slot, to be released with the tokens served."""

    request: SlotRequest
    server: str
    lead: str


@dataclass(frozen=True, slots=True)
class NoSlot:
    """No lead gives a slot in time; nothing was run."""

    retry_after_ms: int
    reason: str


@dataclass(slots=True)
class _Pending:
    request: SlotRequest
    due_at: float
    granted: asyncio.Future[Slot | NoSlot]
    offered: dict[str, str] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    retry_after_ms: int = _DEFAULT_RETRY_MS


class SlotBroker(TaskGroupService):
    """Gets slots for the requests that this host accepted."""

    name = 'broker'

    def __init__(
        self,
        bus: PeerBus,
        configuration: Configuration,
        membership: Membership,
        servers: ServerBook,
        health: HealthBook,
        clock: Clock,
        random: Random,
        time_line: TimeLine,
    ) -> None:
        """Create a broker without requests."""
        super().__init__()
        self._bus = bus
        self._configuration = configuration
        self._membership = membership
        self._servers = servers
        self._health = health
        self._clock = clock
        self._random = random
        self._time_line = time_line
        self._pending: dict[bytes, _Pending] = {}
        self._held: dict[bytes, Slot] = {}
        self._yielding: set[bytes] = set()

    @property
    def held(self) -> int:
        """The number of slots in use by this host."""
        return len(self._held)

    @property
    def pending(self) -> int:
        """The number of requests of this host that wait for a slot."""
        return len(self._pending)

    async def start(self) -> None:
        """Hear grants and refusals."""
        self._bus.subscribe(Grant, self._on_grant)
        self._bus.subscribe(Refusal, self._on_refusal)
        self._bus.subscribe(Yield, self._on_yield)
        self._bus.subscribe_link_down(self._on_link_down)
        self._membership.subscribe(self._on_members)
        self.spawn(self._renew_forever())

    async def acquire(self, request: SlotRequest) -> Result[Slot, NoSlot]:
        """Wait for a slot of any of the request's servers."""
        loop = asyncio.get_running_loop()
        pending = _Pending(
            request,
            self._clock.monotonic() + request.wait_seconds,
            loop.create_future(),
        )
        self._pending[request.request] = pending
        try:
            return await self._wait(pending)
        except asyncio.CancelledError:
            held = self._held.get(request.request)
            if held is not None:
                self.release(held, 0)
            raise
        finally:
            self._pending.pop(request.request, None)
            for server in tuple(pending.offered):
                self._withdraw(pending, server)

    def release(self, slot: Slot, tokens: int) -> None:
        """Free a slot and report the tokens it served."""
        self._yielding.discard(slot.request.request)
        held = self._held.pop(slot.request.request, None)
        if held is not None:
            self._send_release(held.lead, held.request, held.server, tokens)

    def must_yield(self, slot: Slot) -> bool:
        """Tell whether a lead asked for a slot back."""
        return slot.request.request in self._yielding

    async def _wait(self, pending: _Pending) -> Result[Slot, NoSlot]:
        deadline = self._clock.monotonic() + pending.request.limit_seconds
        self._offer_more(pending)
        while not pending.granted.done():
            left = deadline - self._clock.monotonic()
            if left <= 0:
                return Err(NoSlot(pending.retry_after_ms, 'no slot in time'))
            wait = _REFRESH_SECONDS if pending.offered else _REOFFER_SECONDS
            done, _ = await asyncio.wait(
                (pending.granted,),
                timeout=min(left, wait),
            )
            if not done:
                self._refresh(pending)
        return _as_result(pending.granted.result())

    def _refresh(self, pending: _Pending) -> None:
        """Offer again to the leads as they stand now."""
        for server in tuple(pending.offered):
            if self._servers.accepts_work(server):
                self._offer(pending, server)
            else:
                self._withdraw(pending, server)
        self._offer_more(pending)

    def _offer_more(self, pending: _Pending) -> None:
        limit = self._configuration.document.policy.offers
        for server in self._choose(pending):
            if len(pending.offered) >= limit:
                return
            self._offer(pending, server)
        if not pending.offered and pending.refused:
            self._resolve(
                pending,
                NoSlot(pending.retry_after_ms, 'every lead refuses'),
            )

    def _choose(self, pending: _Pending) -> list[str]:
        """Return more servers to offer to: the prefix's own, then random."""
        request = pending.request
        open_servers = [
            server
            for server in request.servers
            if server not in pending.offered
            and server not in pending.refused
            and self._servers.accepts_work(server)
        ]
        usable = self._health.usable(open_servers)
        if len(usable) <= 1:
            return usable
        if pending.offered or not request.prefix:
            self._random.shuffle(usable)
            return usable
        first = rank(request.prefix, usable)[0]
        usable.remove(first)
        self._random.shuffle(usable)
        return [first, *usable]

    def _offer(self, pending: _Pending, server: str) -> None:
        lead = self._lead_of(server)
        if lead is None:
            return
        former = pending.offered.get(server)
        if former is not None and former != lead:
            self._send_release(former, pending.request, server, 0)
        pending.offered[server] = lead
        left = pending.due_at - self._clock.monotonic()
        self._time_line.record('offer', server, detail=lead)
        self._bus.send(lead, _offer(pending.request, server, left))

    def _lead_of(self, server: str) -> str | None:
        found = self._servers.get(server)
        if found is None:
            return None
        return lead_of(server, found, self._membership.table.alive_or_suspect())

    def _withdraw(self, pending: _Pending, server: str) -> None:
        lead = pending.offered.pop(server, None)
        if lead is not None:
            self._send_release(lead, pending.request, server, 0)

    def _send_release(
        self,
        lead: str,
        request: SlotRequest,
        server: str,
        tokens: int,
    ) -> None:
        self._bus.send(lead, Release(request.request, server, tokens))

    def _on_grant(self, sender: str, grant: Grant) -> None:
        pending = self._pending.get(grant.request)
        is_open = pending is not None and not pending.granted.done()
        if (
            pending is None
            or not is_open
            or (grant.server not in pending.offered)
        ):
            held = self._held.get(grant.request)
            if held is None or (held.server, held.lead) != (
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
        pending.offered.pop(grant.server, None)
        slot = Slot(pending.request, grant.server, sender)
        self._held[grant.request] = slot
        self._resolve(pending, slot)

    def _on_refusal(self, _sender: str, refusal: Refusal) -> None:
        pending = self._pending.get(refusal.request)
        if pending is None:
            return
        pending.offered.pop(refusal.server, None)
        pending.refused.add(refusal.server)
        pending.retry_after_ms = refusal.retry_after_ms
        self._offer_more(pending)

    def _on_yield(self, _sender: str, asked: Yield) -> None:
        held = self._held.get(asked.request)
        if held is None or held.server != asked.server:
            return
        # Work that may run only once is kept, whatever a lead asks.
        if held.request.is_resumable:
            self._yielding.add(asked.request)

    def _resolve(self, pending: _Pending, slot: Slot | NoSlot) -> None:
        if not pending.granted.done():
            pending.granted.set_result(slot)

    def _on_link_down(self, host: str) -> None:
        for pending in self._pending.values():
            for server, lead in tuple(pending.offered.items()):
                if lead == host:
                    # The refresh offers again, to this lead or a new one.
                    pending.offered.pop(server)

    def _on_members(self) -> None:
        for pending in self._pending.values():
            for server, lead in tuple(pending.offered.items()):
                if self._lead_of(server) != lead:
                    self._offer(pending, server)
        self._renew(only_moved=True)

    async def _renew_forever(self) -> None:
        while True:
            await asyncio.sleep(_RENEW_SECONDS)
            self._renew(only_moved=False)

    def _renew(self, *, only_moved: bool) -> None:
        """Tell the leads, old and new, of the slots in use."""
        for request, slot in tuple(self._held.items()):
            lead = self._lead_of(slot.server) or slot.lead
            if only_moved and lead == slot.lead:
                continue
            self._held[request] = Slot(slot.request, slot.server, lead)
            offer = _offer(slot.request, slot.server, 0, running=True)
            self._bus.send(lead, offer)


def _offer(
    request: SlotRequest,
    server: str,
    left_seconds: float,
    *,
    running: bool = False,
) -> Offer:
    return Offer(
        request=request.request,
        server=server,
        tier=request.tier,
        team=request.team,
        weight=request.weight,
        wait_budget_ms=max(0, int(left_seconds * _MS)),
        cost_tokens=request.cost_tokens,
        running=running,
        resumable=request.is_resumable,
    )


def _as_result(granted: Slot | NoSlot) -> Result[Slot, NoSlot]:
    return Ok(granted) if isinstance(granted, Slot) else Err(granted)


__all__ = ('NoSlot', 'Slot', 'SlotBroker', 'SlotRequest')
