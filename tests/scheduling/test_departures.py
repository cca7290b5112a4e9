"""Servers that have announced when they leave."""

from __future__ import annotations

import pytest

from burdockledge.calls import Prompt, ServerInstance
from burdockledge.scheduling import (
    CallStart,
    LoadTracker,
    ServerDepartures,
)

WALL_MS = 1_790_000_000_000
STAYS = ServerInstance('stays', 1, 'm', '10.0.0.1:1', 'a', 8)
LEAVES = ServerInstance('leaves', 1, 'm', '10.0.0.1:2', 'a', 8, True)


@pytest.mark.parametrize(
    ('leaves_ms', 'stream_seconds', 'is_used'),
    [
        (WALL_MS + 2500, 2.0, True),
        (WALL_MS + 2500, 3.0, False),
        (2500, 2.0, True),
        (2500, 3.0, False),
        (WALL_MS - 100_000, 0.1, False),
        (None, 3.0, True),
    ],
)
def test_a_server_that_leaves_gets_no_longer_stream(
    leaves_ms: int | None, stream_seconds: float, is_used: bool
) -> None:
    """Guards against streams that a reclaimed server cuts."""
    departures = ServerDepartures()
    departures.note(LEAVES.instance_id, leaves_ms, 10.0, WALL_MS)
    # A jump of the wall clock does not move the time.
    departures.note(LEAVES.instance_id, leaves_ms, 10.0, WALL_MS + 60_000)
    usable = departures.lasting([STAYS, LEAVES], lambda _: stream_seconds, 10.0)
    assert STAYS in usable
    assert (LEAVES in usable) == is_used
    departures.retain(())
    assert not departures.has_any


def test_a_stream_takes_its_prefill_and_all_its_events() -> None:
    """Guards against a duration that leaves out what is ahead."""
    loads = LoadTracker()
    load = loads.load_of(LEAVES.instance_id)
    idle = load.stream_seconds(Prompt((), 8000, 400), 0.0)
    assert load.stream_seconds(Prompt((), 8000, 800), 0.0) > 1.5 * idle
    loads.start(CallStart(1, LEAVES.instance_id, 0, 80_000, Prompt()), 0.0)
    assert load.stream_seconds(Prompt((), 8000, 400), 0.0) > idle + 0.9
