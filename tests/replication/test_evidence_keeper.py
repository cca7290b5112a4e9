"""Blocks of prompt parts that outlive the hosts that found them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import pytest

from burdockledge.clock import VirtualClock, VirtualTimeLoop
from burdockledge.quarantine import Quarantine, part_key
from burdockledge.replication import EvidenceKeeper
from burdockledge.wire import (
    Clearance,
    CrashSuspect,
    Note,
    decode_note,
    encode_note,
)
from tests.replication.hosts import FakeStore, FakeStoreClient

BAD = part_key('model', 0xBAD)
CRASHES = [CrashSuspect(n, n, [BAD], True, 200, 1000 * n) for n in (1, 2)]


class KeepingHosts:
    """Hosts that keep their blocks in one store."""

    def __init__(self, loop: VirtualTimeLoop, names: tuple[str, ...]) -> None:
        """Create the hosts of one life of the fleet."""
        self.store = FakeStore()
        self.quarantines: dict[str, Quarantine] = {}
        self.keepers: dict[str, EvidenceKeeper] = {}
        # The error of the wall clocks from the next start on.
        self.clock_error_ms = 0
        self._loop = loop
        self._names = names

    async def start(self) -> None:
        """Start hosts without memory."""
        for name in self._names:
            quarantine = Quarantine()
            clock = VirtualClock(self._loop)
            clock.jump(self.clock_error_ms)
            keeper = EvidenceKeeper(
                name, FakeStoreClient(self.store, name), quarantine,
                clock, Random(name),
            )  # fmt: skip
            keeper.list_hosts = lambda: list(self.keepers)
            self.quarantines[name] = quarantine
            self.keepers[name] = keeper
            await keeper.start()

    async def stop(self) -> None:
        """Stop all hosts."""
        for keeper in self.keepers.values():
            await keeper.stop()
        self.keepers.clear()


def run_hosts(
    scenario: Callable[[KeepingHosts], Awaitable[None]],
    names: tuple[str, ...] = ('h1', 'h2', 'h3'),
) -> None:
    """Run a scenario in virtual time."""
    loop = VirtualTimeLoop()

    async def run() -> None:
        hosts = KeepingHosts(loop, names)
        await hosts.start()
        await scenario(hosts)
        await hosts.stop()

    try:
        loop.run_until_complete(run())
    finally:
        loop.shut_down()


@pytest.mark.parametrize('outage_seconds', [0, 5])
def test_a_block_outlives_a_restart_of_all_hosts(outage_seconds: float) -> None:
    """Guards against crashes that a fleet without memory has to see again."""

    async def scenario(hosts: KeepingHosts) -> None:
        await asyncio.sleep(1)
        hosts.store.is_down = bool(outage_seconds)
        for quarantine in hosts.quarantines.values():
            quarantine.merge(CRASHES, [], asyncio.get_running_loop().time())
        await asyncio.sleep(outage_seconds)
        hosts.store.is_down = False
        await asyncio.sleep(4)
        assert hosts.store.kept_writes == 1
        await hosts.stop()
        await hosts.start()
        await asyncio.sleep(0.1)
        for quarantine in hosts.quarantines.values():
            assert set(quarantine.blocked) == {BAD}

    run_hosts(scenario)


def test_a_released_part_is_dropped_from_the_store() -> None:
    """Guards against a release that ends with the next restart."""

    async def scenario(hosts: KeepingHosts) -> None:
        await asyncio.sleep(1)
        for quarantine in hosts.quarantines.values():
            quarantine.merge(CRASHES, [], 1)
        await asyncio.sleep(2)
        assert len(hosts.store.kept) == 1
        for quarantine in hosts.quarantines.values():
            quarantine.release(BAD, 5, 3)
        await asyncio.sleep(2)
        assert not hosts.store.kept

    run_hosts(scenario)


def test_a_restart_does_not_renew_evidence_that_was_cleared() -> None:
    """Guards against hosts that block a released part again as one restarts."""

    async def scenario(hosts: KeepingHosts) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1)
        for quarantine in hosts.quarantines.values():
            quarantine.merge(CRASHES, [], loop.time())
        await asyncio.sleep(60)
        running = hosts.quarantines['h1']
        # The store is down, so that the block is not dropped from it.
        hosts.store.is_down = True
        running.release(BAD, 5, loop.time())
        await asyncio.sleep(60)
        await hosts.stop()
        hosts.store.is_down = False
        await hosts.start()
        await asyncio.sleep(0.1)
        restarted = hosts.quarantines['h2']
        assert BAD in restarted.blocked
        for one, other in ((restarted, running), (running, restarted)):
            one.merge(*other.entries(loop.time()), loop.time())
        assert not running.blocked
        assert not restarted.blocked

    run_hosts(scenario)


@pytest.mark.parametrize('clock_error_ms', [-5000, -1000, 0, 1000, 5000])
@pytest.mark.parametrize('release_seconds', [-3, -1, 20, 600])
def test_a_release_holds_after_a_restart_if_it_came_after_the_crashes(
    release_seconds: int, clock_error_ms: int
) -> None:
    """Guards against kept evidence that is as young or old as a clock says."""

    async def scenario(hosts: KeepingHosts) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(10)
        for quarantine in hosts.quarantines.values():
            quarantine.merge(CRASHES, [], loop.time())
        # The crashes were one and two seconds ago; one host learns of the
        # release, after they were written.
        crashed_at = loop.time() - (1 if release_seconds > 0 else 2)
        released_at = crashed_at + release_seconds
        await asyncio.sleep(2)
        hosts.store.is_down = True
        await asyncio.sleep(max(0, released_at - loop.time()))
        released_ms = int(1000 * (loop.time() - released_at))
        running = hosts.quarantines['h1']
        running.merge([], [Clearance(5, BAD, released_ms)], loop.time())
        await asyncio.sleep(60)
        await hosts.stop()
        hosts.store.is_down = False
        hosts.clock_error_ms = clock_error_ms
        await hosts.start()
        await asyncio.sleep(0.1)
        restarted = hosts.quarantines['h2']
        assert set(restarted.blocked) == {BAD}
        for one, other in ((restarted, running), (running, restarted)):
            one.merge(*other.entries(loop.time()), loop.time())
        is_blocked = release_seconds < 0
        assert set(running.blocked) == set(restarted.blocked)
        assert bool(restarted.blocked) is is_blocked

    run_hosts(scenario)


@pytest.mark.parametrize('age_seconds', [60, 1000, 100_000])
def test_a_block_outlives_a_restart_however_old_it_is(
    age_seconds: float,
) -> None:
    """Guards against a block that expires as its evidence tells its age."""

    async def scenario(hosts: KeepingHosts) -> None:
        await asyncio.sleep(1)
        for quarantine in hosts.quarantines.values():
            quarantine.merge(CRASHES, [], 1)
        await asyncio.sleep(age_seconds)
        await hosts.stop()
        await hosts.start()
        await asyncio.sleep(2.1)
        for quarantine in hosts.quarantines.values():
            assert set(quarantine.blocked) == {BAD}
        assert set(hosts.store.kept) == {str(BAD)}

    run_hosts(scenario)


def test_a_restart_does_not_blame_a_part_that_was_answered() -> None:
    """Guards against a block that moves to another part of its prompts."""
    sound = part_key('model', 0x50D)
    crashes = [
        CrashSuspect(n, n, [BAD, sound], True, 200, 1000 * n) for n in (1, 2)
    ]

    async def scenario(hosts: KeepingHosts) -> None:
        await asyncio.sleep(1)
        for quarantine in hosts.quarantines.values():
            quarantine.merge(crashes, [Clearance(7, sound, 0)], 1)
            assert set(quarantine.blocked) == {BAD}
        await asyncio.sleep(60)
        await hosts.stop()
        await hosts.start()
        await asyncio.sleep(0.1)
        for quarantine in hosts.quarantines.values():
            assert set(quarantine.blocked) == {BAD}

    run_hosts(scenario)


def test_a_record_of_a_former_version_is_written_again_with_its_time() -> None:
    """Guards against records that each restart makes young again."""

    async def scenario(hosts: KeepingHosts) -> None:
        hosts.store.kept[str(BAD)] = encode_note(Note('h1', suspects=CRASHES))
        await hosts.stop()
        await hosts.start()
        await asyncio.sleep(3)
        (content,) = hosts.store.kept.values()
        assert decode_note(content).written_at_ms
        assert hosts.store.kept_writes == 1

    run_hosts(scenario)


@pytest.mark.parametrize(
    ('key', 'content'), [(str(BAD), b'\xff'), ('other', b'{}')]
)
def test_evidence_that_can_not_be_read_is_left_out(
    key: str, content: bytes
) -> None:
    """Guards against hosts that fail at records of another writer."""

    async def scenario(hosts: KeepingHosts) -> None:
        hosts.store.kept[key] = content
        await hosts.stop()
        await hosts.start()
        await asyncio.sleep(0.1)
        assert not any(one.blocked for one in hosts.quarantines.values())

    run_hosts(scenario)
