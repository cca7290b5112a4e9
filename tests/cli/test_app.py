"""Exit codes and messages of the command line."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from burdockledge import VERSION
from burdockledge.cli import ExitCode, main
from burdockledge.cli._registry import COMMANDS, CommandEntry
from burdockledge.settings import describe_settings


@pytest.mark.parametrize(
    ('arguments', 'code', 'message'),
    [
        (('version',), ExitCode.ok, VERSION),
        (('help',), ExitCode.ok, 'usage: burdockledge'),
        ((), ExitCode.usage, 'usage: burdockledge'),
        (('unheard',), ExitCode.usage, "unknown command 'unheard'"),
        (('serve',), ExitCode.usage, '--host_id or BURDOCKLEDGE_HOST_ID'),
        (('serve', '--help'), ExitCode.ok, 'BURDOCKLEDGE_LOG_URL'),
        (('config', 'show'), ExitCode.usage, 'entry_host: is required'),
        (('settings', '--output=x'), ExitCode.usage, "output: 'x'"),
        (
            ('load', '--workload=/none', '--entry_hosts=http://127.0.0.1:1'),
            ExitCode.usage,
            'workload:',
        ),
        (
            ('status', '--entry_host=http://127.0.0.1:1', '--operator_key=k'),
            ExitCode.unreachable,
            'no response from',
        ),
        (('explain',), ExitCode.usage, 'request_and_logs'),
        (('explain', 'r1', '/none'), ExitCode.usage, '/none: No such file'),
        (('explain', '--help'), ExitCode.ok, 'the request id, then log files'),
    ],
)
def test_exit_codes(
    capsys: pytest.CaptureFixture[str],
    arguments: tuple[str, ...],
    code: ExitCode,
    message: str,
) -> None:
    """Each command line gives its exit code and an explanation."""
    assert main(arguments) == code
    captured = capsys.readouterr()
    assert message in captured.out + captured.err


def test_settings_as_json(capsys: pytest.CaptureFixture[str]) -> None:
    """The JSON output of ``settings`` has the documented fields."""
    assert main(('settings', '--output=json')) == ExitCode.ok
    rows = json.loads(capsys.readouterr().out)
    assert {'flag', 'environment', 'default', 'text'} == rows[0].keys()


@pytest.mark.parametrize(
    'command',
    [entry.load() for entry in COMMANDS],
    ids=lambda entry: ' '.join(entry.words),
)
def test_every_setting_has_a_help_text(command) -> None:
    """Every flag has a help text."""
    for row in describe_settings(command.settings_model):
        assert row.text, row.flag


@pytest.mark.parametrize(
    'entry', COMMANDS, ids=lambda entry: ' '.join(entry.words)
)
def test_registry_words_match_the_command(entry: CommandEntry) -> None:
    """The registry selects a command by the words the command declares."""
    assert entry.load().words == entry.words


def test_explain_reconstructs_a_request_from_logs(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The output shows the decisions, the known state and the cause."""
    log = tmp_path / 'a.log'
    rows = (
        (1, '[knowledge] Configuration in force.', {'version': 4}),
        (5, '[relay] Placed.', {'request': 'r1', 'server': 's1', 'send': 1}),
        (9, '[relay] Answered.', {'request': 'r1', 'status': 503,
                                  'why': 'the server refused with 503'}),
    )  # fmt: skip
    log.write_text(
        '\n'.join(
            json.dumps(
                {
                    'at_ms': up_ms,
                    'up_ms': up_ms,
                    'host': 'a',
                    'event': event,
                    **fields,
                }
            )
            for up_ms, event, fields in rows
        )
    )
    trace = tmp_path / 'trace.json'
    arguments = ('explain', f'--trace={trace}', 'r1', str(log))
    assert main(arguments) == ExitCode.ok
    output = capsys.readouterr().out
    assert 'server=s1 send=1' in output
    assert 'version=4' in output
    assert 'nothing ran' in output
    assert len(json.loads(trace.read_text())['traceEvents']) == len(rows)
    assert main(('explain', 'r2', str(log))) == ExitCode.failed
