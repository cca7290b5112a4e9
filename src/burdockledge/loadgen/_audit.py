"""Compares the reported outcomes with the executions of the services."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from burdockledge.claims import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from burdockledge.loadgen._results import RunResults


@dataclass(frozen=True, slots=True)
class AuditFinding:
    """An idempotency key whose reported outcome contradicts its executions."""

    key: str
    outcome: str
    executions: int


def audit_executions(
    run_results: RunResults,
    executions: Iterable[Mapping[str, int]],
) -> list[AuditFinding]:
    """Return the keys that ran twice or had a wrong reported outcome."""
    executions_by_key: Counter[str] = Counter()
    for counts in executions:
        executions_by_key.update(counts)
    findings: list[AuditFinding] = []
    for result in run_results.requests:
        if not result.key:
            continue
        count = executions_by_key[result.key]
        if not _is_consistent(result.outcome, count):
            findings.append(
                AuditFinding(result.key, result.outcome.value, count),
            )
    return findings


def _is_consistent(outcome: Outcome, executions: int) -> bool:
    if outcome is Outcome.completed:
        return executions == 1
    if outcome is Outcome.not_run:
        return executions == 0
    return executions <= 1


__all__ = ('AuditFinding', 'audit_executions')
