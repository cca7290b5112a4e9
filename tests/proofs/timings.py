"""Measure propagation and drain times in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockledge.fakes import Site, run_virtual
from burdockledge.platform_api import HostState
from tests.proofs.simulation import SERVICES, Simulation, initial_configuration

if TYPE_CHECKING:
    from burdockledge.telemetry import Event

HOST_COUNT = 9
POLL_SECONDS = 0.01
TIMEOUT_SECONDS = 10
OBSERVATION_SECONDS = 6
CALL_INTERVAL_SECONDS = 0.05
HOST_LIST_LAG_SECONDS = 2


def propagation_seconds(seed: int, *, log_fails: bool) -> float:
    """Return the seconds until a patch is applied on all nine hosts.

    With ``log_fails``, the log goes down once the first host applied it.
    """
    return run_virtual(lambda: _measure_propagation(seed, log_fails=log_fails))


async def _measure_propagation(seed: int, *, log_fails: bool) -> float:
    site = Site(seed=seed)
    for url in SERVICES:
        site.add_service(url)
    site.publish_patch(0, initial_configuration())
    names = [f'h{number}' for number in range(HOST_COUNT)]
    for name in names:
        await site.start_host(name, 'dc1')
    await site.settle(5 + site.random.random())
    if log_fails:
        await _publish_to_first_host(site, names)
        started_at = site.loop.time()
    else:
        started_at = site.loop.time()
        site.publish_patch(1, {'policy': {'offers': 3}})
    while any(
        _configuration_version(site_host) < 2
        for site_host in site.hosts.values()
    ):
        await site.settle(POLL_SECONDS)
        if site.loop.time() - started_at > TIMEOUT_SECONDS:
            break
    return site.loop.time() - started_at


async def _publish_to_first_host(site: Site, names: list[str]) -> None:
    """Let only the first host read the patch, then fail the log."""
    first_host = site.hosts[names[0]]

    def fail_log(event: Event) -> None:
        if event.kind == 'version':
            site.log.is_down = True

    first_host.host.components.time_line.observe(fail_log)
    for name in names[1:]:
        site.freeze(name)
    site.publish_patch(1, {'policy': {'offers': 3}})
    while _configuration_version(first_host) < 2:
        await site.settle(POLL_SECONDS)
    for name in names[1:]:
        site.thaw(name)


def _configuration_version(site_host: Any) -> int:
    state = site_host.host.components.configuration.state
    return 0 if state is None else state.version


def late_dispatch_seconds(leaving_signal: str) -> float:
    """Return the seconds from a leaving signal to the last new call.

    The lag of the platform's host list is not counted.
    """
    return run_virtual(lambda: _measure_late_dispatch(leaving_signal))


async def _measure_late_dispatch(leaving_signal: str) -> float:
    simulation = Simulation()
    await simulation.start()
    site = simulation.site
    started_at = site.loop.time()
    if leaving_signal == 'configuration':
        site.publish_patch(1, {'servers': {'s1': {'state': 'leaving'}}})
        simulation.oracle.slots_by_version[2] = (
            simulation.oracle.slots_by_version[1]
        )
    elif leaving_signal == 'host list':
        site.host_list.put('s1', 'service', HostState.leaving)
        started_at += HOST_LIST_LAG_SECONDS
    else:
        site.services[SERVICES[1]].is_leaving = True
    while site.loop.time() < started_at + OBSERVATION_SECONDS:
        for name in site.hosts:
            simulation.send_attempt(simulation.new_key(), name)
        await site.settle(CALL_INTERVAL_SECONDS)
    await simulation.heal_and_check()
    last = max(site.services[SERVICES[1]].call_times, default=started_at)
    return max(0, last - started_at)


__all__ = ('late_dispatch_seconds', 'propagation_seconds')
