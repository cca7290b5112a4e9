"""The next counts of a data centre, on the way to those that are wanted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from burdockledge.autoscaling._types import Pool, PoolState, ServerKind

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class Bounds:
    """
    What limits the next counts of a data centre.

    ``lowest`` and ``highest`` bound both kinds together. ``carrying`` is how
    many registered servers the present demand takes. ``removable`` are the
    kinds of which servers may leave now.
    """

    lowest: int
    highest: int
    carrying: int
    removable: frozenset[ServerKind]


@dataclass(frozen=True, slots=True)
class DataCentreStep:
    """
    The way of one data centre from the present servers to the wanted ones.

    Servers are added at once, spot servers first. A server is removed when
    those that replace it are registered.
    """

    normal: PoolState
    spot: PoolState
    wanted_normal: int
    wanted_spot: int
    bounds: Bounds

    def counts(self) -> dict[ServerKind, int]:
        """Return the counts to order next; a kind may be left as it is."""
        added_spot = self._added(self.spot, self.wanted_spot, self._room)
        added_normal = self._added(
            self.normal, self.wanted_normal, self._room - added_spot
        )
        counts = {
            ServerKind.normal: self._within_bounds(
                self._remaining_normal(added_spot) + added_normal,
                self.normal,
                self.spot,
            ),
            ServerKind.spot: self._within_bounds(
                self._remaining_spot() + added_spot, self.spot, self.normal
            ),
        }
        return {
            kind: count for kind, count in counts.items() if count is not None
        }

    @property
    def _room(self) -> int:
        """
        How many servers may be ordered beside the present ones.

        Servers count until their removal is certain and shows.
        """
        taken = _most(self.normal) + _most(self.spot)
        return max(0, self.bounds.highest - taken)

    @property
    def _size(self) -> int:
        """How many servers must be registered at any time."""
        return self.wanted_normal + self.wanted_spot

    def _within_bounds(
        self, count: int, state: PoolState, other: PoolState
    ) -> int | None:
        """
        Return a count that holds the bounds whatever becomes of the other one.

        Recorded counts may exceed the maximum together, if one was recorded
        and never carried out. None if no count holds the bounds.
        """
        free = self.bounds.highest - _most(other)
        count = min(count, max(state.ready, free))
        least = self.bounds.lowest - min(other.ready, other.ordered)
        count = max(count, min(state.ordered, least))
        return None if count > max(state.ready, free) else count

    def _added(self, state: PoolState, wanted: int, room: int) -> int:
        if state.is_blocked:
            return 0
        return max(0, min(wanted - state.ordered, room))

    def _remaining_spot(self) -> int:
        ordered = self.spot.ordered
        if ServerKind.spot not in self.bounds.removable:
            return ordered
        kept = max(self.wanted_spot, self._size - self.normal.ready)
        return min(ordered, kept)

    def _remaining_normal(self, added_spot: int) -> int:
        ordered = self.normal.ordered
        surplus = ordered - self.wanted_normal
        if surplus <= 0 or ServerKind.normal not in self.bounds.removable:
            return ordered
        kept = max(self.wanted_normal, self._size - self.spot.ready)
        if kept >= ordered and not added_spot:
            kept = ordered - self._cleared(surplus)
        return min(ordered, kept)

    def _cleared(self, surplus: int) -> int:
        """
        Return the normal servers that leave to make room for spot servers.

        They leave before others replace them, so only if nothing is booting.
        """
        lacking_spot = self.wanted_spot - self.spot.ordered
        is_booting = self.spot.ready < self.spot.ordered
        if is_booting or self.spot.is_blocked:
            return 0
        spare = self.normal.ready + self.spot.ready - self.bounds.carrying
        half = (surplus + 1) // 2
        return max(0, min(half, lacking_spot, spare))


def _most(state: PoolState) -> int:
    """Return the most servers that a pool may have now."""
    return max(state.ready, state.at_most)


def next_counts(
    data_centre: str,
    wanted: dict[Pool, int],
    states: dict[Pool, PoolState],
    bounds: Bounds,
) -> dict[Pool, int]:
    """Return the counts to order next in a data centre."""
    normal = Pool(data_centre, ServerKind.normal)
    spot = Pool(data_centre, ServerKind.spot)
    step = DataCentreStep(
        states[normal], states[spot], wanted[normal], wanted[spot], bounds
    )
    return {
        Pool(data_centre, kind): count for kind, count in step.counts().items()
    }


def keep_needed(
    counts: dict[Pool, int], states: Mapping[Pool, PoolState], needed: int
) -> dict[Pool, int]:
    """
    Return the counts without removals that leave too few spot servers.

    Data centres shrink separately. While the servers of one are reclaimed and
    unavailable, the others may not follow their smaller sizes.

    :param needed: the least servers of the service to be left registered.
    """
    removed = {
        pool: states[pool].ready - count
        for pool, count in counts.items()
        if pool.kind is ServerKind.spot and count < states[pool].ready
    }
    registered = sum(state.ready for state in states.values())
    if not removed or registered - sum(removed.values()) >= needed:
        return counts
    return {
        pool: count for pool, count in counts.items() if pool not in removed
    }


__all__ = ('Bounds', 'keep_needed', 'next_counts')
