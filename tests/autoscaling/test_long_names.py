"""Orders of a service whose name does not fit into the key of a record."""

from __future__ import annotations

from collections.abc import MutableMapping
from dataclasses import replace
from typing import Any

import pytest

from burdockledge.autoscaling import ServiceView
from tests.autoscaling.platform import FakeFleet, FakeLease, Scene, even_fleet

# The store counts the bytes of a key in one byte.
MAX_KEY_BYTES = 255


class _FleetWithLongName(FakeFleet):
    """A fleet with another service of a long name before the usual one."""

    name = 'm' * MAX_KEY_BYTES

    def views(self, now: float) -> list[ServiceView]:
        """Return both services."""
        views = super().views(now)
        return [replace(views[0], service=self.name), *views]


class _StrictLease(FakeLease):
    """A lease over a store that takes no longer keys."""

    async def write(self, key: str, content: bytes) -> bool:
        """Write a record."""
        bytes((len(key.encode()),))
        return await super().write(key, content)


@pytest.mark.parametrize(
    'name', ['m' * MAX_KEY_BYTES, 'é' * 45], ids=['long', 'long as quoted']
)
def test_a_long_name_keeps_back_no_other_service(
    name: str, log: list[MutableMapping[str, Any]]
) -> None:
    """Guards against a run that ends at the record of one service."""
    scene = Scene(even_fleet())
    scene.lease = _StrictLease(scene.records)
    fleet = _FleetWithLongName(scene.platform)
    fleet.name = name
    scene.duty._fleet = fleet
    scene.play(10)
    assert scene.platform.orders
    (fault,) = (
        line for line in log if line['event'] == 'No servers are ordered.'
    )
    assert fault['service'] == name
