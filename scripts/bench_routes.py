"""Measure what many routes cost a host; print a Markdown table."""

from __future__ import annotations

import json
import sys
import time
from dataclasses import asdict, dataclass
from random import Random
from typing import TYPE_CHECKING, Any, Final

from burdockledge.platform import PlatformDecoder
from burdockledge.relay import RouteIndex
from burdockledge.telemetry import Metrics

if TYPE_CHECKING:
    from collections.abc import Callable

ROUTE_COUNTS: Final = (10, 100, 1000, 2000)
_CALLS_PER_ROUTE: Final = 50
_LOOK_UPS: Final = 2000
_REPEATS: Final = 5
_MS_PER_SECOND: Final = 1000
_US_PER_SECOND: Final = 1_000_000
_SUMMARIES: Final = (
    'call_seconds',
    'first_event_seconds',
    'longest_pause_seconds',
)


@dataclass(frozen=True, slots=True)
class RouteCosts:
    """Processor times and sizes at one number of routes."""

    routes: int
    metrics_ms: float
    longest_part_ms: float
    metrics_kb: float
    look_up_us: float
    decode_ms: float
    index_ms: float
    retain_ms: float


def measure_routes(route_count: int) -> RouteCosts:
    """Return the least processor times of several runs."""
    metrics = _make_metrics(route_count)
    text = metrics.render()
    content = json.dumps(_make_configuration(route_count)).encode()
    document = PlatformDecoder().decode_routing('config', content)
    if document is None:
        raise RuntimeError('the configuration can not be decoded')
    index = RouteIndex(document)
    paths = [f'/r{number % route_count}/a/b' for number in range(_LOOK_UPS)]
    return RouteCosts(
        routes=route_count,
        metrics_ms=_least_seconds(metrics.render) * _MS_PER_SECOND,
        longest_part_ms=min(
            _longest_part_seconds(metrics) for _ in range(_REPEATS)
        )
        * _MS_PER_SECOND,
        metrics_kb=len(text) / 1000,
        look_up_us=_least_seconds(
            lambda: [index.match('desk.example', path) for path in paths]
        )
        / _LOOK_UPS
        * _US_PER_SECOND,
        decode_ms=_least_seconds(
            lambda: PlatformDecoder().decode_routing('config', content)
        )
        * _MS_PER_SECOND,
        index_ms=_least_seconds(lambda: RouteIndex(document)) * _MS_PER_SECOND,
        retain_ms=min(
            _retain_seconds(_make_metrics(route_count)) for _ in range(_REPEATS)
        )
        * _MS_PER_SECOND,
    )


def render_routes(costs: list[RouteCosts]) -> str:
    """Return the costs as a Markdown table."""
    names = list(asdict(costs[0]))
    lines = [
        f'| {" | ".join(name.replace("_", " ") for name in names)} |',
        f'|{"---|" * len(names)}',
    ]
    lines.extend(
        f'| {" | ".join(f"{value:,.4g}" for value in asdict(one).values())} |'
        for one in costs
    )
    return '\n'.join(lines)


def _make_metrics(route_count: int) -> Metrics:
    random = Random(1)
    metrics = Metrics()
    for number in range(route_count):
        route = f'r{number}'
        metrics.count('calls', route=route, status='200')
        for name in _SUMMARIES:
            for _ in range(_CALLS_PER_ROUTE):
                metrics.observe(
                    name, random.lognormvariate(-1, 1.5), route=route
                )
    return metrics


def _make_configuration(route_count: int) -> dict[str, Any]:
    return {
        'version': 1,
        'routes': [
            {
                'name': f'r{number}',
                'hostname': 'desk.example',
                'path_prefix': f'/r{number}/',
                'route_type': 'streaming',
                'timeout_ms': 8000,
                'target_latency_ms': 1000,
                'backend': 'pool',
            }
            for number in range(route_count)
        ],
        'backends': [{'name': 'pool'}],
        'tenants': [{'name': 'team', 'api_keys': ['key']}],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def _longest_part_seconds(metrics: Metrics) -> float:
    longest = 0.0
    began_at = time.thread_time()
    for _ in metrics.render_parts():
        ended_at = time.thread_time()
        longest = max(longest, ended_at - began_at)
        began_at = ended_at
    return longest


def _retain_seconds(metrics: Metrics) -> float:
    """Return the time to fold the metrics of all routes into one."""
    began_at = time.thread_time()
    metrics.retain('route', ())
    return time.thread_time() - began_at


def _least_seconds(function: Callable[[], object]) -> float:
    times: list[float] = []
    for _ in range(_REPEATS):
        began_at = time.thread_time()
        function()
        times.append(time.thread_time() - began_at)
    return min(times)


if __name__ == '__main__':
    sys.stdout.write(
        f'{render_routes([measure_routes(one) for one in ROUTE_COUNTS])}\n'
    )
