"""Notes of peers never raise, whatever they hold."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any, Final

from hypothesis import given, settings, strategies

from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.fakes import FakeDatagramSocket, FakeNetwork
from burdockledge.peers import PeerKeys
from burdockledge.platform import PlatformDecoder
from burdockledge.registry import ServerRegistry
from burdockledge.relay import (
    STREAMS,
    ReplicatedRoutingState,
    RetryBudgetSettings,
)
from burdockledge.replication import GossipExchange, Peer
from burdockledge.wire import (
    CallEnded,
    CallHeard,
    CallStarted,
    Clearance,
    CrashSuspect,
    Fragment,
    Note,
    StreamEntry,
    StreamPull,
    StreamUpdate,
    encode_note,
    hash_server_key,
)

KEYS: Final = PeerKeys(('a key of sixteen characters',), None)
SERVER: Final = (
    b'{"backend": "b", "address": "10.0.0.1:80", "zone": "z", "slots": 8,'
    b' "state": "ready", "born": 1}'
)
INT32: Final = strategies.integers(-(2**31), 2**31 - 1)
INT64: Final = strategies.integers(-(2**63), 2**63 - 1)
SERVERS: Final = strategies.just(hash_server_key('i-1/1')) | INT64
STREAM: Final = strategies.sampled_from((*STREAMS, 'other'))
CALLS: Final = strategies.integers(0, 3) | INT64
NOTES: Final = strategies.builds(
    Note,
    strategies.sampled_from(('peer', 'own', '')),
    updates=strategies.lists(
        strategies.builds(
            StreamUpdate,
            STREAM,
            INT64,
            INT64,
            INT32,
            strategies.lists(
                strategies.builds(
                    StreamEntry,
                    strategies.sampled_from(('i-1', 'config', '')),
                    INT64,
                    strategies.none()
                    | strategies.just(SERVER)
                    | strategies.binary(max_size=20),
                ),
                max_size=3,
            ).map(tuple),
            strategies.booleans(),
        ),
        max_size=2,
    ),
    pulls=strategies.lists(
        strategies.builds(StreamPull, STREAM, INT64, INT32), max_size=2
    ),
    started=strategies.lists(
        strategies.builds(
            CallStarted, CALLS, SERVERS, INT32, INT32,
            strategies.lists(INT64, max_size=3),
            strategies.lists(INT32, max_size=3),
            INT32, strategies.booleans(), INT32,
        ),
        max_size=3,
    ),
    heard=strategies.lists(
        strategies.builds(
            CallHeard, CALLS, SERVERS, INT32, strategies.floats()
        ),
        max_size=3,
    ),
    ended=strategies.lists(
        strategies.builds(CallEnded, CALLS, SERVERS, INT32), max_size=3
    ),
    fragment=strategies.none()
    | strategies.builds(
        Fragment, INT64, INT32, INT32, strategies.binary(max_size=20)
    ),
    passed=strategies.lists(strategies.binary(max_size=20), max_size=2),
    suspects=strategies.lists(
        strategies.builds(
            CrashSuspect, CALLS, SERVERS, strategies.lists(INT64, max_size=2),
            strategies.booleans(), INT32, INT32,
        ),
        max_size=2,
    ),
    clearances=strategies.lists(
        strategies.builds(Clearance, INT64, SERVERS, INT32), max_size=2
    ),
    evidence_digest=strategies.none() | INT64,
    limited_calls=strategies.lists(SERVERS, max_size=2),
)  # fmt: skip


class PeerHarness:
    """A host that knows one server and gets datagrams of a peer."""

    def __init__(self) -> None:
        """Create the host; its peer hears nothing."""
        self.loop = VirtualTimeLoop()
        clock = VirtualClock(self.loop)
        self.socket = FakeDatagramSocket(FakeNetwork(), 'own:1')
        self.exchange = GossipExchange(
            Peer('own', 'dc', 'own:1'), STREAMS, self.socket, KEYS, clock,
            Random(1),
        )  # fmt: skip
        self.exchange.peers.replace([Peer('peer', 'dc', 'peer:1')])
        self.state = ReplicatedRoutingState(
            'own', 'dc', PlatformDecoder(), ServerRegistry(), self.exchange,
            RetryBudgetSettings(0.2, 10, 10), clock, Random(1),
        )  # fmt: skip
        self.exchange.quarantine = self.state.parts.quarantine
        self.errors: list[dict[str, Any]] = []
        self.loop.set_exception_handler(
            lambda _, context: self.errors.append(context)
        )

    def receive(self, *encoded: bytes) -> None:
        """Handle datagrams with some time between them."""

        async def run() -> None:
            await self.exchange.start()
            self.exchange.publish(
                StreamUpdate(
                    'servers', 0, 1, 0, (StreamEntry('i-1', 0, SERVER),), True
                )
            )
            for each in encoded:
                self.socket.receive(KEYS.sign_datagram(b'note', each), 'peer:1')
                await asyncio.sleep(0.3)
            await self.exchange.stop()

        self.loop.run_until_complete(run())
        self.loop.shut_down()


@settings(max_examples=100, deadline=None, derandomize=True)
@given(notes=strategies.lists(NOTES, min_size=1, max_size=3))
def test_no_note_raises(notes: list[Note]) -> None:
    """Any numbers in any field are applied or left out."""
    harness = PeerHarness()
    harness.receive(*map(encode_note, notes))
    assert not harness.errors


@settings(max_examples=100, deadline=None, derandomize=True)
@given(datagrams=strategies.lists(strategies.binary(max_size=100), max_size=3))
def test_no_bytes_of_a_peer_raise(datagrams: list[bytes]) -> None:
    """Bytes that are no note are left out."""
    harness = PeerHarness()
    harness.receive(*datagrams)
    assert not harness.errors


def test_nested_structures_of_a_peer_are_no_note() -> None:
    """A field that is skipped may not nest without a bound."""
    harness = PeerHarness()
    # A field of an unknown number and type struct, in itself.
    harness.receive(b'\xfc' * 60_000)
    assert not harness.errors
