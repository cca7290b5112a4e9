"""The exported metrics as the Prometheus client library parses them."""

from __future__ import annotations

import pytest
from prometheus_client.parser import text_string_to_metric_families

from burdockledge.telemetry import Metrics

REMOVED_ROUTE = "[('route', '(removed)'), ('status', '200')]"


def parse_families(metrics: Metrics) -> dict[str, tuple[str, dict[str, float]]]:
    """Return the type and the samples of each metric family."""
    return {
        family.name: (
            family.type,
            {
                f'{sample.name}{sorted(sample.labels.items())}': sample.value
                for sample in family.samples
            },
        )
        for family in text_string_to_metric_families(metrics.render())
    }


def test_counters_and_gauges_have_their_types() -> None:
    """Counters end in ``_total``; gauge functions are called at the scrape."""
    metrics = Metrics()
    gauge_value = [1.0]
    metrics.count('calls', 2, status='200', route='r')
    metrics.count('calls', status='503', route='r')
    metrics.set_gauge_function('held', lambda: gauge_value[0])
    gauge_value[0] = 7
    families = parse_families(metrics)
    assert families['burdockledge_calls'] == (
        'counter',
        {
            "burdockledge_calls_total[('route', 'r'), ('status', '200')]": 2,
            "burdockledge_calls_total[('route', 'r'), ('status', '503')]": 1,
        },
    )
    assert families['burdockledge_held'] == (
        'gauge',
        {'burdockledge_held[]': 7},
    )


def test_durations_are_summaries_in_seconds() -> None:
    """Durations are exported with quantiles, count and sum, in seconds."""
    metrics = Metrics()
    for hundredths in range(1, 101):
        metrics.observe('wait_seconds', hundredths / 100)
    kind, samples = parse_families(metrics)['burdockledge_wait_seconds']
    assert kind == 'summary'
    assert samples['burdockledge_wait_seconds_count[]'] == 100
    total = samples['burdockledge_wait_seconds_sum[]']
    assert total == pytest.approx(50.5, rel=0.02)
    median = samples["burdockledge_wait_seconds[('quantile', '0.5')]"]
    assert median == pytest.approx(0.5, rel=0.02)


@pytest.mark.parametrize('text', ['a "b"', 'a\\b', 'a\nb', 'ä'])
def test_label_values_are_escaped(text: str) -> None:
    """Quotes, backslashes and newlines in a label value are escaped."""
    metrics = Metrics()
    metrics.count('calls', why=text)
    _, samples = parse_families(metrics)['burdockledge_calls']
    expected = f'burdockledge_calls_total{sorted([("why", text)])}'
    assert samples == {expected: 1}


def test_removed_labels_are_folded_into_one() -> None:
    """Guards against totals that shrink when routes are removed."""
    metrics = Metrics()
    for number in range(4):
        metrics.count('calls', route=f'r{number}', status='200')
        metrics.observe('call_seconds', number, route=f'r{number}')
    metrics.retain('route', ['r0', 'r1'])
    metrics.retain('route', ['r0'])
    metrics.count('calls', route='r3', status='200')
    metrics.observe('call_seconds', 9, route='r3')
    families = parse_families(metrics)
    assert list(families['burdockledge_calls'][1].items()) == [
        ("burdockledge_calls_total[('route', 'r0'), ('status', '200')]", 1),
        (f'burdockledge_calls_total{REMOVED_ROUTE}', 4),
    ]
    _, durations = families['burdockledge_call_seconds']
    folded = "[('route', '(removed)')]"
    assert durations[f'burdockledge_call_seconds_count{folded}'] == 4
    assert durations[f'burdockledge_call_seconds_sum{folded}'] == 15
    assert len(durations) == 5 + 2 + 2
