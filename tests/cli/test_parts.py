"""Operators see and release prompt parts that crash servers."""

from __future__ import annotations

import asyncio

import pytest

from burdockledge.cli import main
from tests.platform_adapter.front_harness import (
    FrontHarness,
    respond_ok,
    run_with_front,
)

KEYS = '--peer_keys=a key of sixteen characters'
WRONG_KEYS = '--peer_keys=another key of some characters'


@pytest.mark.parametrize(
    ('arguments', 'exit_code', 'printed'),
    [
        (('list',), 0, 'bad of model: blocked after 2 crashes'),
        (('release', KEYS, '--service=model', '--part=bad'), 0, 'released'),
        (('release', KEYS, '--service=other', '--part=bad'), 4, 'neither'),
        (
            ('release', WRONG_KEYS, '--service=model', '--part=bad'),
            4,
            'refused with 403',
        ),
        (('release', KEYS, '--service=model', '--part=no'), 2, 'part'),
    ],
)
def test_operators_see_and_release_blocked_parts(
    arguments: tuple[str, ...],
    exit_code: int,
    printed: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A release needs the keys of the hosts."""

    async def test(harness: FrontHarness) -> None:
        words, *flags = arguments
        address = harness.settings.control_address
        command = ['parts', words, f'--control_address={address}', *flags]
        code = await asyncio.to_thread(main, command)
        captured = capsys.readouterr()
        assert code == exit_code
        assert printed in captured.out + captured.err

    run_with_front(respond_ok, test)


def test_a_host_that_does_not_answer() -> None:
    """The command tells that nothing was released."""
    command = ['parts', 'list', '--control_address=127.0.0.1:1']
    assert main(command) == 3
