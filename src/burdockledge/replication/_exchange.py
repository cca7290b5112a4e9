"""Shares records and loads between entry hosts by datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from burdockledge.kernel import TaskGroupService
from burdockledge.replication._groups import PeerView
from burdockledge.replication._state import StreamState
from burdockledge.replication._teller import CallTeller
from burdockledge.telemetry import make_logger
from burdockledge.wire import (
    Note,
    NoteAssembler,
    StreamEntry,
    StreamPull,
    StreamUpdate,
    WireError,
    decode_note,
    split_note,
)

if TYPE_CHECKING:
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.membership import DatagramSocket
    from burdockledge.peers import PeerKeys
    from burdockledge.replication._groups import Peer

_log = make_logger('exchange')

_TAG: Final = b'note'
# An update with changes is sent again, as datagrams may be lost.
_REPEAT_SECONDS: Final = 0.04
_PULL_SECONDS: Final = 0.15
# Every host compares what it holds with some other host this often.
_COMPARE_SECONDS: Final = 0.35
# A peer's knowledge that is later by less is not worth a datagram.
_FRESHER_MS: Final = 300

StreamListener = Callable[[str, tuple[StreamEntry, ...]], None]
LoadListener = Callable[[Note], None]


class Exchange(TaskGroupService):
    """
    Holds the streams of this host and keeps all hosts at one state.

    A host tells the others what it read, a host that misses records pulls
    what it lacks, and calls are told as they start and end.
    """

    name = 'exchange'

    def __init__(
        self,
        own: Peer,
        streams: tuple[str, ...],
        port: DatagramSocket,
        keys: PeerKeys,
        clock: Clock,
        random: Random,
    ) -> None:
        """Create an exchange whose streams are unknown."""
        super().__init__()
        self._host = own.host
        self._states = {stream: StreamState(stream) for stream in streams}
        self._port = port
        self._keys = keys
        self._clock = clock
        self._random = random
        self._numbers = 0
        self._assemblers: dict[str, NoteAssembler] = {}
        self._wanted: set[str] = set(streams)
        self.peers = PeerView(own)
        self.calls = CallTeller(self.peers, self._send, random)
        self.first_addresses: Callable[[], list[str]] = list
        self.on_change: StreamListener | None = None
        self.on_calls: LoadListener | None = None

    def state(self, stream: str) -> StreamState:
        """Return what is held of a stream."""
        return self._states[stream]

    async def start(self) -> None:
        """Open the port and ask other hosts for every stream."""
        await self._port.open(self._receive)
        self.spawn(self._pull_forever())
        self.spawn(self._compare_forever())

    async def stop(self) -> None:
        """Send what waits and close the port."""
        self.calls.flush()
        await super().stop()
        self._port.close()

    def publish(self, update: StreamUpdate) -> None:
        """Fold an update read by this host and tell the others."""
        start = self._states[update.stream].position
        changed = self._fold(update)
        if start < 0:
            return
        told = replace(update, start=start, entries=changed, is_whole=False)
        self._tell(told)
        if changed:
            self.spawn(self._repeat(told))

    async def _repeat(self, update: StreamUpdate) -> None:
        await asyncio.sleep(_REPEAT_SECONDS)
        self._tell(update)

    def _tell(self, update: StreamUpdate) -> None:
        first = self.peers.groups.told_first(self._random)
        self._send(first, Note(self._host, updates=[update]))

    async def _pull_forever(self) -> None:
        while True:
            if self._wanted:
                peers = self.peers.addresses or self.first_addresses()
                if peers:
                    self._pull(self._random.choice(peers), self._wanted)
            await asyncio.sleep(_PULL_SECONDS)

    async def _compare_forever(self) -> None:
        """Ask some peer for what did not arrive, as links drop datagrams."""
        while True:
            jitter = self._random.uniform(0.5, 1.5)
            await asyncio.sleep(_COMPARE_SECONDS * jitter)
            peers = self.peers.addresses
            if peers:
                self._pull(self._random.choice(peers), self._states)

    def _pull(self, address: str, streams: Iterable[str]) -> None:
        now = self._clock.monotonic()
        pulls = [
            StreamPull(
                stream,
                self._states[stream].position,
                self._states[stream].age_ms(now),
            )
            for stream in sorted(streams)
        ]
        self._send([address], Note(self._host, pulls=pulls))

    def _send(self, addresses: list[str], note: Note) -> None:
        datagrams = self._datagrams(note)
        for address in addresses:
            for datagram in datagrams:
                self._port.send(address, datagram)

    def _datagrams(self, note: Note) -> list[bytes]:
        self._numbers += 1
        return [
            self._keys.sign_datagram(_TAG, encoded)
            for encoded in split_note(note, self._numbers)
        ]

    def _receive(self, datagram: bytes, source: str) -> None:
        encoded = self._keys.verify_datagram(_TAG, datagram)
        if encoded is None:
            _log.warning('Note without proof.', source=source)
            return
        try:
            note = self._assemble(decode_note(encoded), source)
            if note is not None:
                self._handle(note, source)
        except WireError as error:
            _log.warning('Note does not decode.', why=str(error))

    def _assemble(self, note: Note, source: str) -> Note | None:
        if note.fragment is None:
            return note
        assembler = self._assemblers.setdefault(source, NoteAssembler())
        return assembler.add(note.fragment)

    def _handle(self, note: Note, source: str) -> None:
        for update in note.updates:
            if update.stream in self._states:
                self._fold(update, source)
        self._pass_on(note)
        if note.pulls:
            self._answer(note.pulls, source)
        if note.tells_calls:
            self.calls.pass_on(note)
        if self.on_calls is None:
            return
        for told in (note, *map(decode_note, note.passed)):
            self.on_calls(told)

    def _answer(self, pulls: list[StreamPull], source: str) -> None:
        now = self._clock.monotonic()
        found = [
            self._states[pull.stream].since(pull.position, now)
            for pull in pulls
            if pull.stream in self._states and self._knows_more(pull, now)
        ]
        if found:
            self._send([source], Note(self._host, updates=found))

    def _knows_more(self, pull: StreamPull, now: float) -> bool:
        state = self._states[pull.stream]
        if state.position != pull.position or not state.is_known:
            return state.position > pull.position
        return pull.age_ms - state.age_ms(now) > _FRESHER_MS

    def _pass_on(self, note: Note) -> None:
        """Tell the own group at once what another group's host read."""
        # All of a stream is the answer to a pull, for the host that asked.
        news = [update for update in note.updates if not update.is_whole]
        groups = self.peers.groups
        if news and groups.is_distant(note.host):
            self._send(groups.neighbours, Note(self._host, updates=news))

    def _fold(
        self, update: StreamUpdate, source: str | None = None
    ) -> tuple[StreamEntry, ...]:
        state = self._states[update.stream]
        merged = state.merge(update, self._clock.monotonic())
        if merged.has_gap:
            self._wanted.add(update.stream)
            if source is not None:
                self._pull(source, self._wanted)
            return ()
        if state.is_known:
            self._wanted.discard(update.stream)
        if self.on_change is not None:
            self.on_change(update.stream, merged.changed)
        return merged.changed


__all__ = ('Exchange', 'LoadListener', 'StreamListener')
