"""Running estimates of a quantile and of a line, which forget old samples."""

from __future__ import annotations

from typing import Final

# The first samples move an estimate quickly away from its prior, later ones
# by at least this share, so that it follows changes.
_FIRST_STEP: Final = 0.5
_MIN_STEP: Final = 0.04
# Neither part of a line falls below this share of its prior.
_MIN_PRIOR_RATIO: Final = 0.02
_MIN_RELATIVE_VARIANCE: Final = 0.01


class QuantileEstimate:
    """
    Estimates a quantile of positive samples by stochastic approximation.

    A sample moves the estimate by a share of itself, up or down, so a single
    wild sample does no more harm than any other one. Source: Robbins and
    Monro, "A Stochastic Approximation Method", 1951.
    """

    def __init__(self, prior: float, quantile: float) -> None:
        """Start from a prior; ``quantile`` is between 0 and 1."""
        self.estimate = prior
        self._quantile = quantile
        self._sample_count = 0

    def add(self, sample: float) -> None:
        """Move the estimate towards a sample."""
        self._sample_count += 1
        step = max(_MIN_STEP, _FIRST_STEP / self._sample_count**0.5)
        if sample > self.estimate:
            self.estimate *= 1 + step * self._quantile
        else:
            self.estimate *= 1 - step * (1 - self._quantile)


class LineEstimate:
    """
    Fits a line with a positive intercept by least squares.

    The prior is two points on a line; they and older samples lose weight
    with each new sample.
    """

    def __init__(
        self, intercept: float, slope: float, scale: float, retention: float
    ) -> None:
        """
        Start from a prior line.

        :param scale: a typical position.
        :param retention: the weight that a sample keeps after each further
            one, below 1.
        """
        self._retention = retention
        self._weight = 0.0
        self._sum_x = 0.0
        self._sum_y = 0.0
        self._sum_xx = 0.0
        self._sum_xy = 0.0
        self.intercept = intercept
        self.slope = slope
        self._min_intercept = intercept * _MIN_PRIOR_RATIO
        self._min_slope = slope * _MIN_PRIOR_RATIO
        for position in (0.0, scale):
            self._accumulate(position, intercept + slope * position)

    def add(self, position: float, sample: float) -> None:
        """Add a sample and fit the line again."""
        self._weight *= self._retention
        self._sum_x *= self._retention
        self._sum_y *= self._retention
        self._sum_xx *= self._retention
        self._sum_xy *= self._retention
        self._accumulate(position, sample)
        self._fit()

    def at(self, position: float) -> float:
        """Return the height of the line at a position."""
        return self.intercept + self.slope * position

    def _accumulate(self, position: float, sample: float) -> None:
        self._weight += 1
        self._sum_x += position
        self._sum_y += sample
        self._sum_xx += position * position
        self._sum_xy += position * sample

    def _fit(self) -> None:
        mean_x = self._sum_x / self._weight
        mean_y = self._sum_y / self._weight
        variance = self._sum_xx / self._weight - mean_x * mean_x
        covariance = self._sum_xy / self._weight - mean_x * mean_y
        # Samples at nearly one position can't tell the slope; it stays then.
        if variance > _MIN_RELATIVE_VARIANCE * mean_x * mean_x:
            self.slope = max(self._min_slope, covariance / variance)
        self.intercept = max(self._min_intercept, mean_y - self.slope * mean_x)


__all__ = ('LineEstimate', 'QuantileEstimate')
