"""Times that must stay within the stated targets, measured in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockledge.fakes import Site, run_virtual
from burdockledge.platform_api import HostState
from tests.proofs.world import SERVICES, World, document

if TYPE_CHECKING:
    from burdockledge.telemetry import Event

SITE_HOSTS = 9
STEP_SECONDS = 0.01
LIMIT_SECONDS = 10
QUIET_SECONDS = 6
CALL_EVERY_SECONDS = 0.05
LIST_LAG_SECONDS = 2


def spread_seconds(seed: int, *, log_fails: bool) -> float:
    """Return how long a patch takes to be in force on nine hosts.

    With a failing log, the log goes down when the first host has folded it.
    """
    return run_virtual(lambda: _spread(seed, log_fails=log_fails))


async def _spread(seed: int, *, log_fails: bool) -> float:
    site = Site(seed=seed)
    for url in SERVICES:
        site.add_service(url)
    site.publish_patch(0, document())
    names = [f'h{number}' for number in range(SITE_HOSTS)]
    for name in names:
        await site.start_host(name, 'dc1')
    await site.settle(5 + site.random.random())
    if log_fails:
        await _publish_to_one(site, names)
        began = site.loop.time()
    else:
        began = site.loop.time()
        site.publish_patch(1, {'policy': {'offers': 3}})
    while any(_version(one) < 2 for one in site.hosts.values()):
        await site.settle(STEP_SECONDS)
        if site.loop.time() - began > LIMIT_SECONDS:
            break
    return site.loop.time() - began


async def _publish_to_one(site: Site, names: list[str]) -> None:
    """Let only the first host read the patch before the log fails."""
    first = site.hosts[names[0]]

    def fail(event: Event) -> None:
        if event.kind == 'version':
            site.log.is_down = True

    first.host.components.time_line.observe(fail)
    for name in names[1:]:
        site.freeze(name)
    site.publish_patch(1, {'policy': {'offers': 3}})
    while _version(first) < 2:
        await site.settle(STEP_SECONDS)
    for name in names[1:]:
        site.thaw(name)


def _version(site_host: Any) -> int:
    state = site_host.host.components.configuration.state
    return 0 if state is None else state.version


def leaving_seconds(sign: str) -> float:
    """Return how long after a sign a leaving service still got new work.

    The platform's own lag is not counted.
    """
    return run_virtual(lambda: _leaving(sign))


async def _leaving(sign: str) -> float:
    world = World()
    await world.start()
    site = world.site
    began = site.loop.time()
    if sign == 'configuration':
        site.publish_patch(1, {'servers': {'s1': {'state': 'leaving'}}})
        world.oracle.slots[2] = world.oracle.slots[1]
    elif sign == 'host list':
        site.host_list.put('s1', 'service', HostState.leaving)
        began += LIST_LAG_SECONDS
    else:
        site.services[SERVICES[1]].is_leaving = True
    while site.loop.time() < began + QUIET_SECONDS:
        for name in site.hosts:
            world.pay(world.new_key(), name)
        await site.settle(CALL_EVERY_SECONDS)
    await world.finish()
    last = max(site.services[SERVICES[1]].call_times, default=began)
    return max(0, last - began)


__all__ = ('leaving_seconds', 'spread_seconds')
