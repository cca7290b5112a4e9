"""Every fault at every step, and pairs of faults on at-most-once steps."""

from __future__ import annotations

from itertools import combinations

import pytest

from tests.proofs.faults import AT_MOST_ONCE_STEPS, FAULTS, STEPS
from tests.proofs.matrix import run_cell

FAULT_PAIRS = tuple(combinations(FAULTS, 2))


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('fault', FAULTS)
def test_fault_at_step(fault: str, step: str) -> None:
    """One fault at one step breaks no invariant."""
    assert run_cell((fault,), step).step_reached, 'the step was not reached'


@pytest.mark.parametrize('step', AT_MOST_ONCE_STEPS)
@pytest.mark.parametrize('pair', FAULT_PAIRS, ids=' + '.join)
def test_fault_pair_at_step(pair: tuple[str, str], step: str) -> None:
    """Two faults at one at-most-once step break no invariant."""
    assert run_cell(pair, step).step_reached, 'the step was not reached'
