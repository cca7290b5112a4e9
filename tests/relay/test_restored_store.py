"""What a host knows outlasts a store that comes back from an older copy."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

import pytest

from burdockledge.calls import CallerLimits, RoutingDocument, ServerInstance
from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.fakes import FakeDatagramSocket, FakeNetwork
from burdockledge.peers import PeerKeys
from burdockledge.registry import (
    EXPIRY_GRACE_SECONDS,
    RESTORE_DOUBT_SECONDS,
    Registration,
    ServerRegistry,
    ServerState,
)
from burdockledge.relay import (
    CONFIGURATION_STREAM,
    SERVERS_STREAM,
    STREAMS,
    RecordDecoder,
    ReplicatedRoutingState,
    RetryBudgetSettings,
)
from burdockledge.replication import GossipExchange, Peer
from burdockledge.wire import StreamEntry, StreamUpdate

AT_ONCE = 0.0
IN_GRACE = EXPIRY_GRACE_SECONDS - 0.1
AFTER_GRACE = EXPIRY_GRACE_SECONDS + 0.1
IN_DOUBT = RESTORE_DOUBT_SECONDS - 0.1
AFTER_DOUBT = RESTORE_DOUBT_SECONDS + 0.1


class VersionDecoder(RecordDecoder):
    """Decodes a version, and a server's state and start: ``ready 1``."""

    def decode_routing(
        self, key: str, content: bytes
    ) -> RoutingDocument | None:
        """Return a configuration without routes."""
        return RoutingDocument(int(content), (), {}, {}, CallerLimits(), False)

    def decode_registration(
        self, key: str, content: bytes
    ) -> Registration | None:
        """Return the registration of an engine."""
        state, started_ms = content.decode().split()
        instance = ServerInstance(
            key, int(started_ms), 'model', '10.0.0.1:1', 'dc', 8
        )
        return Registration(instance, ServerState(state))


@dataclass
class Host:
    """The routing state of one host, which reads the store itself."""

    loop: VirtualTimeLoop
    exchange: GossipExchange
    registry: ServerRegistry
    state: ReplicatedRoutingState

    def read(
        self, stream: str, era: int, *entries: StreamEntry, is_whole: bool
    ) -> None:
        """Read records of an era of the store."""
        end = max((entry.offset + 1 for entry in entries), default=1)
        start = 0 if is_whole else min(entry.offset for entry in entries)
        self._publish(
            StreamUpdate(stream, start, end, 0, entries, is_whole, era)
        )

    def ready_servers(self) -> list[str]:
        """Return the instances that may get calls."""
        instances = self.registry.ready_instances('model', self.loop.time())
        return [instance.instance_id for instance in instances]

    def wait(self, seconds: float) -> None:
        """Let time pass while reads find nothing new."""
        self.loop.run_until_complete(asyncio.sleep(seconds))
        state = self.exchange.state(SERVERS_STREAM)
        self._publish(
            StreamUpdate(
                SERVERS_STREAM,
                state.position,
                state.position,
                0,
                (),
                False,
                state.era,
            )  # fmt: skip
        )

    def _publish(self, update: StreamUpdate) -> None:
        async def publish() -> None:
            self.exchange.publish(update)

        self.loop.run_until_complete(publish())


def make_host() -> Host:
    """Return a host that has read nothing."""
    loop = VirtualTimeLoop()
    clock = VirtualClock(loop)
    exchange = GossipExchange(
        Peer('own', 'dc', 'own:1'),
        STREAMS,
        FakeDatagramSocket(FakeNetwork(), 'own:1'),
        PeerKeys(('a key of sixteen characters',), None),
        clock,
        Random(1),
    )
    registry = ServerRegistry()
    state = ReplicatedRoutingState(
        'own', 'dc', VersionDecoder(), registry, exchange,
        RetryBudgetSettings(0.2, 10, 10), clock, Random(1),
    )  # fmt: skip
    return Host(loop, exchange, registry, state)


@pytest.mark.parametrize(
    ('versions', 'in_force'),
    [
        ((10, 13), 13),
        ((10,), 13),
        ((10, 16), 16),
        ((16,), 16),
        ((), 13),
    ],
    ids=[
        'written again',
        'older in the copy',
        'older, then a change',
        'newer in the copy',
        'not in the copy',
    ],
)
def test_a_configuration_in_force_is_not_undone_by_a_copy(
    versions: tuple[int, ...], in_force: int
) -> None:
    """Guards against CONFIG: a change that had been confirmed comes back."""
    host = make_host()
    known = StreamEntry('config', 9, b'13')
    host.read(CONFIGURATION_STREAM, 1, known, is_whole=True)
    copy = [
        StreamEntry('config', offset, b'%d' % version)
        for offset, version in enumerate(versions)
    ]
    seen = []
    host.read(CONFIGURATION_STREAM, 2, *copy[:1], is_whole=True)
    seen.append(host.state.configuration_version())
    for entry in copy[1:]:
        host.read(CONFIGURATION_STREAM, 2, entry, is_whole=False)
        seen.append(host.state.configuration_version())
    assert min(seen) >= 13
    assert seen[-1] == in_force


@pytest.mark.parametrize(
    ('known', 'copied', 'ready_after'),
    [
        (
            b'ready 1',
            b'ready 1',
            {AT_ONCE: ['e/1'], AFTER_GRACE: ['e/1'], AFTER_DOUBT: ['e/1']},
        ),
        (
            b'ready 1',
            None,
            {AT_ONCE: ['e/1'], IN_GRACE: ['e/1'], AFTER_GRACE: []},
        ),
        (
            b'draining 1',
            b'ready 1',
            {AT_ONCE: [], IN_DOUBT: [], AFTER_DOUBT: ['e/1']},
        ),
        (b'', b'ready 1', {AT_ONCE: [], IN_DOUBT: [], AFTER_DOUBT: ['e/1']}),
        (b'', b'ready 2', {AT_ONCE: ['e/2'], AFTER_DOUBT: ['e/2']}),
        (b'ready 2', b'ready 1', {AT_ONCE: ['e/2'], IN_DOUBT: ['e/2']}),
        (b'ready 1', b'draining 1', {AT_ONCE: [], AFTER_DOUBT: []}),
        (b'draining 1', b'ready 2', {AT_ONCE: ['e/2'], AFTER_DOUBT: ['e/2']}),
    ],
    ids=[
        'unchanged',
        'registered in the lost seconds',
        'draining since',
        'gone since',
        'gone, and started again in the copy',
        'started again since',
        'draining in the copy',
        'draining, and started again in the copy',
    ],
)
def test_what_servers_had_said_outlasts_a_copy(
    known: bytes, copied: bytes | None, ready_after: dict[float, list[str]]
) -> None:
    """Guards against DRAIN at servers that had left, and lost servers."""
    host = make_host()
    first = StreamEntry('e', 5, b'ready 1')
    other = StreamEntry('other', 6, b'ready 1')
    host.read(SERVERS_STREAM, 1, first, other, is_whole=True)
    newest = StreamEntry('e', 7, known or None)
    host.read(SERVERS_STREAM, 1, newest, is_whole=False)
    entries = [StreamEntry('other', 1, b'ready 1')]
    if copied is not None:
        entries.append(StreamEntry('e', 2, copied))
    host.read(SERVERS_STREAM, 2, *entries, is_whole=True)
    ready = {}
    before = 0.0
    for seconds in ready_after:
        host.wait(seconds - before)
        before = seconds
        ready[seconds] = [
            name for name in host.ready_servers() if name != 'other/1'
        ]
    assert ready == ready_after
    assert 'other/1' in host.ready_servers()


@pytest.mark.parametrize(
    ('again', 'ready'),
    [(b'ready 2', ['e/2']), (b'draining 1', []), (None, [])],
    ids=['started again', 'still draining', 'gone'],
)
def test_an_entry_that_is_written_again_ends_the_doubt(
    again: bytes | None, ready: list[str]
) -> None:
    """A server that was gone is used as soon as it starts again."""
    host = make_host()
    entry = StreamEntry('e', 5, b'ready 1')
    host.read(SERVERS_STREAM, 1, entry, is_whole=True)
    host.read(SERVERS_STREAM, 1, StreamEntry('e', 6, None), is_whole=False)
    copy = StreamEntry('e', 2, b'ready 1')
    host.read(SERVERS_STREAM, 2, copy, is_whole=True)
    assert host.state.server_records.held_count == 1
    host.read(SERVERS_STREAM, 2, StreamEntry('e', 3, again), is_whole=False)
    assert host.state.server_records.held_count == 0
    host.wait(AFTER_DOUBT)
    assert host.ready_servers() == ready
