"""The routing state that a host builds from records."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from burdockledge.calls import (
    CallerLimits,
    EngineConfiguration,
    Prompt,
    PromptPart,
    Route,
    RouteKind,
    RoutingDocument,
    ServerInstance,
    ServiceConfiguration,
    ServiceShare,
)
from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.fakes import FakeDatagramSocket, FakeNetwork
from burdockledge.peers import PeerKeys
from burdockledge.registry import Registration, ServerRegistry, ServerState
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

RETRY_SETTINGS = RetryBudgetSettings(0.2, 10, 10)
ROUTE = Route(
    'r', 'h', '/', RouteKind.stream, 5, 1, 1, 0, True, False,
    (ServiceShare('model', 1),),
)  # fmt: skip
SERVERS = (b'a', b'b')


class FakeDecoder(RecordDecoder):
    """Decodes a configuration from a cache size; any registration is valid."""

    def decode_routing(
        self, key: str, content: bytes
    ) -> RoutingDocument | None:
        """Return a configuration whose engines cache ``content`` tokens."""
        configuration = ServiceConfiguration(
            'model', EngineConfiguration(int(content))
        )
        return RoutingDocument(
            1, (ROUTE,), {'model': configuration}, {}, CallerLimits(), False
        )

    def decode_registration(
        self, key: str, content: bytes
    ) -> Registration | None:
        """Return the registration of a ready engine."""
        instance = ServerInstance(key, 1, 'model', '10.0.0.1:1', 'dc', 8)
        return Registration(instance, ServerState.ready)


def routing_state() -> tuple[ReplicatedRoutingState, GossipExchange]:
    """Return a host's routing state, and the exchange that feeds it."""
    clock = VirtualClock(VirtualTimeLoop())
    port = FakeDatagramSocket(FakeNetwork(), 'own:1')
    keys = PeerKeys(('a key of sixteen characters',), None)
    own = Peer('own', 'dc', 'own:1')
    exchange = GossipExchange(own, STREAMS, port, keys, clock, Random(1))
    state = ReplicatedRoutingState(
        'own', 'dc', FakeDecoder(), ServerRegistry(), exchange,
        RETRY_SETTINGS, clock, Random(1),
    )  # fmt: skip
    return state, exchange


def full_update(stream: str, **records: bytes) -> StreamUpdate:
    """Return an update with all records of a stream."""
    entries = tuple(
        StreamEntry(key, offset, content)
        for offset, (key, content) in enumerate(records.items())
    )
    return StreamUpdate(stream, 0, len(entries), 0, entries, is_whole=True)


@pytest.mark.parametrize('is_server_first', [True, False])
@pytest.mark.parametrize(
    ('cache_tokens', 'is_cached'), [(8000, True), (1500, False)]
)
def test_a_cache_has_its_configured_size_in_any_order_of_records(
    is_server_first: bool, cache_tokens: int, is_cached: bool
) -> None:
    """A prompt part stays cached only if the configured cache has room."""
    state, exchange = routing_state()
    updates = [
        full_update(SERVERS_STREAM, engine=b'a'),
        full_update(
            CONFIGURATION_STREAM, configuration=str(cache_tokens).encode()
        ),
    ]
    for update in updates if is_server_first else reversed(updates):
        exchange.publish(update)
    prefill_tokens: list[int] = []

    async def place() -> None:
        for part in (1, 2, 1):
            prompt = Prompt((PromptPart(part, 1000),), 1000, 10)
            placement = state.place('model', ROUTE, 0, prompt, frozenset())
            assert placement is not None
            prefill_tokens.append(placement.prefill_tokens)

    VirtualTimeLoop().run_until_complete(place())
    assert prefill_tokens == [1000, 1000, 0 if is_cached else 1000]


def test_changed_settings_apply_to_retry_budgets_in_use() -> None:
    """A reload of the settings changes a budget that was spent."""
    state, _ = routing_state()
    allowed = [state.take_retry('model') for _ in range(10)]
    assert allowed == [True] * 8 + [False] * 2
    state.apply_retry_settings(RetryBudgetSettings(0.2, 20, 10))
    assert state.take_retry('model')


def test_a_restore_of_the_store_is_told_once_an_era() -> None:
    """Guards against what is written again once for each stream."""
    state, exchange = routing_state()
    told: list[None] = []
    state.on_restore = lambda: told.append(None)
    steps = [
        (CONFIGURATION_STREAM, 1, 0),
        (SERVERS_STREAM, 1, 0),
        (SERVERS_STREAM, 2, 1),
        (CONFIGURATION_STREAM, 2, 1),
        (CONFIGURATION_STREAM, 4, 2),
        (SERVERS_STREAM, 3, 2),
        (SERVERS_STREAM, 4, 2),
        (SERVERS_STREAM, 5, 3),
    ]
    for stream, era, count in steps:
        update = full_update(stream, engine=b'1')
        exchange.publish(replace(update, era=era))
        assert len(told) == count


@pytest.mark.parametrize(
    ('kind', 'is_left_out'),
    [(RouteKind.stream, True), (RouteKind.safe, False)],
)
def test_a_stream_is_not_placed_where_it_would_be_cut(
    kind: RouteKind, is_left_out: bool
) -> None:
    """Guards against streams at a ready server that soon leaves."""
    state, exchange = routing_state()
    exchange.publish(full_update(CONFIGURATION_STREAM, configuration=b'8000'))
    exchange.publish(full_update(SERVERS_STREAM, leaves=b'a', stays=b'b'))
    state.server_records.departures.note('leaves/1', 100, 0.0, 0)
    route = replace(ROUTE, kind=kind)
    chosen: Counter[str] = Counter()

    async def place() -> None:
        for number in range(40):
            prompt = Prompt((PromptPart(number, 1000),), 1000, 500)
            placement = state.place('model', route, 0, prompt, frozenset())
            assert placement is not None
            chosen[placement.instance.server_id] += 1
            assert placement.left_out.get('departure', 0) == is_left_out

    VirtualTimeLoop().run_until_complete(place())
    assert chosen['stays']
    assert bool(chosen['leaves']) != is_left_out
