"""Test that a cell of the fault matrix detects each mutation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from tests.proofs.matrix import run_cell
from tests.proofs.mutations import MUTATIONS

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager


@pytest.mark.parametrize(
    'mutation',
    MUTATIONS,
    ids=[mutation.__name__ for mutation in MUTATIONS],
)
def test_mutation_is_detected(
    mutation: Callable[[], AbstractContextManager[Any]],
) -> None:
    """The cell passes with the original code and fails when mutated."""
    faults, step = MUTATIONS[mutation]
    run_cell(faults, step)
    with mutation(), pytest.raises(AssertionError) as failure:
        run_cell(faults, step)
    print(f'{mutation.__name__}: {failure.value}'[:160])
