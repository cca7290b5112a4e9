"""How headers of servers are decoded."""

from __future__ import annotations

import math

import pytest

from burdockledge.platform._calls import call_rate_limit

NOT_READABLE = math.nan


@pytest.mark.parametrize(
    ('headers', 'limit'),
    [
        ((), None),
        (('1.9',), 1.9),
        (('0.25',), 0.25),
        (('0',), 0.0),
        ((' 7 ',), 7.0),
        (('1e9',), 1e9),
        (('3', '2'), 2.0),
        (('3', 'many'), 3.0),
        (('-1',), NOT_READABLE),
        (('many',), NOT_READABLE),
        (('',), NOT_READABLE),
        (('inf',), NOT_READABLE),
        (('nan',), NOT_READABLE),
    ],
)
def test_limits_of_servers(
    headers: tuple[str, ...], limit: float | None
) -> None:
    """A header that is no number of calls is told from a missing one."""
    decoded = call_rate_limit(headers)
    if limit is None:
        assert decoded is None
    else:
        assert decoded == pytest.approx(limit, nan_ok=True)
