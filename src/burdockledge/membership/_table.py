"""
The member table: the newest membership update of each host.

It does no I/O. Times are passed in, in seconds of a monotonic clock.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002; including its
suspicion mechanism and the refutation by incarnation numbers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from burdockledge.wire import MemberStatus, MemberUpdate

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

SUSPICION_TIMEOUT_SECONDS: Final = 2.5
DEAD_RETENTION_SECONDS: Final = 60
_UPDATES_PER_DATAGRAM: Final = 6
_RETRANSMIT_FACTOR: Final = 3


@dataclass(slots=True)
class MemberRecord:
    """A known host and the time of its last stored update, in seconds."""

    update: MemberUpdate
    stored_at: float


class MemberTable:
    """The membership view of one entry host, with its own entry."""

    def __init__(self, own_member: MemberUpdate, now: float) -> None:
        """Create a table that holds this host only."""
        self._own_member = own_member
        self._members = {own_member.host: MemberRecord(own_member, now)}
        self._transmit_counts: dict[str, int] = {own_member.host: 0}
        self.change_count = 1

    @property
    def own_member(self) -> MemberUpdate:
        """The entry of this host."""
        return self._own_member

    def get(self, host: str) -> MemberUpdate | None:
        """Return the newest update of a host, None for an unknown host."""
        member = self._members.get(host)
        return None if member is None else member.update

    def updates(self) -> Iterator[MemberUpdate]:
        """Yield the newest update of every known host, this host included."""
        for member in self._members.values():
            yield member.update

    def alive_or_suspect(self) -> list[MemberUpdate]:
        """Return the hosts that may act as a lead or serve callers."""
        return [
            update
            for update in self.updates()
            if update.status in {MemberStatus.alive, MemberStatus.suspect}
        ]

    def probe_targets(self) -> list[MemberUpdate]:
        """Return the other hosts that are not considered dead."""
        return [
            update
            for update in self.updates()
            if update.host != self._own_member.host
            and update.status != MemberStatus.dead
        ]

    def leave(self, now: float) -> None:
        """Mark this host as leaving, under a new incarnation."""
        self._set_own_member(
            replace(
                self._own_member,
                status=MemberStatus.leaving,
                incarnation=self._own_member.incarnation + 1,
            ),
            now,
        )

    def advertise(self, caller_url: str, now: float) -> None:
        """Set the URL for callers of this host, empty while it is not ready."""
        self._set_own_member(
            replace(
                self._own_member,
                caller_url=caller_url,
                incarnation=self._own_member.incarnation + 1,
            ),
            now,
        )

    def apply(self, update: MemberUpdate, now: float) -> bool:
        """
        Apply an update received from a peer.

        An update about this host that contradicts its own entry is refuted.

        :return: whether the table changed.
        """
        if update.host == self._own_member.host:
            return self._apply_to_own_member(update, now)
        known = self._members.get(update.host)
        if known is not None and _precedence(update) <= _precedence(
            known.update
        ):
            if update.boot < known.update.boot:
                # Gossip the known entry again: a process that started after
                # its clock was set back learns the boot number to exceed.
                self._transmit_counts[update.host] = 0
            return False
        self._store(update, now)
        return True

    def mark_unresponsive(self, host: str, now: float) -> None:
        """Make an alive host suspect and a leaving host dead."""
        member = self._members.get(host)
        if member is None or member.update.status != MemberStatus.alive:
            if member is None or member.update.status != MemberStatus.leaving:
                return
            # A leaving host that does not answer has stopped.
            self._store(replace(member.update, status=MemberStatus.dead), now)
            return
        self._store(replace(member.update, status=MemberStatus.suspect), now)

    def expire(self, now: float) -> list[str]:
        """
        Declare long suspected hosts dead and remove long dead hosts.

        :return: the names of the hosts that were declared dead.
        """
        died: list[str] = []
        for host, member in tuple(self._members.items()):
            age = now - member.stored_at
            status = member.update.status
            if (
                status == MemberStatus.suspect
                and age > SUSPICION_TIMEOUT_SECONDS
            ):
                dead = replace(member.update, status=MemberStatus.dead)
                self._store(dead, now)
                died.append(host)
            elif status == MemberStatus.dead and age > DEAD_RETENTION_SECONDS:
                self._members.pop(host)
                self._transmit_counts.pop(host, None)
        return died

    def take_gossip_updates(self, random: Random) -> list[MemberUpdate]:
        """
        Return updates to piggyback on a datagram, least transmitted first.

        Each update is sent a number of times that is logarithmic in the
        number of hosts; free space is filled with random known updates.
        """
        max_transmissions = _RETRANSMIT_FACTOR * math.ceil(
            math.log2(len(self._members) + 1),
        )
        by_transmissions = sorted(
            self._transmit_counts, key=self._transmit_counts.__getitem__
        )
        chosen = by_transmissions[:_UPDATES_PER_DATAGRAM]
        for host in chosen:
            self._transmit_counts[host] += 1
            if self._transmit_counts[host] >= max_transmissions:
                self._transmit_counts.pop(host)
        remaining = _UPDATES_PER_DATAGRAM - len(chosen)
        others = [host for host in self._members if host not in chosen]
        chosen.extend(random.sample(others, min(remaining, len(others))))
        return [self._members[host].update for host in chosen]

    def _apply_to_own_member(self, update: MemberUpdate, now: float) -> bool:
        own_member = self._own_member
        if update.boot > own_member.boot:
            # An earlier process of this host used a later boot number, as the
            # clock was set back since.
            self._set_own_member(replace(own_member, boot=update.boot + 1), now)
            return True
        if update.boot != own_member.boot or update.status == own_member.status:
            return False
        if update.incarnation < own_member.incarnation:
            return False
        # Refute a false status with a newer incarnation.
        self._set_own_member(
            replace(own_member, incarnation=update.incarnation + 1), now
        )
        return True

    def _set_own_member(self, own_member: MemberUpdate, now: float) -> None:
        self._own_member = own_member
        self._store(own_member, now)

    def _store(self, update: MemberUpdate, now: float) -> None:
        self._members[update.host] = MemberRecord(update, now)
        self._transmit_counts[update.host] = 0
        self.change_count += 1


def _precedence(update: MemberUpdate) -> tuple[int, int, int]:
    return (update.boot, update.incarnation, update.status)


__all__ = (
    'DEAD_RETENTION_SECONDS',
    'SUSPICION_TIMEOUT_SECONDS',
    'MemberRecord',
    'MemberTable',
)
