"""Every name that the users' platform spells: one table."""

from __future__ import annotations

from typing import Final

SETTINGS_VARIABLE: Final = 'BURDOCKLEDGE_BOOT'

# Headers.
REQUEST_ID: Final = 'Burdockledge-Request-Id'
# Milliseconds that are left to the caller.
PATIENCE_MS: Final = 'Burdockledge-Deadline-Ms'
# Parts of the prompt, ``ID:TOKENS`` with the id in hexadecimal.
PROMPT_PARTS: Final = 'Burdockledge-Prompt-Prefix'
# Prompt tokens and the most output tokens.
TOKEN_COUNTS: Final = 'Burdockledge-Token-Count'
LAST_EVENT: Final = 'Last-Event-Id'
# The server's signature over its answer.
SIGNATURE: Final = 'Burdockledge-Response-Seal'
TEAM: Final = 'Burdockledge-Tenant'
EXPECTED_SERVER: Final = 'Burdockledge-Expect-Instance'
NOT_RUN: Final = 'Burdockledge-Not-Executed'
# 0 goes first; 5 where the header is absent.
URGENCY: Final = 'Burdockledge-Request-Urgency'
# Address of a server whose cached prompt parts are fetched first.
FETCH_FROM: Final = 'Kv-Fetch'
KEY_HEADER: Final = 'Authorization'
KEY_SCHEME: Final = 'Token'

# Headers that only the system may set; never taken from callers.
SYSTEM_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        TEAM,
        EXPECTED_SERVER,
        URGENCY,
        KEY_HEADER,
        PATIENCE_MS,
        'Burdockledge-Kv-Hold',
        'Burdockledge-Pin-Ms',
        'Burdockledge-Kv-Backup',
        'Burdockledge-Expect-Version',
        'Kv-From',
        FETCH_FROM,
        'Wait-Ms',
    )
)

# Paths that this system answers.
DIRECTORY_PATH: Final = '/burdockledge/resolve'
READY_PATH: Final = '/burdockledge/ready'
METRICS_PATH: Final = '/metrics'

# Calls and topics of the store.
APPEND_PATH: Final = '/burdockledge/log-append'
READ_PATH: Final = '/burdockledge/log-read'
NEWEST_PATH: Final = '/burdockledge/log-newest'
CONFIGURATION_TOPIC: Final = 'keyed.op'
CONFIGURATION_KEY: Final = 'config'
SERVERS_TOPIC: Final = 'keyed.servers'
HOSTS_TOPIC: Final = 'keyed.hosts'

__all__ = (
    'APPEND_PATH',
    'CONFIGURATION_KEY',
    'CONFIGURATION_TOPIC',
    'DIRECTORY_PATH',
    'EXPECTED_SERVER',
    'FETCH_FROM',
    'HOSTS_TOPIC',
    'KEY_HEADER',
    'KEY_SCHEME',
    'LAST_EVENT',
    'METRICS_PATH',
    'NEWEST_PATH',
    'NOT_RUN',
    'PATIENCE_MS',
    'PROMPT_PARTS',
    'READY_PATH',
    'READ_PATH',
    'REQUEST_ID',
    'SERVERS_TOPIC',
    'SETTINGS_VARIABLE',
    'SIGNATURE',
    'SYSTEM_HEADERS',
    'TEAM',
    'TOKEN_COUNTS',
    'URGENCY',
)
