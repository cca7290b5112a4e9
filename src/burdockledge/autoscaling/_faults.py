"""Faults of the configuration with which no servers are ordered."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from burdockledge.calls import AutoscaleConfiguration


def find_fault(
    autoscale: AutoscaleConfiguration, data_centres: Collection[str]
) -> str | None:
    """
    Return why servers can not be ordered, None if they can.

    :param data_centres: those that have or had servers of the service, or
        orders of them.
    """
    if autoscale.min_servers > autoscale.max_servers:
        return 'the minimum is over the maximum'
    if autoscale.spot_price is None:
        return 'the price of spot servers is missing'
    unpriced = sorted(set(data_centres) - set(autoscale.prices))
    if unpriced:
        return f'the price of a data centre is missing: {unpriced[0]}'
    if not autoscale.prices:
        return 'there are no prices'
    empty = sorted(set(autoscale.prices) - set(data_centres))
    if empty:
        return f'a data centre has no servers: {empty[0]}'
    return None


__all__ = ('find_fault',)
