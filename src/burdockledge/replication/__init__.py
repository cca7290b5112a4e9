"""Replication of the store's record streams between the entry hosts."""

from __future__ import annotations

from burdockledge.replication._evidence_keeper import EvidenceKeeper
from burdockledge.replication._exchange import (
    STORE_SOURCE,
    GossipExchange,
    NoteListener,
    NoteRejection,
    StreamListener,
)
from burdockledge.replication._groups import (
    MAX_FULL_MESH_HOSTS,
    Peer,
    PeerGroups,
)
from burdockledge.replication._lag import StreamLags
from burdockledge.replication._reader import StoreReader
from burdockledge.replication._schedule import ReadSchedule
from burdockledge.replication._source import RecordSource, SourceFailure
from burdockledge.replication._state import (
    UNKNOWN_POSITION,
    MergeResult,
    StreamState,
)

__all__ = (
    'MAX_FULL_MESH_HOSTS',
    'STORE_SOURCE',
    'UNKNOWN_POSITION',
    'EvidenceKeeper',
    'GossipExchange',
    'MergeResult',
    'NoteListener',
    'NoteRejection',
    'Peer',
    'PeerGroups',
    'ReadSchedule',
    'RecordSource',
    'SourceFailure',
    'StoreReader',
    'StreamLags',
    'StreamListener',
    'StreamState',
)
