"""Results of the users' benchmark; not used by serving processes."""

from __future__ import annotations

from burdockledge.platform.results._journal import (
    BenchmarkRun,
    DayResult,
    read_journal,
)
from burdockledge.platform.results._page import plot_results, render_results

__all__ = (
    'BenchmarkRun',
    'DayResult',
    'plot_results',
    'read_journal',
    'render_results',
)
