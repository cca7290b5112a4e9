"""The calls of many hosts, and the datagrams by which one hears of them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Final

from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.fakes import FakeDatagramSocket, FakeNetwork
from burdockledge.peers import PeerKeys
from burdockledge.replication import GossipExchange, Peer
from burdockledge.wire import (
    CallEnded,
    CallHeard,
    CallStarted,
    NoteAssembler,
    decode_note,
    hash_server_key,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from burdockledge.wire import Note

KEYS: Final = PeerKeys(('a key of the benchmark',), None)
MAC_CONTEXT: Final = b'note'
DATA_CENTRES: Final = 3
# Engines for each host, and the calls a second of a host: 45 engines and 340
# calls at 71 hosts.
_ENGINES_PER_HOST: Final = 45 / 71
_CALLS_PER_SECOND: Final = 340 / 71
# Parts that prompts share, and the tokens of a part.
_SHARED_PARTS: Final = 200
PART_TOKENS: Final = 2000
PART_COUNT: Final = 4
OUTPUT_TOKENS: Final = 300
PAUSE_TARGET_MS: Final = 150
_FIRST_EVENT_SECONDS: Final = 0.15
_MEAN_CALL_SECONDS: Final = 1.5
_ID_BITS: Final = 31
_URGENCIES: Final = 4


@dataclass(frozen=True, slots=True)
class OwnCall:
    """A call of a host: when it is placed, first answered, and ends."""

    call_id: int
    step_times: tuple[float, float, float]
    urgency: int
    parts: tuple[int, ...]
    engine: int

    @property
    def at(self) -> float:
        """When the call is placed."""
        return self.step_times[0]


@dataclass(frozen=True, slots=True)
class Heard:
    """A datagram that the measured host gets."""

    at: float
    datagram: bytes
    source: str


@dataclass(frozen=True, slots=True)
class Payload:
    """The content of a datagram that the measured host gets."""

    at: float
    content: bytes
    source: str


@dataclass(slots=True)
class NoteCounts:
    """Notes, forwarded ones counted by themselves, and events in them."""

    notes: int = 0
    events: int = 0


def engine_count(host_count: int) -> int:
    """Return the number of engines beside some hosts."""
    return max(1, round(host_count * _ENGINES_PER_HOST))


def instance_id(engine: int) -> str:
    """Return the instance id of an engine."""
    return f'e-{engine}/1'


def host_name(number: int) -> str:
    """Return the name of a host; the one with number 0 is measured."""
    return f'entry-{number}'


def make_peers(host_count: int) -> list[Peer]:
    """Return all hosts; the first one is measured."""
    return [
        Peer(host_name(number), f'dc{number % DATA_CENTRES}', host_name(number))
        for number in range(host_count)
    ]


def make_calls(host_count: int, seconds: float) -> list[list[OwnCall]]:
    """Return the calls of each host, as many a second at each."""
    random = Random(host_count)
    engines = engine_count(host_count)
    return [
        _make_host_calls(random, engines, seconds) for _ in range(host_count)
    ]


def record_news(
    host_count: int, calls: list[list[OwnCall]], seconds: float
) -> list[Heard]:
    """Return what the first host gets while all hosts tell of their calls."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(_record(host_count, calls, seconds))
    finally:
        loop.shut_down()


def payloads(heard: Iterable[Heard]) -> list[Payload]:
    """Return what some datagrams hold beside their authentication."""
    verified = (
        (KEYS.verify_datagram(MAC_CONTEXT, one.datagram), one) for one in heard
    )
    return [
        Payload(one.at, content, one.source)
        for content, one in verified
        if content is not None
    ]


def decode_all(contents: Iterable[Payload]) -> Iterator[Note]:
    """Yield the notes in some payloads, forwarded ones by themselves."""
    assembler = NoteAssembler()
    for one in contents:
        note: Note | None = decode_note(one.content)
        if note is not None and note.fragment is not None:
            note = assembler.add(one.source, note.fragment, one.at)
        if note is not None:
            yield note
            yield from map(decode_note, note.passed)


def count_notes(heard: Iterable[Heard]) -> NoteCounts:
    """Count what some datagrams tell of calls."""
    counts = NoteCounts()
    for note in decode_all(payloads(heard)):
        counts.notes += 1
        counts.events += len(note.started) + len(note.heard) + len(note.ended)
    return counts


class _RecordingSocket(FakeDatagramSocket):
    """Records what it gets instead of handling it."""

    def __init__(self, network: FakeNetwork, process: str) -> None:
        super().__init__(network, process)
        self.heard: list[Heard] = []

    def receive(self, datagram: bytes, source: str) -> None:
        """Record a datagram."""
        now = asyncio.get_running_loop().time()
        self.heard.append(Heard(now, datagram, source))


def _make_host_calls(
    random: Random, engines: int, seconds: float
) -> list[OwnCall]:
    calls: list[OwnCall] = []
    at = random.expovariate(_CALLS_PER_SECOND)
    while at < seconds:
        heard_at = at + random.uniform(0.5, 1.5) * _FIRST_EVENT_SECONDS
        ended_at = heard_at + random.expovariate(1 / _MEAN_CALL_SECONDS)
        shared = random.randrange(_SHARED_PARTS)
        calls.append(
            OwnCall(
                random.getrandbits(_ID_BITS),
                (at, heard_at, ended_at),
                random.randrange(_URGENCIES),
                (
                    shared,
                    *(shared * PART_COUNT + at_part for at_part in range(2)),
                    random.getrandbits(_ID_BITS),
                ),
                random.randrange(engines),
            )
        )
        at += random.expovariate(_CALLS_PER_SECOND)
    return calls


async def _record(
    host_count: int, calls: list[list[OwnCall]], seconds: float
) -> list[Heard]:
    loop = asyncio.get_running_loop()
    clock = VirtualClock(loop)
    network = FakeNetwork()
    peers = make_peers(host_count)
    socket = _RecordingSocket(network, peers[0].host)
    await socket.open(lambda *_: None)
    exchanges: list[GossipExchange] = []
    for peer, host_calls in zip(peers[1:], calls[1:], strict=True):
        exchange = GossipExchange(
            peer, (), FakeDatagramSocket(network, peer.host), KEYS, clock,
            Random(peer.host),
        )  # fmt: skip
        exchange.peers.replace([other for other in peers if other != peer])
        await exchange.start()
        exchanges.append(exchange)
        for call in host_calls:
            _schedule(loop, exchange, call)
    await asyncio.sleep(seconds)
    for exchange in exchanges:
        await exchange.stop()
    return socket.heard


def _schedule(
    loop: asyncio.AbstractEventLoop, exchange: GossipExchange, call: OwnCall
) -> None:
    server = hash_server_key(instance_id(call.engine))
    sender = exchange.call_events
    placed_at, heard_at, ended_at = call.step_times
    started = CallStarted(
        call.call_id, server, call.urgency, PART_TOKENS, list(call.parts),
        [PART_TOKENS for _ in call.parts], OUTPUT_TOKENS,
        pause_target_ms=PAUSE_TARGET_MS,
    )  # fmt: skip
    heard_ms = round((heard_at - placed_at) * 1000)
    loop.call_at(placed_at, sender.announce_start, started)
    loop.call_at(
        heard_at,
        sender.announce_first_event,
        CallHeard(call.call_id, server, heard_ms),
    )
    loop.call_at(
        ended_at, sender.announce_end, CallEnded(call.call_id, server, 0)
    )


__all__ = (
    'KEYS',
    'Heard',
    'OwnCall',
    'count_notes',
    'decode_all',
    'engine_count',
    'instance_id',
    'make_calls',
    'make_peers',
    'payloads',
    'record_news',
)
