"""Entries of other writers in the topics of the store."""

from __future__ import annotations

import json
from dataclasses import dataclass

_NESTING = 50_000
_SERVER: dict[str, object] = {
    'backend': 'book', 'address': '127.0.0.1:9', 'zone': 'a', 'slots': 4,
    'state': 'ready', 'seq': 1, 'born': 1,
}  # fmt: skip


@dataclass(frozen=True)
class OddEntry:
    """The content of an entry that names nothing to use.

    ``record`` and ``item`` replace it in the two responses of the store.
    """

    content: bytes = b'{}'
    record: bytes | None = None
    item: object = None


def _changed(**fields: object) -> OddEntry:
    return OddEntry(json.dumps({**_SERVER, **fields}).encode())


def _without(field: str) -> OddEntry:
    fields = {name: one for name, one in _SERVER.items() if name != field}
    return OddEntry(json.dumps(fields).encode())


ODD_ENTRIES: tuple[OddEntry, ...] = (
    OddEntry(b'[' * _NESTING),
    OddEntry(b'{"backend":' * _NESTING + b'1' + b'}' * _NESTING),
    OddEntry(json.dumps(_SERVER).encode()[:-20]),
    OddEntry(b'\xff\xfe\x00 not text'),
    OddEntry(b'null'),
    OddEntry(b'"ready"'),
    OddEntry(b'1' * 5000),
    *(_without(name) for name in ('backend', 'address', 'state', 'slots')),
    _changed(slots=2**80),
    _changed(slots=-1),
    _changed(slots=1e300),
    _changed(slots='4'),
    _changed(born=2**70),
    _changed(born=-1),
    _changed(born=1.5),
    _changed(state='asleep'),
    _changed(state=['ready']),
    _changed(backend={'name': 'book'}),
    _changed(address='127.0.0.1:99999'),
    _changed(address='localhost'),
    _changed(zone=None),
    # Records without a whole key, and items that are none.
    OddEntry(record=b'', item=[]),
    OddEntry(record=b'\x09odd', item={'key': '', 'value': '', 'offset': 1}),
    OddEntry(record=b'\x02\xff\xfe{}', item='odd'),
    OddEntry(item={'key': 'odd', 'value': 'no base64 !', 'offset': 1}),
    OddEntry(item={'key': 'odd', 'value': 'e30=', 'offset': 2**70}),
    OddEntry(item={'key': 'odd', 'value': 'e30=', 'offset': -1}),
)
