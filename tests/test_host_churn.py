"""What a host keeps of routes, teams, servers and parts that are gone."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.host_churn import (
    PARTS_PER_CALL,
    ROUTES_PER_WAVE,
    SERVERS_PER_WAVE,
    SERVICES_PER_WAVE,
    WAVES,
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
    'Metrics._gauges[]': SERVERS_PER_WAVE + FIXED_SERIES,
    'HealthTracker._servers': SERVERS,
    'LoadTracker._cache_sizes': SERVERS,
    'LoadTracker._loads': SERVERS,
    'LoadTracker._timings': 2 * SERVICES_PER_WAVE,
    'LimitGuard._refused_at': SERVICES_PER_WAVE,
    'PrefixCacheEstimate.tokens_by_part': 2 * ROUTES_PER_WAVE * PARTS_PER_CALL,
    'PrefixCacheEstimate._prefilled': 2 * ROUTES_PER_WAVE * PARTS_PER_CALL,
    'PrefixCacheEstimate._used_at': 2 * ROUTES_PER_WAVE * PARTS_PER_CALL,
    'Quarantine._answered_parts': 8192,
    'RetryBudgets._budgets': SERVICES_PER_WAVE,
    'RetryBudget._first_sends': ROUTES_PER_WAVE,
    'RouteIndex._routes_by_http_host': ROUTES_PER_WAVE,
    'RoutingDocument.teams_by_api_key': ROUTES_PER_WAVE,
    'ServerRateLimits._buckets': SERVERS,
    'ServerRegistry._entries': SERVERS,
    'StreamState._removals': 256,
}


@pytest.fixture(scope='module')
def waves() -> list[dict[str, Any]]:
    """Return what a process that is churned prints after each wave."""
    run = subprocess.run(
        [sys.executable, '-m', 'tests.host_churn'],
        env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
        stdout=subprocess.PIPE,
        text=True,
        timeout=250,
        check=True,
    )
    return [json.loads(line) for line in run.stdout.splitlines()]


@pytest.mark.parametrize(('table', 'bound'), BOUNDS.items())
def test_table_forgets_what_is_gone(
    waves: list[dict[str, Any]], table: str, bound: int
) -> None:
    """Guards against tables that grow with all that was ever named."""
    assert 0 < waves[-1]['sizes'][table] <= bound


@pytest.mark.parametrize('table', BOUNDS)
def test_table_is_listed_for_operators(table: str) -> None:
    """Guards against a page that leaves out a table with a bound."""
    page = Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
    assert f'`{table}`' in page.read_text('utf-8')


def test_no_other_table_grows_over_the_waves(
    waves: list[dict[str, Any]],
) -> None:
    """Guards against new tables without a bound."""
    largest_of_a_wave = 2 * ROUTES_PER_WAVE
    others = {
        table: size
        for table, size in waves[-1]['sizes'].items()
        if table not in BOUNDS and size > largest_of_a_wave
    }
    assert not others


def test_memory_levels_off(waves: list[dict[str, Any]]) -> None:
    """Guards against a host that the platform ends for its memory."""
    memory = [wave['memory_mb'] for wave in waves]
    assert len(memory) == WAVES
    assert memory[-1] - memory[WAVES // 2] <= GROWTH_LIMIT_MB
    assert max(memory) <= MEMORY_LIMIT_MB
