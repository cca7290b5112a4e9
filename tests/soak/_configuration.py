"""The configuration that the operator writes, and its changes."""

from __future__ import annotations

from random import Random

from tests.soak._record import KINDS, Record
from tests.soak._store import SoakStore

SERVICES = {
    'order': 'book',
    'lookup': 'book',
    'draft': 'desk',
    'check': 'desk',
}
_ROUTE_TYPES = {
    'order': 'unsafe',
    'lookup': 'safe',
    'draft': 'streaming',
    'check': 'streaming',
}
MAX_SERVERS = 8
# Short boots, so that there are many orders.
_AUTOSCALE = {
    'min': 1, 'max': MAX_SERVERS, 'boot_s': 0.5, 'spot_price': 0.18,
    'zone_prices': {'a': 1.0, 'b': 0.8},
}  # fmt: skip
_REVOCABLE_KEY_COUNT = 6
# Callers use the keys that stay this many times as often as the others.
_KEY_WEIGHT = 4
_NAME_BYTES = 24
_LASTING_KEY = 'key-a'


class SoakConfiguration:
    """Keys and routes, written to the store as a whole with each change.

    Callers choose from ``keys`` and ``added_routes``, which hold those that
    were taken away, too; ``changes`` are a key and a route for each change.
    """

    def __init__(self, store: SoakStore, record: Record) -> None:
        """Create the first version without writing it."""
        self._store = store
        self._record = record
        self._version = 0
        self._keys = [
            f'spare-{number}' for number in range(_REVOCABLE_KEY_COUNT)
        ]
        self._unused_routes: list[str] = []
        self._used_routes: list[str] = []
        self.keys = [*[_LASTING_KEY, 'key-b'] * _KEY_WEIGHT, *self._keys]
        self.added_routes: list[str] = []
        self.changes: list[tuple[str, str]] = []
        record.teams = {'key-a': 'team-a', 'key-b': 'team-b'}
        record.teams.update(dict.fromkeys(self._keys, 'team-b'))

    def publish(self) -> float:
        """Write a new version; return the time of its confirmation."""
        self._version += 1
        return self._store.write_configuration(
            {
                'version': self._version,
                'routes': [
                    *(_route(kind, kind) for kind in KINDS),
                    *(
                        _route(name, name.partition('-')[0])
                        for name in (*self._used_routes, *self._unused_routes)
                    ),
                ],
                'backends': [
                    {'name': name, 'autoscale': _AUTOSCALE}
                    for name in sorted(set(SERVICES.values()))
                ],
                'tenants': [
                    {'name': 'team-a', 'api_keys': ['key-a'], 'priority': 0},
                    {
                        'name': 'team-b', 'priority': 1,
                        'api_keys': ['key-b', *self._keys],
                    },
                ],
            }
        )  # fmt: skip

    def add_unused_routes(self, count: int, random: Random) -> None:
        """Add routes that no caller uses, with names that do not compress."""
        self._unused_routes += [
            f'lookup-{random.randbytes(_NAME_BYTES).hex()}'
            for _ in range(count)
        ]
        self.publish()

    def revoke_key(self) -> None:
        """Revoke the newest key but the two that stay."""
        if self._keys:
            key = self._keys.pop()
            self._record.revoked[key] = self.publish()
            self.changes.append((key, ''))

    def add_key(self, random: Random) -> None:
        """Add a key, which callers use often."""
        key = f'added-{random.randbytes(_NAME_BYTES).hex()}'
        self._keys.append(key)
        self._record.teams[key] = 'team-b'
        self._record.added[key] = self.publish()
        self.keys += [key] * _KEY_WEIGHT
        self.changes.append((key, ''))

    def add_route(self, random: Random) -> None:
        """Add a route."""
        name = random.randbytes(_NAME_BYTES).hex()
        route = f'lookup-{name}'
        self._used_routes.append(route)
        self._record.added[route] = self.publish()
        self.added_routes.append(route)
        self.changes.append((_LASTING_KEY, route))

    def remove_route(self) -> None:
        """Remove the oldest route that was added."""
        if self._used_routes:
            route = self._used_routes.pop(0)
            self._record.revoked[route] = self.publish()
            self.changes.append((_LASTING_KEY, route))


def _route(name: str, kind: str) -> dict[str, object]:
    return {
        'name': name, 'hostname': 'soak.example',
        'path_prefix': f'/{name}/', 'route_type': _ROUTE_TYPES[kind],
        'timeout_ms': 4000, 'target_latency_ms': 400,
        'priority': KINDS.index(kind) % 3, 'backend': SERVICES[kind],
        'max_attempts': 2, 'stream_resume': kind == 'check',
    }  # fmt: skip
