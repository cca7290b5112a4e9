"""What a host keeps of routes, teams, servers and parts that are gone."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter

import pytest
import structlog

from burdockledge.host import RelayHost
from tests.host_churn import (
    PARTS_PER_CALL,
    ROUTES_PER_WAVE,
    SERVERS_PER_WAVE,
    WAVES,
    container_sizes,
    run_churn,
)

# Servers of one wave may be known until the end of the next one.
SERVERS = 2 * SERVERS_PER_WAVE
# Metrics that don't depend on routes, services or servers.
FIXED_SERIES = 30
MEMORY_LIMIT_MB = 60
GROWTH_LIMIT_MB = 3
BOUNDS = {
    'Metrics._counters[]': 2 * ROUTES_PER_WAVE + FIXED_SERIES,
    'Metrics._summaries[]': 3 * ROUTES_PER_WAVE + FIXED_SERIES,
    'LoadTracker._loads': SERVERS,
    'PrefixCacheEstimate._tokens_by_part': 2 * ROUTES_PER_WAVE * PARTS_PER_CALL,
    'PrefixCacheEstimate._prefilled': 2 * ROUTES_PER_WAVE * PARTS_PER_CALL,
    'Quarantine._answered_parts': 8192,
    'RouteIndex._routes_by_http_host': ROUTES_PER_WAVE,
    'RoutingDocument.teams_by_api_key': ROUTES_PER_WAVE,
    'ServerRateLimits._buckets': SERVERS,
    'ServerRegistry._entries': SERVERS,
    'StreamState._removals': 256,
}


@pytest.fixture(scope='module')
def sizes() -> Counter[str]:
    """Return the sizes of a host's containers after all waves."""
    found: list[Counter[str]] = []

    def observe(wave: int, host: RelayHost) -> None:
        if wave == WAVES - 1:
            found.append(container_sizes(host))

    settings = structlog.get_config()
    try:
        run_churn(WAVES, observe)
    finally:
        structlog.configure(**settings)
    return found[0]


@pytest.mark.parametrize(('table', 'bound'), BOUNDS.items())
def test_table_forgets_what_is_gone(
    sizes: Counter[str], table: str, bound: int
) -> None:
    """Guards against tables that grow with all that was ever named."""
    assert 0 < sizes[table] <= bound


def test_memory_levels_off() -> None:
    """Guards against a host that the platform ends for its memory."""
    run = subprocess.run(
        [sys.executable, '-m', 'tests.host_churn'],
        env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
        timeout=200,
        check=True,
    )
    memory = [float(line.split()[1]) for line in run.stderr.splitlines()]
    assert len(memory) == WAVES
    assert memory[-1] - memory[WAVES // 2] <= GROWTH_LIMIT_MB
    assert max(memory) <= MEMORY_LIMIT_MB
