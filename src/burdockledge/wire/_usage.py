"""Messages about the usage of teams: how many of their calls servers ran."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from burdockledge.wire._codec import WireError, build_message
from burdockledge.wire.generated.burdockledge import ttypes


@dataclass(frozen=True, slots=True)
class UsageTotals:
    """
    What a process of a host has counted, by window and team.

    The windows from the first one that was asked for up to
    ``complete_before`` are final; one that is left out has no calls.
    ``process`` tells the processes of a host apart.
    """

    host: str
    process: int
    complete_before: int
    windows: Mapping[int, Mapping[str, int]]


@dataclass(frozen=True, slots=True)
class UsagePull:
    """
    Asks a host for its totals from a window on.

    The window is ``from_window`` for the process ``process`` of the host, and
    ``reported_before`` for another one. ``is_holder`` tells whether the sender
    reports the usage. ``own_process`` is the process of the sender, which may
    lack the totals of former ones.
    """

    process: int
    from_window: int
    reported_before: int
    is_holder: bool
    own_process: int


def build_totals_struct(totals: UsageTotals) -> Any:
    """Convert totals to their generated thrift class."""
    return ttypes.UsageTotals(
        host=totals.host,
        process=totals.process,
        complete_before=totals.complete_before,
        windows=[
            ttypes.UsageWindow(
                window=window,
                teams=list(counts),
                counts=list(counts.values()),
            )
            for window, counts in totals.windows.items()
        ],
    )


def build_totals(raw: Any) -> UsageTotals:
    """
    Convert an instance of the generated thrift class to totals.

    :raises WireError: if a field is missing or invalid.
    """
    if raw.windows is None:
        raise WireError('usage totals without windows')
    raw.windows = dict(_build_window(window) for window in raw.windows)
    return build_message(UsageTotals, raw)


def _build_window(raw: Any) -> tuple[int, dict[str, int]]:
    teams, counts = raw.teams, raw.counts
    if raw.window is None or teams is None or counts is None:
        raise WireError('usage window lacks a field')
    if len(teams) != len(counts) or min(counts, default=0) < 0:
        raise WireError('usage window has no count for each team')
    return raw.window, dict(zip(teams, counts, strict=True))


__all__ = ('UsagePull', 'UsageTotals', 'build_totals', 'build_totals_struct')
