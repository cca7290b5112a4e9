"""Usage reports of a process whose wall clock is wrong as it starts."""

from __future__ import annotations

import asyncio

import pytest

from tests.usage.fleet import UsageFleet


@pytest.mark.parametrize('restarted', ['h0', 'h2'])
@pytest.mark.parametrize('jump_ms', [-60_000, 60_000])
def test_a_process_that_starts_with_a_wrong_clock_moves_no_window(
    restarted: str, jump_ms: int
) -> None:
    """Guards against windows that a host closes before it knows the time."""

    async def scenario(fleet: UsageFleet) -> None:
        await asyncio.sleep(3)
        if restarted != 'h0':
            fleet.hold('h0')
        await fleet.kill(restarted)
        fleet.clock_errors[restarted] = jump_ms
        await fleet.start(restarted)
        if restarted == 'h0':
            fleet.hold('h0')
        await asyncio.sleep(29)
        assert fleet.missed(1, 4) == []

    UsageFleet().run(scenario)
