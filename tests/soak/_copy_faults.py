"""Servers that refuse requests and write copies of their refusals."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak._fault import Fault, Injector
    from tests.soak._run import SoakRun

_REFUSED_SHARE = 0.65
_REFUSING_SECONDS = (2.0, 4.0)
_PAUSE_SECONDS = (0.5, 1.5)


async def copy_refusals(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Let all servers of a service refuse a share of their requests.

    They write copies of these refusals. As all of them refuse, callers get
    refusals too, and some use their ids again.
    """
    until = soak_run.now() + fault.seconds
    while soak_run.now() < until:
        service = random.choice(soak_run.servers).service
        servers = [
            server for server in soak_run.servers if server.service == service
        ]
        for server in servers:
            server.copier.refused_share = _REFUSED_SHARE
        await asyncio.sleep(random.uniform(*_REFUSING_SECONDS))
        for server in servers:
            server.copier.refused_share = 0.0
        await asyncio.sleep(random.uniform(*_PAUSE_SECONDS))


async def leave_former_entries(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Let the entries of former servers name the addresses of others.

    Requests for a former one are refused with 421, also in copies, and may go
    to the other one at the same address.
    """
    until = soak_run.now() + fault.seconds
    while soak_run.now() < until:
        service = random.choice(soak_run.servers).service
        names = [
            server.write_former_entry()
            for server in soak_run.servers
            if server.service == service
        ]
        await asyncio.sleep(random.uniform(*_REFUSING_SECONDS))
        for name in names:
            soak_run.store.write_server(name, {})
        await asyncio.sleep(random.uniform(*_PAUSE_SECONDS))


COPY_FAULTS: dict[str, Injector] = {
    injector.__name__: injector
    for injector in (copy_refusals, leave_former_entries)
}
