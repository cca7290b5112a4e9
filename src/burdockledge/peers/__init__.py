"""Authenticated links between entry hosts."""

from __future__ import annotations

from burdockledge.peers._bus import MessageHandler, PeerAddressLookup, PeerBus
from burdockledge.peers._keys import PeerKeys, PeerKeysError
from burdockledge.peers._link import (
    LinkConfig,
)
from burdockledge.peers._tcp import TcpPeerBus
from burdockledge.peers._tls import TlsContexts

__all__ = (
    'LinkConfig',
    'MessageHandler',
    'PeerAddressLookup',
    'PeerBus',
    'PeerKeys',
    'PeerKeysError',
    'TcpPeerBus',
    'TlsContexts',
)
