"""
Counters, gauges and latency summaries, in the Prometheus text format.

Source of the format and of the names: the Prometheus text exposition format,
version 0.0.4.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from itertools import groupby
from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_MIN_DURATION_US: Final = 1
_MAX_DURATION_US: Final = 3_600_000_000
_SIGNIFICANT_DIGITS: Final = 2
_PERCENTILES: Final = (50, 90, 95, 99, 99.9)
_PERCENT: Final = 100
_US_PER_SECOND: Final = 1_000_000

# A series is the name of a metric and its label pairs, sorted by label.
_Labels = tuple[tuple[str, str], ...]
_Series = tuple[str, _Labels]
_Family = tuple[str, list[_Series]]
GaugeReader = Callable[[], float]


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        """Create an empty set of metrics."""
        self._counters: Counter[_Series] = Counter()
        self._gauges: dict[_Series, GaugeReader] = {}
        self._histograms: dict[_Series, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter, which is exported as ``name_total``."""
        self._counters[_make_series(f'{name}_total', labels)] += amount

    def set_gauge(self, name: str, level: float, **labels: str) -> None:
        """Set a gauge to a constant."""
        self.set_gauge_function(name, lambda: level, **labels)

    def set_gauge_function(
        self, name: str, read_gauge: GaugeReader, **labels: str
    ) -> None:
        """Set a gauge to a function that is called at each scrape."""
        self._gauges[_make_series(name, labels)] = read_gauge

    def drop_gauge(self, name: str, **labels: str) -> None:
        """Export a gauge no longer."""
        self._gauges.pop(_make_series(name, labels), None)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds."""
        series = _make_series(name, labels)
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(
                _MIN_DURATION_US, _MAX_DURATION_US, _SIGNIFICANT_DIGITS
            )
            self._histograms[series] = histogram
        histogram.record_value(
            max(_MIN_DURATION_US, int(seconds * _US_PER_SECOND))
        )

    def counter(self, name: str, **labels: str) -> int:
        """Return the value of a counter."""
        return self._counters[_make_series(f'{name}_total', labels)]

    def render(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
        return '\n'.join((*self._format_lines(), ''))

    def _format_lines(self) -> Iterator[str]:
        for name, counters in _group_families(self._counters):
            yield f'# TYPE {name} counter'
            for series in counters:
                yield f'{_format_series(series)} {self._counters[series]}'
        for name, gauges in _group_families(self._gauges):
            yield f'# TYPE {name} gauge'
            for series in gauges:
                yield f'{_format_series(series)} {self._gauges[series]()}'
        for name, summaries in _group_families(self._histograms):
            yield f'# TYPE {name} summary'
            for series in summaries:
                yield from _format_summary(series, self._histograms[series])


def _group_families(metrics: Iterable[_Series]) -> Iterator[_Family]:
    """Yield each metric name with its series, in sorted order."""
    for name, group in groupby(sorted(metrics), key=_metric_name):
        yield name, list(group)


def _metric_name(series: _Series) -> str:
    return series[0]


def _format_summary(series: _Series, histogram: HdrHistogram) -> Iterator[str]:
    for percentile in _PERCENTILES:
        duration_us = histogram.get_value_at_percentile(percentile)
        quantile = str(percentile / _PERCENT)
        yield (
            f'{_format_series(series, ("quantile", quantile))} '
            f'{duration_us / _US_PER_SECOND}'
        )
    name, labels = series
    count = histogram.get_total_count()
    total = histogram.get_mean_value() * count / _US_PER_SECOND
    yield f'{_format_series((f"{name}_sum", labels))} {total}'
    yield f'{_format_series((f"{name}_count", labels))} {count}'


def _make_series(name: str, labels: dict[str, str]) -> _Series:
    return f'burdockledge_{name}', tuple(sorted(labels.items()))


def _format_series(series: _Series, *extra_labels: tuple[str, str]) -> str:
    name, labels = series
    label_text = ','.join(
        f'{label}="{_escape_label(text)}"'
        for label, text in (*labels, *extra_labels)
    )
    return f'{name}{{{label_text}}}' if label_text else name


def _escape_label(text: str) -> str:
    quoted = text.replace('\\', r'\\').replace('"', r'\"')
    return quoted.replace('\n', r'\n')


__all__ = ('Metrics',)
