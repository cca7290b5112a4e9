"""A network between simulated processes: delays, cuts and kills."""

from __future__ import annotations

import asyncio
import contextvars
import math
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Final

from burdockledge.clock import SIMULATED_PROCESS
from burdockledge.membership import DatagramSocket
from burdockledge.peers import PeerBus
from burdockledge.wire import Frame, decode_frame, encode_frame

if TYPE_CHECKING:
    from burdockledge.membership import DatagramHandler
    from burdockledge.wire import Message

_LINK_LOSS_SECONDS: Final = 3
_DEFAULT_DELAY_SECONDS: Final = 0.0005


class FakeNetwork:
    """Delivers callbacks to processes after a delay, unless cut."""

    def __init__(self) -> None:
        """Create a whole network."""
        self._cuts: set[tuple[str, str]] = set()
        self._killed: set[str] = set()
        self._processes: dict[str, str] = {}
        self.delay_seconds = _DEFAULT_DELAY_SECONDS
        self.ports: dict[str, FakePort] = {}
        self.buses: dict[str, FakePeerBus] = {}
        self.frames = 0
        self.frame_bytes = 0
        # Share of the datagrams that are lost.
        self.loss = 0.0
        # Bytes that wait at most at a sender's link, and its bytes a second.
        self.queue_bytes = math.inf
        self.link_bytes = math.inf
        self._random = Random(0)
        self._queued: dict[str, tuple[float, float]] = {}
        self.datagrams = 0
        self.datagram_bytes = 0

    def cut(self, source: str, target: str) -> None:
        """Lose everything that one process sends to another."""
        self._cuts.add((source, target))

    def heal(self) -> None:
        """Undo every cut."""
        self._cuts.clear()

    def kill(self, process: str) -> None:
        """Deliver nothing from or to a process from now on."""
        self._killed.add(process)

    def revive(self, address: str, process: str) -> None:
        """Let a new process take part at an address."""
        self._killed.discard(address)
        self._processes[address] = process

    def context(self, address: str) -> contextvars.Context:
        """Return a context of the process that is at an address."""
        return process_context(self._processes.get(address, address))

    def loses(self, source: str, size: int) -> bool:
        """Tell whether the next datagram is lost, some where a link is full."""
        now = asyncio.get_running_loop().time()
        waiting, at = self._queued.get(source, (0.0, now))
        waiting = max(0.0, waiting - (now - at) * self.link_bytes)
        if waiting + size > self.queue_bytes:
            return True
        self._queued[source] = (waiting + size, now)
        return self._random.random() < self.loss

    def is_open(self, source: str, target: str) -> bool:
        """Tell whether messages pass from one process to another."""
        if source in self._killed or target in self._killed:
            return False
        return (source, target) not in self._cuts

    def deliver(
        self,
        source: str,
        target: str,
        callback: Callable[..., object],
        *arguments: object,
    ) -> None:
        """Run a callback in the target's process after the delay."""
        if not self.is_open(source, target):
            return
        asyncio.get_running_loop().call_later(
            self.delay_seconds,
            self._arrive,
            target,
            callback,
            arguments,
            context=self.context(target),
        )

    def _arrive(
        self,
        target: str,
        callback: Callable[..., object],
        arguments: tuple[object, ...],
    ) -> None:
        # A killed sender's message may still be on its way.
        if target not in self._killed:
            callback(*arguments)


class FakePort(DatagramSocket):
    """A datagram port on the network; addresses are process names."""

    def __init__(self, network: FakeNetwork, process: str) -> None:
        """Create the port of a process."""
        self._network = network
        self._process = process
        self._receiver: DatagramHandler | None = None

    async def open(self, handler: DatagramHandler) -> None:
        """Receive from now on."""
        self._receiver = handler
        self._network.ports[self._process] = self

    def send(self, address: str, datagram: bytes) -> None:
        """Send to the process of an address."""
        self._network.datagrams += 1
        self._network.datagram_bytes += len(datagram)
        port = self._network.ports.get(address)
        if port is None:
            return
        if not self._network.loses(self._process, len(datagram)):
            self._network.deliver(
                self._process,
                address,
                port.receive,
                datagram,
                self._process,
            )

    def receive(self, datagram: bytes, source: str) -> None:
        """Hand a datagram to the receiver."""
        if self._receiver is not None:
            self._receiver(datagram, source)

    def close(self) -> None:
        """Receive nothing more."""
        self._receiver = None


class FakePeerBus(PeerBus):
    """Sends frames in the real encoding; tells of losses after a while."""

    def __init__(self, network: FakeNetwork, process: str) -> None:
        """Create the bus of a process."""
        super().__init__(process)
        self._network = network
        self._pending: dict[str, Frame] = {}

    async def start(self) -> None:
        """Receive from now on."""
        self._network.buses[self.own_host] = self

    def send(self, host: str, message: Message) -> None:
        """Queue a message; those of one moment share a frame."""
        loop = asyncio.get_running_loop()
        if host == self.own_host:
            loop.call_soon(self.deliver, host, message)
            return
        frame = self._pending.get(host)
        if frame is None:
            frame = Frame()
            self._pending[host] = frame
            loop.call_soon(self._flush, host)
        frame.add(message)

    def receive(self, sender: str, encoded: bytes) -> None:
        """Deliver the messages of a frame."""
        for message in decode_frame(encoded).messages():
            self.deliver(sender, message)

    def _flush(self, host: str) -> None:
        encoded = encode_frame(self._pending.pop(host))
        self._network.frames += 1
        self._network.frame_bytes += len(encoded)
        bus = self._network.buses.get(host)
        is_open = self._network.is_open(self.own_host, host)
        if bus is None or not is_open:
            loop = asyncio.get_running_loop()
            loop.call_later(_LINK_LOSS_SECONDS, self.notify_link_down, host)
            return
        self._network.deliver(
            self.own_host,
            host,
            bus.receive,
            self.own_host,
            encoded,
        )


def process_context(process: str) -> contextvars.Context:
    """Return a context whose callbacks belong to a process."""
    context = contextvars.copy_context()
    context.run(SIMULATED_PROCESS.set, process)
    return context


__all__ = ('FakeNetwork', 'FakePeerBus', 'FakePort', 'process_context')
