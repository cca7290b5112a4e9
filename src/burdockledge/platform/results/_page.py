"""Renders the benchmark results of all sites as a page and a plot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

    from burdockledge.platform.results._journal import BenchmarkRun, DayResult

# Commands of the benchmark whose runs are part of a day's history.
_SHOWN_COMMANDS: Final = ('score', 'run')
# Name of a day, and its results in the order of the runs.
_DayHistory = tuple[str, list['DayResult']]
# Prefix of the names of days that the benchmark generates for a single run;
# they have no history.
_GENERATED_DAY_PREFIX: Final = 'fresh-'
_WIDTH_INCHES_PER_DAY: Final = 0.8
_HEIGHT_INCHES: Final = 4


def render_results(runs: list[BenchmarkRun]) -> str:
    """Return a Markdown page with standard days, scores and hunts by site."""
    lines = ['# Figures of the played days', '']
    lines.append('Made by `burdockledge bench results` from `journal/`.')
    for site in sorted({run.site for run in runs}):
        site_runs = [run for run in runs if run.site == site]
        lines += [
            '',
            f'## {site}',
            '',
            *_render_days(site_runs),
            *_render_scores(site_runs),
        ]
        lines += _render_hunts(site_runs)
    return '\n'.join((*lines, ''))


def plot_results(runs: list[BenchmarkRun], path: Path) -> None:
    """
    Plot the latest worth of each standard day and its worth for score 1.

    :raises ImportError: if matplotlib is not installed.
    """
    from matplotlib.figure import Figure  # noqa: PLC0415

    bars = [
        (f'{site}\n{name}', days[-1])
        for site in sorted({run.site for run in runs})
        for name, days in _day_histories(
            run for run in runs if run.site == site
        )
    ]
    figure = Figure(
        figsize=(len(bars) * _WIDTH_INCHES_PER_DAY + 2, _HEIGHT_INCHES)
    )
    axes = figure.subplots()
    positions = range(len(bars))
    axes.bar(positions, [day.worth for _, day in bars], label='worth')
    full_score_points = [
        (position, day.full_score_worth)
        for position, (_, day) in enumerate(bars)
        if day.full_score_worth is not None
    ]
    axes.plot(
        [position for position, _ in full_score_points],
        [full_score_worth for _, full_score_worth in full_score_points],
        'k_',
        label='upper mark',
    )
    axes.set_xticks(
        positions, [name for name, _ in bars], rotation=90, fontsize='small'
    )
    axes.set_ylabel('worth of the day')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def _day_histories(runs: Iterable[BenchmarkRun]) -> Iterator[_DayHistory]:
    """Yield the results of each standard day, in the order of the runs."""
    days: dict[str, list[DayResult]] = {}
    for run in runs:
        if run.command not in _SHOWN_COMMANDS or not run.is_complete:
            continue
        for day in run.days:
            if not day.name.startswith(_GENERATED_DAY_PREFIX):
                days.setdefault(day.name, []).append(day)
    yield from sorted(days.items())


def _render_days(runs: list[BenchmarkRun]) -> Iterator[str]:
    yield '| day | plays | first | last | upper mark | broken | what binds |'
    yield '|---|---|---|---|---|---|---|'
    for name, days in _day_histories(runs):
        latest = days[-1]
        full_score_worth = (
            ''
            if latest.full_score_worth is None
            else f'{latest.full_score_worth:.3f}'
        )
        yield (
            f'| {name} | {len(days)} | {days[0].worth:.3f} '
            f'| {latest.worth:.3f} | {full_score_worth} '
            f'| {_render_broken_rules(latest)} | {latest.limiting_factors} |'
        )


def _render_scores(runs: list[BenchmarkRun]) -> Iterator[str]:
    scored = [run for run in runs if run.score is not None]
    if scored:
        yield ''
    for run in scored:
        broken_days = [day.name for day in run.days if day.broken_rules]
        days_text = ', '.join(broken_days) or 'none'
        yield f'- score {run.score:.3f} ({run.started_at}); broken: {days_text}'


def _render_hunts(runs: list[BenchmarkRun]) -> Iterator[str]:
    hunts = [run for run in runs if run.command == 'hunt']
    if hunts:
        yield ''
    for run in hunts:
        broken_days = [
            f'{day.name} ({_render_broken_rules(day)})'
            for day in run.days
            if day.broken_rules
        ]
        days_text = ', '.join(broken_days) or 'none'
        suffix = '' if run.is_complete else ', not finished'
        yield (
            f'- hunt of {len(run.days)} days ({run.started_at}{suffix}); '
            f'broken: {days_text}'
        )


def _render_broken_rules(day: DayResult) -> str:
    return ', '.join(
        f'{rule} {count}' for rule, count in day.broken_rules.items()
    )


__all__ = ('plot_results', 'render_results')
