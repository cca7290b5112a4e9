"""
Counters, gauges and latency summaries, in the Prometheus text format.

Source of the format and of the names: the Prometheus text exposition format,
version 0.0.4.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final, TypeVar

from burdockledge.telemetry._durations import Durations, DurationTotals

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_QUANTILES: Final = (0.5, 0.9, 0.95, 0.99, 0.999)
# Series for each part of the text: the event loop runs between the parts.
_VALUES_PER_PART: Final = 256
_SUMMARIES_PER_PART: Final = 24

# The text of a label for all series whose own text is no longer known.
REMOVED: Final = '(removed)'

# A series is a metric with one set of label pairs, sorted by label.
_Labels = tuple[tuple[str, str], ...]
GaugeReader = Callable[[], float]
_SeriesT = TypeVar('_SeriesT')
_Families = dict[str, dict[_Labels, _SeriesT]]


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        """Create an empty set of metrics."""
        self._counters: _Families[int] = {}
        self._gauges: _Families[GaugeReader] = {}
        self._summaries: _Families[DurationTotals] = {}
        self._known_texts: dict[str, frozenset[str]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter, which is exported as ``name_total``."""
        family = self._counters.setdefault(f'{name}_total', {})
        series = self._known_labels(labels)
        family[series] = family.get(series, 0) + amount

    def set_gauge(self, name: str, level: float, **labels: str) -> None:
        """Set a gauge to a constant."""
        self.set_gauge_function(name, lambda: level, **labels)

    def set_gauge_function(
        self, name: str, read_gauge: GaugeReader, **labels: str
    ) -> None:
        """Set a gauge to a function that is called at each scrape."""
        family = self._gauges.setdefault(name, {})
        family[_make_labels(labels)] = read_gauge

    def drop_gauge(self, name: str, **labels: str) -> None:
        """Export a gauge no longer."""
        self._gauges.get(name, {}).pop(_make_labels(labels), None)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds."""
        family = self._summaries.setdefault(name, {})
        series = self._known_labels(labels)
        durations = family.get(series)
        if durations is None:
            is_removed = REMOVED in labels.values()
            durations = DurationTotals() if is_removed else Durations()
            family[series] = durations
        durations.add(seconds)

    def retain(self, label: str, texts: Iterable[str]) -> None:
        """
        Fold the counters and summaries with other texts of a label into one.

        Later counts and durations with other texts are added there, too.
        Its summaries have a sum and a count, but no quantiles.
        """
        known = frozenset(texts)
        self._known_texts[label] = known
        for counters in self._counters.values():
            for series, folded in _find_removed(counters, label, known):
                total = counters.pop(series)
                counters[folded] = counters.get(folded, 0) + total
        for summaries in self._summaries.values():
            for series, folded in _find_removed(summaries, label, known):
                durations = summaries.pop(series)
                if folded not in summaries:
                    summaries[folded] = DurationTotals()
                summaries[folded].add_totals(durations)

    def counter(self, name: str, **labels: str) -> int:
        """Return the value of a counter."""
        family = self._counters.get(f'{name}_total', {})
        return family.get(_make_labels(labels), 0)

    def render(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
        return ''.join(self.render_parts())

    def render_parts(self) -> Iterator[str]:
        """
        Yield the text of all metrics in parts that take little time each.

        Metrics may change between the parts.
        """
        yield from _render_families(
            self._counters, 'counter', _VALUES_PER_PART, _format_value
        )
        yield from _render_families(
            self._gauges, 'gauge', _VALUES_PER_PART, _format_gauge
        )
        yield from _render_families(
            self._summaries, 'summary', _SUMMARIES_PER_PART, _format_summary
        )

    def _known_labels(self, labels: dict[str, str]) -> _Labels:
        for label, known in self._known_texts.items():
            if label in labels and labels[label] not in known:
                labels[label] = REMOVED
        return _make_labels(labels)


def _render_families(
    families: _Families[_SeriesT],
    kind: str,
    series_per_part: int,
    format_series: Callable[[str, _Labels, _SeriesT], str],
) -> Iterator[str]:
    """Yield the text of all metrics of a kind, each as of its first part."""
    for family in sorted(families):
        name = f'burdockledge_{family}'
        series = list(families[family].items())
        yield f'# TYPE {name} {kind}\n'
        for start in range(0, len(series), series_per_part):
            yield ''.join(
                format_series(name, labels, current)
                for labels, current in series[start : start + series_per_part]
            )


def _format_value(name: str, labels: _Labels, number: float) -> str:
    return f'{name}{_format_labels(labels)} {number}\n'


def _format_gauge(name: str, labels: _Labels, read_gauge: GaugeReader) -> str:
    return _format_value(name, labels, read_gauge())


def _format_summary(
    name: str, labels: _Labels, durations: DurationTotals
) -> str:
    text = _format_labels(labels)
    opening = f'{text[:-1]},' if text else '{'
    quantiles = ''.join(
        f'{name}{opening}quantile="{share}"}} {seconds:.6g}\n'
        for share, seconds in zip(
            _QUANTILES, durations.quantiles(_QUANTILES), strict=False
        )
    )
    return (
        f'{quantiles}{name}_sum{text} {durations.seconds}\n'
        f'{name}_count{text} {durations.count}\n'
    )


def _find_removed(
    family: dict[_Labels, _SeriesT], label: str, known: frozenset[str]
) -> list[tuple[_Labels, _Labels]]:
    """Return the series whose label has another text, and their folds."""
    return [
        (series, _fold(series, label))
        for series in family
        for name, text in series
        if name == label and text not in known and text != REMOVED
    ]


def _fold(series: _Labels, label: str) -> _Labels:
    return tuple(
        (name, REMOVED if name == label else text) for name, text in series
    )


def _make_labels(labels: dict[str, str]) -> _Labels:
    return tuple(sorted(labels.items()))


def _format_labels(labels: _Labels) -> str:
    text = ','.join(f'{label}="{_escape(text)}"' for label, text in labels)
    return f'{{{text}}}' if text else ''


def _escape(text: str) -> str:
    quoted = text.replace('\\', r'\\').replace('"', r'\"')
    return quoted.replace('\n', r'\n')


__all__ = ('GaugeReader', 'Metrics')
