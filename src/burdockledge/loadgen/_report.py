"""
Summarizes a run by request class.

Times are measured from when a request was due, not from when it was sent, so
that a slow answer does not hide the delay of later requests (coordinated
omission).
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any, Final

from hdrh.histogram import HdrHistogram

from burdockledge.claims import Outcome

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from burdockledge.loadgen._results import RequestResult, RunResults

_MAX_RECORDED_US: Final = 3_600_000_000
_SIGNIFICANT_DIGITS: Final = 3
_US_PER_SECOND: Final = 1_000_000
_US_PER_MS: Final = 1000
_MS_PER_SECOND: Final = 1000
_PERCENTILES: Final = (50, 90, 99)


@dataclass(frozen=True, slots=True)
class ClassReport:
    """
    The results of one request class.

    ``attained`` counts completed requests whose first token met the target.
    The percentiles of the time to first token are in milliseconds.
    """

    class_name: str
    sent: int
    attained: int
    completed: int
    not_run: int
    unknown: int
    tokens: int
    first_token_p50_ms: float
    first_token_p90_ms: float
    first_token_p99_ms: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The results by class, the wrong answers and the untrue outcomes."""

    classes: tuple[ClassReport, ...]
    wrong_answers: int
    untrue_outcomes: int

    @classmethod
    def from_results(
        cls,
        run_results: RunResults,
        targets_ms: Mapping[str, int],
        untrue_outcomes: int,
    ) -> LoadReport:
        """Summarize a run; targets are first-token times by class, in ms."""
        names = sorted({result.class_name for result in run_results.requests})
        return cls(
            classes=tuple(
                _class_report(
                    name,
                    [
                        one
                        for one in run_results.requests
                        if one.class_name == name
                    ],
                    targets_ms.get(name, 0),
                )
                for name in names
            ),
            wrong_answers=len(run_results.problems),
            untrue_outcomes=untrue_outcomes,
        )

    @property
    def is_correct(self) -> bool:
        """Whether every answer and every reported outcome was correct."""
        return not self.wrong_answers and not self.untrue_outcomes

    def as_dict(self) -> dict[str, Any]:
        """Return the report as a dictionary that can be written as JSON."""
        return asdict(self)


def render_table(report: LoadReport) -> str:
    """Return the report as a plain-text table."""
    head = (
        f'{"class":<14}{"sent":>7}{"attained":>10}{"completed":>11}'
        f'{"not-run":>9}{"unknown":>9}{"p50 ms":>9}{"p99 ms":>9}'
    )
    rows = [
        f'{one.class_name:<14}{one.sent:>7}'
        f'{one.attained / max(one.sent, 1):>10.1%}'
        f'{one.completed:>11}{one.not_run:>9}{one.unknown:>9}'
        f'{one.first_token_p50_ms:>9.0f}{one.first_token_p99_ms:>9.0f}'
        for one in report.classes
    ]
    error_counts = (
        f'wrong answers: {report.wrong_answers}, '
        f'untrue outcomes: {report.untrue_outcomes}'
    )
    return '\n'.join((head, *rows, error_counts))


def plot_report(run_results: RunResults, path: Path) -> None:
    """
    Save a plot of the times to first token.

    :raises ImportError: if matplotlib is not installed.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 4))
    axes = figure.subplots()
    for name in sorted({result.class_name for result in run_results.requests}):
        plotted = [
            one
            for one in run_results.requests
            if one.class_name == name and one.first_token_seconds is not None
        ]
        axes.plot(
            [one.at for one in plotted],
            [
                (one.first_token_seconds or 0) * _MS_PER_SECOND
                for one in plotted
            ],
            '.',
            label=name,
        )
    axes.set_xlabel('due at, s')
    axes.set_ylabel('first token, ms')
    axes.set_yscale('log')
    axes.legend()
    figure.savefig(path)


def _class_report(
    name: str,
    results: list[RequestResult],
    target_ms: int,
) -> ClassReport:
    histogram = HdrHistogram(1, _MAX_RECORDED_US, _SIGNIFICANT_DIGITS)
    attained = 0
    for result in results:
        if result.first_token_seconds is None:
            continue
        histogram.record_value(
            max(1, int(result.first_token_seconds * _US_PER_SECOND))
        )
        is_complete = result.outcome is Outcome.completed
        is_in_time = result.first_token_seconds * _MS_PER_SECOND <= target_ms
        attained += is_complete and is_in_time
    p50, p90, p99 = (
        histogram.get_value_at_percentile(percent) / _US_PER_MS
        for percent in _PERCENTILES
    )
    return ClassReport(
        class_name=name,
        sent=len(results),
        attained=attained,
        completed=_count(results, Outcome.completed),
        not_run=_count(results, Outcome.not_run),
        unknown=_count(results, Outcome.unknown),
        tokens=sum(result.tokens for result in results),
        first_token_p50_ms=p50,
        first_token_p90_ms=p90,
        first_token_p99_ms=p99,
    )


def _count(results: list[RequestResult], outcome: Outcome) -> int:
    return sum(result.outcome is outcome for result in results)


__all__ = ('ClassReport', 'LoadReport', 'plot_report', 'render_table')
