"""Messages of links and membership probes, as data classes."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Offer:
    """
    Asks the lead of a backend server for one of its slots.

    The lead is the host that assigns the slots of the server. ``request`` is
    a 16-byte id. ``wait_budget_ms`` is the time left until the first token is
    due. ``running`` reports to a new lead a slot that is already in use. A
    ``resumable`` request may be asked to yield its slot.
    """

    request: bytes
    server: str
    tier: int
    team: str
    weight: float
    wait_budget_ms: int
    cost_tokens: int
    running: bool = False
    resumable: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Grants a slot of a backend server to a request."""

    request: bytes
    server: str


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refuses an offer: the lead will not grant a slot in time."""

    request: bytes
    server: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Yield:
    """
    Asks for the slot of a request, which is to be resumed later.

    The slot is needed for a higher tier.
    """

    request: bytes
    server: str


@dataclass(frozen=True, slots=True)
class Release:
    """Withdraws an offer or releases a slot; ``tokens`` were served in it."""

    request: bytes
    server: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ConfigurationPull:
    """Asks a peer for the configuration records after an offset."""

    after_offset: int


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """A record of the configuration log; ``at_ms`` is its time."""

    offset: int
    at_ms: int
    body: str


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """
    Newer configuration records, or the whole configuration.

    ``document`` is empty if ``records`` follow the offset that was asked for;
    otherwise it holds the configuration at ``offset`` as JSON.
    """

    offset: int
    version: int
    document: str
    records: list[ConfigurationRecord]


Message = (
    Offer
    | Grant
    | Refusal
    | Yield
    | Release
    | ConfigurationPull
    | ConfigurationState
)


@dataclass(slots=True)
class Frame:
    """
    A batch of messages to one peer, and its heartbeat.

    ``heartbeat`` is a time of the sender in ms, echoed by the receiver;
    ``stamp`` is the hybrid logical clock of the sender.
    """

    offers: list[Offer] = field(default_factory=list)
    grants: list[Grant] = field(default_factory=list)
    refusals: list[Refusal] = field(default_factory=list)
    releases: list[Release] = field(default_factory=list)
    yields: list[Yield] = field(default_factory=list)
    pull: ConfigurationPull | None = None
    state: ConfigurationState | None = None
    heartbeat: int | None = None
    stamp: int | None = None

    def add(self, message: Message) -> None:
        """Add a message; a newer pull or state replaces an older one."""
        if isinstance(message, ConfigurationPull):
            self.pull = message
        elif isinstance(message, ConfigurationState):
            self.state = message
        else:
            self._list_of(message).append(message)

    def _list_of(self, message: Message) -> list[Any]:
        lists: dict[type, list[Any]] = {
            Offer: self.offers,
            Grant: self.grants,
            Refusal: self.refusals,
            Yield: self.yields,
            Release: self.releases,
        }
        return lists[type(message)]

    def messages(self) -> list[Message]:
        """Return all messages; releases come first, as they free slots."""
        messages: list[Message] = [
            *self.releases,
            *self.offers,
            *self.grants,
            *self.refusals,
            *self.yields,
        ]
        if self.pull is not None:
            messages.append(self.pull)
        if self.state is not None:
            messages.append(self.state)
        return messages


@dataclass(frozen=True, slots=True)
class Hello:
    """
    A handshake message of a link.

    ``boot`` is the start time of the client's process, in ms since the
    epoch, and 0 in messages of the server. ``proof`` is a MAC of the nonces
    of both ends, empty in the first message.
    """

    host: str
    boot: int
    nonce: bytes
    proof: bytes


class MemberStatus(enum.IntEnum):
    """The status of an entry host in the member table."""

    alive = 0
    suspect = 1
    leaving = 2
    dead = 3


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """
    An entry of the member table, as gossiped.

    Updates of a host are ordered by ``boot``, the start time of its process
    in ms since the epoch, or more if an earlier process had a later one; then
    by ``incarnation``, which the host raises to refute or replace its entry;
    then by ``status``.
    """

    host: str
    peer_address: str
    caller_url: str
    data_centre: str
    boot: int
    incarnation: int
    status: int


class ProbeKind(enum.IntEnum):
    """The kinds of membership datagrams."""

    ping = 0
    ack = 1
    ping_request = 2


@dataclass(frozen=True, slots=True)
class Probe:
    """
    A membership datagram with piggybacked updates.

    ``target`` is the host to probe in a ping request. An ack has the
    ``sequence`` of its ping.
    """

    kind: int
    sequence: int
    sender: MemberUpdate
    updates: list[MemberUpdate]
    configuration_offset: int
    target: MemberUpdate | None = None


__all__ = (
    'ConfigurationPull',
    'ConfigurationRecord',
    'ConfigurationState',
    'Frame',
    'Grant',
    'Hello',
    'MemberStatus',
    'MemberUpdate',
    'Message',
    'Offer',
    'Probe',
    'ProbeKind',
    'Refusal',
    'Release',
    'Yield',
)
