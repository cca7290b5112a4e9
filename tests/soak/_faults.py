"""Faults, how they are injected, and the schedule drawn from a seed."""

from __future__ import annotations

import asyncio
import signal
from random import Random
from typing import TYPE_CHECKING

from tests.soak._access_faults import ACCESS_FAULTS
from tests.soak._copy_faults import COPY_FAULTS
from tests.soak._fault import Fault, Injector
from tests.soak._notice_faults import NOTICE_FAULTS
from tests.soak._proxy import LINK_FAULTS, PASS_THROUGH
from tests.soak._record import Span
from tests.soak._restore_faults import RESTORE_FAULTS
from tests.soak._servers import SERVER_FAULTS
from tests.soak._store import STORE_FAULTS

if TYPE_CHECKING:
    from collections.abc import Collection

    from tests.soak._run import SoakRun

# Shares of the seeds that have each of these faults.
ACCESS_FAULT_SHARE = 0.7
COPY_FAULT_SHARE = 0.5
RESTORE_FAULT_SHARE = 0.5


def draw_schedule(
    seed: int, seconds: float, kinds: Collection[str] = ()
) -> list[Fault]:
    """Return the faults drawn from a seed; they may overlap.

    :param kinds: the only kinds of faults to return; empty for all.
    """
    random = Random(seed)
    faults: list[Fault] = []
    at = random.uniform(1, 2)
    while at < seconds - 4:
        kind = random.choice(tuple(FAULTS))
        faults.append(
            Fault(at, kind, random.uniform(0.8, 4), random.getrandbits(32))
        )
        at += random.choice((0.1, 0.5, 1.5, 2.5))
    # Drawn apart, so that the schedules of kept seeds stay as they were.
    random = Random(f'{seed} server rules')
    for kind in SERVER_RULE_FAULTS:
        faults.append(
            Fault(
                random.uniform(1, 3),
                kind,
                seconds - random.uniform(4, 6),
                random.getrandbits(32),
            )
        )
    for name, injectors, share in (
        (
            'access and notices',
            ACCESS_FAULTS | NOTICE_FAULTS,
            ACCESS_FAULT_SHARE,
        ),
        ('copies', COPY_FAULTS, COPY_FAULT_SHARE),
        ('restores', RESTORE_FAULTS, RESTORE_FAULT_SHARE),
    ):
        random = Random(f'{seed} {name}')
        for kind in injectors:
            fault = Fault(
                random.uniform(1, 4),
                kind,
                seconds - random.uniform(5, 7),
                random.getrandbits(32),
            )
            if random.random() < share or kind in kinds:
                faults.append(fault)
    return sorted(
        (fault for fault in faults if not kinds or fault.kind in kinds),
        key=lambda fault: fault.at,
    )


async def stop_host(soak_run: SoakRun, fault: Fault, random: Random) -> None:
    """Shut down a host with SIGTERM; it is restarted."""
    random.choice(soak_run.hosts).send_signal(signal.SIGTERM, 9)


async def stop_all_hosts(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Shut down all hosts one after another, as in a rolling restart."""
    for host in random.sample(soak_run.hosts, len(soak_run.hosts)):
        host.send_signal(signal.SIGTERM, 9)
        await asyncio.sleep(fault.seconds)


async def kill_host(soak_run: SoakRun, fault: Fault, random: Random) -> None:
    """Kill a host."""
    random.choice(soak_run.hosts).send_signal(signal.SIGKILL, 2)


async def pause_host(soak_run: SoakRun, fault: Fault, random: Random) -> None:
    """Pause a host with SIGSTOP for some seconds."""
    host = random.choice(soak_run.hosts)
    host.send_signal(signal.SIGSTOP, fault.seconds)
    await asyncio.sleep(fault.seconds)
    host.send_signal(signal.SIGCONT, 1)


async def reload_hosts(soak_run: SoakRun, fault: Fault, random: Random) -> None:
    """Rewrite all settings files and send SIGHUP to about half the hosts."""
    for host in soak_run.hosts:
        soak_run.write_settings(host, random.choice((1, 2, 5)))
        if random.random() < 0.5:
            host.send_signal(signal.SIGHUP, 0)


async def inject_store_fault(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Inject a store fault for some or all hosts."""
    names = [host.name for host in soak_run.hosts]
    affected_hosts = random.sample(names, random.randint(1, len(names)))
    kind = random.choice(STORE_FAULTS)
    soak_run.store.inject(affected_hosts, kind)
    await asyncio.sleep(fault.seconds)
    soak_run.store.lift(affected_hosts)


async def delete_store_history(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Delete the store's history except the newest record of each key."""
    soak_run.store.delete_history()


async def drain_server(soak_run: SoakRun, fault: Fault, random: Random) -> None:
    """Start a replacement for a server, then drain and stop the old one."""
    await soak_run.replace_server(random)


async def crash_server(soak_run: SoakRun, fault: Fault, random: Random) -> None:
    """Crash a server; it restarts, or is replaced after a longer fault."""
    await soak_run.crash_server(random, fault.seconds)


async def inject_server_fault(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Let a server fail, shed, hang or cut a share of its responses."""
    server = random.choice(soak_run.servers)
    server.fault = random.choice(SERVER_FAULTS)
    await asyncio.sleep(fault.seconds)
    server.fault = None


async def inject_link_fault(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Delay, reset or drop the traffic between hosts and a server."""
    server = random.choice(soak_run.servers)
    proxy = server.proxy
    now = soak_run.now()
    soak_run.record.link_faults.append(
        Span(now, now + fault.seconds, server.name)
    )
    proxy.mode = random.choice(LINK_FAULTS)
    await asyncio.sleep(fault.seconds)
    proxy.mode = PASS_THROUGH


async def revoke_key(soak_run: SoakRun, fault: Fault, random: Random) -> None:
    """Revoke one of the revocable keys."""
    soak_run.configuration.revoke_key()


async def increase_load(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Divide the pauses of all callers by 5."""
    for caller in soak_run.callers:
        caller.pause_seconds /= 5
    await asyncio.sleep(fault.seconds)
    for caller in soak_run.callers:
        caller.pause_seconds *= 5


async def set_fatal_part(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Let servers end under one part of prompts."""
    await soak_run.set_fatal_part(f'bad{fault.draw % 16:x}', fault.seconds)


async def limit_server(soak_run: SoakRun, fault: Fault, random: Random) -> None:
    """Let a server name the calls a second that it takes."""
    await soak_run.limit_server(random, fault.seconds)


FAULTS: dict[str, Injector] = {
    injector.__name__: injector
    for injector in (
        stop_host,
        stop_all_hosts,
        kill_host,
        pause_host,
        reload_hosts,
        inject_store_fault,
        delete_store_history,
        drain_server,
        crash_server,
        inject_server_fault,
        inject_link_fault,
        revoke_key,
        increase_load,
    )
}
SERVER_RULE_FAULTS: dict[str, Injector] = {
    injector.__name__: injector for injector in (set_fatal_part, limit_server)
}
INJECTORS: dict[str, Injector] = (
    FAULTS
    | SERVER_RULE_FAULTS
    | ACCESS_FAULTS
    | NOTICE_FAULTS
    | COPY_FAULTS
    | RESTORE_FAULTS
)
