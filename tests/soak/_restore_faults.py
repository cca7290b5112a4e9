"""Restores of the store from a copy."""

from __future__ import annotations

import asyncio
import signal
from random import Random
from typing import TYPE_CHECKING

from tests.soak._access_faults import change_forever
from tests.soak._servers import REGISTRATION_LIFETIME_SECONDS
from tests.soak._store import ABSENCES, REJECTIONS, SLOW

if TYPE_CHECKING:
    from tests.soak._fault import Fault, Injector
    from tests.soak._hosts import SoakHost
    from tests.soak._run import SoakRun

# How old a copy is, and how long the store is away.
_COPY_AGES = (0.5, 12.0)
_AWAY_SECONDS = (0.2, 2.0)
# Versions just before the store goes away: after the restore, as many offsets
# more are below those that hosts have read.
_LAST_VERSIONS = (0, 5, 30)
# When the operator has written the newest configuration again.
_MAX_OPERATOR_SECONDS = 1.0
# The first restore begins after some changes, and the last one leaves the time
# to judge what follows.
_FIRST_AWAY_SHARES = (0.2, 0.4)
_GAP_SHARES = (0.05, 0.3)
_SECOND_RESTORE_SHARE = 0.5
# When hosts are disturbed, from the time on at which the store goes away.
_HOST_FAULT_SECONDS = (0.0, 4.0)
_HOST_FAULT_LEAD_SECONDS = 1.5
_PAUSE_SECONDS = (1.0, 6.0)
_EXPIRY_POLL_SECONDS = 0.3


async def restore_store(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Restore the store from an older copy, once or twice.

    A third of the hosts is turned away, restarted or paused about then, while
    keys, routes and servers come and go.
    """
    changes = asyncio.create_task(change_forever(soak_run, random))
    started_at = soak_run.now()
    await asyncio.sleep(random.uniform(*_FIRST_AWAY_SHARES) * fault.seconds)
    await _restore(soak_run, random)
    if random.random() < _SECOND_RESTORE_SHARE:
        await asyncio.sleep(random.uniform(*_GAP_SHARES) * fault.seconds)
        await _restore(soak_run, random)
    await asyncio.sleep(max(0, started_at + fault.seconds - soak_run.now()))
    changes.cancel()


async def _restore(soak_run: SoakRun, random: Random) -> None:
    store = soak_run.store
    hosts = random.sample(soak_run.hosts, max(1, len(soak_run.hosts) // 3))
    disturb = random.choice(_HOST_FAULTS)
    soak_run.spawn(disturb(soak_run, hosts, random))
    slow_hosts = [
        host.name
        for host in random.sample(soak_run.hosts, len(soak_run.hosts) // 2)
    ]
    store.inject(slow_hosts, SLOW)
    await asyncio.sleep(_HOST_FAULT_LEAD_SECONDS)
    for _ in range(random.choice(_LAST_VERSIONS)):
        soak_run.configuration.publish()
    copied_at = soak_run.now() - random.uniform(*_COPY_AGES)
    store.go_away(random.choice(ABSENCES))
    await asyncio.sleep(random.uniform(*_AWAY_SECONDS))
    # The first configuration is in every copy.
    store.return_from_copy(max(copied_at, soak_run.record.started_at))
    store.lift(slow_hosts)
    soak_run.spawn(_expire_servers(soak_run))
    await asyncio.sleep(random.uniform(0, _MAX_OPERATOR_SECONDS))
    store.write_configuration_again()


async def _expire_servers(soak_run: SoakRun) -> None:
    """Remove the entries that came back of servers that do not."""
    until = soak_run.now() + 2 * REGISTRATION_LIFETIME_SECONDS
    while soak_run.now() < until:
        await asyncio.sleep(_EXPIRY_POLL_SECONDS)
        soak_run.store.expire_servers(REGISTRATION_LIFETIME_SECONDS)


async def _reject(
    soak_run: SoakRun, hosts: list[SoakHost], random: Random
) -> None:
    """Turn hosts away from the store."""
    await asyncio.sleep(random.uniform(*_HOST_FAULT_SECONDS))
    admit = soak_run.store.reject(
        [host.name for host in hosts], random.choice(REJECTIONS)
    )
    await asyncio.sleep(random.uniform(*_PAUSE_SECONDS))
    admit()


async def _restart(
    soak_run: SoakRun, hosts: list[SoakHost], random: Random
) -> None:
    """Restart hosts, one after another."""
    for host in hosts:
        await asyncio.sleep(random.uniform(*_HOST_FAULT_SECONDS) / len(hosts))
        soak_run.spawn(
            host.restart(random.choice((signal.SIGTERM, signal.SIGKILL)))
        )


async def _pause(
    soak_run: SoakRun, hosts: list[SoakHost], random: Random
) -> None:
    """Let hosts stand still, so that they may miss a whole restore."""
    await asyncio.sleep(random.uniform(*_HOST_FAULT_SECONDS))
    seconds = random.uniform(*_PAUSE_SECONDS)
    for host in hosts:
        host.send_signal(signal.SIGSTOP, seconds)
    await asyncio.sleep(seconds)
    for host in hosts:
        host.send_signal(signal.SIGCONT, 1)


_HOST_FAULTS = (_reject, _restart, _pause)
RESTORE_FAULTS: dict[str, Injector] = {restore_store.__name__: restore_store}
