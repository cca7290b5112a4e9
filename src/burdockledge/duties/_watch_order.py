"""Which hosts watch the claim of the holder, and how often."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from burdockledge.hashing import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

WATCH_SECONDS: Final = 1.0
# Hosts that read every second, and those behind them that read seldom.
_WATCHERS: Final = 2
_RESERVES: Final = 6


def find_place(
    own_host: str, living_hosts: Iterable[str], holder: str | None
) -> int:
    """
    Return the place of this host among those that may claim next.

    A host whose earlier process holds the claim comes first.
    """
    if own_host == holder:
        return 0
    hosts = {own_host, *living_hosts} - {holder}
    return rank('duties', hosts).index(own_host)


def read_period_seconds(
    place: int, wait_seconds: float, unchanged_seconds: float
) -> float:
    """
    Return the seconds between two reads of a host, infinity for none.

    Reserves read every second if the topic stands still for longer than a
    claim has to wait: the hosts before them may be cut off from the store.
    """
    if place < _WATCHERS:
        return WATCH_SECONDS
    if place >= _WATCHERS + _RESERVES:
        return math.inf
    if unchanged_seconds > wait_seconds:
        return WATCH_SECONDS
    return (place - 1) * (wait_seconds + WATCH_SECONDS)


__all__ = ('WATCH_SECONDS', 'find_place', 'read_period_seconds')
