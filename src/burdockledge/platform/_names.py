"""Names that the users' platform defines: headers, paths and topics."""

from __future__ import annotations

from typing import Final

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE: Final = 'BURDOCKLEDGE_BOOT'

# HTTP headers.
REQUEST_ID: Final = 'Burdockledge-Request-Id'
# How long the caller still waits for the response, in milliseconds.
TIMEOUT_MS: Final = 'Burdockledge-Deadline-Ms'
# Parts of the prompt, as a comma-separated list of ``ID:TOKENS`` with the id
# in hexadecimal.
PROMPT_PARTS: Final = 'Burdockledge-Prompt-Prefix'
# Number of prompt tokens and limit of output tokens, as ``TOKENS,LIMIT``.
TOKEN_COUNTS: Final = 'Burdockledge-Token-Count'
# Id of the last event that a resuming caller has received.
LAST_EVENT_ID: Final = 'Last-Event-Id'
# The server's seal of its response; a success without it counts for nothing.
SEAL: Final = 'Burdockledge-Response-Seal'
# Name of the team that the call belongs to.
TEAM: Final = 'Burdockledge-Tenant'
# Id of the server that the call is meant for.
EXPECTED_SERVER: Final = 'Burdockledge-Expect-Instance'
# Set on a response if the server has not run the call.
NOT_RUN: Final = 'Burdockledge-Not-Executed'
# Requests a second that the server takes from all hosts together, a decimal.
CALL_RATE_LIMIT: Final = 'Server-Limit'
# Priority at the server: 0 is the highest; 5 if the header is absent.
URGENCY: Final = 'Burdockledge-Request-Urgency'
# Address of the server from which cached prompt parts are fetched first.
CACHE_SOURCE: Final = 'Kv-Fetch'
# Headers of responses in which a server gives notice: ``1`` if it leaves, and
# with status 503 the seconds for which it wants no call from this host.
SERVER_LEAVING: Final = 'Server-Leaving'
RETRY_AFTER: Final = 'Retry-After'
# In all answers of the store: rises by one each time that it is restored from a
# copy of its records.
STORE_ERA: Final = 'Store-Era'
# The caller's API key, as ``Token KEY``.
AUTHORIZATION: Final = 'Authorization'
AUTHORIZATION_SCHEME: Final = 'Token'

# On calls of duties: the host that makes them, and a positive integer that
# rises with each change of that host.
DUTY_HOLDER: Final = 'Burdockledge-Duty-Holder'
FENCE_TOKEN: Final = 'Burdockledge-Fence-Token'

# Headers of callers that are never forwarded to servers; lower case.
UNFORWARDED_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        TEAM,
        EXPECTED_SERVER,
        URGENCY,
        AUTHORIZATION,
        TIMEOUT_MS,
        'Burdockledge-Kv-Hold',
        'Burdockledge-Pin-Ms',
        'Burdockledge-Kv-Backup',
        'Burdockledge-Expect-Version',
        'Kv-From',
        CACHE_SOURCE,
        'Wait-Ms',
    )
)

# Paths that an entry host serves.
DIRECTORY_PATH: Final = '/burdockledge/resolve'
READY_PATH: Final = '/burdockledge/ready'
METRICS_PATH: Final = '/metrics'
# Operators see and release blocked parts of prompts here.
PARTS_PATH: Final = '/prompt-parts'
# Operators ask here where a call would go.
PLACE_PATH: Final = '/placement'

# Paths, topics and keys of the platform's store.
APPEND_PATH: Final = '/burdockledge/log-append'
READ_PATH: Final = '/burdockledge/log-read'
NEWEST_PATH: Final = '/burdockledge/log-newest'
CONFIGURATION_TOPIC: Final = 'keyed.op'
CONFIGURATION_KEY: Final = 'config'
SERVERS_TOPIC: Final = 'keyed.servers'
HOSTS_TOPIC: Final = 'keyed.hosts'
KEPT_TOPIC: Final = 'keyed.quarantine'
DUTIES_TOPIC: Final = 'keyed.duties'

# Paths of the platform's API for duties.
USAGE_PATH: Final = '/usage'
SCALE_PATH: Final = '/scale'

__all__ = (
    'APPEND_PATH',
    'AUTHORIZATION',
    'AUTHORIZATION_SCHEME',
    'CACHE_SOURCE',
    'CALL_RATE_LIMIT',
    'CONFIGURATION_KEY',
    'CONFIGURATION_TOPIC',
    'DIRECTORY_PATH',
    'DUTIES_TOPIC',
    'DUTY_HOLDER',
    'EXPECTED_SERVER',
    'FENCE_TOKEN',
    'HOSTS_TOPIC',
    'KEPT_TOPIC',
    'LAST_EVENT_ID',
    'METRICS_PATH',
    'NEWEST_PATH',
    'NOT_RUN',
    'PARTS_PATH',
    'PLACE_PATH',
    'PROMPT_PARTS',
    'READY_PATH',
    'READ_PATH',
    'REQUEST_ID',
    'RETRY_AFTER',
    'SCALE_PATH',
    'SEAL',
    'SERVERS_TOPIC',
    'SERVER_LEAVING',
    'SETTINGS_VARIABLE',
    'TEAM',
    'TIMEOUT_MS',
    'TOKEN_COUNTS',
    'UNFORWARDED_HEADERS',
    'URGENCY',
    'USAGE_PATH',
)
