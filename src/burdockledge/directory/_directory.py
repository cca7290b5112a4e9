"""Chooses ready entry hosts near a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from burdockledge.wire import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from burdockledge.membership import MemberTable
    from burdockledge.wire import MemberUpdate

# With 2 addresses, a caller has another one to try when the first fails.
_MIN_LOCAL_ADDRESSES: Final = 2
_MAX_ADDRESSES: Final = 64


class Directory:
    """
    Finds ready entry hosts in the member table.

    A host is ready if it is alive and has announced its address for callers.
    """

    def __init__(self, table: MemberTable, random: Random) -> None:
        """Read the table at each call; ``random`` shuffles the addresses."""
        self._table = table
        self._random = random

    @property
    def is_own_host_ready(self) -> bool:
        """Whether this host accepts new callers."""
        own_member = self._table.own_member
        return own_member.status == MemberStatus.alive and bool(
            own_member.caller_url
        )

    def addresses_near(self, data_centre: str) -> list[str]:
        """
        Return the addresses for a caller in a data centre, in random order.

        Uses the hosts in the data centre if there are at least 2, else those
        of all data centres. If no host is ready, suspected hosts with an
        address are used. At most 64 addresses.
        """
        candidates = [
            member
            for member in self._table.alive_or_suspect()
            if member.caller_url and member.status == MemberStatus.alive
        ]
        if not candidates:
            candidates = [
                member
                for member in self._table.alive_or_suspect()
                if member.caller_url
            ]
        local = [
            member for member in candidates if member.data_centre == data_centre
        ]
        chosen = local if len(local) >= _MIN_LOCAL_ADDRESSES else candidates
        return self._shuffled_addresses(chosen)[:_MAX_ADDRESSES]

    def _shuffled_addresses(self, members: Iterable[MemberUpdate]) -> list[str]:
        addresses = [member.caller_url for member in members]
        self._random.shuffle(addresses)
        return addresses


__all__ = ('Directory',)
