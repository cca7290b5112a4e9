"""Fits a straight line by least squares and returns its residual."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict

if TYPE_CHECKING:
    from collections.abc import Sequence


class LinearFit(BaseModel):
    """
    A least-squares fit of ``measured = intercept + slope * size``.

    ``residual`` is the largest distance of a measured point from the line,
    as a share of the largest measured value.
    """

    model_config = ConfigDict(frozen=True)

    sizes: tuple[float, ...]
    measured: tuple[float, ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the fitted value at a size; negative values become zero."""
        return max(0, self.intercept + self.slope * size)


def fit_line(sizes: Sequence[float], measured: Sequence[float]) -> LinearFit:
    """
    Fit a line to measured points, one measured value for each size.

    :raises statistics.StatisticsError: if there are fewer than two sizes.
    """
    slope, intercept = statistics.linear_regression(sizes, measured)
    distances = (
        abs(intercept + slope * size - value)
        for size, value in zip(sizes, measured, strict=True)
    )
    largest = max(abs(value) for value in measured)
    return LinearFit(
        sizes=tuple(sizes),
        measured=tuple(measured),
        slope=slope,
        intercept=intercept,
        residual=max(distances) / largest if largest else 0,
    )


__all__ = ('LinearFit', 'fit_line')
