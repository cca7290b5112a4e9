"""The tables of a host whose keys others choose, for docs/CAPACITY.md."""

from __future__ import annotations

from typing import Final

_Rows = tuple[tuple[str, str, str, str], ...]

_HEAD: Final = """\
## Tables of a host whose keys others choose

Of `burdockledge host`; `tests/test_host_churn.py` replaces all routes, teams,
services, servers and prompt parts 30 times (10,500 routes, 5,100 servers,
52,500 parts) and holds the tables it names to these bounds, every other
table to the size of two waves, and the process to 60 MB.
"""
_COLUMNS: Final = ('table', 'key', 'bound', 'forgets')
_TESTED: Final[_Rows] = (
    (
        '`Metrics._counters[]`, `Metrics._summaries[]`',
        'route and status, route',
        'routes of the configuration, and one',
        'with each configuration, into the route `(removed)`',
    ),
    (
        '`Metrics._gauges[]`',
        'server',
        'servers with a limit',
        'with the limit or the server',
    ),
    (
        '`RouteIndex._routes_by_http_host`',
        'route',
        'routes of the configuration',
        'with each configuration',
    ),
    (
        '`RoutingDocument.teams_by_api_key`',
        'key of a team',
        'keys of the configuration',
        'with each configuration',
    ),
    (
        '`ServerRegistry._entries`',
        'server',
        'servers in the store, 2.2 s longer after an outage',
        'with the entry',
    ),
    (
        (
            '`LoadTracker._loads`, `LoadTracker._cache_sizes`, '
            '`HealthTracker._servers`, `ServerRateLimits._buckets`'
        ),
        'server instance',
        'registered servers',
        'with the next change of servers',
    ),
    (
        '`LoadTracker._timings`',
        'service',
        'services of the configuration and of registered servers',
        'with the next change of either',
    ),
    (
        '`RetryBudgets._budgets`',
        'service',
        'services with calls in the window',
        'with each configuration, if unused',
    ),
    (
        '`RetryBudget._first_sends`',
        'call',
        'calls of the window',
        'with the next call',
    ),
    (
        '`LimitGuard._refused_at`',
        'service',
        'services that refused in the last 4 s',
        'with the next other service',
    ),
    (
        (
            '`PrefixCacheEstimate.tokens_by_part`, '
            '`PrefixCacheEstimate._prefilled`, '
            '`PrefixCacheEstimate._used_at`'
        ),
        'prompt part',
        "the engine's cache, 4,096 for each server",
        'least recently used',
    ),
    (
        '`Quarantine._answered_parts`',
        'prompt part',
        '8,192',
        'least recently answered',
    ),
    (
        '`StreamState._removals`',
        'removed record',
        '256',
        'oldest',
    ),
    (
        '`ServerRegistry._removed`',
        'removed server',
        'those of 60 s',
        'after 60 s',
    ),
    (
        '`BoundedConnection._carried_ids`',
        'request',
        '256 a connection',
        'with its connection',
    ),
)
_READ: Final[_Rows] = (
    (
        '`Quarantine._flights`',
        'call',
        '8,192',
        'oldest',
    ),
    (
        '`CrashEvidence`',
        'server, part',
        '64 crashes of 8 calls, 128 clearances',
        'oldest, or after 900 s',
    ),
    (
        '`EvidenceKeeper._kept`',
        'prompt part',
        'what the store keeps at the start, and blocks written',
        'when this host writes a release',
    ),
    (
        '`ServerNotices`',
        'server instance',
        '4,096',
        'oldest',
    ),
    (
        '`MemberTable`',
        'host',
        'hosts alive, and dead ones for their retention',
        'by time',
    ),
    (
        '`Membership._seen_addresses` (`tests/test_host_peers.py`)',
        'peer address',
        '1,024',
        'silent for the longest',
    ),
    (
        '`Membership._recorded_statuses` (`tests/test_host_peers.py`)',
        'host',
        'hosts of `MemberTable`',
        'with the host',
    ),
    (
        '`Membership._seeds`',
        'peer address',
        '**none**: each address that settings or the store ever named',
        'never',
    ),
    (
        '`NoteAssembler._incomplete`',
        'sender, note',
        '10 MB of fragments in all',
        'with the last fragment, or 2 s after the last one that came',
    ),
)


def render_host_tables() -> str:
    """Return the section of the page."""
    parts = (
        _HEAD,
        _render(_TESTED),
        'Not churned by that test; read in the code unless a test is named:\n',
        _render(_READ),
    )
    return '\n'.join(parts)


def _render(rows: _Rows) -> str:
    lines = [f'| {" | ".join(row)} |' for row in (_COLUMNS, *rows)]
    lines.insert(1, '|---|---|---|---|')
    return '\n'.join((*lines, ''))


__all__ = ('render_host_tables',)
