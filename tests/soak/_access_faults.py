"""Faults of the hosts' access to the store, and of what they read there."""

from __future__ import annotations

import asyncio
import signal
from random import Random
from typing import TYPE_CHECKING

from tests.soak._odd_entries import ODD_ENTRIES
from tests.soak._store import HOSTS_TOPIC, REJECTIONS, SERVERS_TOPIC

if TYPE_CHECKING:
    from tests.soak._fault import Fault, Injector
    from tests.soak._hosts import SoakHost
    from tests.soak._run import SoakRun

# Names of this many routes fill several datagrams.
_UNUSED_ROUTE_COUNT = 60
_MAX_RESTART_GAP_SECONDS = 1.2
_CHANGE_SECONDS = 0.8
# When restarts begin, as a share of the fault.
_RESTART_SHARES = (0.25, 0.45)
_ODD_ENTRY_SECONDS = 0.3
_ENTRIES_PER_REPLACEMENT = 7


async def reject_hosts_around_restarts(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Restart hosts in turn; turn others away from the store about then.

    Meanwhile a large configuration changes and servers leave.
    """
    soak_run.configuration.add_unused_routes(_UNUSED_ROUTE_COUNT, random)
    hosts = random.sample(soak_run.hosts, len(soak_run.hosts))
    rejected = hosts[: random.choice((1, max(1, len(hosts) // 3)))]
    others = hosts[len(rejected) :]
    restarted = random.choice((others, others, others[:-1], hosts))
    gap_seconds = random.uniform(0.1, _MAX_RESTART_GAP_SECONDS)
    starts_at = random.uniform(*_RESTART_SHARES) * fault.seconds
    # Before, between or after the restarts.
    rejects_at = starts_at + random.choice((-1, gap_seconds, 3))
    for number, host in enumerate(restarted):
        soak_run.spawn(
            _restart_later(host, starts_at + number * gap_seconds, random)
        )
    changes = asyncio.create_task(change_forever(soak_run, random))
    await asyncio.sleep(rejects_at)
    admit = soak_run.store.reject(
        [host.name for host in rejected], random.choice(REJECTIONS)
    )
    await asyncio.sleep(fault.seconds - rejects_at)
    changes.cancel()
    admit()


async def write_odd_entries(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Write odd entries to the topics of servers and hosts.

    Meanwhile servers are replaced, as the sound entries say.
    """
    entries = random.sample(ODD_ENTRIES, len(ODD_ENTRIES))
    until = soak_run.now() + fault.seconds
    while soak_run.now() < until and entries:
        entry = entries.pop()
        if len(entries) % _ENTRIES_PER_REPLACEMENT == 0:
            soak_run.spawn(soak_run.replace_server(random))
        for topic in (SERVERS_TOPIC, HOSTS_TOPIC):
            soak_run.store.write_odd_entry(topic, entry)
        await asyncio.sleep(_ODD_ENTRY_SECONDS)


async def _restart_later(
    host: SoakHost, seconds: float, random: Random
) -> None:
    await asyncio.sleep(seconds)
    await host.restart(random.choice((signal.SIGTERM, signal.SIGKILL)))


async def change_forever(soak_run: SoakRun, random: Random) -> None:
    """Change keys and routes and replace servers, one after another."""
    configuration = soak_run.configuration
    while True:
        change = random.randrange(5)
        if change == 0:
            configuration.add_key(random)
        elif change == 1:
            configuration.revoke_key()
        elif change == 2:
            configuration.remove_route()
        elif change == 3:
            configuration.add_route(random)
        else:
            soak_run.spawn(soak_run.replace_server(random))
        await asyncio.sleep(_CHANGE_SECONDS)


ACCESS_FAULTS: dict[str, Injector] = {
    injector.__name__: injector
    for injector in (reject_hosts_around_restarts, write_odd_entries)
}
