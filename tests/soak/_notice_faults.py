"""Notices that servers give in their answers."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from tests.soak._servers import STORE_WORDS

if TYPE_CHECKING:
    from tests.soak._fault import Fault, Injector
    from tests.soak._run import SoakRun

# The text of Retry-After, and the seconds if it is a number of them.
_PAUSES: tuple[tuple[str, float | None], ...] = (
    ('2', 2),
    ('1.5', 1.5),
    ('2.75', 2.75),
    ('0.9', 0.9),
    ('4', 4),
)
_ODD_PAUSES: tuple[tuple[str, float | None], ...] = (
    ('', None),
    ('-1', None),
    ('soon', None),
    ('nan', None),
    ('1e999', None),
    ('Wed, 21 Oct 2026 07:28:00 GMT', None),
)
_LEAVING_SECONDS = 6.0


async def retire_server(
    soak_run: SoakRun, fault: Fault, random: Random
) -> None:
    """Let servers say that they leave before the store does, or alone."""
    until = soak_run.now() + fault.seconds
    while soak_run.now() < until:
        word = random.choice(STORE_WORDS)
        soak_run.spawn(soak_run.retire_server(random, word, _LEAVING_SECONDS))
        await asyncio.sleep(random.uniform(1, 4))


async def pause_server(soak_run: SoakRun, fault: Fault, random: Random) -> None:
    """Let servers refuse all requests with a pause, one after another."""
    until = soak_run.now() + fault.seconds
    while soak_run.now() < until:
        server = random.choice(soak_run.servers)
        pauses = (random.choice(_PAUSES), random.choice(_ODD_PAUSES))
        server.pauses = (pauses[0], *pauses)
        await asyncio.sleep(random.uniform(2, 5))
        server.pauses = ()


NOTICE_FAULTS: dict[str, Injector] = {
    injector.__name__: injector for injector in (retire_server, pause_server)
}
