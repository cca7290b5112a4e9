"""Operators ask a host where a call would go."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import aiohttp
import pytest

from burdockledge.calls import ServerInstance
from burdockledge.cli import main
from burdockledge.host import RelayHost
from burdockledge.platform import PlaceEndpoint
from burdockledge.platform._calls import parse_prompt
from burdockledge.relay import (
    ExcludedServer,
    PlacementProbe,
    ProbeAnswer,
    ProbeOutcome,
    ProbeQuestion,
)
from burdockledge.scheduling import ServerCost
from tests.platform_adapter.front_harness import (
    PEER_KEYS,
    FrontHarness,
    make_settings,
    respond_ok,
    run_with_front,
)

LONG_ID = 'A1b2' * 8
KEYS = '--peer_keys=a key of sixteen characters'
CLOSED = '--control_address=127.0.0.1:1'
SERVERS = [
    ServerInstance(f's{number}', 1, 'model', 'h:1', 'a', 48)
    for number in range(2)
]


class FakeProbe(PlacementProbe):
    """Gives the outcome that the team is named for."""

    def __init__(self) -> None:
        """Create a probe without a host."""
        self.asked: list[ProbeQuestion] = []

    def ask(self, question: ProbeQuestion) -> ProbeAnswer:
        """Return an answer with one candidate and one excluded server."""
        self.asked.append(question)
        terms = {'wait': 1.0, 'prefill': 0.25, 'limit': 0.0}
        cost = ServerCost(SERVERS[0], 1.25, terms, 900, 5000, 3, SERVERS[1])
        return ProbeAnswer(
            ProbeOutcome(question.team),
            'a reason',
            7,
            {'servers': 0.4},
            0.5,
            'chat',
            'model',
            1,
            (cost,),
            (ExcludedServer(SERVERS[1], 'pause', 2.5),),
        )


def place(*flags: str) -> tuple[int, FakeProbe]:
    """Run the command against a listening front; return its exit code."""
    probe = FakeProbe()
    codes: list[int] = []

    async def test(harness: FrontHarness) -> None:
        address = f'--control_address={harness.settings.control_address}'
        codes.append(await asyncio.to_thread(main, ['place', address, *flags]))

    run_with_front(respond_ok, test, placements=PlaceEndpoint(probe, PEER_KEYS))
    return codes[0], probe


@pytest.mark.parametrize(
    ('team', 'exit_code'),
    [('sent', 0), ('waits', 3), ('refused', 4), ('not configured', 5)],
)
def test_the_exit_status_and_the_table_tell_the_outcome(
    team: str, exit_code: int, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a status or table that differs from the answer."""
    code, _ = place(KEYS, '--route=chat', f'--team={team}')
    printed = capsys.readouterr().out
    assert code == exit_code
    for words in (
        f'{team}: a reason, 0.50 s',
        'version 7; servers 0.4 s old',
        'route chat, service model, urgency 1',
        'wait 1.0000, prefill 0.2500\n',
        'excluded: pause, 2.50 s left',
    ):
        assert words in printed


def test_flags_and_a_file_ask_the_same(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a question that is changed on its way."""
    call = {
        'http_host': 'h',
        'path': '/x/',
        'team': 'sent',
        'parts': [{'part': LONG_ID, 'tokens': 10}, {'part': 'b', 'tokens': 5}],
        'output_tokens': 60,
        'urgency': 2,
    }
    file = tmp_path / 'call.json'
    file.write_text(json.dumps(call), 'utf-8')
    code, by_file = place(KEYS, f'--file={file}', '--json')
    document = json.loads(capsys.readouterr().out)
    assert (code, document['candidates'][0]['terms']['wait']) == (0, 1.0)
    flags = [f'--{name}={call[name]}' for name in call if name != 'parts']
    _, by_flags = place(KEYS, *flags, f'--parts={LONG_ID}:10,b:5')
    assert by_flags.asked == by_file.asked
    assert by_file.asked[0].prompt == parse_prompt(f'{LONG_ID}:10,b:5', '15,60')


@pytest.mark.parametrize(
    ('flags', 'said'),
    [
        ((), 'give either route, or http_host and path'),
        (('--route=a', '--path=/'), 'give either route, or http_host'),
        (('--path=/',), 'http_host and path are needed together'),
        (('--route=a', '--parts=zz:1'), 'parts.0.part'),
        (('--route=a', '--parts=a'), 'parts.0.tokens'),
        (('--route=a', '--parts=a:-1'), 'parts.0.tokens'),
        (('--route=a', '--urgency=10'), 'urgency'),
        (('--route=a', '--urgency=high'), 'urgency'),
        (('--route=a', '--input_tokens=-1'), 'input_tokens'),
        (('--like=r1',), 'hosts keep no log of past calls'),
        (('--file=/nowhere/call.json',), 'No such file'),
        (('--file=/dev/null',), 'Invalid JSON'),
        (('--file=/dev/null', '--route=a'), 'either a file or flags'),
        (('--route=a', '--peer_keys=short'), 'peer_keys'),
        (('--route=a', '--control_address=here'), 'control_address'),
    ],
)
def test_bad_input_gets_one_line(
    flags: tuple[str, ...], said: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against tracebacks, and against questions that are sent anyway."""
    assert main(['place', CLOSED, KEYS, *flags]) == 2
    printed = capsys.readouterr()
    assert said in printed.err
    assert (printed.err.count('\n'), printed.out) == (1, '')


def test_a_wrong_key_is_bad_input(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against answers to those who are not operators."""
    code, probe = place('--peer_keys=another key of some length', '--route=a')
    assert (code, probe.asked) == (2, [])
    assert 'does not know the key' in capsys.readouterr().err


def test_a_host_that_does_not_answer() -> None:
    """Guards against the status of a call that waits."""
    assert main(['place', CLOSED, KEYS, '--route=a']) == 1


def test_a_running_host_without_configuration_answers(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a host whose endpoint is not connected."""

    async def run() -> int:
        async with aiohttp.ClientSession() as session:
            host = RelayHost(make_settings(), PEER_KEYS, session)
            await host.front.start()
            address = host.settings.control_address
            flags = (f'--control_address={address}', KEYS, '--route=a')
            code = await asyncio.to_thread(main, ['place', *flags])
            await host.front.stop()
            await host.server_client.close()
            return code

    assert asyncio.run(run()) == 5
    assert 'no configuration yet' in capsys.readouterr().out
