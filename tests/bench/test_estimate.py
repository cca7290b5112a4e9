"""The estimates scale with the fleet as the fitted lines say."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from burdockledge.bench import FLEET, CapacityData, estimate_roles, fit_line

DATA = Path(__file__).parent.parent.parent / 'docs' / 'data' / 'capacity.json'


@pytest.fixture
def capacity() -> CapacityData:
    """Return the recorded measurements."""
    return CapacityData.model_validate_json(DATA.read_text('utf-8'))


def test_fit_recovers_exact_line() -> None:
    """Points on a line give its slope and intercept without a residual."""
    line = fit_line([1, 2, 4], [5, 7, 11])
    assert (line.slope, line.intercept) == pytest.approx((2, 3))
    assert line.residual == pytest.approx(0)
    assert line.at(10) == pytest.approx(23)


@pytest.mark.parametrize(
    ('role', 'changes', 'factor'),
    [
        ('lead', {'requests_per_second': FLEET.requests_per_second * 2}, 2),
        ('lead', {'hosts': FLEET.hosts * 2}, 0.5),
        ('claims, every host reads all', {'keyed_share': 0.04}, 2),
        ('configuration holder', {'patches_per_day': 6400}, 2),
    ],
)
def test_core_share_scales_with_fleet(
    capacity: CapacityData,
    role: str,
    changes: dict[str, float],
    factor: float,
) -> None:
    """The core share of a role is proportional to the load behind it."""
    before = {row.role: row for row in estimate_roles(capacity)}[role]
    fleet = replace(FLEET, **changes)
    after = {row.role: row for row in estimate_roles(capacity, fleet)}[role]
    assert after.core_share == pytest.approx(before.core_share * factor)
