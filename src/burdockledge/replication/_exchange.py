"""Shares records and loads between entry hosts by datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from burdockledge.kernel import TaskGroupService
from burdockledge.peers import PROOF_BYTES
from burdockledge.replication._state import StreamState
from burdockledge.telemetry import make_logger
from burdockledge.wire import (
    CallEnded,
    CallHeard,
    CallStarted,
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
    from burdockledge.membership import DatagramPort
    from burdockledge.peers import PeerKeys

_log = make_logger('exchange')

_TAG: Final = b'note'
# An update with changes is sent again, as datagrams may be lost.
_REPEAT_SECONDS: Final = 0.04
_PULL_SECONDS: Final = 0.15
# Starts that follow at once share a datagram; ends may wait longer.
_START_FLUSH_SECONDS: Final = 0.001
_FIRST_FLUSH_SECONDS: Final = 0.02
_END_FLUSH_SECONDS: Final = 0.05
# Every host hears every other: beyond some hosts each is told less often, so
# that datagrams a second stay nearly flat.
_FEW_HOSTS: Final = 12
_FLUSH_SECONDS_A_HOST: Final = 0.004

StreamListener = Callable[[str, tuple[StreamEntry, ...]], None]
LoadListener = Callable[[Note], None]


class Exchange(TaskGroupService):
    """
    Holds the streams of this host and keeps all hosts at one state.

    A host tells the others what it read, a host that misses records pulls
    all of a stream, and calls are told as they start and end.
    """

    name = 'exchange'

    def __init__(
        self,
        host: str,
        streams: tuple[str, ...],
        port: DatagramPort,
        keys: PeerKeys,
        clock: Clock,
        random: Random,
    ) -> None:
        """Create an exchange whose streams are unknown."""
        super().__init__()
        self._host = host
        self._states = {stream: StreamState(stream) for stream in streams}
        self._port = port
        self._keys = keys
        self._clock = clock
        self._random = random
        self._numbers = 0
        self._assemblers: dict[str, NoteAssembler] = {}
        self._wanted: set[str] = set(streams)
        self._outgoing = Note(host)
        self._flush: asyncio.TimerHandle | None = None
        self.addresses: Callable[[], list[str]] = list
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

    async def stop(self) -> None:
        """Send what waits and close the port."""
        self._flush_calls()
        await super().stop()
        self._port.close()

    def publish(self, update: StreamUpdate) -> None:
        """Fold an update read by this host and tell the others."""
        start = self._states[update.stream].position
        changed = self._fold(update)
        if start < 0:
            return
        told = StreamUpdate(
            stream=update.stream,
            start=start,
            end=update.end,
            age_ms=update.age_ms,
            entries=changed,
            is_whole=False,
        )
        self._send_all(Note(self._host, updates=[told]))
        if changed:
            self.spawn(self._repeat(told))

    def announce_start(self, call: CallStarted) -> None:
        """Tell the others of a call that this host sends."""
        self._outgoing.started.append(call)
        self._flush_within(_START_FLUSH_SECONDS)

    def announce_first(self, call: CallHeard) -> None:
        """Tell the others that a call of this host got its first event."""
        self._outgoing.heard.append(call)
        self._flush_within(_FIRST_FLUSH_SECONDS)

    def announce_end(self, call: CallEnded) -> None:
        """Tell the others how a call of this host ended."""
        self._outgoing.ended.append(call)
        self._flush_within(_END_FLUSH_SECONDS)

    async def _repeat(self, update: StreamUpdate) -> None:
        await asyncio.sleep(_REPEAT_SECONDS)
        self._send_all(Note(self._host, updates=[update]))

    async def _pull_forever(self) -> None:
        while True:
            if self._wanted:
                peers = self.addresses() or self.first_addresses()
                if peers:
                    self._pull(self._random.choice(peers))
            await asyncio.sleep(_PULL_SECONDS)

    def _pull(self, address: str) -> None:
        pulls = [
            StreamPull(stream, self._states[stream].position)
            for stream in sorted(self._wanted)
        ]
        self._send(address, Note(self._host, pulls=pulls))

    def _flush_within(self, seconds: float) -> None:
        """Send within some time, longer where many hosts are told."""
        beyond = len(self.addresses()) - _FEW_HOSTS
        seconds = max(seconds, beyond * _FLUSH_SECONDS_A_HOST)
        loop = asyncio.get_running_loop()
        if self._flush is not None:
            if self._flush.when() <= loop.time() + seconds:
                return
            self._flush.cancel()
        self._flush = loop.call_later(seconds, self._flush_calls)

    def _flush_calls(self) -> None:
        self._flush = None
        note, self._outgoing = self._outgoing, Note(self._host)
        if note.started or note.heard or note.ended:
            self._send_all(note)

    def _send_all(self, note: Note) -> None:
        datagrams = self._datagrams(note)
        for address in self.addresses():
            self._send_datagrams(address, datagrams)

    def _send(self, address: str, note: Note) -> None:
        self._send_datagrams(address, self._datagrams(note))

    def _datagrams(self, note: Note) -> list[bytes]:
        self._numbers += 1
        return [
            self._keys.sign(_TAG, encoded) + encoded
            for encoded in split_note(note, self._numbers)
        ]

    def _send_datagrams(self, address: str, datagrams: list[bytes]) -> None:
        for datagram in datagrams:
            self._port.send(address, datagram)

    def _receive(self, datagram: bytes, source: str) -> None:
        proof, encoded = datagram[:PROOF_BYTES], datagram[PROOF_BYTES:]
        if not self._keys.verify(proof, _TAG, encoded):
            _log.warning('Note without proof.', source=source)
            return
        try:
            note = self._assemble(decode_note(encoded), source)
        except WireError as error:
            _log.warning('Note does not decode.', why=str(error))
            return
        if note is not None:
            self._handle(note, source)

    def _assemble(self, note: Note, source: str) -> Note | None:
        if note.fragment is None:
            return note
        assembler = self._assemblers.setdefault(source, NoteAssembler())
        return assembler.add(note.fragment)

    def _handle(self, note: Note, source: str) -> None:
        for update in note.updates:
            if update.stream in self._states:
                self._fold(update, source)
        if note.pulls:
            self._answer(note.pulls, source)
        if self.on_calls is not None:
            self.on_calls(note)

    def _answer(self, pulls: list[StreamPull], source: str) -> None:
        now = self._clock.monotonic()
        found = [
            self._states[pull.stream].whole(now)
            for pull in pulls
            if pull.stream in self._states
            and self._states[pull.stream].position > pull.position
        ]
        if found:
            self._send(source, Note(self._host, updates=found))

    def _fold(
        self, update: StreamUpdate, source: str | None = None
    ) -> tuple[StreamEntry, ...]:
        state = self._states[update.stream]
        merged = state.merge(update, self._clock.monotonic())
        if merged.has_gap:
            self._wanted.add(update.stream)
            if source is not None:
                self._pull(source)
            return ()
        if state.is_known:
            self._wanted.discard(update.stream)
        if self.on_change is not None:
            self.on_change(update.stream, merged.changed)
        return merged.changed


__all__ = ('Exchange', 'LoadListener', 'StreamListener')
