"""A simulated cluster of hosts that replicate a stream, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from result import Err, Ok, Result

from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.fakes import FakeDatagramSocket, FakeNetwork
from burdockledge.peers import PeerKeys
from burdockledge.replication import (
    GossipExchange,
    Peer,
    RecordSource,
    SourceFailure,
    StoreReader,
)
from burdockledge.wire import StreamEntry, StreamUpdate

KEYS = PeerKeys(('a key of sixteen characters',), None)
READ_PERIOD_SECONDS = 0.7
# The users' limit from the store's answer until a record takes effect.
PROPAGATION_LIMIT_SECONDS = 2.0


@dataclass
class FakeStore:
    """A store with one stream, which refuses the reads of some hosts."""

    records: list[StreamEntry] = field(default_factory=list)
    refused_hosts: set[str] = field(default_factory=set)
    is_down: bool = False
    # Streams whose partition is down while the others are served.
    failing_streams: set[str] = field(default_factory=set)
    # Raised by the next read, as by bytes that nobody expected.
    next_error: Exception | None = None
    read_count: int = 0
    kept: dict[str, bytes] = field(default_factory=dict)
    kept_writes: int = 0
    era: int = 0
    # The host of each registration, in order.
    registrations: list[str] = field(default_factory=list)

    def write(self, key: str, content: bytes | None) -> None:
        """Append a record; content None removes the key."""
        self.records.append(StreamEntry(key, len(self.records), content))

    def restore(self, end: int) -> None:
        """Come back from a copy that ends at an offset."""
        del self.records[end:]
        self.era += 1


class FakeStoreClient(RecordSource):
    """The store client of one host."""

    def __init__(self, store: FakeStore, host: str) -> None:
        """Create the client of a host."""
        self._store = store
        self._host = host

    async def read(
        self, stream: str, position: int, era: int = 0
    ) -> Result[StreamUpdate, SourceFailure]:
        """Read the stream, with a delay of 4 ms for the round trip."""
        self._store.read_count += 1
        await asyncio.sleep(0.004)
        error, self._store.next_error = self._store.next_error, None
        if error is not None:
            raise error
        if (
            self._store.is_down
            or self._host in self._store.refused_hosts
            or stream in self._store.failing_streams
        ):
            return Err(SourceFailure.unavailable)
        end = len(self._store.records)
        if position < 0 or era != self._store.era:
            position = -1
        is_whole = position < 0
        entries = tuple(self._store.records[max(0, position) :])
        if is_whole:
            newest = {entry.key: entry for entry in entries}
            entries = tuple(newest.values())
        return Ok(
            StreamUpdate(
                stream,
                max(0, position),
                end,
                4,
                entries,
                is_whole,
                self._store.era,
            )  # fmt: skip
        )

    async def register(self, host: str, peer_address: str) -> bool:
        """Accept the host; the hosts know each other in these tests."""
        self._store.registrations.append(host)
        return True

    async def registered_hosts(self) -> Result[dict[str, str], SourceFailure]:
        """Return no hosts; the hosts know each other in these tests."""
        return Ok({})

    async def write_kept(self, key: str, content: bytes | None) -> bool:
        """Keep a record, with a delay of 4 ms for the round trip."""
        await asyncio.sleep(0.004)
        if self._store.is_down or self._host in self._store.refused_hosts:
            return False
        self._store.kept_writes += 1
        self._store.kept.pop(key, None)
        if content is not None:
            self._store.kept[key] = content
        return True

    async def read_kept(self) -> Result[dict[str, bytes], SourceFailure]:
        """Return the kept records."""
        await asyncio.sleep(0.004)
        if self._store.is_down or self._host in self._store.refused_hosts:
            return Err(SourceFailure.unavailable)
        return Ok(dict(self._store.kept))


@dataclass
class SimulatedHost:
    """A host: its services and the time at which it first saw each key."""

    exchange: GossipExchange
    reader: StoreReader
    first_seen_at: dict[str, float] = field(default_factory=dict)


def make_peer(name: str) -> Peer:
    """Return the peer of a host; its number determines its data centre."""
    return Peer(name, f'dc{int(name[1:]) % 3}', name)


class SimulatedCluster:
    """Hosts in virtual time, each of which knows all the others."""

    def __init__(self, count: int, streams: tuple[str, ...] = ('s',)) -> None:
        """Create the hosts without starting them."""
        self._streams = streams
        self.loop = VirtualTimeLoop()
        self.network = FakeNetwork()
        self.store = FakeStore()
        self.names = [f'h{number}' for number in range(count)]
        self.hosts = {name: self._make_host(name) for name in self.names}
        self._restart_count = 0

    def run(self, scenario: Callable[[], Any]) -> None:
        """Start the hosts and run a scenario."""

        async def run() -> None:
            for name, host in self.hosts.items():
                context = self.network.context(name)
                for service in (host.exchange, host.reader):
                    await self.loop.create_task(
                        service.start(), context=context
                    )
            await scenario()

        try:
            self.loop.run_until_complete(run())
        finally:
            self.loop.shut_down()

    async def wait_for(self, key: str, *names: str) -> float:
        """
        Wait until hosts have seen a key, all hosts by default.

        :return: the seconds from now until the last host saw it.
        :raises TimeoutError: after 30 s.
        """
        started_at = self.loop.time()
        waiting_for = names or tuple(self.names)
        async with asyncio.timeout(30):
            while not all(
                key in self.hosts[name].first_seen_at for name in waiting_for
            ):
                await asyncio.sleep(0.01)
        last_seen_at = max(
            self.hosts[name].first_seen_at[key] for name in waiting_for
        )
        return last_seen_at - started_at

    async def restart(self, name: str, down_seconds: float = 1.0) -> None:
        """Stop a host as planned and start a new process at its address."""
        old = self.hosts[name]
        for service in (old.reader, old.exchange):
            await service.stop()
        self.network.kill(name)
        await asyncio.sleep(down_seconds)
        self._restart_count += 1
        self.network.attach_process(name, f'{name}/{self._restart_count}')
        host = self._make_host(name)
        self.hosts[name] = host
        context = self.network.context(name)
        for service in (host.exchange, host.reader):
            await self.loop.create_task(service.start(), context=context)

    def _make_host(self, name: str) -> SimulatedHost:
        clock = VirtualClock(self.loop)
        random = Random(name)
        exchange = GossipExchange(
            make_peer(name), self._streams,
            FakeDatagramSocket(self.network, name), KEYS, clock, random,
        )  # fmt: skip
        others = [make_peer(other) for other in self.names if other != name]
        exchange.peers.replace(others)
        reader = StoreReader(
            name, name, self._streams, FakeStoreClient(self.store, name),
            exchange, READ_PERIOD_SECONDS, clock, random,
        )  # fmt: skip
        reader.list_hosts = lambda: list(self.names)
        host = SimulatedHost(exchange, reader)

        def record_changes(_: str, changed: tuple[StreamEntry, ...]) -> None:
            for entry in changed:
                host.first_seen_at.setdefault(entry.key, self.loop.time())

        exchange.on_change = record_changes
        exchange.on_restore = lambda _: reader.note_restore()
        return host


def isolate(cluster: SimulatedCluster, *names: str) -> None:
    """Cut all links from and to hosts."""
    for name in names:
        for other in cluster.names:
            cluster.network.block(name, other)
            cluster.network.block(other, name)
