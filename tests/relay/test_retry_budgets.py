"""The retry budgets of services that come and go."""

from __future__ import annotations

import pytest

from burdockledge.relay import RetryBudgetSettings
from burdockledge.relay._retry_budget import RetryBudgets


@pytest.mark.parametrize(
    ('seconds', 'is_dropped'), [(9.0, False), (11.0, True)]
)
def test_budget_in_use_is_kept(seconds: float, *, is_dropped: bool) -> None:
    """Guards against a used budget that starts anew within its window."""
    budgets = RetryBudgets(RetryBudgetSettings(0.2, 10, 10))
    budget = budgets.of('model')
    budget.note_first_send(0)
    budget.try_spend(0, 1)
    budgets.drop_unused(seconds)
    assert (budgets.of('model') is not budget) == is_dropped
