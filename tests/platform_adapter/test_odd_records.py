"""Records of other writers reach neither servers nor the tasks that read."""

from __future__ import annotations

import json
from random import Random
from typing import Any, Final

import pytest
from hypothesis import given, settings, strategies
from result import Ok

from burdockledge.calls import Prompt
from burdockledge.clock import SystemClock
from burdockledge.fakes import FakeDatagramSocket, FakeNetwork
from burdockledge.peers import PeerKeys
from burdockledge.platform import PlatformDecoder, StoreClient
from burdockledge.platform import _names as names
from burdockledge.registry import ServerRegistry
from burdockledge.relay import (
    SERVERS_STREAM,
    STREAMS,
    ReplicatedRoutingState,
    RetryBudgetSettings,
)
from burdockledge.replication import GossipExchange, Peer
from tests.platform_adapter.standin_store import StandInStore
from tests.platform_adapter.test_documents import (
    CONFIGURATION_RECORD,
    SERVER_RECORD,
)
from tests.platform_adapter.test_store import run_with_store

SERVICE: Final = SERVER_RECORD['backend']
SOUND: Final = json.dumps(SERVER_RECORD).encode()
# Deeper than any JSON parser follows.
DEPTH: Final = 4000


def nested_in(record: dict[str, Any]) -> bytes:
    """Return a record with one more field, of nested lists."""
    nested = b'[' * DEPTH + b']' * DEPTH
    return json.dumps(record).encode()[:-1] + b', "more": ' + nested + b'}'


NESTED: Final = {
    'unclosed lists': b'[' * DEPTH,
    'unclosed objects': b'{"a":' * DEPTH,
    'a whole record of unclosed lists': b'[' * 262_000,
    'nested lists in a sound entry': nested_in(SERVER_RECORD),
}


def changed(**fields: Any) -> bytes:
    """Return a server entry with other values in some fields."""
    return json.dumps({**SERVER_RECORD, **fields}).encode()


ODD_SERVERS: Final = {
    **NESTED,
    'a port out of range': changed(address='10.0.0.1:70000'),
    'a port of 0': changed(address='10.0.0.1:0'),
    'an address out of range': changed(address='10.0.0.256:80'),
    'an address of other digits': changed(address='\u0661\u0660.0.0.1:80'),
    'slots beyond any server': changed(slots=10**400),
    'a start too large': changed(born=10**400),
    'a start before all time': changed(born=-(10**400)),
    'a number without end': changed()[:-1] + b', "x":' + b'9' * 5000 + b'}',
    'infinite slots': changed(slots=float('inf')),
}
ODD_SERVER_IDS: Final = ('i-x\r\nHost: y', 'i x', 'i-\x00', 'i-\u2028')


class RecordPath:
    """The way of a record from the store to the routing state of a host."""

    def __init__(self) -> None:
        """Create the state of a host with one peer, which hears its gossip."""
        clock = SystemClock()
        self.clock = clock
        self.registry = ServerRegistry()
        self.exchange = GossipExchange(
            Peer('own', 'dc', 'own:1'),
            STREAMS,
            FakeDatagramSocket(FakeNetwork(), 'own:1'),
            PeerKeys(('a key of sixteen characters',), None),
            clock,
            Random(1),
        )
        self.exchange.peers.replace([Peer('other', 'dc', 'other:1')])
        self.state = ReplicatedRoutingState(
            'own',
            'dc',
            PlatformDecoder(),
            self.registry,
            self.exchange,
            RetryBudgetSettings(0.2, 10, 10),
            clock,
            Random(1),
        )

    async def read(self, client: StoreClient) -> None:
        """Read both streams and apply what is new, as a host does."""
        for stream in STREAMS:
            position = self.exchange.state(stream).position
            update = (await client.read(stream, position)).unwrap()
            self.exchange.publish(update)

    def servers(self) -> list[str]:
        """Return the ids of the servers that may get calls."""
        instances = self.registry.ready_instances(
            SERVICE, self.clock.monotonic()
        )
        return sorted(instance.server_id for instance in instances)


def versioned(version: int) -> bytes:
    """Return a configuration record."""
    return json.dumps({**CONFIGURATION_RECORD, 'version': version}).encode()


def place(path: RecordPath) -> set[str]:
    """Place calls, as the gossip of another host tells of them too."""
    routes = path.state.routes()
    assert routes is not None
    placements = [
        path.state.place(
            SERVICE, routes.document.routes[0], 0, Prompt((), 9, 9), frozenset()
        )
        for _ in range(20)
    ]
    path.exchange.call_events.flush()
    return {one.instance.server_id for one in placements if one is not None}


@pytest.mark.parametrize('name', ODD_SERVERS)
def test_an_odd_server_entry_does_not_end_the_reading_of_the_store(
    name: str,
) -> None:
    """Guards against review/1: hosts stayed on the older configuration."""
    store = StandInStore(
        {
            'keyed.op': [('config', versioned(1))],
            'keyed.servers': [('i-1', SOUND)],
        }
    )

    async def test(client: StoreClient) -> None:
        path = RecordPath()
        await path.read(client)
        store.topics['keyed.servers'] += [
            ('i-odd', ODD_SERVERS[name]),
            ('i-2', SOUND),
        ]
        store.topics['keyed.op'].append(('config', versioned(2)))
        await path.read(client)
        restarted = RecordPath()
        await restarted.read(client)
        for each in (path, restarted):
            assert each.servers() == ['i-1', 'i-2']
            assert place(each) <= {'i-1', 'i-2'}
            routes = each.state.routes()
            assert routes is not None
            assert routes.document.version == 2

    run_with_store(store, test)


@pytest.mark.parametrize('server_id', ODD_SERVER_IDS)
def test_an_id_that_no_header_can_hold_names_no_server(server_id: str) -> None:
    """Guards against calls that end with an error of this host."""
    store = StandInStore(
        {
            'keyed.op': [('config', versioned(1))],
            'keyed.servers': [('i-1', SOUND), (server_id, SOUND)],
        }
    )

    async def test(client: StoreClient) -> None:
        path = RecordPath()
        await path.read(client)
        assert path.servers() == ['i-1']

    run_with_store(store, test)


JSON: Final = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from((2**31, 2**63, 2**64, 10**400, -(10**400)))
    | strategies.floats()
    | strategies.text(max_size=30),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=8,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    fields=strategies.dictionaries(
        strategies.sampled_from(sorted(SERVER_RECORD)), JSON, max_size=3
    ),
    junk=strategies.binary(max_size=200),
)
def test_no_server_entry_raises(fields: dict[str, Any], junk: bytes) -> None:
    """Any JSON in any field, or any bytes, leave sound servers in use."""
    store = StandInStore(
        {
            'keyed.op': [('config', versioned(1))],
            'keyed.servers': [('i-1', SOUND)],
        }
    )

    async def test(client: StoreClient) -> None:
        path = RecordPath()
        await path.read(client)
        store.topics['keyed.servers'] += [
            ('i-x', changed(**fields)),
            ('i-y', junk),
        ]
        for each in (path, RecordPath()):
            await each.read(client)
            assert 'i-1' in each.servers()
            assert place(each)

    run_with_store(store, test)


ODD_FRAMES: Final = {
    'no bytes': b'',
    'a key longer than the record': b'\xffi-1',
    'a key that is no text': b'\x02\xff\xfe' + SOUND,
    'an empty key': b'\x00' + SOUND,
}
ODD_ITEMS: Final = {
    'a value that is no base64': {'key': 'i-x', 'value': 'x', 'offset': 1},
    'a value that is no text': {'key': 'i-x', 'value': 5, 'offset': 1},
    'no value': {'key': 'i-x', 'offset': 1},
    'no key': {'value': '', 'offset': 1},
    'an offset out of range': {'key': 'i-x', 'value': '', 'offset': 2**64},
    'no object': [],
}


@pytest.mark.parametrize('name', ODD_FRAMES)
def test_an_odd_record_does_not_hide_those_after_it(name: str) -> None:
    """Guards against a host that reads no server entry any more."""
    store = StandInStore(
        {
            'keyed.op': [('config', versioned(1))],
            'keyed.servers': [('i-1', SOUND)],
        }
    )

    async def test(client: StoreClient) -> None:
        path = RecordPath()
        await path.read(client)
        store.topics['keyed.servers'] += [('i-x', b'x'), ('i-2', SOUND)]
        store.raw_records['keyed.servers', 1] = ODD_FRAMES[name]
        await path.read(client)
        assert path.servers() == ['i-1', 'i-2']
        assert path.exchange.state(SERVERS_STREAM).position == 3

    run_with_store(store, test)


@pytest.mark.parametrize('name', ODD_ITEMS)
def test_an_odd_newest_record_does_not_hide_the_others(name: str) -> None:
    """Guards against a restarted host that never gets ready."""
    records = [('i-1', SOUND), ('i-x', b'x'), ('i-2', SOUND)]
    store = StandInStore(
        {'keyed.op': [('config', versioned(1))], 'keyed.servers': records}
    )
    store.raw_items['keyed.servers', 1] = ODD_ITEMS[name]

    async def test(client: StoreClient) -> None:
        path = RecordPath()
        await path.read(client)
        assert path.servers() == ['i-1', 'i-2']

    run_with_store(store, test)


@pytest.mark.parametrize(
    'content',
    [
        *NESTED.values(),
        b'{"address": "10.0.0.1:99999"}',
        b'{"address": "nonsense"}',
        b'{"address": 5}',
        b'\xff',
    ],
)
def test_an_odd_host_record_names_no_peer(content: bytes) -> None:
    """Guards against a host that ends its registration at such a record."""
    sound = b'{"address": "10.0.0.2:7340"}'
    store = StandInStore({names.HOSTS_TOPIC: [('x', content), ('h', sound)]})

    async def test(client: StoreClient) -> None:
        assert await client.registered_hosts() == Ok({'h': '10.0.0.2:7340'})

    run_with_store(store, test)


def test_an_odd_kept_record_is_left_out() -> None:
    """Guards against evidence that no host reads any more."""
    store = StandInStore({names.KEPT_TOPIC: [('1', b'x'), ('2', b'sound')]})
    store.raw_items[names.KEPT_TOPIC, 0] = ODD_ITEMS['no value']

    async def test(client: StoreClient) -> None:
        assert await client.read_kept() == Ok({'2': b'sound'})

    run_with_store(store, test)


@pytest.mark.parametrize('name', NESTED)
def test_an_odd_configuration_leaves_the_last_one_in_force(name: str) -> None:
    """Guards against a reader that ends at a record of the operator."""
    store = StandInStore(
        {'keyed.op': [('config', versioned(1))], 'keyed.servers': []}
    )

    async def test(client: StoreClient) -> None:
        path = RecordPath()
        await path.read(client)
        store.topics['keyed.op'].append(('config', NESTED[name]))
        await path.read(client)
        routes = path.state.routes()
        assert routes is not None
        assert routes.document.version == 1
        store.topics['keyed.op'].append(('config', versioned(2)))
        await path.read(client)
        routes = path.state.routes()
        assert routes is not None
        assert routes.document.version == 2

    run_with_store(store, test)
