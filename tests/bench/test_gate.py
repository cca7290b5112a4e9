"""The benchmark of the gate measures and judges what it says."""

from __future__ import annotations

from dataclasses import replace

import pytest

from burdockledge.bench import GateCosts, measure_gate, render_gate

COSTS = GateCosts(45, 1.0, 20.0, 60.0, 600.0)


@pytest.mark.parametrize(
    ('costs', 'is_in_bound'),
    [
        (COSTS, True),
        (replace(COSTS, check=2.0), False),
        (replace(COSTS, busy_selection=90.0), False),
        (replace(COSTS, placement=1.0), True),
    ],
    ids=['both in bound', 'check', 'selection', 'fast placement'],
)
def test_bound_holds_for_each_server(
    costs: GateCosts, is_in_bound: bool
) -> None:
    """Guards against a bound that only one of the two checks has to meet."""
    assert costs.is_in_bound is is_in_bound
    assert ('missed' in render_gate(costs)) is not is_in_bound


def test_each_step_is_measured() -> None:
    """Guards against steps that are left out, such as an empty selection."""
    costs = measure_gate(8, 20)
    assert min(costs.check, costs.quiet_selection, costs.busy_selection) > 0
    assert costs.placement > costs.check


def test_table_has_the_ratio_to_a_placement() -> None:
    """The costs are comparable to those of other machines by their ratio."""
    assert '| selection, with notices | 60.00 | 0.100 |' in render_gate(COSTS)
