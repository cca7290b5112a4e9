"""A host without HTTP whose processor time is measured by what it is for."""

from __future__ import annotations

import asyncio
import enum
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Final

from burdockledge.bench._news_traffic import (
    DATA_CENTRES,
    KEYS,
    OUTPUT_TOKENS,
    PART_TOKENS,
    PAUSE_TARGET_MS,
    decode_all,
    engine_count,
    make_peers,
    payloads,
)
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
from burdockledge.clock import VirtualClock
from burdockledge.membership import DatagramSocket
from burdockledge.registry import Registration, ServerRegistry, ServerState
from burdockledge.relay import (
    CONFIGURATION_STREAM,
    SERVERS_STREAM,
    STREAMS,
    Placement,
    RecordDecoder,
    ReplicatedRoutingState,
    RetryBudgetSettings,
    SendOutcome,
)
from burdockledge.replication import GossipExchange
from burdockledge.scheduling import CallResult
from burdockledge.wire import StreamEntry, StreamUpdate

if TYPE_CHECKING:
    from burdockledge.bench._news_traffic import Heard, OwnCall
    from burdockledge.membership import DatagramHandler
    from burdockledge.wire import Note

_SERVICE: Final = 'model'
_ROUTE: Final = Route(
    'r', 'h', '/', RouteKind.stream, 30, 1.0, 2, 1, True, True,
    (ServiceShare(_SERVICE, 1),), PAUSE_TARGET_MS / 1000,
)  # fmt: skip
_DOCUMENT: Final = RoutingDocument(
    1,
    (_ROUTE,),
    {_SERVICE: ServiceConfiguration(_SERVICE, EngineConfiguration(800_000))},
    {},
    CallerLimits(),
    requires_api_key=False,
)


class Spending(enum.Enum):
    """What processor time is spent on."""

    authentication = 'authenticating'
    decoding = 'decoding notes'
    applying = 'applying events of calls'
    handling = 'rest of receiving: forwarding, streams'
    placement = 'placing own calls'
    answers = 'noting own answers and ends'
    timers = 'timers: sending own and forwarded news, streams'


@dataclass(slots=True)
class Meter:
    """Nanoseconds of processor time by what they were spent on."""

    spent_ns: Counter[Spending] = field(default_factory=Counter)
    times: Counter[Spending] = field(default_factory=Counter)
    playing_ns: int = 0

    def add(self, kind: Spending, nanoseconds: int) -> None:
        """Add one step."""
        self.spent_ns[kind] += nanoseconds
        self.times[kind] += 1

    def reset(self) -> None:
        """Forget all steps."""
        self.spent_ns.clear()
        self.times.clear()

    def split_receiving(self, heard: list[Heard]) -> None:
        """Take authentication and decoding out of the time of receiving."""
        began_ns = time.thread_time_ns()
        contents = payloads(heard)
        verified_ns = time.thread_time_ns()
        note_count = sum(1 for _ in decode_all(contents))
        decoded_ns = time.thread_time_ns()
        parts = {
            Spending.authentication: (verified_ns - began_ns, len(heard)),
            Spending.decoding: (decoded_ns - verified_ns, note_count),
        }
        for kind, (spent_ns, times) in parts.items():
            self.spent_ns[kind] = spent_ns
            self.times[kind] = times
            self.spent_ns[Spending.handling] -= spent_ns


class _Socket(DatagramSocket):
    """Hands what is played to the host, and drops what it sends."""

    def __init__(self) -> None:
        self.handler: DatagramHandler = lambda *_: None

    async def open(self, handler: DatagramHandler) -> None:
        """Keep the handler."""
        self.handler = handler

    def send(self, address: str, datagram: bytes) -> None:
        """Drop a datagram."""

    def close(self) -> None:
        """Do nothing."""


class _Decoder(RecordDecoder):
    """Knows one configuration and engines by their numbers."""

    def decode_routing(
        self, key: str, content: bytes
    ) -> RoutingDocument | None:
        """Return the configuration."""
        return _DOCUMENT

    def decode_registration(
        self, key: str, content: bytes
    ) -> Registration | None:
        """Return the registration of an engine."""
        number = int(content)
        return Registration(
            ServerInstance(
                key, 1, _SERVICE, f'10.0.0.1:{number + 1}',
                f'dc{number % DATA_CENTRES}', 64,
            ),
            ServerState.ready,
        )  # fmt: skip


class MeasuredHost:
    """The exchange and the routing state of one host among many."""

    def __init__(self, host_count: int) -> None:
        """Create a host that knows the others."""
        clock = VirtualClock(asyncio.get_running_loop())
        own_peer, *others = make_peers(host_count)
        self.meter = Meter()
        self._socket = _Socket()
        self._engines = engine_count(host_count)
        self._exchange = GossipExchange(
            own_peer, STREAMS, self._socket, KEYS, clock, Random(1)
        )
        self._state = ReplicatedRoutingState(
            own_peer.host, own_peer.data_centre, _Decoder(), ServerRegistry(),
            self._exchange, RetryBudgetSettings(0.2, 58, 10), clock, Random(2),
        )  # fmt: skip
        self._state.host_count = lambda: host_count
        self._apply = self._exchange.on_call_events
        self._exchange.on_call_events = self._apply_events
        self._exchange.peers.replace(others)
        self._placements: dict[int, Placement] = {}

    async def start(self) -> None:
        """Start the exchange, and publish the records."""
        await self._exchange.start()
        entries = tuple(
            StreamEntry(f'e-{number}', number, str(number).encode())
            for number in range(self._engines)
        )
        for stream, held in (
            (CONFIGURATION_STREAM, (StreamEntry('config', 0, b'1'),)),
            (SERVERS_STREAM, entries),
        ):
            self._exchange.publish(
                StreamUpdate(stream, 0, len(held), 0, held, is_whole=True)
            )

    async def stop(self) -> None:
        """Stop the exchange."""
        await self._exchange.stop()

    def hear(self, heard: Heard) -> None:
        """Receive a datagram."""
        applied_ns = self.meter.spent_ns[Spending.applying]
        began_ns = time.thread_time_ns()
        self._socket.handler(heard.datagram, heard.source)
        spent_ns = time.thread_time_ns() - began_ns
        applied_ns -= self.meter.spent_ns[Spending.applying]
        self.meter.add(Spending.handling, spent_ns + applied_ns)

    def step(self, call: OwnCall, number: int) -> None:
        """Place a call, note its first answer, or its end."""
        began_ns = time.thread_time_ns()
        if number == 0:
            self._place(call)
            self.meter.add(Spending.placement, time.thread_time_ns() - began_ns)
            return
        placement = self._placements[call.call_id]
        if number == 1:
            self._state.note_response_start(placement, None)
        else:
            self._state.note_end(placement, SendOutcome(CallResult.answered))
        self.meter.add(Spending.answers, time.thread_time_ns() - began_ns)

    def _place(self, call: OwnCall) -> None:
        prompt = Prompt(
            tuple(PromptPart(part, PART_TOKENS) for part in call.parts),
            PART_TOKENS * len(call.parts),
            OUTPUT_TOKENS,
        )
        placement = self._state.place(
            _SERVICE, _ROUTE, call.urgency, prompt, frozenset()
        )
        if placement is None:
            raise RuntimeError('the host knows no engine')
        self._placements[call.call_id] = placement

    def _apply_events(self, note: Note) -> None:
        if self._apply is None:
            return
        began_ns = time.thread_time_ns()
        self._apply(note)
        self.meter.add(Spending.applying, time.thread_time_ns() - began_ns)


__all__ = ('MeasuredHost', 'Meter', 'Spending')
