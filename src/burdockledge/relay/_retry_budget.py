"""Limits the retries of a service on all hosts, without coordination."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

# Keeps the sum of all hosts within the limits although their windows don't
# coincide.
_SAFETY_FACTOR: Final = 0.8


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """
    The limits of the retry budget of each service, for all hosts together.

    In any window of ``window_seconds``, the retries number at most ``ratio``
    times the first sends, plus ``slack``.
    """

    ratio: float
    slack: float
    window_seconds: float


class RetryBudget:
    """
    Allows retries of one service within a sliding window.

    The limits hold for all hosts together. Each host applies the ratio to
    its own first sends and takes an equal part of the slack, so the sum
    keeps to the limits even if the hosts can't reach each other.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        """Create an unused budget."""
        self._settings = settings
        self._first_sends: deque[float] = deque()
        self._retries: deque[float] = deque()

    def apply_retry_settings(self, settings: RetryBudgetSettings) -> None:
        """Change the limits; retries in the current window still count."""
        self._settings = settings

    def note_first_send(self, now: float) -> None:
        """Count the first send of a call."""
        self._drop_expired(now)
        self._first_sends.append(now)

    def try_spend(self, now: float, host_count: int) -> bool:
        """
        Count one retry if the window has room for it.

        :param host_count: how many hosts share the slack.
        :return: whether the retry is allowed.
        """
        self._drop_expired(now)
        settings = self._settings
        room = settings.ratio * len(self._first_sends) + settings.slack / max(
            1, host_count
        )
        if len(self._retries) + 1 > room * _SAFETY_FACTOR:
            return False
        self._retries.append(now)
        return True

    def give_back(self) -> None:
        """
        Count a retry no longer that was not used after all.

        Which one it was is not known. Without the oldest one, what still
        counts expires no earlier than the retries that were used.
        """
        if self._retries:
            self._retries.popleft()

    def is_unused(self, now: float) -> bool:
        """Return whether nothing counts in the current window."""
        self._drop_expired(now)
        return not self._first_sends and not self._retries

    def _drop_expired(self, now: float) -> None:
        for times in (self._first_sends, self._retries):
            while times and times[0] <= now - self._settings.window_seconds:
                times.popleft()


class RetryBudgets:
    """The retry budgets of all services."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        """Create budgets with the same limits for each service."""
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._settings)
            self._budgets[service] = budget
        return budget

    def apply_retry_settings(self, settings: RetryBudgetSettings) -> None:
        """Change the limits of every budget, also of those in use."""
        self._settings = settings
        for budget in self._budgets.values():
            budget.apply_retry_settings(settings)

    def drop_unused(self, now: float) -> None:
        """Drop the budgets in which nothing counts: new ones equal them."""
        for service, budget in tuple(self._budgets.items()):
            if budget.is_unused(now):
                self._budgets.pop(service)


__all__ = ('RetryBudget', 'RetryBudgetSettings', 'RetryBudgets')
