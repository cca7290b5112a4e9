"""Values that the components of an entry host derive from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from burdockledge.relay import RetryBudgetSettings

if TYPE_CHECKING:
    from burdockledge.settings import RelayHostSettings

# The period of store reads as a fraction of the shorter of two bounds: the time
# to apply a configuration and the time to stop using a draining server.
_READ_PERIOD_FRACTION: Final = 0.35


def retry_budget_settings(settings: RelayHostSettings) -> RetryBudgetSettings:
    """Return the budget of retries that all hosts share."""
    return RetryBudgetSettings(
        settings.retry_ratio,
        settings.retry_slack,
        settings.retry_window_seconds,
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


__all__ = ('read_period_seconds', 'retry_budget_settings', 'with_port')
