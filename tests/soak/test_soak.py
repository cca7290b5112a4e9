"""Run a short soak of real processes, and the seeds that failed before."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak._run import Plan, run_soak

# Seeds that failed before, each with its cause.
REGRESSION_PLANS: dict[str, Plan] = {
    # SIGHUP terminated a host that was still loading its modules.
    'reload while loading': Plan(seed=110, seconds=16),
    # 17 requests with a part that ends servers reached them after the fifth.
    'fatal prompt part': Plan(seed=2, seconds=20),
    # A host that the store turned away took no large notes of restarted hosts,
    # and followed an outdated configuration.
    'outdated configuration': Plan(
        seed=4, seconds=32, hosts=3, kinds=('reject_hosts_around_restarts',)
    ),
    # A copy of a refusal answered for the same request on its connection, which
    # ran twice, or ran though its caller was told that it had not.
    'copied refusals': Plan(
        seed=1,
        seconds=10,
        hosts=3,
        callers=6,
        kinds=('copy_refusals', 'leave_former_entries'),
    ),
}
CROWDED_PLAN = Plan(seed=52, seconds=10, hosts=3, callers=6, crowd=120)
SHORT_PLAN = Plan(seed=7, seconds=10, hosts=3, callers=6)


@pytest.mark.timeout(120)
@pytest.mark.parametrize(
    'plan',
    [SHORT_PLAN, CROWDED_PLAN, *REGRESSION_PLANS.values()],
    ids=['short', 'crowded', *REGRESSION_PLANS],
)
def test_no_invariant_is_violated(plan: Plan, tmp_path: Path) -> None:
    """Hosts violate no invariant under the faults of a seed."""
    assert run_soak(plan, tmp_path) == []
