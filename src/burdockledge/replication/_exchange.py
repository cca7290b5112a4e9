"""Gossip of stream records and call events between entry hosts."""

from __future__ import annotations

import asyncio
import enum
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from burdockledge.kernel import TaskGroupService
from burdockledge.replication._call_events import CallEventSender
from burdockledge.replication._groups import KnownPeers
from burdockledge.replication._lag import StreamLags
from burdockledge.replication._state import (
    MAX_AGE_MS,
    UNKNOWN_POSITION,
    StreamState,
)
from burdockledge.telemetry import make_logger
from burdockledge.wire import (
    NO_ERA,
    CrashSuspect,
    Note,
    NoteAssembler,
    StreamEntry,
    StreamPull,
    StreamUpdate,
    WireError,
    decode_note,
    encode_note_datagrams,
)

if TYPE_CHECKING:
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.membership import DatagramSocket
    from burdockledge.peers import PeerKeys
    from burdockledge.quarantine import Quarantine
    from burdockledge.replication._groups import Peer

_log = make_logger('exchange')

_MAC_CONTEXT: Final = b'note'
# An update with changes is sent a second time, as datagrams may be lost.
_RESEND_DELAY_SECONDS: Final = 0.04
_PULL_INTERVAL_SECONDS: Final = 0.15
# Mean interval at which a host compares its streams with a random peer.
_ANTI_ENTROPY_INTERVAL_SECONDS: Final = 0.35
# A peer with the same records is only answered if the responder's last
# confirmation of them is newer by more than this.
_MIN_AGE_GAIN_MS: Final = 300
# A process sends fewer notes than this many bits count in a millisecond.
_NOTE_NUMBER_BITS: Final = 20
_MS_PER_SECOND: Final = 1000
# Instead of a digest, in evidence that needs no answer.
_FINAL_EVIDENCE: Final = -1
_UNKNOWN_PLACE: Final = (NO_ERA, UNKNOWN_POSITION)
# The source of records that this host has read itself.
STORE_SOURCE: Final = 'store'


class NoteRejection(enum.Enum):
    """Why a note, or a fragment of one, was not used."""

    authentication = 'it is not signed by a host'
    encoding = 'it can not be decoded'
    incomplete = 'some of its fragments have not arrived'


StreamListener = Callable[[str, tuple[StreamEntry, ...]], None]
CallEventListener = Callable[[Note], None]
# Called with a note and the address of its sender.
NoteListener = Callable[[Note, str], None]


class GossipExchange(TaskGroupService):
    """
    Holds the streams of this host and keeps them equal on all hosts.

    A host pushes the records that it read from the store to the others. A
    host that missed records pulls them, and every host compares its streams
    with a random peer from time to time (anti-entropy). The starts, first
    events and ends of calls are gossiped too.

    The evidence of a ``quarantine``, if there is one, is compared and
    exchanged with that of random peers in the same way.

    ``on_restore`` is called with a stream whose records are now those of a
    later era of the store, before ``on_change``.
    ``on_change`` is called after each merged update, also if nothing changed;
    ``on_call_events`` is called with each note that may hold call events.
    ``bootstrap_addresses`` returns addresses to pull from while no peer is
    known. With ``sends_time``, pulls of streams and their answers bear the time
    at which they were sent; ``on_note`` is called with each note.

    ``sources`` tells by stream whence its newest records came: the address of
    a peer, or ``STORE_SOURCE``. ``left_out_notes`` counts notes and fragments
    of notes that were not used, by reason.
    """

    name = 'exchange'

    def __init__(
        self,
        own_peer: Peer,
        streams: tuple[str, ...],
        socket: DatagramSocket,
        keys: PeerKeys,
        clock: Clock,
        random: Random,
    ) -> None:
        """Create an exchange that holds no records yet."""
        super().__init__()
        self._own_host = own_peer.host
        self._states = {stream: StreamState(stream) for stream in streams}
        self._socket = socket
        self._keys = keys
        self._clock = clock
        self._random = random
        # Numbers of an earlier process are lower, unless the clock was set
        # back. Hosts of older versions drop fragments with lower ones.
        self._last_note_number = clock.wall_ms() << _NOTE_NUMBER_BITS
        self._assembler = NoteAssembler()
        # The places that are known to be missing here, by stream.
        self._streams_to_pull = dict.fromkeys(streams, _UNKNOWN_PLACE)
        self.peers = KnownPeers(own_peer)
        self.lags = StreamLags()
        self.sources: dict[str, str] = {}
        self.left_out_notes: Counter[NoteRejection] = Counter()
        self.call_events = CallEventSender(self.peers, self._send, random)
        self.bootstrap_addresses: Callable[[], list[str]] = list
        self.quarantine: Quarantine | None = None
        self.on_restore: Callable[[str], None] | None = None
        self.on_change: StreamListener | None = None
        self.on_call_events: CallEventListener | None = None
        self.sends_time = False
        self.on_note: NoteListener | None = None

    def state(self, stream: str) -> StreamState:
        """Return the state of a stream."""
        return self._states[stream]

    async def start(self) -> None:
        """Open the socket and start to pull all streams from other hosts."""
        await self._socket.open(self._receive)
        self.supervise(self._pull_missing_forever)
        self.supervise(self._anti_entropy_forever)

    async def stop(self) -> None:
        """Send the pending call events and close the socket."""
        self.call_events.flush()
        await super().stop()
        self._socket.close()

    def publish(self, update: StreamUpdate) -> None:
        """Merge an update that this host read and push it to the others."""
        former = self._states[update.stream].place
        changed = self._merge(update)
        former_era, former_position = former
        if former_position < 0 or update.era < former_era:
            return
        increment = replace(
            update, start=former_position, entries=changed, is_whole=False
        )
        if update.is_whole and (update.era, update.end) > former:
            # It lacks what came and went since, which hosts that are ahead of
            # this one, or in another era, may hold: they pull the whole stream
            # instead.
            increment = replace(increment, start=update.end, entries=())
        self._gossip(increment)
        if changed:
            self.spawn(self._resend_later(increment))

    def announce_suspect(self, suspect: CrashSuspect) -> None:
        """Tell the other hosts at once that a server crashed under a call."""
        self._send(
            self.peers.groups.pick_targets(self._random),
            Note(self._own_host, suspects=[suspect]),
        )

    def announce_limited_call(self, server: int) -> None:
        """Tell every host at once that a server with a limit gets a call."""
        self._send(
            self.peers.addresses, Note(self._own_host, limited_calls=[server])
        )

    def send(self, address: str, note: Note) -> None:
        """Send a note to one host, with the time."""
        note.sent_at_ms = self._clock.wall_ms()
        self._send([address], note)

    async def _resend_later(self, update: StreamUpdate) -> None:
        published_at = self._clock.monotonic()
        await asyncio.sleep(_RESEND_DELAY_SECONDS)
        # The process may have been stopped for a long time meanwhile.
        seconds = self._clock.monotonic() - published_at
        age_ms = update.age_ms + round(seconds * _MS_PER_SECOND)
        self._gossip(replace(update, age_ms=min(age_ms, MAX_AGE_MS)))

    def _gossip(self, update: StreamUpdate) -> None:
        addresses = self.peers.groups.pick_targets(self._random)
        self._send(addresses, Note(self._own_host, updates=[update]))

    async def _pull_missing_forever(self) -> None:
        while True:
            if self._streams_to_pull:
                peers = self.peers.addresses or self.bootstrap_addresses()
                if peers:
                    self._pull(
                        self._random.choice(peers), self._streams_to_pull
                    )
            await asyncio.sleep(_PULL_INTERVAL_SECONDS)

    async def _anti_entropy_forever(self) -> None:
        """Pull from random peers the updates whose datagrams were lost."""
        while True:
            jitter = self._random.uniform(0.5, 1.5)
            await asyncio.sleep(_ANTI_ENTROPY_INTERVAL_SECONDS * jitter)
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
                self._states[stream].era,
            )
            for stream in sorted(streams)
        ]
        self._send(
            [address],
            Note(
                self._own_host,
                pulls=pulls,
                evidence_digest=self._evidence_digest(),
                sent_at_ms=self._time_to_send(),
            ),
        )

    def _time_to_send(self) -> int | None:
        return self._clock.wall_ms() if self.sends_time else None

    def _send(self, addresses: list[str], note: Note) -> None:
        datagrams = self._make_datagrams(note)
        for address in addresses:
            for datagram in datagrams:
                self._socket.send(address, datagram)

    def _make_datagrams(self, note: Note) -> list[bytes]:
        self._last_note_number += 1
        return [
            self._keys.sign_datagram(_MAC_CONTEXT, encoded)
            for encoded in encode_note_datagrams(note, self._last_note_number)
        ]

    def _receive(self, datagram: bytes, source: str) -> None:
        encoded = self._keys.verify_datagram(_MAC_CONTEXT, datagram)
        if encoded is None:
            self.left_out_notes[NoteRejection.authentication] += 1
            _log.warning('Note fails authentication.', source=source)
            return
        try:
            received = decode_note(encoded)
            note = self._assemble(received, source)
            if note is not None:
                is_whole = note is received
                self._handle_note(note, source, encoded if is_whole else None)
        except WireError as error:
            self.left_out_notes[NoteRejection.encoding] += 1
            _log.warning('Note can not be decoded.', why=str(error))

    def _assemble(self, note: Note, source: str) -> Note | None:
        if note.fragment is None:
            return note
        assembled = self._assembler.add(
            source, note.fragment, self._clock.monotonic()
        )
        self.left_out_notes[NoteRejection.incomplete] = (
            self._assembler.abandoned_count
        )
        return assembled

    def _handle_note(
        self, note: Note, source: str, encoded: bytes | None = None
    ) -> None:
        """Use a note; ``encoded`` is None if it came in fragments."""
        if self.on_note is not None:
            self.on_note(note, source)
        if note.updates or note.pulls:
            self._handle_streams(note, source)
        if note.has_call_events:
            self.call_events.forward(note, encoded)
        if note.has_evidence or note.evidence_digest is not None:
            self._handle_evidence(note, source)
        if self.on_call_events is None:
            return
        for event_note in (note, *map(decode_note, note.passed)):
            self.on_call_events(event_note)

    def _handle_streams(self, note: Note, source: str) -> None:
        self._note_positions(note)
        for update in note.updates:
            if update.stream in self._states:
                self._merge(update, source)
        self._forward_updates(note)
        if note.pulls:
            self._answer_pulls(note.pulls, source)

    def _note_positions(self, note: Note) -> None:
        """Note how far the streams of the sender of a note have come."""
        now = self._clock.monotonic()
        positions = [
            (pull.stream, pull.era, pull.position) for pull in note.pulls
        ]
        positions += [
            (update.stream, update.era, update.end) for update in note.updates
        ]
        for stream, era, position in positions:
            state = self._states.get(stream)
            place = None if state is None else state.place_of(era, position)
            if state is not None and place is not None:
                self.lags.note_peer(state, place, note.host, now)

    def _evidence_digest(self) -> int | None:
        return None if self.quarantine is None else self.quarantine.digest

    def _handle_evidence(self, note: Note, source: str) -> None:
        """Merge evidence, and tell it on or answer with what it lacks."""
        quarantine = self.quarantine
        if quarantine is None:
            return
        now = self._clock.monotonic()
        quarantine.merge(note.suspects, note.clearances, now)
        if note.evidence_digest is None:
            self._forward_suspects(note)
        elif note.evidence_digest not in {_FINAL_EVIDENCE, quarantine.digest}:
            suspects, clearances = quarantine.entries(now)
            digest = _FINAL_EVIDENCE if note.has_evidence else quarantine.digest
            self._send(
                [source],
                Note(
                    self._own_host,
                    suspects=suspects,
                    clearances=clearances,
                    evidence_digest=digest,
                ),
            )

    def _forward_suspects(self, note: Note) -> None:
        """Forward suspects of a host in another group to the own group."""
        groups = self.peers.groups
        if groups.is_in_other_group(note.host):
            self._send(
                groups.neighbour_addresses,
                Note(self._own_host, suspects=note.suspects),
            )

    def _answer_pulls(self, pulls: list[StreamPull], source: str) -> None:
        now = self._clock.monotonic()
        updates = [
            self._states[pull.stream].update_since(pull.position, now, pull.era)
            for pull in pulls
            if pull.stream in self._states and self._is_ahead_of(pull, now)
        ]
        if updates:
            self._send(
                [source],
                Note(
                    self._own_host,
                    updates=updates,
                    sent_at_ms=self._time_to_send(),
                ),
            )

    def _is_ahead_of(self, pull: StreamPull, now: float) -> bool:
        state = self._states[pull.stream]
        if not state.is_known or pull.position < 0:
            return state.is_known
        place = state.place_of(pull.era, pull.position)
        if place is None:
            return pull.position < state.position
        if place != state.place:
            return place < state.place
        return pull.age_ms - state.age_ms(now) > _MIN_AGE_GAIN_MS

    def _forward_updates(self, note: Note) -> None:
        """Forward records of a host in another group to the own group."""
        # A whole stream answers a pull and is meant for one host only.
        increments = [update for update in note.updates if not update.is_whole]
        groups = self.peers.groups
        if increments and groups.is_in_other_group(note.host):
            self._send(
                groups.neighbour_addresses,
                Note(self._own_host, updates=increments),
            )

    def _merge(
        self, update: StreamUpdate, source: str = STORE_SOURCE
    ) -> tuple[StreamEntry, ...]:
        state = self._states[update.stream]
        now = self._clock.monotonic()
        merged = state.merge(update, now)
        if merged.has_gap:
            self._pull_missing(state, update, source)
            return ()
        if merged.is_restore:
            self._note_restore(state, source)
        if merged.changed:
            self.sources[update.stream] = source
        self.lags.note_merge(state, source, now)
        missing = self._streams_to_pull.get(update.stream, _UNKNOWN_PLACE)
        if state.is_known and state.place >= missing:
            self._streams_to_pull.pop(update.stream, None)
        if self.on_change is not None:
            self.on_change(update.stream, merged.changed)
        return merged.changed

    def _pull_missing(
        self, state: StreamState, update: StreamUpdate, source: str
    ) -> None:
        """Pull what is missing before an update, until it is here."""
        place = state.place_of(update.era, update.end) or _UNKNOWN_PLACE
        missing = self._streams_to_pull.get(state.stream, place)
        self._streams_to_pull[state.stream] = max(missing, place)
        if source != STORE_SOURCE:
            self._pull(source, self._streams_to_pull)

    def _note_restore(self, state: StreamState, source: str) -> None:
        _log.warning(
            'Store was restored.',
            stream=state.stream,
            era=state.era,
            position=state.position,
            source=source,
        )
        if self.on_restore is not None:
            self.on_restore(state.stream)


__all__ = (
    'STORE_SOURCE',
    'CallEventListener',
    'GossipExchange',
    'NoteListener',
    'NoteRejection',
    'StreamListener',
)
