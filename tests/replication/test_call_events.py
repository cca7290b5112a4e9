"""Tests of the sender of call events, in virtual time."""

from __future__ import annotations

import asyncio
from random import Random

from burdockledge.clock import VirtualTimeLoop
from burdockledge.replication import Peer
from burdockledge.replication._call_events import CallEventSender
from burdockledge.replication._groups import KnownPeers
from burdockledge.wire import Note


def test_note_of_another_group_is_forwarded_as_it_came() -> None:
    """Guards against losing what a later version adds to a note."""
    peers = [Peer(f'h{number}', f'dc{number % 3}', '') for number in range(30)]
    known = KnownPeers(peers[0])
    known.replace(peers[1:])
    sent: list[tuple[list[str], Note]] = []
    sender = CallEventSender(known, lambda *note: sent.append(note), Random(1))

    async def forward() -> None:
        for peer in peers[1:]:
            sender.forward(Note(peer.host), peer.host.encode() + b' and more')
        await asyncio.sleep(1)

    loop = VirtualTimeLoop()
    loop.run_until_complete(forward())
    loop.shut_down()
    passed = [one for _, note in sent for one in note.passed]
    assert passed == [
        peer.host.encode() + b' and more'
        for peer in peers[1:]
        if known.groups.is_in_other_group(peer.host)
    ]
    assert passed
