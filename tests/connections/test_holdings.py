"""Which connections are closed when a bound is exceeded."""

from __future__ import annotations

import pytest

from burdockledge.connections import Holding, choose_closed, derive_limits

MEBIBYTE = 1024 * 1024


def holding(
    key: str, size: int = 0, seconds: float = 1, *, is_idle: bool = False
) -> Holding[str]:
    """Return what one connection holds."""
    return Holding(key, size, seconds, is_idle)


CALM = [holding('a', 100), holding('b', is_idle=True)]


@pytest.mark.parametrize(
    ('holdings', 'max_bytes', 'max_count', 'expected'),
    [
        pytest.param(CALM, 100, 2, [], id='within both bounds'),
        pytest.param(
            [holding('a', 80, 1), holding('b', 70, 9)],
            100,
            9,
            ['b'],
            id='most for longest',
        ),
        pytest.param(
            [holding('a', 80, 0), holding('b', 70, 0)],
            100,
            9,
            ['a'],
            id='the largest of those that came at once',
        ),
        pytest.param(
            [holding('a', 110), holding('b', is_idle=True, seconds=99)],
            100,
            9,
            ['a'],
            id='idle connections free no bytes',
        ),
        pytest.param(
            [holding('a', is_idle=True), holding('b', is_idle=True, seconds=9)],
            100,
            1,
            ['b', 'a'],
            id='longest idle first',
        ),
        pytest.param(
            [holding('a'), holding('b')],
            100,
            1,
            [],
            id='calls in flight are not closed',
        ),
    ],
)
def test_choice(
    holdings: list[Holding[str]],
    max_bytes: int,
    max_count: int,
    expected: list[str],
) -> None:
    """Guards against the loss of callers that hold little."""
    assert choose_closed(holdings, max_bytes, max_count) == expected


@pytest.mark.parametrize(
    ('memory_bytes', 'max_descriptors', 'held_mebibytes', 'connections'),
    [
        pytest.param(None, None, 32, 1934, id='unknown'),
        pytest.param(80 * MEBIBYTE, 400, 8, 84, id='of the crowd tests'),
        pytest.param(100 * MEBIBYTE, 4100, 18, 1934, id='between'),
        pytest.param(552 * MEBIBYTE, 8192, 32, 3980, id='largest host'),
        pytest.param(1, 1, 8, 32, id='least'),
    ],
)
def test_limits(
    memory_bytes: int | None,
    max_descriptors: int | None,
    held_mebibytes: int,
    connections: int,
) -> None:
    """Guards against bounds over what the process may have."""
    limits = derive_limits(memory_bytes, max_descriptors)
    assert limits.held_bytes == held_mebibytes * MEBIBYTE
    assert limits.connections == connections
