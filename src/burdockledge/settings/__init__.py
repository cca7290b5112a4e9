"""Settings: a validated model per command, from flags and environment."""

from __future__ import annotations

from burdockledge.settings._loader import (
    SettingsError,
    describe_settings,
    environment_name,
    load_settings,
)
from burdockledge.settings._models import (
    MAX_PORT,
    Address,
    CommaList,
    CommandSettings,
    DutySettings,
    RelayHostSettings,
    ServeSettings,
    TlsSettings,
)

__all__ = (
    'MAX_PORT',
    'Address',
    'CommaList',
    'CommandSettings',
    'DutySettings',
    'RelayHostSettings',
    'ServeSettings',
    'SettingsError',
    'TlsSettings',
    'describe_settings',
    'environment_name',
    'load_settings',
)
