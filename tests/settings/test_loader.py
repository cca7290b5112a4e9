"""Settings from flags and environment variables, and their errors."""

from __future__ import annotations

import pytest
from result import Err

from burdockledge.settings import ServeSettings, load_settings

VALID_ENVIRONMENT = {
    'BURDOCKLEDGE_HOST_ID': 'h1',
    'BURDOCKLEDGE_DATA_CENTRE': 'dc1',
    'BURDOCKLEDGE_CALLER_ADDRESS': '127.0.0.1:1',
    'BURDOCKLEDGE_PEER_ADDRESS': '127.0.0.1:2',
    'BURDOCKLEDGE_LOG_URL': 'http://127.0.0.1:3',
    'BURDOCKLEDGE_PEER_KEYS': '0123456789abcdef',
}


def test_flag_overrides_its_variable() -> None:
    """Both sources are read, and comma-separated lists are split."""
    argv = ('serve', '--host_id=h2', '--seeds=a:1, b:2')
    settings = load_settings(ServeSettings, argv, VALID_ENVIRONMENT).unwrap()
    assert settings.host_id == 'h2'
    assert settings.seeds == ('a:1', 'b:2')
    assert settings.public_url == 'http://127.0.0.1:1'


@pytest.mark.parametrize(
    ('flag', 'expected_name'),
    [
        ('--host_id=!', 'host_id'),
        ('--caller_address=nowhere', 'caller_address'),
        ('--log_url=ftp://x', 'log_url'),
        ('--silence_seconds=0', 'silence_seconds'),
        ('--log_level=loud', 'log_level'),
        ('--tls_certificate=x.pem', 'tls_key'),
        ('--key_lifetime_seconds=80000', 'key_lifetime_seconds'),
        ('--unheard=1', 'unheard'),
        ('stray', 'stray'),
    ],
)
def test_errors_name_the_setting(flag: str, expected_name: str) -> None:
    """Every error names the invalid setting."""
    loaded = load_settings(ServeSettings, ('serve', flag), VALID_ENVIRONMENT)
    assert isinstance(loaded, Err)
    assert expected_name in str(loaded.err_value)


def test_missing_setting_names_flag_and_variable() -> None:
    """The error tells how the setting can be given."""
    loaded = load_settings(ServeSettings, ('serve',), {})
    message = str(loaded.unwrap_err())
    assert '--host_id or BURDOCKLEDGE_HOST_ID' in message


def test_secret_values_are_not_shown() -> None:
    """An error does not contain the value of a secret setting."""
    argv = ('serve', '--operator_key_hashes=a', '--max_body_bytes=x')
    message = str(
        load_settings(ServeSettings, argv, VALID_ENVIRONMENT).unwrap_err()
    )
    assert "'x'" in message
