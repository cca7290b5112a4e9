"""What a host keeps of its records, whatever their order."""

from __future__ import annotations

from random import Random

import pytest

from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.fakes import FakeNetwork, FakePort
from burdockledge.peers import PeerKeys
from burdockledge.registry import Registration, ServerRegistry, ServerState
from burdockledge.relay import (
    CONFIGURATION_STREAM,
    SERVERS_STREAM,
    STREAMS,
    BudgetTerms,
    CallerLimits,
    EngineShape,
    HostKnowledge,
    Prompt,
    PromptPart,
    RecordDecoder,
    Repeatability,
    Route,
    RoutingDocument,
    ServerRef,
    ServiceShape,
    ServiceShare,
)
from burdockledge.replication import GossipExchange, Peer
from burdockledge.wire import StreamEntry, StreamUpdate

TERMS = BudgetTerms(0.2, 10, 10)
ROUTE = Route(
    'r', 'h', '/', Repeatability.stream, 5, 1, 1, 0, True, False,
    (ServiceShare('model', 1),),
)  # fmt: skip
SERVERS = (b'a', b'b')


class Decoder(RecordDecoder):
    """Decodes the tests' records: a cache size, or an engine's name."""

    def routing(self, key: str, content: bytes) -> RoutingDocument | None:
        """Return a configuration whose engines have this cache."""
        shape = ServiceShape('model', EngineShape(int(content)))
        return RoutingDocument(
            1, (ROUTE,), {'model': shape}, {}, CallerLimits(), False
        )

    def registration(self, key: str, content: bytes) -> Registration | None:
        """Return a ready engine."""
        ref = ServerRef(key, 1, 'model', '10.0.0.1:1', 'dc', 8)
        return Registration(ref, ServerState.ready)


def knowledge() -> tuple[HostKnowledge, GossipExchange]:
    """Return what a host believes, and the exchange that tells it."""
    clock = VirtualClock(VirtualTimeLoop())
    port = FakePort(FakeNetwork(), 'own:1')
    keys = PeerKeys(('a key of sixteen characters',), None)
    own = Peer('own', 'dc', 'own:1')
    exchange = GossipExchange(own, STREAMS, port, keys, clock, Random(1))
    made = HostKnowledge(
        'own', 'dc', Decoder(), ServerRegistry(), exchange, TERMS, clock,
        Random(1),
    )  # fmt: skip
    return made, exchange


def whole(stream: str, **records: bytes) -> StreamUpdate:
    """Return a first read of a stream."""
    entries = tuple(
        StreamEntry(key, offset, content)
        for offset, (key, content) in enumerate(records.items())
    )
    return StreamUpdate(stream, 0, len(entries), 0, entries, is_whole=True)


@pytest.mark.parametrize('is_server_first', [True, False])
@pytest.mark.parametrize(('cache', 'is_kept'), [(8000, True), (1500, False)])
def test_a_cache_has_its_configured_size_whatever_is_told_first(
    is_server_first: bool, cache: int, is_kept: bool
) -> None:
    """A part is held as long as the configured cache has room for it."""
    made, exchange = knowledge()
    updates = [
        whole(SERVERS_STREAM, engine=b'a'),
        whole(CONFIGURATION_STREAM, configuration=str(cache).encode()),
    ]
    for update in updates if is_server_first else reversed(updates):
        exchange.publish(update)
    unread: list[int] = []

    async def place() -> None:
        for part in (1, 2, 1):
            prompt = Prompt((PromptPart(part, 1000),), 1000, 10)
            placed = made.place('model', ROUTE, 0, prompt, frozenset())
            assert placed is not None
            unread.append(placed.unread_tokens)

    VirtualTimeLoop().run_until_complete(place())
    assert unread == [1000, 1000, 0 if is_kept else 1000]


def test_changed_terms_hold_for_budgets_in_use() -> None:
    """A service whose budget is open follows a reload of the settings."""
    made, _ = knowledge()
    taken = [made.take_repeat('model') for _ in range(10)]
    assert taken == [True] * 8 + [False] * 2
    made.use_terms(BudgetTerms(0.2, 20, 10))
    assert made.take_repeat('model')
