"""An offer that waits for a slot."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockledge.wire import Offer


@dataclass(slots=True, eq=False)
class WaitingOffer:
    """
    An offer of a host, as kept by the slot scheduler.

    ``due_at``, when the first token is due, and ``renewed_at``, when the host
    last sent the offer, are times of the leader's clock, in seconds.
    """

    offer: Offer
    host: str
    due_at: float
    renewed_at: float
    is_withdrawn: bool = False


__all__ = ('WaitingOffer',)
