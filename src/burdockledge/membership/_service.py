"""SWIM failure detection and gossip between entry hosts."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from burdockledge.kernel import TaskGroupService
from burdockledge.membership._table import MemberTable
from burdockledge.telemetry import make_logger
from burdockledge.wire import (
    MemberStatus,
    MemberUpdate,
    Probe,
    ProbeKind,
    WireError,
    decode_probe,
    encode_probe,
)

if TYPE_CHECKING:
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.membership._datagrams import DatagramSocket
    from burdockledge.peers import PeerKeys
    from burdockledge.telemetry import TimeLine

_log = make_logger('membership')

PROBE_INTERVAL_SECONDS: Final = 0.5
_ACK_TIMEOUT_SECONDS: Final = 0.15
_INDIRECT_PROBE_COUNT: Final = 2
# Of hosts heard of, those silent for the longest are forgotten first.
_MAX_SEEN_ADDRESSES: Final = 1024
_MAC_CONTEXT: Final = b'datagram'

OffsetListener = Callable[[str, int], None]
ChangeListener = Callable[[], None]


class Membership(TaskGroupService):
    """
    Keeps the member table of an entry host by SWIM probes and gossip.

    In each period one other host is probed, first directly, then indirectly
    through other hosts, so that the probe load per host does not grow with
    the number of hosts.
    """

    name = 'membership'

    def __init__(
        self,
        own_member: MemberUpdate,
        seeds: tuple[str, ...],
        socket: DatagramSocket,
        keys: PeerKeys,
        clock: Clock,
        random: Random,
        time_line: TimeLine,
    ) -> None:
        """
        Create the service; it does not receive or probe before ``start``.

        :param own_member: the initial table entry of this host.
        :param seeds: peer addresses, ``IP:port``, to join through.
        """
        super().__init__()
        self._table = MemberTable(own_member, clock.monotonic())
        self._seeds = set(seeds) - {own_member.peer_address}
        self._seen_addresses: OrderedDict[str, None] = OrderedDict()
        self._lost_probe_count = 0
        self._socket = socket
        self._keys = keys
        self._clock = clock
        self._random = random
        self._time_line = time_line
        self._sequence = 0
        self._ack_futures: dict[int, asyncio.Future[None]] = {}
        self._probe_order: list[str] = []
        self._listeners: list[ChangeListener] = []
        self._notified_change_count = 0
        self._recorded_statuses: dict[str, MemberStatus] = {}
        self.on_configuration_offset: OffsetListener | None = None
        self.configuration_offset: Callable[[], int] = int
        self.datagrams_sent = 0
        self.bytes_sent = 0

    @property
    def table(self) -> MemberTable:
        """The table of all known hosts."""
        return self._table

    @property
    def own_member(self) -> MemberUpdate:
        """The table entry of this host."""
        return self._table.own_member

    def subscribe(self, listener: ChangeListener) -> None:
        """Call a listener after changes of the member table."""
        self._listeners.append(listener)

    def peer_address_of(self, host: str) -> str | None:
        """Return the peer address of a host, None for an unknown host."""
        update = self._table.get(host)
        return None if update is None else update.peer_address

    def may_be_running(self, host: str, boot: int) -> bool:
        """
        Return whether a process of a host may still run.

        It is false for an unknown host, for a host that is considered dead,
        and for a process whose boot number is not the newest known one.
        """
        update = self._table.get(host)
        if update is None or update.boot != boot:
            return False
        return update.status != MemberStatus.dead

    def add_seeds(self, addresses: tuple[str, ...]) -> None:
        """Add peer addresses, ``IP:port``, to join through."""
        self._seeds.update(addresses)
        self._seeds.discard(self.own_member.peer_address)

    def advertise(self, caller_url: str) -> None:
        """Set the URL at which callers reach this host and gossip it."""
        self._table.advertise(caller_url, self._clock.monotonic())
        self._ping_all()

    def leave(self) -> None:
        """Mark this host as leaving and gossip it."""
        self._table.leave(self._clock.monotonic())
        self._ping_all()

    async def start(self) -> None:
        """Open the socket and start to probe."""
        await self._socket.open(self._receive)
        self.supervise(self._probe_forever)

    async def stop(self) -> None:
        """Stop probing and close the socket."""
        await super().stop()
        self._socket.close()

    def _ping_all(self) -> None:
        for target in self._table.probe_targets():
            self._send(target.peer_address, ProbeKind.ping)
        self._notify_listeners()

    async def _probe_forever(self) -> None:
        while True:
            self.spawn(self._probe_next())
            self._ping_one_unknown_seed()
            self._ping_one_lost_address()
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            for host in self._table.expire(self._clock.monotonic()):
                _log.warning('Host is considered dead.', peer=host)
            self._notify_listeners()

    def _ping_one_lost_address(self) -> None:
        """Ping the address of a dead or removed host, as it may be back."""
        probed = {update.peer_address for update in self._table.probe_targets()}
        lost_addresses = sorted(
            self._seen_addresses.keys()
            - probed
            - {self.own_member.peer_address}
        )
        if lost_addresses:
            self._lost_probe_count += 1
            address = lost_addresses[
                self._lost_probe_count % len(lost_addresses)
            ]
            self._send(address, ProbeKind.ping)

    def _ping_one_unknown_seed(self) -> None:
        known_addresses = {
            update.peer_address for update in self._table.updates()
        }
        unknown_seeds = sorted(self._seeds - known_addresses)
        if unknown_seeds:
            self._send(self._random.choice(unknown_seeds), ProbeKind.ping)

    async def _probe_next(self) -> None:
        target = self._next_target()
        if target is None:
            return
        if await self._probe(target, _ACK_TIMEOUT_SECONDS):
            return
        if await self._probe_indirectly(target):
            return
        self._table.mark_unresponsive(target.host, self._clock.monotonic())
        self._notify_listeners()

    def _next_target(self) -> MemberUpdate | None:
        targets = {
            update.host: update for update in self._table.probe_targets()
        }
        while self._probe_order:
            target = targets.get(self._probe_order.pop())
            if target is not None:
                return target
        self._probe_order = sorted(targets)
        self._random.shuffle(self._probe_order)
        return targets[self._probe_order.pop()] if self._probe_order else None

    async def _probe(
        self, target: MemberUpdate, timeout_seconds: float
    ) -> bool:
        sequence = self._send(target.peer_address, ProbeKind.ping)
        return await self._wait_for_ack(sequence, timeout_seconds)

    async def _probe_indirectly(self, target: MemberUpdate) -> bool:
        candidates = [
            update
            for update in self._table.alive_or_suspect()
            if update.host not in {target.host, self.own_member.host}
        ]
        proxies = self._random.sample(
            candidates,
            min(_INDIRECT_PROBE_COUNT, len(candidates)),
        )
        sequence = self._send(target.peer_address, ProbeKind.ping)
        for proxy in proxies:
            self._send(
                proxy.peer_address,
                ProbeKind.ping_request,
                sequence,
                target,
            )
        return await self._wait_for_ack(sequence, 2 * _ACK_TIMEOUT_SECONDS)

    async def _wait_for_ack(
        self, sequence: int, timeout_seconds: float
    ) -> bool:
        ack_future = asyncio.get_running_loop().create_future()
        self._ack_futures[sequence] = ack_future
        try:
            async with asyncio.timeout(timeout_seconds):
                await ack_future
        except TimeoutError:
            return False
        finally:
            self._ack_futures.pop(sequence, None)
        return True

    def _send(
        self,
        address: str,
        kind: ProbeKind,
        sequence: int | None = None,
        target: MemberUpdate | None = None,
    ) -> int:
        if sequence is None:
            self._sequence += 1
            sequence = self._sequence
        encoded = encode_probe(
            Probe(
                kind=kind,
                sequence=sequence,
                sender=self.own_member,
                updates=self._updates_for(address),
                configuration_offset=self.configuration_offset(),
                target=target,
            ),
        )
        datagram = self._keys.sign_datagram(_MAC_CONTEXT, encoded)
        self._socket.send(address, datagram)
        self.datagrams_sent += 1
        self.bytes_sent += len(datagram)
        return sequence

    def _updates_for(self, address: str) -> list[MemberUpdate]:
        """
        Return the updates to send to an address.

        A receiver that is suspect or considered dead gets its own entry, so
        that it can refute it.
        """
        updates = self._table.take_gossip_updates(self._random)
        for update in self._table.updates():
            if update.peer_address != address or update in updates:
                continue
            if update.status in {MemberStatus.suspect, MemberStatus.dead}:
                updates.append(update)
        return updates

    def _receive(self, datagram: bytes, source: str) -> None:
        encoded = self._keys.verify_datagram(_MAC_CONTEXT, datagram)
        if encoded is None:
            _log.warning('Datagram fails authentication.', source=source)
            return
        try:
            probe = decode_probe(encoded)
        except WireError as error:
            _log.warning('Datagram can not be decoded.', why=str(error))
            return
        self._apply_updates(probe)
        self._handle_probe(probe)
        self._notify_listeners()

    def _apply_updates(self, probe: Probe) -> None:
        now = self._clock.monotonic()
        self._note_address(probe.sender.peer_address)
        for update in (probe.sender, *probe.updates):
            self._table.apply(update, now)
        if self.on_configuration_offset is not None:
            self.on_configuration_offset(
                probe.sender.host,
                probe.configuration_offset,
            )

    def _note_address(self, address: str) -> None:
        self._seen_addresses[address] = None
        self._seen_addresses.move_to_end(address)
        if len(self._seen_addresses) > _MAX_SEEN_ADDRESSES:
            self._seen_addresses.popitem(last=False)

    def _handle_probe(self, probe: Probe) -> None:
        if probe.kind == ProbeKind.ping:
            self._send(
                probe.sender.peer_address,
                ProbeKind.ack,
                probe.sequence,
            )
        elif probe.kind == ProbeKind.ack:
            ack_future = self._ack_futures.get(probe.sequence)
            if ack_future is not None and not ack_future.done():
                ack_future.set_result(None)
        elif probe.target is not None:
            self.spawn(self._probe_on_behalf(probe, probe.target))

    async def _probe_on_behalf(
        self, probe: Probe, target: MemberUpdate
    ) -> None:
        if await self._probe(target, _ACK_TIMEOUT_SECONDS):
            self._send(
                probe.sender.peer_address,
                ProbeKind.ack,
                probe.sequence,
            )

    def _notify_listeners(self) -> None:
        if self._table.change_count == self._notified_change_count:
            return
        self._notified_change_count = self._table.change_count
        self._record_status_changes()
        for listener in self._listeners:
            listener()

    def _record_status_changes(self) -> None:
        for host in tuple(self._recorded_statuses):
            if self._table.get(host) is None:
                self._recorded_statuses.pop(host)
        for update in self._table.updates():
            status = MemberStatus(update.status)
            if self._recorded_statuses.get(update.host) is not status:
                self._recorded_statuses[update.host] = status
                self._time_line.record(
                    'member',
                    update.host,
                    detail=status.name,
                )


__all__ = ('PROBE_INTERVAL_SECONDS', 'Membership')
