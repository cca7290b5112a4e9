"""Values that the components of an entry host derive from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from burdockledge.connections import derive_limits
from burdockledge.relay import RetryBudgetSettings
from burdockledge.scheduling import PlacementOptions

if TYPE_CHECKING:
    from burdockledge.settings import RelayHostSettings

# The period of store reads as a fraction of the shorter of two bounds: the time
# to apply a configuration and the time to stop using a draining server.
_READ_PERIOD_FRACTION: Final = 0.35


def large_answer_bytes(settings: RelayHostSettings) -> int:
    """Return what all large answers together may hold."""
    limits = derive_limits(settings.memory_bytes, settings.max_descriptors)
    return limits.large_answer_bytes


def retry_budget_settings(settings: RelayHostSettings) -> RetryBudgetSettings:
    """Return the budget of retries that all hosts share."""
    return RetryBudgetSettings(
        settings.retry_ratio,
        settings.retry_slack,
        settings.retry_window_seconds,
    )


def placement_options(settings: RelayHostSettings) -> PlacementOptions:
    """Return what the choice of a server takes into account."""
    return PlacementOptions(
        weighs_pressure=settings.sheds_load, sheds_load=settings.sheds_load
    )


def read_period_seconds(settings: RelayHostSettings) -> float:
    """Return the seconds between two reads of a topic by all hosts."""
    strictest_bound_seconds = min(
        settings.configuration_seconds, settings.drain_seconds
    )
    return strictest_bound_seconds * _READ_PERIOD_FRACTION


def with_port(address: str, port: int) -> str:
    """Return an address with another port."""
    return f'{address.rpartition(":")[0]}:{port}'


__all__ = (
    'large_answer_bytes',
    'placement_options',
    'read_period_seconds',
    'retry_budget_settings',
    'with_port',
)
