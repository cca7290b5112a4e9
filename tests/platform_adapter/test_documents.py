"""Records of the store, proper ones and others."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from result import Err, Ok

from burdockledge.platform import PlatformDecoder, load_host_settings
from burdockledge.registry import ServerState
from burdockledge.relay import RouteKind, Team

SERVER: dict[str, Any] = {
    'backend': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'leicester',
    'slots': 128,
    'state': 'ready',
    'seq': 4,
    'born': 1777923239008,
}
CONFIGURATION: dict[str, Any] = {
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


def test_a_configuration_is_decoded() -> None:
    """Wire names become fields that say what they hold."""
    content = json.dumps(CONFIGURATION).encode()
    found = PlatformDecoder().decode_routing('config', content)
    assert found is not None
    (route,) = found.routes
    assert found.version == 7
    assert route.kind is RouteKind.stream
    assert route.is_idempotent
    assert [share.service for share in route.shares] == ['b1']
    assert route.timeout_seconds == 8
    assert route.pause_target_seconds == 1.2
    assert found.teams_by_api_key['k2'] == Team('t', 1)
    assert found.requires_api_key
    assert found.limits.idle_timeout_seconds == 15
    engine = found.services['b1'].engine
    assert engine is not None
    assert engine.cache_tokens == 796744


@pytest.mark.parametrize(
    ('key', 'content'),
    [
        ('other', json.dumps(CONFIGURATION).encode()),
        ('config', b'{"routes": []}'),
        ('config', b'\xff\x00'),
        ('config', b'[]'),
    ],
)
def test_other_records_are_no_configuration(key: str, content: bytes) -> None:
    """What is not a whole configuration changes nothing."""
    assert PlatformDecoder().decode_routing(key, content) is None


def test_a_server_is_decoded() -> None:
    """A server's record names one incarnation of it."""
    content = json.dumps(SERVER).encode()
    found = PlatformDecoder().decode_registration('i-1', content)
    assert found is not None
    assert found.state is ServerState.ready
    assert found.instance.instance_id == 'i-1/1777923239008'
    assert found.instance.service == 'huvo11a'


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
def test_foreign_server_records_name_no_server(
    changes: dict[str, Any],
) -> None:
    """A field that is missing or of another type makes the record void."""
    raw = {
        key: found
        for key, found in {**SERVER, **changes}.items()
        if found is not None
    }
    content = json.dumps(raw).encode()
    assert PlatformDecoder().decode_registration('i-1', content) is None


SETTINGS = """
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


def test_settings_are_decoded(tmp_path: Path) -> None:
    """The platform's file becomes settings of an entry host."""
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS)
    found = load_host_settings(path).unwrap()
    assert found.peer_address == '10.1.0.40:7340'
    assert found.exchange_port == 7341
    assert found.seeds == ('10.1.0.40:7340', '10.2.0.29:7340')
    assert found.configuration_seconds == 3
    assert found.retry_slack == 58


@pytest.mark.parametrize(
    ('old', 'new', 'told'),
    [
        ('zone = "leicester"', '', 'zone'),
        ('ip = "10.1.0.40"', 'ip = 5', 'ip'),
        ('front = "10.1.0.40:8227"', 'front = "x"', 'listen.front'),
        ('[provider]', '[provider', 'local.toml'),
    ],
)
def test_settings_errors_name_the_setting(
    old: str, new: str, told: str, tmp_path: Path
) -> None:
    """A wrong file is told with the field that is wrong."""
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS.replace(old, new))
    found = load_host_settings(path)
    assert not isinstance(found, Ok)
    assert told in found.err_value


def test_missing_settings_are_a_value(tmp_path: Path) -> None:
    """A file that is not there is told by its path."""
    found = load_host_settings(tmp_path / 'none.toml')
    assert isinstance(found, Err)
    assert 'none.toml' in found.err_value
