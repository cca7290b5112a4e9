"""Usage reports with each failure that the design note names."""

from __future__ import annotations

import asyncio
import json

import pytest

from burdockledge.duties import CallOutcome
from tests.usage.fleet import FIRST_WINDOW, UsageFleet

# Calls go on for some windows; the last ones are not yet decided.
SECONDS = 32.0
LAST_WINDOW = 4


def _lost_calls(fleet: UsageFleet, window: int) -> int:
    reported = fleet.api.reports()[window]
    return sum(fleet.truth[window].values()) - sum(reported.values())


@pytest.mark.parametrize(
    ('loss', 'hosts'), [(0.0, 6), (0.3, 6), (0.3, 24), (0.0, 1)]
)
def test_every_window_is_exact(loss: float, hosts: int) -> None:
    """Guards against USAGE: counts that are lost with datagrams."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.network.loss_probability = loss
        fleet.hold('h0')
        await asyncio.sleep(SECONDS)
        assert fleet.missed(0, LAST_WINDOW) == []
        metrics = fleet.hosts['h0'].metrics
        assert metrics.counter('usage_hosts_missing') == 0
        assert metrics.counter('usage_windows_late') == 0

    UsageFleet(hosts).run(scenario)


def test_windows_without_calls_are_reported() -> None:
    """Guards against missed windows before the first traffic."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.call_seconds = 1000
        await asyncio.sleep(1)
        fleet.hold('h0')
        await asyncio.sleep(SECONDS)
        assert fleet.api.reports().keys() >= set(range(6))
        assert not any(fleet.api.reports().values())

    UsageFleet().run(scenario)


@pytest.mark.parametrize('killed', ['h1', 'h2', 'h3', 'h4', 'h5'])
def test_a_killed_host_loses_a_second_at_most(killed: str) -> None:
    """Guards against counts that end with their host."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.hold('h0')
        await asyncio.sleep(13.5)
        await fleet.kill(killed)
        await asyncio.sleep(SECONDS - 13.5)
        assert _lost_calls(fleet, 2) <= sum(
            host == killed and 12.3 < at <= 13.5 for host, at in fleet.calls
        )
        assert [window for window in fleet.missed(0, 4) if window != 2] == []

    UsageFleet().run(scenario)


def test_a_host_that_stops_as_planned_loses_nothing() -> None:
    """Guards against the counts since the last answer of a stopping host."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.hold('h0')
        await asyncio.sleep(13.4)
        host = fleet.hosts.pop('h3')
        fleet._introduce()
        await asyncio.sleep(0.05)
        await host.gossip.stop()
        await asyncio.sleep(SECONDS - 13.4)
        assert fleet.missed(0, LAST_WINDOW) == []

    UsageFleet().run(scenario)


@pytest.mark.parametrize('moment', ['before write', 'written', 'executed'])
@pytest.mark.parametrize('successor', ['h1', 'h2', 'h3', 'h4', 'h5', 'h0'])
def test_a_killed_holder_leaves_one_decision(
    moment: str, successor: str
) -> None:
    """Guards against a window that two holders report differently."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.hold('h0')
        await asyncio.sleep(9)
        killed = asyncio.Event()

        def fail_write(key: str) -> tuple[bool, bool]:
            killed.set()
            return moment != 'before write', False

        def fail_call(window: int) -> CallOutcome:
            killed.set()
            return CallOutcome.unknown

        if moment == 'executed':
            fleet.api.is_executed_without_answer = True
            fleet.api.fault = fail_call
        else:
            fleet.store.fault = fail_write
        await killed.wait()
        killed_at = fleet.loop.time()
        fleet.store.fault = lambda _: (True, True)
        fleet.api.fault = lambda _: CallOutcome.accepted
        recorded = fleet.store.records.get(f'usage/{(FIRST_WINDOW + 1) % 8}')
        await fleet.kill('h0')
        # A host that starts again claims at once, another one after a lease.
        await asyncio.sleep(0.5 if successor == 'h0' else 4.5)
        if successor == 'h0':
            await fleet.start('h0')
        fleet.hold(successor)
        await asyncio.sleep(SECONDS - fleet.loop.time())
        assert killed_at < 11
        inexact = {window for window in fleet.missed(0, 4) if window != 2}
        # A process can't know what happened to windows that ended before it.
        is_left = successor == 'h0' and moment == 'before write'
        assert inexact == ({1} if is_left else set())
        assert 1 in fleet.api.reports() or is_left
        assert _lost_calls(fleet, 2) <= sum(
            host == 'h0' and killed_at - 1.2 < at <= killed_at
            for host, at in fleet.calls
        )
        assert (recorded is None) == (moment == 'before write')
        sent = [
            report
            for _, report in fleet.api.executed
            if json.loads(report)['window_id'] == FIRST_WINDOW + 1
        ]
        assert recorded is None or set(sent) == {recorded.content}

    UsageFleet().run(scenario)


def test_a_write_without_an_answer_is_not_decided_again() -> None:
    """Guards against new counts for bytes that may be in the store."""

    async def scenario(fleet: UsageFleet) -> None:
        outcomes = iter([(False, False), (True, False)])
        fleet.store.fault = lambda _: next(outcomes, (True, True))
        fleet.hold('h0')
        await asyncio.sleep(SECONDS)
        assert fleet.missed(0, LAST_WINDOW) == []

    UsageFleet().run(scenario)


@pytest.mark.parametrize('successor', ['h0', 'h1', 'h2'])
@pytest.mark.parametrize('restored_at', [10.1, 11.0, 14.9, 15.25])
def test_a_restored_store_changes_no_decision(
    successor: str, restored_at: float
) -> None:
    """Guards against windows decided again whose records were lost."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.hold('h0')
        await asyncio.sleep(restored_at)
        fleet.store.records.clear()
        fleet.store.era += 1
        fleet.store.end = 0
        fleet.end_lease('h0')
        await asyncio.sleep(1 if successor == 'h0' else 4)
        fleet.hold(successor)
        await asyncio.sleep(SECONDS - fleet.loop.time())
        reports = fleet.api.reports()
        missed = set(fleet.missed(0, LAST_WINDOW))
        # What ended shortly before a host saw the restore may be left out.
        assert all(
            restored_at - 0.5 < 5 * (window + 1) < restored_at + 0.6
            for window in missed
        )
        assert successor != 'h0' or not missed
        assert not missed & reports.keys()

    UsageFleet().run(scenario)


@pytest.mark.parametrize(
    ('killed_at', 'started_at', 'held_at'),
    [(17.0, 18.0, 18.0), (13.5, 14.5, 15.2)],
)
def test_a_late_holder_decides_no_window_of_an_era_before(
    killed_at: float, started_at: float, held_at: float
) -> None:
    """Guards against a new process that knows nothing of former reports."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.hold('h0')
        await asyncio.sleep(killed_at)
        await fleet.kill('h0')
        fleet.store.records.clear()
        fleet.store.era += 1
        await asyncio.sleep(started_at - killed_at)
        await fleet.start('h0')
        await asyncio.sleep(held_at - started_at)
        sent = len(fleet.api.executed)
        fleet.hold('h0')
        await asyncio.sleep(SECONDS - held_at)
        windows = [
            json.loads(report)['window_id'] - FIRST_WINDOW
            for _, report in fleet.api.executed[sent:]
        ]
        assert min(windows) == 3

    UsageFleet().run(scenario)


def test_reports_that_a_restore_lost_are_recorded_again() -> None:
    """Guards against windows that end with the process that decided them."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.hold('h0')
        await asyncio.sleep(9)
        fleet.api.fault = lambda _: CallOutcome.unknown
        await asyncio.sleep(3)
        fleet.store.records.clear()
        fleet.store.era += 1
        fleet.end_lease('h0')
        await asyncio.sleep(0.5)
        fleet.hold('h0')
        await asyncio.sleep(3)
        await fleet.kill('h0')
        await asyncio.sleep(4.5)
        fleet.api.fault = lambda _: CallOutcome.accepted
        fleet.hold('h2')
        await asyncio.sleep(SECONDS - 20)
        # Window 3 has lost calls of the killed host.
        assert set(fleet.missed(0, LAST_WINDOW)) <= {3}

    UsageFleet().run(scenario)


def test_a_window_is_written_with_the_same_counts_again() -> None:
    """Guards against two reports of a window, one of which is stored late."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.hold('h0')
        await asyncio.sleep(8.5)
        process = fleet.hosts['h3'].process
        fleet.loop.freeze(process)
        fleet.store.fault = lambda _: (False, False)
        await asyncio.sleep(5.4)
        fleet.loop.thaw(process)
        # The host that was frozen answers meanwhile.
        await asyncio.sleep(2.5)
        fleet.store.fault = lambda _: (True, True)
        await asyncio.sleep(SECONDS - 16.4)
        writes = {
            content
            for content in fleet.store.writes
            if json.loads(content)['window_id'] == FIRST_WINDOW + 1
        }
        assert len(writes) == 1

    UsageFleet().run(scenario)


@pytest.mark.parametrize('part', ['store', 'api refuses', 'api is silent'])
@pytest.mark.parametrize('seconds', [8.0, 45.0])
def test_reports_are_kept_while_store_or_api_is_away(
    part: str, seconds: float
) -> None:
    """Guards against windows missed for an outage, and sent out of order."""
    outcome = (
        CallOutcome.failed if part == 'api refuses' else CallOutcome.unknown
    )

    async def scenario(fleet: UsageFleet) -> None:
        fleet.hold('h0')
        await asyncio.sleep(11)
        fleet.store.is_down = part == 'store'
        if part != 'store':
            fleet.api.fault = lambda _: outcome
        await asyncio.sleep(seconds)
        fleet.store.is_down = False
        fleet.api.fault = lambda _: CallOutcome.accepted
        await asyncio.sleep(15)
        last = int((26 + seconds - 10) / 5)
        assert fleet.missed(0, last) == []
        windows = [json.loads(report)['window_id']
                   for _, report in fleet.api.executed]  # fmt: skip
        assert windows == sorted(windows)

    UsageFleet().run(scenario)


def test_a_refused_report_keeps_back_no_other() -> None:
    """Guards against one report that blocks all later ones."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.api.fault = lambda window: (
            CallOutcome.failed
            if window == FIRST_WINDOW + 1
            else CallOutcome.accepted
        )
        fleet.hold('h0')
        await asyncio.sleep(SECONDS)
        assert fleet.missed(0, LAST_WINDOW) == [1]
        assert fleet.hosts['h0'].metrics.counter('usage_windows_late') == 0

    UsageFleet().run(scenario)


@pytest.mark.parametrize('jumped', ['h0', 'h1', 'h4'])
@pytest.mark.parametrize('jump_ms', [-6000, 6000])
def test_a_jump_of_a_wall_clock_moves_no_window(
    jumped: str, jump_ms: int
) -> None:
    """Guards against the clock of the holder, or of a host that counts."""

    async def scenario(fleet: UsageFleet) -> None:
        await asyncio.sleep(3)
        fleet.hold('h0')
        await asyncio.sleep(5)
        fleet.hosts[jumped].clock.jump(jump_ms)
        await asyncio.sleep(SECONDS - 8)
        assert fleet.missed(0, LAST_WINDOW) == []

    UsageFleet().run(scenario)


def test_a_frozen_host_counts_when_it_wakes() -> None:
    """Guards against a late answer that changes a decided window."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.hold('h0')
        await asyncio.sleep(8.5)
        process = fleet.hosts['h3'].process
        fleet.loop.freeze(process)
        await asyncio.sleep(8.5)
        decided = fleet.api.reports()[1]
        fleet.loop.thaw(process)
        await asyncio.sleep(SECONDS - 17)
        assert fleet.api.reports()[1] == decided
        assert fleet.missed(0, LAST_WINDOW) == [1, 2, 3]
        # No call is lost: those of the frozen time are in the next window,
        # but for what the host had counted since its last answer.
        reported = sum(
            sum(fleet.api.reports()[window].values()) for window in range(5)
        )
        called = sum(sum(fleet.truth[window].values()) for window in range(5))
        unanswered = sum(
            host == 'h3' and 7.3 < at <= 8.5 for host, at in fleet.calls
        )
        assert called - unanswered <= reported <= called

    UsageFleet().run(scenario)


def test_a_frozen_holder_decides_nothing_when_it_wakes() -> None:
    """Guards against a holder that goes on after another one took over."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.hold('h0')
        await asyncio.sleep(9.5)
        process = fleet.hosts['h0'].process
        fleet.loop.freeze(process)
        await asyncio.sleep(4.5)
        lease = fleet.hosts['h0'].lease
        assert lease is not None
        lease.holds = False
        fleet.hold('h2')
        await asyncio.sleep(1)
        fleet.loop.thaw(process)
        fleet.end_lease('h0')
        await asyncio.sleep(SECONDS - 15)
        assert set(fleet.missed(0, LAST_WINDOW)) <= {1, 2, 3}
        assert fleet.api.reports().keys() >= set(range(5))

    UsageFleet().run(scenario)
