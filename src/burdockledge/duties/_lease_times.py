"""The times that claims depend on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from burdockledge.settings import DutySettings

# Covers the way of a call that the former holder sent as its lease ended.
_MARGIN_SECONDS: Final = 0.5
# The platform may carry out a call without an answer this much later.
_LATE_CALL_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """
    Seconds that claims depend on.

    ``late`` is the time for which a call without an answer keeps a later token
    from being used; 0 if the platform checks tokens.
    """

    lease: float
    wait: float
    late: float

    @classmethod
    def from_settings(cls, settings: DutySettings) -> LeaseTimes:
        """Return the times of a deployment."""
        late = 0.0 if settings.checks_fence_numbers else _LATE_CALL_SECONDS
        lease = settings.lease_seconds
        return cls(lease, lease + _MARGIN_SECONDS + late, late)


__all__ = ('LeaseTimes',)
