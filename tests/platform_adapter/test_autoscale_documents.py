"""Fields of records by which servers are ordered."""

from __future__ import annotations

import json
from collections.abc import MutableMapping
from typing import Any

import pytest

from burdockledge.calls import AutoscaleConfiguration
from burdockledge.platform import PlatformDecoder
from burdockledge.platform._documents import strip_heartbeat
from tests.platform_adapter.test_documents import (
    CONFIGURATION_RECORD,
    SERVER_RECORD,
)

AUTOSCALE: dict[str, Any] = {
    'min': 1,
    'max': 20,
    'boot_s': 3,
    'spot_price': 0.18,
    'zone_prices': {'leicester': 1.0, 'coventry': 0.8},
}


def decode(autoscale: object) -> AutoscaleConfiguration | None:
    """Return the decoded field of a service of a configuration."""
    service = {'name': 'b1', 'engine': {}, 'autoscale': autoscale}
    record = {**CONFIGURATION_RECORD, 'backends': [service, {'name': 'b2'}]}
    document = PlatformDecoder().decode_routing(
        'config', json.dumps(record).encode()
    )
    assert document is not None
    assert document.services['b2'].autoscale is None
    return document.services['b1'].autoscale


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({}, (1, 20, 3, 0.18, 2)),
        ({'min': 30}, (30, 20, 3, 0.18, 2)),
        ({'spot_price': None}, (1, 20, 3, None, 2)),
        ({'boot_s': 4.5, 'zone_prices': {}}, (1, 20, 4.5, 0.18, 0)),
        ({'new': 1}, (1, 20, 3, 0.18, 2)),
    ],
)
def test_autoscale_is_decoded(
    changes: dict[str, Any], expected: tuple[float | None, ...]
) -> None:
    """What is missing or contradicts itself is left to the planner."""
    decoded = decode({**AUTOSCALE, **changes})
    assert decoded is not None
    assert expected == (
        decoded.min_servers,
        decoded.max_servers,
        decoded.boot_seconds,
        decoded.spot_price,
        len(decoded.prices),
    )


@pytest.mark.parametrize(
    'autoscale',
    [
        None,
        [],
        5,
        {},
        *(
            {**AUTOSCALE, field: wrong}
            for field, wrong in (
                ('min', '1'),
                ('min', -1),
                ('min', True),
                ('max', 2.5),
                ('max', 0),
                ('max', 10**30),
                ('boot_s', '4'),
                ('boot_s', -1),
                ('spot_price', 0),
                ('spot_price', 'low'),
                ('zone_prices', [1.0]),
                ('zone_prices', {'a': None}),
                ('zone_prices', {'a': -1}),
            )
        ),
    ],
    ids=str,
)
def test_wrong_autoscale_leaves_the_configuration_valid(
    autoscale: object,
) -> None:
    """Guards against a field of orders that stops the routing of calls."""
    assert decode(autoscale) is None


@pytest.mark.parametrize(
    ('changes', 'is_spot', 'leaves_ms', 'faults'),
    [
        ({}, False, None, 0),
        ({'spot': True}, True, None, 0),
        ({'spot': False, 'leaves_ms': 1_790_000_000}, False, 1_790_000_000, 0),
        ({'spot': 1, 'leaves_ms': 2.5}, False, None, 2),
        ({'spot': 'true', 'leaves_ms': True}, False, None, 2),
        ({'leaves_ms': -1}, False, None, 1),
        ({'leaves_ms': 10**40}, False, None, 1),
    ],
    ids=str,
)  # fmt: skip
def test_optional_fields_of_servers(
    changes: dict[str, Any],
    is_spot: bool,
    leaves_ms: int | None,
    faults: int,
    log: list[MutableMapping[str, Any]],
) -> None:
    """Guards against a server that is lost for a field of another type."""
    decoder = PlatformDecoder()
    content = json.dumps({**SERVER_RECORD, **changes}).encode()
    for _ in range(3):
        registration = decoder.decode_registration('i-1', content)
    assert registration is not None
    assert registration.instance.is_spot == is_spot
    assert registration.leaves_ms == leaves_ms
    assert len(log) == faults


@pytest.mark.parametrize(
    ('changes', 'is_heartbeat'),
    [({'seq': 5}, True), ({'leaves_ms': 9}, False), ({'spot': True}, False)],
)
def test_a_departure_is_no_heartbeat(
    changes: dict[str, Any], is_heartbeat: bool
) -> None:
    """Guards against a departure that no host hears of."""
    before, after = (
        strip_heartbeat(json.dumps(record).encode())
        for record in (SERVER_RECORD, {**SERVER_RECORD, **changes})
    )
    assert (before == after) == is_heartbeat
