"""Reads the journal entries that the users' benchmark writes of each run."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pydantic import BaseModel, Field, ValidationError
from result import Err, Ok, Result

if TYPE_CHECKING:
    from pathlib import Path


class _Day(BaseModel):
    name: str
    # Worth of the day, not limited to 1.
    worth: float = Field(alias='G')
    # Worth for which the benchmark gives the day the score 1.
    upper: float | None = Field(alias='top', default=None)
    # Number of violations of each rule.
    rules: dict[str, int] = {}
    # Name, weight and worth of each part of the day's worth.
    parts: tuple[tuple[str, float, float], ...] = ()
    # Name, amount and worth of each cost deducted from the day's worth.
    prices: tuple[tuple[str, float, float], ...] = ()
    # Why the benchmark aborted the day.
    fault: str | None = None


class _Entry(BaseModel):
    # Start and end of the run, as ISO 8601 timestamps.
    at: tuple[str, str]
    cmd: str
    argv: tuple[str, ...] = ()
    site: str | None = None
    score: float | None = None
    error: str | None = None
    days: tuple[_Day, ...] = ()


@dataclass(frozen=True, slots=True)
class DayResult:
    """
    The result of one simulated day of the benchmark.

    ``full_score_worth`` is the worth for which the score is 1.
    ``broken_rules`` holds the number of violations by rule.
    ``limiting_factors`` tells why the day was aborted, or names the worst
    part and the highest cost.
    """

    name: str
    worth: float
    full_score_worth: float | None
    broken_rules: dict[str, int]
    limiting_factors: str


@dataclass(frozen=True, slots=True)
class BenchmarkRun:
    """
    One run of the benchmark.

    ``started_at`` is a timestamp in ISO 8601. ``command`` is the command of
    the benchmark that was run, such as score, run or hunt. ``is_complete``
    tells whether its days were simulated to their end.
    """

    started_at: str
    command: str
    site: str
    score: float | None
    is_complete: bool
    days: tuple[DayResult, ...]


def read_journal(directory: Path) -> Result[list[BenchmarkRun], str]:
    """Return the runs in a directory, oldest first, or an error."""
    runs: list[BenchmarkRun] = []
    for path in sorted(directory.glob('*.json')):
        try:
            entry = _Entry.model_validate(json.loads(path.read_text('utf-8')))
        except (OSError, ValueError, ValidationError) as error:
            return Err(f'{path}: {error}')
        if entry.site is not None:
            runs.append(_to_run(entry, entry.site))
    return Ok(sorted(runs, key=lambda run: run.started_at))


def _to_run(entry: _Entry, site: str) -> BenchmarkRun:
    return BenchmarkRun(
        started_at=entry.at[0],
        command=entry.cmd,
        site=site,
        score=entry.score,
        is_complete=entry.error is None and '--until' not in entry.argv,
        days=tuple(_to_day(day) for day in entry.days),
    )


def _to_day(day: _Day) -> DayResult:
    return DayResult(
        day.name,
        day.worth,
        day.upper,
        day.rules,
        _describe_limiting_factors(day),
    )


def _describe_limiting_factors(day: _Day) -> str:
    if day.fault is not None:
        return day.fault
    if not day.parts:
        return ''
    worst_part: Any = min(day.parts, key=lambda part: part[2])
    total_cost = sum(cost[2] for cost in day.prices)
    text = f'{worst_part[0]} {worst_part[2]:.2f}; prices {total_cost:.3f}'
    if not day.prices:
        return text
    highest_cost = max(day.prices, key=lambda cost: cost[2])
    return f'{text}, most for {highest_cost[0]} ({highest_cost[2]:.3f})'


__all__ = ('BenchmarkRun', 'DayResult', 'read_journal')
