"""Names ready entry hosts near a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from burdockledge.wire import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from burdockledge.membership import MemberTable
    from burdockledge.wire import MemberUpdate

# A caller has another address to turn to when one fails.
_LEAST_ADDRESSES: Final = 2
_MOST_ADDRESSES: Final = 64


class Directory:
    """Answers from the member table; hosts without an address are not ready."""

    def __init__(self, table: MemberTable, random: Random) -> None:
        """Answer from a table."""
        self._table = table
        self._random = random

    @property
    def is_own_ready(self) -> bool:
        """Whether this host takes new callers."""
        own = self._table.own_member
        return own.status == MemberStatus.alive and bool(own.caller_url)

    def addresses_near(self, data_centre: str) -> list[str]:
        """Return addresses in the caller's data centre, or else anywhere."""
        ready = [
            update
            for update in self._table.alive_or_suspect()
            if update.caller_url and update.status == MemberStatus.alive
        ]
        if not ready:
            ready = [
                update
                for update in self._table.alive_or_suspect()
                if update.caller_url
            ]
        near = [update for update in ready if update.data_centre == data_centre]
        chosen = near if len(near) >= _LEAST_ADDRESSES else ready
        return self._shuffled(chosen)[:_MOST_ADDRESSES]

    def _shuffled(self, updates: Iterable[MemberUpdate]) -> list[str]:
        addresses = [update.caller_url for update in updates]
        self._random.shuffle(addresses)
        return addresses


__all__ = ('Directory',)
