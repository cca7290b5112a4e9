"""
Invariants of the system, checked against recorded outcomes.

``outcomes`` lists the outcomes reported for each key, and
``newest_versions`` the newest configuration version seen on each host.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from burdockledge.claims import Outcome
from burdockledge.standins import token_text

if TYPE_CHECKING:
    from burdockledge.execution import Answer, AnswerEnd
    from burdockledge.fakes import Site


class Oracle:
    """Compares the outcomes reported to callers with the executions."""

    def __init__(self) -> None:
        """Create an oracle without recorded outcomes."""
        self.outcomes: dict[str, list[Outcome]] = defaultdict(list)
        self.request_bodies: dict[str, bytes] = {}
        self.newest_versions: dict[str, int] = {}
        self.chat_count = 0
        self.slots_by_version = {0: None, 1: 2}

    def record_patch(self, base: int, slots: int) -> None:
        """Record a patch, which is ignored unless its base is the newest."""
        newest = max(self.slots_by_version)
        if base == newest:
            self.slots_by_version[newest + 1] = slots

    def record_answer(self, key: str, answer: Answer) -> None:
        """Record and check the answer of an at-most-once request."""
        self.outcomes[key].append(answer.outcome)
        if answer.outcome is Outcome.completed and answer.body:
            assert answer.body == self.request_bodies[key], (
                f'{key}: answer to another request'
            )

    def check_chat(
        self,
        site: Site,
        request_id: str,
        digest: str,
        tokens: int,
        events: bytes,
        end: AnswerEnd,
    ) -> None:
        """Check the tokens of a generation against its prompt."""
        self.chat_count += 1
        expected = [token_text(digest, index) for index in range(tokens)]
        received = [
            event.split('"content":"')[1].split('"')[0]
            for event in events.decode().split('\n\n')
            if event
        ]
        assert received == expected[: len(received)], (
            f'{request_id}: wrong tokens'
        )
        if end.outcome is Outcome.completed:
            assert len(received) == tokens, f'{request_id}: answer is truncated'
        if end.outcome is Outcome.not_run:
            executed = any(
                request_id in engine.model.executed_request_ids
                for engine in site.engines.values()
            )
            assert not executed, f'{request_id}: reported not-run but ran'

    def check(self, executions: Counter[str], site: Site) -> None:
        """Check all outcomes, executions and versions so far."""
        for key, count in executions.items():
            assert count <= 1, f'{key} ran {count} times'
        for key, outcomes in self.outcomes.items():
            self._check_outcomes(key, outcomes, executions[key])
        for name, site_host in site.hosts.items():
            self._check_version(name, site_host.host.components.configuration)

    def _check_outcomes(
        self,
        key: str,
        outcomes: list[Outcome],
        count: int,
    ) -> None:
        if Outcome.not_run in outcomes:
            assert count == 0, f'{key}: reported not-run but ran'
        if Outcome.completed in outcomes:
            assert count == 1, f'{key}: reported completed but did not run'

    def _check_version(self, name: str, configuration) -> None:
        state = configuration.state
        if state is None:
            return
        assert state.version >= self.newest_versions.get(name, 0), (
            f'{name}: version went back'
        )
        self.newest_versions[name] = state.version
        assert state.version in self.slots_by_version, (
            f'{name}: applied a stale patch'
        )
        engine = state.document.servers.get('e0')
        slots = None if engine is None else engine.slots
        assert slots == self.slots_by_version[state.version], (
            f'{name}: wrong configuration'
        )
