"""Settings of the parts of a host, from those of the host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from burdockledge.connections import derive_limits
from burdockledge.relay import RetryBudgetSettings

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
    """Return the settings of the retry budget."""
    return RetryBudgetSettings(
        settings.retry_ratio,
        settings.retry_slack,
        settings.retry_window_seconds,
    )


def read_period_seconds(settings: RelayHostSettings) -> float:
    """Return the period of the reads of the store."""
    strictest_bound_seconds = min(
        settings.configuration_seconds, settings.drain_seconds
    )
    return strictest_bound_seconds * _READ_PERIOD_FRACTION


__all__ = (
    'large_answer_bytes',
    'read_period_seconds',
    'retry_budget_settings',
)
