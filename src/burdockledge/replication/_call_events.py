"""Gossip of call events: starts, first response events and ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from burdockledge.replication._groups import MAX_FULL_MESH_HOSTS
from burdockledge.wire import (
    DATAGRAM_PAYLOAD_BYTES,
    CallEnded,
    CallHeard,
    CallStarted,
    Note,
    encode_note,
)

if TYPE_CHECKING:
    from random import Random

    from burdockledge.replication._groups import KnownPeers

# Events that occur within these delays share a datagram. Starts have the
# shortest delay; first events and ends may wait longer.
_START_DELAY_SECONDS: Final = 0.001
_FIRST_EVENT_DELAY_SECONDS: Final = 0.02
_END_DELAY_SECONDS: Final = 0.05
# Above ``MAX_FULL_MESH_HOSTS`` the delay grows with the number of hosts, so
# that the datagrams per second stay nearly constant; forwarding a note to the
# own group adds the same delay again.
_DELAY_SECONDS_PER_HOST: Final = 0.0015
# Bytes reserved for the framing of a forwarded note, and for the other fields
# of the note that carries it.
_ENTRY_OVERHEAD_BYTES: Final = 8
_NOTE_HEADER_BYTES: Final = 128

SendNote = Callable[[list[str], Note], None]


class CallEventSender:
    """Batches call events of this host and forwards those of other groups."""

    def __init__(
        self, peers: KnownPeers, send_note: SendNote, random: Random
    ) -> None:
        """Create a sender; ``send_note`` sends a note to addresses."""
        self._peers = peers
        self._own_host = peers.own_peer.host
        self._send_note = send_note
        self._random = random
        self._pending_note = Note(self._own_host)
        self._flush_timer: asyncio.TimerHandle | None = None
        self._pending_forwards: list[bytes] = []
        self._forward_timer: asyncio.TimerHandle | None = None

    def announce_start(self, call: CallStarted) -> None:
        """Gossip that this host sent a call to a backend server."""
        self._pending_note.started.append(call)
        self._flush_within(_START_DELAY_SECONDS)

    def announce_first_event(self, call: CallHeard) -> None:
        """Gossip that a call of this host got its first response event."""
        self._pending_note.heard.append(call)
        self._flush_within(_FIRST_EVENT_DELAY_SECONDS)

    def announce_end(self, call: CallEnded) -> None:
        """Gossip how a call of this host ended."""
        self._pending_note.ended.append(call)
        self._flush_within(_END_DELAY_SECONDS)

    def forward(self, note: Note, encoded: bytes | None) -> None:
        """
        Forward a note of a host in another group to the own group.

        :param encoded: the note as it came, with what later versions add; None
            if it came in fragments.
        """
        groups = self._peers.groups
        if not groups.neighbour_addresses or not groups.is_in_other_group(
            note.host
        ):
            return
        self._pending_forwards.append(encoded or encode_note(note))
        if self._forward_timer is None:
            self._forward_timer = asyncio.get_running_loop().call_later(
                self._min_delay_seconds(), self._flush_forwards
            )

    def flush(self) -> None:
        """Send the pending call events of this host."""
        self._flush_timer = None
        note = self._pending_note
        self._pending_note = Note(self._own_host)
        if not note.has_call_events:
            return
        groups = self._peers.groups
        self._send_note(groups.pick_targets(self._random), note)

    def _min_delay_seconds(self) -> float:
        peer_count = len(self._peers.addresses)
        return (
            _DELAY_SECONDS_PER_HOST * peer_count
            if peer_count >= MAX_FULL_MESH_HOSTS
            else 0.0
        )

    def _flush_within(self, delay_seconds: float) -> None:
        delay_seconds = max(delay_seconds, self._min_delay_seconds())
        loop = asyncio.get_running_loop()
        if self._flush_timer is not None:
            if self._flush_timer.when() <= loop.time() + delay_seconds:
                return
            self._flush_timer.cancel()
        self._flush_timer = loop.call_later(delay_seconds, self.flush)

    def _flush_forwards(self) -> None:
        self._forward_timer = None
        forwards = self._pending_forwards
        self._pending_forwards = []
        neighbour_addresses = self._peers.groups.neighbour_addresses
        for batch in _split_by_size(forwards):
            self._send_note(
                neighbour_addresses, Note(self._own_host, passed=batch)
            )


def _split_by_size(forwards: list[bytes]) -> list[list[bytes]]:
    """Divide encoded notes into batches that fit a datagram each."""
    batches: list[list[bytes]] = []
    free_bytes = 0
    for encoded in forwards:
        entry_bytes = len(encoded) + _ENTRY_OVERHEAD_BYTES
        if entry_bytes > free_bytes:
            batches.append([])
            free_bytes = DATAGRAM_PAYLOAD_BYTES - _NOTE_HEADER_BYTES
        batches[-1].append(encoded)
        free_bytes -= entry_bytes
    return batches


__all__ = ('CallEventSender',)
