"""How headers of servers and callers are decoded."""

from __future__ import annotations

import math

import pytest

from burdockledge.calls import Prompt, PromptPart
from burdockledge.platform._calls import (
    call_rate_limit,
    parse_prompt,
    server_notice,
)

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


@pytest.mark.parametrize(
    ('status', 'leaving', 'pauses', 'is_leaving', 'seconds'),
    [
        (200, (), (), False, 0),
        (200, ('1',), (), True, 0),
        (500, (' 1 ',), (), True, 0),
        (200, ('0',), (), False, 0),
        (200, ('true',), (), False, 0),
        (200, ('',), (), False, 0),
        (200, ('0', '1'), (), True, 0),
        (503, (), ('2.5',), False, 2.5),
        (503, ('1',), ('2',), True, 2),
        (503, (), ('0',), False, 0),
        (503, (), ('1', '3', 'x'), False, 3),
        (503, (), ('1e300',), False, 1e300),
        (503, (), ('-1',), False, NOT_READABLE),
        (503, (), ('',), False, NOT_READABLE),
        (503, (), ('nan',), False, NOT_READABLE),
        (503, (), ('inf',), False, NOT_READABLE),
        (503, (), ('1e999',), False, NOT_READABLE),
        (503, (), ('Sat, 05 Dec 2026 12:00:00 GMT',), False, NOT_READABLE),
        # Only a 503 turns a call away with a pause.
        (200, (), ('2',), False, 0),
        (429, (), ('2',), False, 0),
        # Another server than the one that was meant has answered.
        (421, ('1',), ('2',), False, 0),
    ],
)
def test_notices_of_servers(
    status: int,
    leaving: tuple[str, ...],
    pauses: tuple[str, ...],
    is_leaving: bool,
    seconds: float,
) -> None:
    """What can not be read says nothing of the server."""
    notice = server_notice(status, leaving, pauses)
    assert notice.is_leaving is is_leaving
    assert notice.pause_seconds == pytest.approx(seconds, nan_ok=True)
