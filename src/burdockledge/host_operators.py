"""The endpoints of an entry host for its operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockledge.platform import PartEndpoint, PlaceEndpoint
from burdockledge.relay import PlacementProbe

if TYPE_CHECKING:
    from burdockledge.clock import Clock
    from burdockledge.host import RelayHost
    from burdockledge.peers import PeerKeys


def make_operator_endpoints(
    host: RelayHost, keys: PeerKeys, clock: Clock
) -> tuple[PartEndpoint, PlaceEndpoint]:
    """
    Create the endpoints; requests that need it are signed with the keys.

    :param host: its routing state, exchange and relay exist already.
    """
    probe = PlacementProbe(
        host.routing_state,
        host.exchange,
        host.settings.data_centre,
        clock,
        host.relay.would_cut_off,
    )
    return (
        PartEndpoint(host.routing_state.parts, keys),
        PlaceEndpoint(probe, keys),
    )


__all__ = ('make_operator_endpoints',)
