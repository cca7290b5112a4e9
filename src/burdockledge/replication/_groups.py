"""Groups of hosts, which limit the number of datagrams per update."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

# Up to this many hosts form a single group, a full mesh.
MAX_FULL_MESH_HOSTS: Final = 12


@dataclass(frozen=True, slots=True)
class Peer:
    """An entry host and the ``IP:port`` at which it receives notes."""

    host: str
    data_centre: str
    address: str


class PeerGroups:
    """
    A division of the hosts into groups of about equal size.

    The hosts of a group are in the same data centre. A host sends an update
    to its own group and to one contact in every other group, which forwards
    it to its group. With ``n`` hosts each one sends a small multiple of the
    square root of ``n`` datagrams, few of them between data centres. Where
    hosts know different members, some get an update twice or late.
    """

    def __init__(self, own_peer: Peer, others: Sequence[Peer]) -> None:
        """Divide the known hosts into groups."""
        self._groups: dict[tuple[str, int], list[Peer]] = defaultdict(list)
        self._group_counts = _count_groups([own_peer, *others])
        for peer in others:
            self._groups[self._group_key(peer)].append(peer)
        own_group = self._groups.pop(self._group_key(own_peer), [])
        self._other_group_hosts = frozenset(
            peer.host for peers in self._groups.values() for peer in peers
        )
        # The other hosts of the own group.
        self.neighbour_addresses = [peer.address for peer in own_group]

    def pick_targets(self, random: Random) -> list[str]:
        """Return the addresses of the own group and of the contacts."""
        return self.neighbour_addresses + self.pick_contacts(random)

    def pick_contacts(self, random: Random) -> list[str]:
        """Return the address of a random host of every other group."""
        return [random.choice(peers).address for peers in self._groups.values()]

    def is_in_other_group(self, host: str) -> bool:
        """Return whether a host is known to be in another group."""
        return host in self._other_group_hosts

    def _group_key(self, peer: Peer) -> tuple[str, int]:
        if not self._group_counts:
            return '', 0
        group_count = self._group_counts[peer.data_centre]
        host_hash = xxhash.xxh32_intdigest(peer.host.encode())
        return peer.data_centre, host_hash % group_count


class KnownPeers:
    """The other hosts that are known now, and their groups."""

    def __init__(self, own_peer: Peer) -> None:
        """Create a set without other hosts."""
        self.own_peer = own_peer
        self.replace(())

    def replace(self, others: Sequence[Peer]) -> None:
        """Replace the other hosts and compute the groups again."""
        self.addresses = [peer.address for peer in others]
        self.addresses_by_host = {peer.host: peer.address for peer in others}
        self.groups = PeerGroups(self.own_peer, others)


def _count_groups(peers: Sequence[Peer]) -> dict[str, int]:
    """Return the number of groups per data centre, empty for a full mesh."""
    if len(peers) <= MAX_FULL_MESH_HOSTS:
        return {}
    host_counts: dict[str, int] = defaultdict(int)
    for peer in peers:
        host_counts[peer.data_centre] += 1
    group_size = math.sqrt(len(peers))
    # A power of two rarely changes when hosts join or leave.
    return {
        data_centre: 2 ** max(0, round(math.log2(host_count / group_size)))
        for data_centre, host_count in host_counts.items()
    }


__all__ = ('MAX_FULL_MESH_HOSTS', 'Peer', 'PeerGroups', 'KnownPeers')
