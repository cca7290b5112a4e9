"""One host at a time does the duties, whatever fails."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from burdockledge.clock import VirtualClock
from burdockledge.duties import CallOutcome
from burdockledge.duties._claim_writer import ClaimWriter
from burdockledge.duties._lease_state import LeaseState
from burdockledge.duties._lease_times import LeaseTimes
from burdockledge.duties._records import (
    HOLDER_KEY,
    HolderRecord,
    encode_record,
)
from tests.duties.site import Site, make_duty_settings, run_site
from tests.duties.stand_ins import FakeStoreClient

Fault = Callable[[Site, str], Awaitable[None]]
HOSTS = ('h1', 'h2', 'h3', 'h4', 'h5')
# The wait of a claimant where tokens are not checked, the reads before it, and
# the time until the first call.
TAKEOVER_SECONDS = 8.0


async def kill(site: Site, holder: str) -> None:
    """Kill the holder, without a thaw."""
    site.freeze(holder)


async def freeze(site: Site, holder: str) -> None:
    """Freeze the holder until another one has taken over."""
    site.freeze(holder)
    await asyncio.sleep(10)
    site.thaw(holder)


async def freeze_shortly(site: Site, holder: str) -> None:
    """Freeze the holder about as long as its lease."""
    site.freeze(holder)
    await asyncio.sleep(3.3)
    site.thaw(holder)


async def restart(site: Site, holder: str) -> None:
    """Kill the holder and start its host again at once."""
    site.freeze(holder)
    await site.start(holder)


async def cut_from_store(site: Site, holder: str) -> None:
    """Cut the holder from the store for a while."""
    site.topic.cut.add(holder)
    await asyncio.sleep(20)
    site.topic.cut.clear()


async def refuse_most(site: Site, holder: str) -> None:
    """Let the store refuse all hosts but the last one in line."""
    hosts = list(site.processes)
    site.topic.refused.update(hosts)
    last = min(set(hosts) - {holder}, key=lambda host: _place(site, host))
    site.topic.refused.discard(last)
    await asyncio.sleep(40)
    assert site.accepted_since(site.loop.time() - 3) == [last]
    site.topic.refused.clear()


def _place(site: Site, host: str) -> int:
    return -site.processes[host].holder._place()  # noqa: SLF001


async def cut_from_api(site: Site, holder: str) -> None:
    """Cut the holder from the API."""
    site.api.cut.add(holder)
    await asyncio.sleep(10)


async def stop_store(site: Site, holder: str) -> None:
    """Take the store away from all hosts, for longer than a lease."""
    site.topic.cut.update(site.processes)
    await asyncio.sleep(9)
    site.topic.cut.clear()


async def slow_store(site: Site, holder: str) -> None:
    """Let the store take half a second each way."""
    site.topic.way_seconds = 0.5
    await asyncio.sleep(20)
    site.topic.way_seconds = 0.005


async def lose_an_answer(site: Site, holder: str) -> None:
    """Carry an append out without an answer, before the holder reads."""
    site.topic.late_appends[holder] = 0.01
    await asyncio.sleep(3)


async def delay_an_append(site: Site, holder: str) -> None:
    """Carry an append out when the holder has long appended others."""
    site.topic.late_appends[holder] = 4.0
    await asyncio.sleep(6)


async def restore(site: Site, holder: str) -> None:
    """Restore the store from a copy without most renewals."""
    site.topic.restore(len(site.topic.records) // 2)


async def restore_before_all(site: Site, holder: str) -> None:
    """Restore the store from an empty copy."""
    site.topic.restore(0)


async def restore_while_away(site: Site, holder: str) -> None:
    """Restore the store after the lease has ended."""
    await stop_store(site, holder)
    site.topic.restore(1)


async def restore_former_claim(site: Site, holder: str) -> None:
    """Restore the claim of a holder that was frozen, as it thaws."""
    end = len(site.topic.records)
    site.freeze(holder)
    await asyncio.sleep(10)
    site.topic.restore(end)
    site.thaw(holder)


async def delay_calls(site: Site, holder: str) -> None:
    """Carry calls of the holder out late, and kill it."""
    site.api.late[holder] = 1.95
    await asyncio.sleep(1)
    site.freeze(holder)


async def slow_api(site: Site, holder: str) -> None:
    """Let the API take 50 times as long."""
    site.api.answer_seconds = 0.5
    await asyncio.sleep(10)


async def jump_clocks(site: Site, holder: str) -> None:
    """Let all wall clocks jump, each by another time."""
    for number, process in enumerate(site.processes.values()):
        process.clock.jump((-1) ** number * 3_600_000)


async def stop_gracefully(site: Site, holder: str) -> None:
    """Stop the holder as SIGTERM does."""
    site.processes[holder].holder.release_soon()
    await asyncio.sleep(2)


@pytest.mark.parametrize('checks_numbers', [True, False])
@pytest.mark.parametrize(
    ('fault', 'is_replaced'),
    [
        (kill, True),
        (freeze, True),
        (freeze_shortly, None),
        (restart, None),
        (cut_from_store, True),
        (refuse_most, True),
        (cut_from_api, True),
        (stop_store, False),
        (slow_store, False),
        (lose_an_answer, False),
        (delay_an_append, False),
        (restore, False),
        (restore_before_all, False),
        (restore_while_away, None),
        (restore_former_claim, True),
        (delay_calls, True),
        (slow_api, False),
        (jump_clocks, False),
        (stop_gracefully, True),
    ],
)
def test_a_fault_leaves_one_holder(
    fault: Fault, is_replaced: bool | None, checks_numbers: bool
) -> None:
    """
    Guards against two holders, or none, after a fault.

    ``is_replaced`` tells whether another host has to take over, None for
    either.
    """

    async def scenario(site: Site) -> None:
        await site.start(*HOSTS)
        await asyncio.sleep(12)
        holder = site.holder()
        await fault(site, holder)
        await asyncio.sleep(TAKEOVER_SECONDS)
        since = site.loop.time()
        await asyncio.sleep(3)
        (successor,) = site.accepted_since(since)
        if is_replaced is not None:
            assert (successor != holder) == is_replaced

    run_site(scenario, checks_numbers=checks_numbers)


@pytest.mark.parametrize('checks_numbers', [True, False])
def test_many_hosts_start_at_once(checks_numbers: bool) -> None:
    """Guards against many claims at the start, and reads by all hosts."""

    async def scenario(site: Site) -> None:
        await site.start(*(f'h{number}' for number in range(86)))
        await asyncio.sleep(10)
        assert len(site.accepted_since(0)) == 1
        reads = site.topic.reads
        await asyncio.sleep(20)
        # Two watchers, and reserves that look less often.
        assert site.topic.reads - reads < 20 * 3

    run_site(scenario, checks_numbers=checks_numbers)


@pytest.mark.parametrize('checks_numbers', [True, False])
def test_a_release_is_taken_up_at_once_but_not_by_the_holder_before(
    checks_numbers: bool,
) -> None:
    """Guards against A, B, A within the lease by two quick releases."""

    async def scenario(site: Site) -> None:
        await site.start('h1', 'h2')
        await asyncio.sleep(12)
        first = site.holder()
        (second,) = set(site.processes) - {first}
        site.processes[first].holder.release_soon()
        await asyncio.sleep(1.8)
        assert site.holder() == second
        await site.start(first)
        await asyncio.sleep(0.2)
        site.processes[second].holder.release_soon()
        released_at = site.loop.time()
        await asyncio.sleep(2.5)
        assert not site.accepted_since(released_at + 0.5)
        await asyncio.sleep(TAKEOVER_SECONDS)
        assert site.accepted_since(released_at + 0.5) == [first]

    run_site(scenario, checks_numbers=checks_numbers)


def test_a_fenced_number_is_not_used_again() -> None:
    """Guards against a holder that goes on calling after a 409."""

    async def scenario(site: Site) -> None:
        await site.start(*HOSTS)
        await asyncio.sleep(5)
        process = site.processes[site.holder()]
        number = process.holder.fence_number
        site.api.answers.append(CallOutcome.fenced)
        await asyncio.sleep(20)
        assert process.api.outcomes[CallOutcome.fenced] == 1
        assert process.reporter.terms_forgotten == 1
        after_fence = [
            call
            for call in site.api.calls
            if call.at > 5.5 and call.number == number
        ]
        assert not after_fence
        assert site.accepted_since(15)

    run_site(scenario)


def test_a_write_without_an_answer_is_not_done_again() -> None:
    """Guards against a record that is in the store and counts as lost."""

    async def scenario(site: Site) -> None:
        await site.start('h1')
        await asyncio.sleep(5)
        for _ in range(10):
            site.topic.late_appends['h1'] = 0.01
            await asyncio.sleep(1.2)
        written = {
            content
            for key, content in site.topic.records
            if key.startswith('usage/')
        }
        reported = [call for call in site.api.calls if call.subject == 'usage']
        assert len(reported) >= len(written) - 1

    run_site(scenario)


def test_nothing_is_written_behind_a_newer_claim() -> None:
    """Guards against a lease that a task renews after another has read."""

    async def scenario(site: Site) -> None:
        state = LeaseState(
            'h1', 'i1', LeaseTimes.from_settings(make_duty_settings())
        )
        client = FakeStoreClient(site.topic, 'h1#1')
        clock = VirtualClock(site.loop)
        writer = ClaimWriter('h1', 'i1', client, state, clock)
        assert await writer.read()
        assert await writer.claim()
        number = state.claim
        assert number is not None
        assert await writer.append(number, 'usage/0', b'{}')
        claim = HolderRecord(host='h2', incarnation='i2', era=0)
        site.topic.append(HOLDER_KEY, encode_record(claim), 2)
        assert await writer.read()
        assert not await writer.append(number, 'usage/0', b'{}')
        assert not await writer.renew()
        assert len(site.topic.records) == 3

    run_site(scenario)


def test_two_machines_with_one_name_do_not_share_a_number() -> None:
    """Guards against a holder that is told by its name."""

    async def scenario(site: Site) -> None:
        await site.start(*HOSTS)
        await asyncio.sleep(5)
        holder = site.holder()
        older = site.processes[holder]
        await site.start(holder)
        await asyncio.sleep(20)
        newer = site.processes[holder].holder.fence_number
        assert older.holder.fence_number is None
        assert newer is not None
        # Both live on, but do not take the claim from each other in turn.
        assert len(site.api.senders) == 2

    run_site(scenario)
