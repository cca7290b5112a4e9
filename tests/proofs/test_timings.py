"""Test the limits: propagation within 6 s, leaving servers within 3 s."""

from __future__ import annotations

import pytest

from tests.proofs.timings import late_dispatch_seconds, propagation_seconds

PROPAGATION_LIMIT_SECONDS = 6
LEAVING_LIMIT_SECONDS = 3


@pytest.mark.parametrize('log_fails', [False, True])
@pytest.mark.parametrize('seed', range(10))
def test_patch_reaches_all_hosts_in_time(seed: int, log_fails: bool) -> None:
    """Nine hosts apply a patch in time, even if the log then fails."""
    seconds = propagation_seconds(seed, log_fails=log_fails)
    assert seconds <= PROPAGATION_LIMIT_SECONDS


@pytest.mark.parametrize(
    'leaving_signal', ['configuration', 'host list', 'refusal']
)
def test_leaving_server_gets_no_late_work(leaving_signal: str) -> None:
    """Each signal that a server is leaving stops new calls in time."""
    assert late_dispatch_seconds(leaving_signal) <= LEAVING_LIMIT_SECONDS
