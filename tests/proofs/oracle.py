"""
What must always hold, as a few dictionaries.

``ran`` counts executions by key, ``told`` lists what callers heard by key,
``versions`` holds the newest version seen in force on each host.
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
    """Notes what callers hear and compares it with what happened."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self.told: dict[str, list[Outcome]] = defaultdict(list)
        self.bodies: dict[str, bytes] = {}
        self.versions: dict[str, int] = {}
        self.chats = 0
        self.slots = {0: None, 1: 2}

    def publish(self, base: int, slots: int) -> None:
        """Note a patch; only one written against the newest version counts."""
        newest = max(self.slots)
        if base == newest:
            self.slots[newest + 1] = slots

    def hear(self, key: str, answer: Answer) -> None:
        """Note the answer of a call that may not be repeated."""
        self.told[key].append(answer.outcome)
        if answer.outcome is Outcome.completed and answer.body:
            assert answer.body == self.bodies[key], f'{key}: not its answer'

    def hear_chat(
        self,
        site: Site,
        request_id: str,
        digest: str,
        tokens: int,
        events: bytes,
        end: AnswerEnd,
    ) -> None:
        """Check the tokens of a generation against its own prompt."""
        self.chats += 1
        expected = [token_text(digest, index) for index in range(tokens)]
        heard = [
            event.split('"content":"')[1].split('"')[0]
            for event in events.decode().split('\n\n')
            if event
        ]
        assert heard == expected[: len(heard)], f'{request_id}: wrong tokens'
        if end.outcome is Outcome.completed:
            assert len(heard) == tokens, f'{request_id}: not whole'
        if end.outcome is Outcome.not_run:
            executed = any(
                request_id in engine.model.executed_request_ids
                for engine in site.engines.values()
            )
            assert not executed, f'{request_id}: told not-run but it ran'

    def check(self, executions: Counter[str], site: Site) -> None:
        """Check everything that was told and run so far."""
        for key, count in executions.items():
            assert count <= 1, f'{key} ran {count} times'
        for key, outcomes in self.told.items():
            self._check_told(key, outcomes, executions[key])
        for name, site_host in site.hosts.items():
            self._check_version(name, site_host.host.components.configuration)

    def _check_told(
        self,
        key: str,
        outcomes: list[Outcome],
        count: int,
    ) -> None:
        if Outcome.not_run in outcomes:
            assert count == 0, f'{key}: told not-run but it ran'
        if Outcome.completed in outcomes:
            assert count == 1, f'{key}: told completed but it did not run'

    def _check_version(self, name: str, configuration) -> None:
        state = configuration.state
        if state is None:
            return
        assert state.version >= self.versions.get(name, 0), f'{name} went back'
        self.versions[name] = state.version
        assert state.version in self.slots, f'{name}: a stale patch won'
        engine = state.document.servers.get('e0')
        slots = None if engine is None else engine.slots
        assert slots == self.slots[state.version], f'{name}: wrong document'
