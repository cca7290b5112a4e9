"""A network of simulated processes, with delays, partitions and crashes."""

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

_LINK_DOWN_DELAY_SECONDS: Final = 3
_DEFAULT_DELAY_SECONDS: Final = 0.0005


class FakeNetwork:
    """Runs callbacks in target processes after a delay, unless blocked."""

    def __init__(self) -> None:
        """Create a network without faults."""
        self._blocked_paths: set[tuple[str, str]] = set()
        self._killed: set[str] = set()
        self._processes: dict[str, str] = {}
        self.delay_seconds = _DEFAULT_DELAY_SECONDS
        self.sockets: dict[str, FakeDatagramSocket] = {}
        self.buses: dict[str, FakePeerBus] = {}
        self.frames = 0
        self.frame_bytes = 0
        # Probability that a datagram is lost.
        self.loss_probability = 0.0
        # Limits of each sender's link: queued bytes and bytes per second.
        self.link_queue_bytes = math.inf
        self.link_bytes_per_second = math.inf
        self._random = Random(0)
        self._queue_state: dict[str, tuple[float, float]] = {}
        self.datagrams = 0
        self.datagram_bytes = 0

    def block(self, source: str, target: str) -> None:
        """Drop everything that one process sends to another."""
        self._blocked_paths.add((source, target))

    def heal(self) -> None:
        """Unblock all paths."""
        self._blocked_paths.clear()

    def kill(self, address: str) -> None:
        """Stop delivery from and to the process at an address."""
        self._killed.add(address)

    def attach_process(self, address: str, process: str) -> None:
        """Make a new process reachable at an address."""
        self._killed.discard(address)
        self._processes[address] = process

    def context(self, address: str) -> contextvars.Context:
        """Return a context of the process at an address."""
        return process_context(self._processes.get(address, address))

    def drops_datagram(self, source: str, byte_count: int) -> bool:
        """
        Return whether the next datagram of a sender is dropped.

        It is dropped if the sender's link queue is full, or at random.
        """
        now = asyncio.get_running_loop().time()
        queued_bytes, updated_at = self._queue_state.get(source, (0.0, now))
        queued_bytes = max(
            0.0, queued_bytes - (now - updated_at) * self.link_bytes_per_second
        )
        if queued_bytes + byte_count > self.link_queue_bytes:
            return True
        self._queue_state[source] = (queued_bytes + byte_count, now)
        return self._random.random() < self.loss_probability

    def is_open(self, source: str, target: str) -> bool:
        """Return whether one process can send messages to another."""
        if source in self._killed or target in self._killed:
            return False
        return (source, target) not in self._blocked_paths

    def deliver(
        self,
        source: str,
        target: str,
        callback: Callable[..., object],
        *arguments: object,
    ) -> None:
        """Run a callback in the target process after the network delay."""
        if not self.is_open(source, target):
            return
        asyncio.get_running_loop().call_later(
            self.delay_seconds,
            self._run_callback,
            target,
            callback,
            arguments,
            context=self.context(target),
        )

    def _run_callback(
        self,
        target: str,
        callback: Callable[..., object],
        arguments: tuple[object, ...],
    ) -> None:
        # A message that a killed sender sent before may still arrive.
        if target not in self._killed:
            callback(*arguments)


class FakeDatagramSocket(DatagramSocket):
    """A datagram socket on the fake network; addresses are host names."""

    def __init__(self, network: FakeNetwork, process: str) -> None:
        """Create the socket of a process."""
        self._network = network
        self._process = process
        self._handler: DatagramHandler | None = None

    async def open(self, handler: DatagramHandler) -> None:
        """Start receiving."""
        self._handler = handler
        self._network.sockets[self._process] = self

    def send(self, address: str, datagram: bytes) -> None:
        """Send a datagram to an address; drop it if nothing listens there."""
        self._network.datagrams += 1
        self._network.datagram_bytes += len(datagram)
        socket = self._network.sockets.get(address)
        if socket is None:
            return
        if not self._network.drops_datagram(self._process, len(datagram)):
            self._network.deliver(
                self._process,
                address,
                socket.receive,
                datagram,
                self._process,
            )

    def receive(self, datagram: bytes, source: str) -> None:
        """Pass a datagram to the handler."""
        if self._handler is not None:
            self._handler(datagram, source)

    def close(self) -> None:
        """Stop receiving."""
        self._handler = None


class FakePeerBus(PeerBus):
    """Sends encoded frames; reports a lost link after a delay."""

    def __init__(self, network: FakeNetwork, process: str) -> None:
        """Create the peer bus of a process."""
        super().__init__(process)
        self._network = network
        self._pending_frames: dict[str, Frame] = {}

    async def start(self) -> None:
        """Start receiving."""
        self._network.buses[self.own_host] = self

    def send(self, host: str, message: Message) -> None:
        """Queue a message; messages of one loop iteration share a frame."""
        loop = asyncio.get_running_loop()
        if host == self.own_host:
            loop.call_soon(self.deliver, host, message)
            return
        frame = self._pending_frames.get(host)
        if frame is None:
            frame = Frame()
            self._pending_frames[host] = frame
            loop.call_soon(self._flush, host)
        frame.add(message)

    def receive(self, sender: str, encoded: bytes) -> None:
        """Decode a frame and deliver its messages."""
        for message in decode_frame(encoded).messages():
            self.deliver(sender, message)

    def _flush(self, host: str) -> None:
        encoded = encode_frame(self._pending_frames.pop(host))
        self._network.frames += 1
        self._network.frame_bytes += len(encoded)
        bus = self._network.buses.get(host)
        is_open = self._network.is_open(self.own_host, host)
        if bus is None or not is_open:
            loop = asyncio.get_running_loop()
            loop.call_later(
                _LINK_DOWN_DELAY_SECONDS, self.notify_link_down, host
            )
            return
        self._network.deliver(
            self.own_host,
            host,
            bus.receive,
            self.own_host,
            encoded,
        )


def process_context(process: str) -> contextvars.Context:
    """Return a context that assigns callbacks to a simulated process."""
    context = contextvars.copy_context()
    context.run(SIMULATED_PROCESS.set, process)
    return context


__all__ = (
    'FakeNetwork',
    'FakePeerBus',
    'FakeDatagramSocket',
    'process_context',
)
