"""Settings of the duties, of load shedding and of the limits of a process."""

from __future__ import annotations

from pathlib import Path

import pytest

from burdockledge.platform import load_host_settings
from burdockledge.settings import DutySettings, RelayHostSettings

_BASE = """
contracts = ["base", "pressure"]
node_name = "front-1"
ip = "10.1.0.40"
zone = "leicester"
internal_ports = [7340, 7355]
[listen]
front = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
control = "10.1.0.40:8229"
directory = "10.1.0.40:8224"
[limits]
memory_mb = 300
max_fds = 4100
[provider]
address = "10.200.1.7:8223"
[bounds]
fencing_required = true
lease_ms = 4000
[cloud]
address = "10.200.0.113:8424"
duties = ["usage_report", "autoscale"]
duties_per_s = 50.0
"""


def _load(tmp_path: Path, old: str = '', new: str = '') -> RelayHostSettings:
    path = tmp_path / 'local.toml'
    assert old in _BASE
    path.write_text(_BASE.replace(old, new) if old else _BASE)
    return load_host_settings(path).unwrap()


def test_duties_and_limits_are_decoded(tmp_path: Path) -> None:
    """Guards against duties that are named in the settings and left undone."""
    settings = _load(tmp_path)
    assert settings.duties == DutySettings(
        api_address='10.200.0.113:8424',
        reports_usage=True,
        orders_servers=True,
        calls_per_second=50,
        checks_fence_numbers=True,
        lease_seconds=4,
        window_seconds=5,
        usage_late_seconds=10,
    )
    assert settings.sheds_load
    assert settings.memory_bytes == 300 * 1024 * 1024
    assert settings.max_descriptors == 4100


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ('address = "10.200.0.113:8424"\n', ''),
        ('"10.200.0.113:8424"', '5'),
        ('["usage_report", "autoscale"]', '"usage_report"'),
        ('["usage_report", "autoscale"]', '["water_the_plants"]'),
        ('["usage_report", "autoscale"]', '[]'),
        ('duties_per_s = 50.0', 'duties_per_s = -1'),
        ('lease_ms = 4000', 'lease_ms = 0'),
    ],
)
def test_unusable_duty_settings_leave_only_the_duties_off(
    old: str, new: str, tmp_path: Path
) -> None:
    """Guards against a host that does not start for a part of its file."""
    settings = _load(tmp_path, old, new)
    assert settings.duties is None
    assert settings.host == 'front-1'


def test_an_unknown_duty_leaves_the_others_on(tmp_path: Path) -> None:
    """Guards against duties that are dropped for one of a later version."""
    settings = _load(tmp_path, '"autoscale"', '"autoscale", "later"')
    assert settings.duties is not None
    assert settings.duties.orders_servers


def test_unchecked_fence_numbers_are_assumed_if_nothing_is_said(
    tmp_path: Path,
) -> None:
    """Guards against calls of two holders that the platform would accept."""
    settings = _load(tmp_path, 'fencing_required = true', '')
    assert settings.duties is not None
    assert not settings.duties.checks_fence_numbers


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ('memory_mb = 300', 'memory_mb = "many"'),
        ('max_fds = 4100', 'max_fds = 0'),
    ],
)
def test_unusable_limits_count_as_unknown(
    old: str, new: str, tmp_path: Path
) -> None:
    """Guards against a budget of nothing from a limit that can't be read."""
    assert _load(tmp_path, old, new).memory_bytes is None


@pytest.mark.parametrize('contracts', ['"pressure"', '5', '["base"]'])
def test_load_is_shed_only_if_the_list_says_so(
    contracts: str, tmp_path: Path
) -> None:
    """Guards against deployments that are served otherwise than before."""
    settings = _load(tmp_path, '["base", "pressure"]', contracts)
    assert not settings.sheds_load
