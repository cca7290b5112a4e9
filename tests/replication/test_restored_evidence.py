"""Kept evidence in a store that has come back from an older copy."""

from __future__ import annotations

import asyncio

import pytest
from result import Result

from burdockledge.replication import SourceFailure
from tests.replication.hosts import FakeStoreClient
from tests.replication.test_evidence_keeper import (
    BAD,
    CRASHES,
    KeepingHosts,
    run_hosts,
)

CLIENT_NAME = 'tests.replication.test_evidence_keeper.FakeStoreClient'
FEW = ('h1', 'h2', 'h3')
MANY = tuple(f'h{number}' for number in range(195))
# The users' store bears 2000 reads a second of all hosts, of which kept
# evidence may take a fortieth.
MAX_READS_A_SECOND = 50


def block(hosts: KeepingHosts) -> None:
    """Let all hosts see the crashes."""
    now = asyncio.get_running_loop().time()
    for quarantine in hosts.quarantines.values():
        quarantine.merge(CRASHES, [], now)


def release(hosts: KeepingHosts) -> None:
    """Release the part on all hosts."""
    now = asyncio.get_running_loop().time()
    for quarantine in hosts.quarantines.values():
        quarantine.release(BAD, 5, now)


def restore(hosts: KeepingHosts, copy: dict[str, bytes]) -> None:
    """Replace what the store keeps; all hosts notice at once."""
    hosts.store.kept = dict(copy)
    for keeper in hosts.keepers.values():
        keeper.note_restore()


@pytest.mark.parametrize('names', [FEW, MANY])
@pytest.mark.parametrize('restores', [1, 2])
def test_a_block_that_a_restored_store_lost_is_written_again(
    restores: int, names: tuple[str, ...]
) -> None:
    """Guards against a block that ends with the next restart, and a storm."""

    async def scenario(hosts: KeepingHosts) -> None:
        await asyncio.sleep(1)
        block(hosts)
        await asyncio.sleep(3)
        for restore_number in range(restores):
            assert hosts.store.kept_writes == 1 + restore_number
            restore(hosts, {})
            await asyncio.sleep(1.1)
            assert set(hosts.store.kept) == {str(BAD)}
        await asyncio.sleep(20)
        assert hosts.store.kept_writes == 1 + restores

    run_hosts(scenario, names)


@pytest.mark.parametrize(
    ('seconds', 'names'), [(0, FEW), (3, FEW), (2000, FEW), (3, MANY)]
)
def test_a_released_part_that_a_restored_store_shows_is_dropped_again(
    seconds: float, names: tuple[str, ...]
) -> None:
    """Guards against a release that ends with the next restart."""

    async def scenario(hosts: KeepingHosts) -> None:
        await asyncio.sleep(1)
        block(hosts)
        await asyncio.sleep(3 + seconds)
        copy = dict(hosts.store.kept)
        release(hosts)
        await asyncio.sleep(2)
        assert not hosts.store.kept
        restore(hosts, copy)
        await asyncio.sleep(2 + len(names) * 0.05)
        assert not hosts.store.kept
        assert not any(one.blocked for one in hosts.quarantines.values())

    run_hosts(scenario, names)


@pytest.mark.parametrize('is_blocked', [True, False])
def test_hosts_that_the_store_turns_away_bring_it_up_to_date_later(
    is_blocked: bool,
) -> None:
    """Guards against a writer that gives up as the store is away."""

    async def scenario(hosts: KeepingHosts) -> None:
        await asyncio.sleep(1)
        block(hosts)
        await asyncio.sleep(3)
        copy = {} if is_blocked else dict(hosts.store.kept)
        if not is_blocked:
            release(hosts)
            await asyncio.sleep(2)
        hosts.store.is_down = True
        restore(hosts, copy)
        await asyncio.sleep(5)
        hosts.store.is_down = False
        await asyncio.sleep(5)
        assert bool(hosts.store.kept) is is_blocked

    run_hosts(scenario)


class SlowClient(FakeStoreClient):
    """A store client whose answers take a tenth of a second to arrive."""

    async def write_kept(self, key: str, content: bytes | None) -> bool:
        """Keep a record."""
        is_accepted = await super().write_kept(key, content)
        await asyncio.sleep(0.1)
        return is_accepted

    async def read_kept(self) -> Result[dict[str, bytes], SourceFailure]:
        """Return the kept records."""
        result = await super().read_kept()
        await asyncio.sleep(0.1)
        return result


@pytest.mark.parametrize('noticed_after', [0, 0.05, 0.2])
def test_a_write_that_was_under_way_at_a_restore_is_repeated(
    noticed_after: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an acknowledgement of the store before its restore."""
    monkeypatch.setattr(CLIENT_NAME, SlowClient)

    async def scenario(hosts: KeepingHosts) -> None:
        await asyncio.sleep(1)
        block(hosts)
        while not hosts.store.kept_writes:
            await asyncio.sleep(0.001)
        hosts.store.kept.clear()
        await asyncio.sleep(noticed_after)
        restore(hosts, {})
        await asyncio.sleep(2.2)
        assert set(hosts.store.kept) == {str(BAD)}

    run_hosts(scenario, MANY)


@pytest.mark.parametrize('noticed_after', [0.05, 0.2])
def test_a_read_that_was_under_way_at_a_restore_is_repeated(
    noticed_after: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a record that a host takes for kept after it is lost."""
    monkeypatch.setattr(CLIENT_NAME, SlowClient)

    async def scenario(hosts: KeepingHosts) -> None:
        await asyncio.sleep(1)
        block(hosts)
        await asyncio.sleep(3)
        await hosts.stop()
        await hosts.start()
        await asyncio.sleep(noticed_after)
        restore(hosts, {})
        await asyncio.sleep(4)
        assert set(hosts.store.kept) == {str(BAD)}

    run_hosts(scenario)


class CountingClient(FakeStoreClient):
    """A store client that records the times of its reads."""

    read_times: list[float] = []

    async def read_kept(self) -> Result[dict[str, bytes], SourceFailure]:
        """Return the kept records."""
        self.read_times.append(asyncio.get_running_loop().time())
        return await super().read_kept()


def test_many_hosts_spread_their_reads_after_a_restore(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 195 reads in the second in which all hosts notice."""
    monkeypatch.setattr(CLIENT_NAME, CountingClient)

    async def scenario(hosts: KeepingHosts) -> None:
        await asyncio.sleep(1)
        CountingClient.read_times.clear()
        restore(hosts, {})
        await asyncio.sleep(30)
        times = CountingClient.read_times
        assert len(times) == len(MANY)
        busiest = max(
            sum(start <= one < start + 1 for one in times) for start in times
        )
        assert busiest <= MAX_READS_A_SECOND

    run_hosts(scenario, MANY)
