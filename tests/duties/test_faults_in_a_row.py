"""Random faults of hosts, links, store and API, one after the other."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from burdockledge.duties import CallOutcome
from tests.duties.site import Site, run_site

HOSTS = ('h1', 'h2', 'h3', 'h4')
_FAULT_COUNT = 60


class Faults:
    """Disturbs a site; a fault may last until a later one ends it."""

    def __init__(self, site: Site, random: Random) -> None:
        """Create the faults of one run."""
        self._site = site
        self._random = random
        self._frozen: set[str] = set()

    async def disturb(self) -> None:
        """Begin or end one fault."""
        host = self._random.choice(HOSTS)
        fault = self._random.choice((
            self._freeze, self._restart, self._stop, self._cut_from_store,
            self._cut_from_api, self._lose_append, self._delay_calls,
            self._restore, self._slow, self._refuse_calls, self.mend, self.mend,
        ))  # fmt: skip
        result = fault(host)
        if result is not None:
            await self._site.start(result)

    def mend(self, _: str = '') -> None:
        """End all faults that last."""
        for host in sorted(self._frozen):
            self._site.thaw(host)
        self._frozen.clear()
        self._site.topic.cut.clear()
        self._site.topic.refused.clear()
        self._site.topic.way_seconds = 0.005
        self._site.api.cut.clear()
        self._site.api.late.clear()
        self._site.api.answer_seconds = 0.005
        self._site.api.answers.clear()

    def _freeze(self, host: str) -> None:
        if host not in self._frozen:
            self._frozen.add(host)
            self._site.freeze(host)

    def _restart(self, host: str) -> str:
        self._freeze(host)
        self._frozen.discard(host)
        return host

    def _stop(self, host: str) -> str | None:
        if host in self._frozen:
            return None
        self._site.processes[host].holder.release_soon()
        return host

    def _cut_from_store(self, host: str) -> None:
        self._random.choice(
            (self._site.topic.cut, self._site.topic.refused)
        ).add(host)

    def _cut_from_api(self, host: str) -> None:
        self._site.api.cut.add(host)

    def _lose_append(self, host: str) -> None:
        self._site.topic.late_appends[host] = self._random.uniform(0.01, 8)

    def _delay_calls(self, host: str) -> None:
        self._site.api.late[host] = self._random.uniform(0.1, 1.95)

    def _restore(self, _: str) -> None:
        records = self._site.topic.records
        self._site.topic.restore(self._random.randint(0, len(records)))

    def _slow(self, _: str) -> None:
        self._site.topic.way_seconds = self._random.uniform(0.01, 0.8)
        self._site.api.answer_seconds = self._random.uniform(0.01, 1.5)

    def _refuse_calls(self, _: str) -> None:
        answers = self._site.api.answers
        answers.append(CallOutcome.fenced)
        answers.extend([CallOutcome.unavailable] * 5)


@pytest.mark.parametrize('checks_numbers', [True, False])
@pytest.mark.parametrize('seed', range(12))
def test_rules_hold_under_faults_in_a_row(
    seed: int, checks_numbers: bool
) -> None:
    """Guards against faults that break a rule only together."""

    async def scenario(site: Site) -> None:
        random = Random(seed)
        faults = Faults(site, random)
        await site.start(*HOSTS)
        for _ in range(_FAULT_COUNT):
            await asyncio.sleep(random.uniform(0.1, 6))
            await faults.disturb()
        faults.mend()
        await asyncio.sleep(20)
        since = site.loop.time()
        await asyncio.sleep(4)
        assert len(site.accepted_since(since)) == 1

    run_site(scenario, checks_numbers=checks_numbers, seed=seed)
