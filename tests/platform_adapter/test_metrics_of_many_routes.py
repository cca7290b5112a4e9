"""The cost of fetching the metrics of a host with many routes."""

from __future__ import annotations

import asyncio
import time
from random import Random

import pytest
from prometheus_client.parser import text_string_to_metric_families

from burdockledge.telemetry import Metrics
from tests.platform_adapter.front_harness import (
    FrontHarness,
    respond_ok,
    run_with_front,
)
from tests.platform_adapter.standin_server import send_and_receive

SUMMARIES = ('call_seconds', 'first_event_seconds', 'longest_pause_seconds')
CALLS_PER_ROUTE = 40
# At half a core, 5 ms and 0.5 s are these processor times.
MAX_HOLD_SECONDS = 0.0025
MAX_TOTAL_SECONDS = 0.25
# Other programs on the machine can only make a fetch look dearer.
FETCHES = 5


def observe_routes(metrics: Metrics, route_count: int) -> None:
    """Record calls on each of some routes, from 1 ms to about a minute."""
    random = Random(1)
    for number in range(route_count):
        route = f'route-{number}'
        metrics.count('calls', CALLS_PER_ROUTE, route=route, status='200')
        for _ in range(CALLS_PER_ROUTE):
            for name in SUMMARIES:
                metrics.observe(
                    name, random.lognormvariate(-1, 1.5), route=route
                )


async def watch_holds(holds: list[float]) -> None:
    """Add the processor time of each turn of the event loop."""
    while True:
        began_at = time.thread_time()
        await asyncio.sleep(0)
        holds.append(time.thread_time() - began_at)


async def fetch(harness: FrontHarness) -> tuple[str, list[float]]:
    """Return the text of the metrics and the turns that it took."""
    holds: list[float] = []
    watch = asyncio.create_task(watch_holds(holds))
    response = await send_and_receive(
        harness.settings.control_address,
        b'GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
        timeout_seconds=200,
    )
    watch.cancel()
    return response.partition(b'\r\n\r\n')[2].decode(), holds


@pytest.mark.parametrize('route_count', [100, 2000])
def test_fetch_of_many_routes_leaves_room_for_calls(route_count: int) -> None:
    """Guards against a host that hangs while its metrics are fetched."""

    async def check(harness: FrontHarness) -> None:
        observe_routes(harness.metrics, route_count)
        fetches = [await fetch(harness) for _ in range(FETCHES)]
        text = fetches[0][0]
        counts = [
            sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name.endswith('_count')
        ]
        assert len(counts) == len(SUMMARIES) * route_count
        assert set(counts) == {CALLS_PER_ROUTE}
        assert min(max(holds) for _, holds in fetches) <= MAX_HOLD_SECONDS

    run_with_front(respond_ok, check)


def build_seconds(metrics: Metrics) -> float:
    """Return the processor time that the text of all metrics takes."""
    began_at = time.thread_time()
    metrics.render()
    return time.thread_time() - began_at


def test_text_of_many_routes_is_built_in_time() -> None:
    """Guards against a fetch that lasts longer than its period."""
    metrics = Metrics()
    observe_routes(metrics, 2000)
    fastest = min(build_seconds(metrics) for _ in range(FETCHES))
    assert fastest <= MAX_TOTAL_SECONDS
