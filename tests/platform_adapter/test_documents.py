"""Tests of decoding store records and the settings file."""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any

import pytest
from result import Err, Ok

from burdockledge.calls import RouteKind, Team
from burdockledge.platform import PlatformDecoder, load_host_settings
from burdockledge.registry import ServerState

SERVER_RECORD: dict[str, Any] = {
    'backend': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'leicester',
    'slots': 128,
    'state': 'ready',
    'seq': 4,
    'born': 1777923239008,
}
CONFIGURATION_RECORD: dict[str, Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'r1',
            'hostname': 'h.example',
            'path_prefix': '/a/',
            'route_type': 'streaming',
            'timeout_ms': 8000,
            'target_latency_ms': 1500,
            'priority': 2,
            'traffic_split': [
                {'backend': 'b1', 'weight': 90},
                {'backend': 'b2', 'weight': 0},
            ],
            'max_attempts': 2,
            'stream_resume': True,
            'gap_aim_ms': 1200,
        },
    ],
    'backends': [
        {'name': 'b1', 'max_connections': 630, 'engine': {'slots': 128,
         'kv_capacity': 796744}},
        {'name': 'b2', 'max_connections': 110},
    ],
    'tenants': [{'name': 't', 'api_keys': ['k1', 'k2'], 'priority': 1}],
    'limits': {'idle_timeout_ms': 15000},
}  # fmt: skip


def test_configuration_is_decoded() -> None:
    """The routes, teams, limits and engines are converted."""
    content = json.dumps(CONFIGURATION_RECORD).encode()
    configuration = PlatformDecoder().decode_routing('config', content)
    assert configuration is not None
    (route,) = configuration.routes
    assert configuration.version == 7
    assert route.kind is RouteKind.stream
    assert route.is_idempotent
    assert [share.service for share in route.shares] == ['b1']
    assert route.timeout_seconds == 8
    assert route.pause_target_seconds == 1.2
    assert configuration.teams_by_api_key['k2'] == Team('t', 1)
    assert configuration.requires_api_key
    assert configuration.limits.idle_timeout_seconds == 15
    engine = configuration.services['b1'].engine
    assert engine is not None
    assert engine.cache_tokens == 796744


@pytest.mark.parametrize(
    ('key', 'content'),
    [
        ('other', json.dumps(CONFIGURATION_RECORD).encode()),
        ('config', b'{"routes": []}'),
        ('config', b'\xff\x00'),
        ('config', b'[]'),
    ],
)
def test_other_or_invalid_record_is_no_configuration(
    key: str, content: bytes
) -> None:
    """Other keys and invalid content are ignored."""
    assert PlatformDecoder().decode_routing(key, content) is None


def test_server_record_is_decoded() -> None:
    """The instance id consists of the server id and its start time."""
    content = json.dumps(SERVER_RECORD).encode()
    registration = PlatformDecoder().decode_registration('i-1', content)
    assert registration is not None
    assert registration.state is ServerState.ready
    assert registration.instance.instance_id == 'i-1/1777923239008'
    assert registration.instance.service == 'huvo11a'


@pytest.mark.parametrize(
    'changes',
    [
        {'backend': None},
        {'backend': 5},
        {'address': 'somewhere'},
        {'address': 8080},
        {'state': 'sleepy'},
        {'state': None},
        {'slots': '128'},
        {'slots': 0},
        {'zone': 1},
        {'born': 1.5},
        {'born': True},
        {'born': '1777923239008'},
    ],
    ids=str,
)
def test_invalid_server_record_is_ignored(
    changes: dict[str, Any],
) -> None:
    """A missing field or one of another type invalidates the record."""
    record = {
        key: field
        for key, field in {**SERVER_RECORD, **changes}.items()
        if field is not None
    }
    content = json.dumps(record).encode()
    assert PlatformDecoder().decode_registration('i-1', content) is None


SETTINGS_FILE = """
node_name = "front-1"
ip = "10.1.0.40"
zone = "leicester"
internal_ports = [7340, 7355]
seeds = ["10.1.0.40:8229", "10.2.0.29:8229"]
unknown = 5
[listen]
front = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
control = "10.1.0.40:8229"
directory = "10.1.0.40:8224"
[bounds]
config_ms = 3000
retry_budget_slack = 58
[provider]
address = "10.200.1.7:8223"
"""


def test_settings_file_is_decoded(tmp_path: Path) -> None:
    """The fields of the file become settings of an entry host."""
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS_FILE)
    settings = load_host_settings(path).unwrap()
    assert settings.peer_address == '10.1.0.40:7340'
    assert settings.exchange_port == 7341
    assert settings.seeds == ('10.1.0.40:7340', '10.2.0.29:7340')
    assert settings.configuration_seconds == 3
    assert settings.retry_slack == 58


@pytest.mark.parametrize(
    ('old', 'new', 'message_part'),
    [
        ('zone = "leicester"', '', 'zone'),
        ('ip = "10.1.0.40"', 'ip = 5', 'ip'),
        ('front = "10.1.0.40:8227"', 'front = "x"', 'listen.front'),
        ('[provider]', '[provider', 'local.toml'),
    ],
)
def test_settings_error_names_the_field(
    old: str, new: str, message_part: str, tmp_path: Path
) -> None:
    """The error contains the invalid field, or the path of the file."""
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS_FILE.replace(old, new))
    loaded = load_host_settings(path)
    assert not isinstance(loaded, Ok)
    assert message_part in loaded.err_value


@pytest.mark.parametrize(
    'more',
    [
        'x = ' + '[' * 4000,
        'x = ' + '{a=' * 4000,
        'x = ' + '9' * 5000,
        'x = "\\ud800"',
    ],
)
def test_a_settings_file_that_nests_or_counts_too_far_is_an_error(
    more: str, tmp_path: Path
) -> None:
    """Guards against a reload that ends at such a file (see review/1)."""
    path = tmp_path / 'local.toml'
    path.write_text(f'{more}\n{SETTINGS_FILE}')
    assert isinstance(load_host_settings(path), Err)


@pytest.mark.parametrize(
    ('old', 'new', 'field'),
    [
        ('[7340, 7355]', '[70000, 70015]', 'internal_ports'),
        ('config_ms = 3000', 'config_ms = nan', 'config_ms'),
        ('config_ms = 3000', 'config_ms = inf', 'config_ms'),
        ('10.1.0.40:8227', '10.1.0.40:82270', 'front'),
    ],
)
def test_settings_out_of_range_name_the_field(
    old: str, new: str, field: str, tmp_path: Path
) -> None:
    """No socket, timer or number of the host gets a value it can't take."""
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS_FILE.replace(old, new))
    loaded = load_host_settings(path)
    assert isinstance(loaded, Err)
    assert field in loaded.err_value


def configured(route: dict[str, Any], **fields: Any) -> bytes:
    """Return a configuration with other values in some fields."""
    (former,) = CONFIGURATION_RECORD['routes']
    routes = [{**former, **route}]
    return json.dumps(
        {**CONFIGURATION_RECORD, 'routes': routes, **fields}
    ).encode()


@pytest.mark.parametrize(
    'content',
    [
        configured({'timeout_ms': float('inf')}),
        configured({'timeout_ms': float('nan')}),
        configured({'timeout_ms': -1}),
        configured({'gap_aim_ms': float('inf')}),
        configured({}, limits={'idle_timeout_ms': float('nan')}),
        configured({}, tenants=[{'name': 't\r\nHost: x', 'api_keys': ['k']}]),
    ],
)
def test_configuration_that_no_timer_or_header_takes_is_left_out(
    content: bytes,
) -> None:
    """The version before stays in force."""
    assert PlatformDecoder().decode_routing('config', content) is None


def test_numbers_beyond_any_use_are_limited() -> None:
    """Guards against calls that fail as the hosts tell each other of them."""
    content = configured(
        {
            'timeout_ms': 10**400,
            'target_latency_ms': 1e300,
            'gap_aim_ms': 10**30,
            'priority': -(10**30),
            'traffic_split': [
                {'backend': 'b1', 'weight': 1e308},
                {'backend': 'b2', 'weight': 1e308},
            ],
        },
        backends=[{'name': 'b1', 'engine': {'kv_capacity': 10**400}}],
        tenants=[{'name': 't', 'api_keys': ['k'], 'priority': -5}],
    )
    configuration = PlatformDecoder().decode_routing('config', content)
    assert configuration is not None
    (route,) = configuration.routes
    assert route.tier == 0
    assert configuration.teams_by_api_key['k'].tier == 0
    assert route.pause_target_seconds is not None
    longest_seconds = max(
        route.timeout_seconds,
        route.latency_target_seconds,
        route.pause_target_seconds,
    )
    assert longest_seconds * 1000 < 2**31
    assert math.isfinite(sum(share.weight for share in route.shares))
    engine = configuration.services['b1'].engine
    assert engine is not None
    assert engine.cache_tokens < 2**63


def test_missing_settings_file_returns_an_error(tmp_path: Path) -> None:
    """The error contains the path of the file."""
    loaded = load_host_settings(tmp_path / 'none.toml')
    assert isinstance(loaded, Err)
    assert 'none.toml' in loaded.err_value
