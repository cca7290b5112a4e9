"""How headers of servers and callers are decoded."""

from __future__ import annotations

import math

import pytest

from burdockledge.calls import Prompt, PromptPart
from burdockledge.platform._calls import call_rate_limit, parse_prompt

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


@pytest.mark.parametrize(
    ('parts', 'counts'),
    [
        ('a:5', f'{2**31},5'),
        ('a:5', f'5,{2**31}'),
        ('a:5', '-5,5'),
        ('a:5', '5,' + '9' * 400),
        (f'a:{2**31}', '5,5'),
        (f'a:{2**30},b:{2**30}', '5,5'),
        ('a:-5', '5,5'),
        ('zz:5', '5,5'),
        ('a:5', '9' * 5000),
    ],
)
def test_a_prompt_of_impossible_size_is_placed_like_none(
    parts: str, counts: str
) -> None:
    """Guards against numbers that no message between hosts holds."""
    assert parse_prompt(parts, counts) == Prompt()


def test_the_largest_prompt_is_read() -> None:
    """Its parts and counts stay within 32 bits."""
    prompt = parse_prompt(f'A:{2**31 - 2},b:1', f'{2**31 - 1},7')
    assert prompt == Prompt(
        (PromptPart(10, 2**31 - 2), PromptPart(11, 1)), 2**31 - 1, 7
    )
