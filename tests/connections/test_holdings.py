"""Which connections are closed when a bound is exceeded."""

from __future__ import annotations

import pytest

from burdockledge.connections import (
    MIN_HELD_BYTES,
    Holding,
    choose_closed,
    derive_limits,
)

MEBIBYTE = 1024 * 1024


def holding(
    key: str, size: int = 0, seconds: float = 1, **states: bool
) -> Holding[str]:
    """Return what one connection holds."""
    return Holding(key, size, seconds, **{'is_idle': False, **states})


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
        pytest.param(
            [
                holding('a', 90, 9, is_answering=True),
                holding('b', 30),
                holding('c', 20),
            ],
            120,
            9,
            ['b', 'c'],
            id='responses that have begun last',
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
    (
        'memory_mebibytes',
        'max_descriptors',
        'calm_mebibytes',
        'held_mebibytes',
        'connections',
    ),
    [
        pytest.param(None, None, 64, 68, 1934, id='unknown'),
        pytest.param(80, 400, 64, 8, 84, id='of the crowd tests'),
        pytest.param(100, 4100, 60, 20, 853, id='between'),
        pytest.param(150, 4100, 58, 46, 1934, id='a customer'),
        pytest.param(552, 8192, 72, 240, 3980, id='largest host'),
        pytest.param(1, 1, 1, 8, 32, id='least'),
    ],
)
def test_limits(
    memory_mebibytes: int | None,
    max_descriptors: int | None,
    calm_mebibytes: int,
    held_mebibytes: int,
    connections: int,
) -> None:
    """Guards against bounds over what the process may have."""
    memory_bytes = memory_mebibytes and memory_mebibytes * MEBIBYTE
    limits = derive_limits(
        memory_bytes, max_descriptors, calm_mebibytes * MEBIBYTE
    )
    assert limits.held_bytes // MEBIBYTE == held_mebibytes
    assert limits.connections == connections
    if limits.held_bytes > MIN_HELD_BYTES:
        # Connections and what they hold may take half each, and leave a
        # quarter to requests.
        most = limits.held_bytes * 1.25 + limits.large_answer_bytes
        assert most < ((memory_mebibytes or 200) - calm_mebibytes) * MEBIBYTE
