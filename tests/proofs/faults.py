"""Axes of the fault matrix: faults, and steps at which they are injected."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockledge.platform_api import HostState
from tests.proofs.simulation import ENGINES, RETENTION_SECONDS, SERVICES

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.proofs.simulation import Simulation

FAULT_SECONDS = 8
BURST_ROUNDS = 30

# The kind of time-line event that shows that a step was reached.
STEPS = {
    'accept': 'accepted',
    'claim': 'claim',
    'settled': 'held',
    'offer': 'offer',
    'grant': 'slot',
    'dispatch': 'dispatch',
    'first token': 'first-token',
    'mid-stream': 'mid-stream',
    'result recorded': 'final',
    'answer delivered': 'answered',
    'drain': 'draining',
    'fold': 'patch',
    'snapshot': 'snapshot',
    'start': 'serving',
}
AT_MOST_ONCE_STEPS = (
    'accept',
    'claim',
    'settled',
    'grant',
    'dispatch',
    'result recorded',
    'answer delivered',
)


def burst(simulation: Simulation, host: str) -> None:
    """Send many requests to the host at once."""
    if not simulation.accepts_requests(host):
        return
    for _ in range(BURST_ROUNDS):
        simulation.send_attempt(simulation.new_key(), host)
        simulation.send_chat(host, 5)


def slow_servers(simulation: Simulation, host: str) -> None:
    """Slow down every backend server."""
    for engine in simulation.site.engines.values():
        engine.slow(10, FAULT_SECONDS)
    for service in simulation.site.services.values():
        service.work_seconds = 2
    _schedule_recovery(simulation, lambda: _restore_service_speed(simulation))


def crash_two_servers(simulation: Simulation, host: str) -> None:
    """Crash one engine and one service."""
    simulation.site.engines[ENGINES[0]].crash()
    simulation.site.services[SERVICES[0]].is_down = True


def crash_all_servers(simulation: Simulation, host: str) -> None:
    """Crash every engine and every service for a while."""
    for engine in simulation.site.engines.values():
        engine.crash()
    for service in simulation.site.services.values():
        service.is_down = True
    _schedule_recovery(simulation, lambda: _restart_servers(simulation))


def lose_answers(simulation: Simulation, host: str) -> None:
    """Let services drop the connection after executing a request."""
    for service in simulation.site.services.values():
        service.loses_answers = True


def pause_and_resume_host(simulation: Simulation, host: str) -> None:
    """Pause the host for a while."""
    simulation.site.freeze(host)
    _schedule_recovery(simulation, lambda: _resume_host(simulation, host))


def kill_host(simulation: Simulation, host: str) -> None:
    """Kill the host."""
    simulation.site.kill(host)


def take_log_down(simulation: Simulation, host: str) -> None:
    """Take the log down for a while."""
    simulation.site.log.is_down = True
    _schedule_recovery(
        simulation, lambda: setattr(simulation.site.log, 'is_down', False)
    )


def slow_log(simulation: Simulation, host: str) -> None:
    """Multiply the latency of the log by 300 for a while."""
    simulation.site.log.delay_factor = 300
    _schedule_recovery(
        simulation, lambda: setattr(simulation.site.log, 'delay_factor', 1)
    )


def lose_append_responses(simulation: Simulation, host: str) -> None:
    """Let appends succeed but lose their responses for a while."""
    simulation.site.log.lost_answer_probability = 1
    _schedule_recovery(
        simulation,
        lambda: setattr(simulation.site.log, 'lost_answer_probability', 0),
    )


def delay_appends(simulation: Simulation, host: str) -> None:
    """Delay appends until seconds after their callers timed out."""
    simulation.site.log.late_append_probability = 1
    _schedule_recovery(
        simulation,
        lambda: setattr(simulation.site.log, 'late_append_probability', 0),
    )


def expire_log_records(simulation: Simulation, host: str) -> None:
    """Advance the clock past the log's retention time."""
    simulation.site.clock.jump((RETENTION_SECONDS + 1) * 1000)


def publish_conflicting_patches(simulation: Simulation, host: str) -> None:
    """Publish two patches based on the same version."""
    base = simulation.newest_version
    simulation.publish_patch(base, 5)
    simulation.publish_patch(base, 6)


def silence_connections(simulation: Simulation, host: str) -> None:
    """Stop all responses of servers and traffic between hosts."""
    for service in simulation.site.services.values():
        service.is_silent = True
    for engine in simulation.site.engines.values():
        engine.stall(FAULT_SECONDS)
    for other in simulation.site.hosts:
        simulation.site.network.block(host, other)
        simulation.site.network.block(other, host)
    _schedule_recovery(simulation, simulation.site.network.heal)


def cut_outgoing_links(simulation: Simulation, host: str) -> None:
    """Drop all messages from the host to the others."""
    for other in simulation.site.hosts:
        simulation.site.network.block(host, other)


def list_server_as_leaving(simulation: Simulation, host: str) -> None:
    """Mark one service as leaving in the platform's host list only."""
    simulation.leaving_since[SERVICES[1]] = simulation.site.loop.time()
    simulation.site.host_list.put('s1', 'service', HostState.leaving)


def return_wrong_answer(simulation: Simulation, host: str) -> None:
    """Let one engine answer with the output of another request."""
    simulation.site.engines[ENGINES[1]].sends_wrong_request_id = True


def jump_clock_forward(simulation: Simulation, host: str) -> None:
    """Advance the host's wall clock by one hour."""
    simulation.site.hosts[host].clock.jump(3_600_000)


FAULTS: dict[str, Callable[[Simulation, str], None]] = {
    'burst': burst,
    'slow': slow_servers,
    'crash': crash_two_servers,
    'crash of all': crash_all_servers,
    'answers lost': lose_answers,
    'freeze and wake': pause_and_resume_host,
    'host kill': kill_host,
    'log down': take_log_down,
    'log slow': slow_log,
    'append answer lost': lose_append_responses,
    'append lands late': delay_appends,
    'log records expired': expire_log_records,
    'operator race': publish_conflicting_patches,
    'silent connection': silence_connections,
    'one-way cut': cut_outgoing_links,
    'server leaving': list_server_as_leaving,
    'crossed answer': return_wrong_answer,
    'clock jump': jump_clock_forward,
}


def _schedule_recovery(
    simulation: Simulation, recover: Callable[[], object]
) -> None:
    loop = simulation.site.loop
    context = simulation.outer_context
    loop.call_later(FAULT_SECONDS, recover, context=context)


def _restore_service_speed(simulation: Simulation) -> None:
    for service in simulation.site.services.values():
        service.work_seconds = 0.005


def _restart_servers(simulation: Simulation) -> None:
    for engine in simulation.site.engines.values():
        engine.is_down = False
    for service in simulation.site.services.values():
        service.is_down = False


def _resume_host(simulation: Simulation, host: str) -> None:
    if not simulation.site.hosts[host].is_killed:
        simulation.site.thaw(host)


__all__ = ('FAULTS', 'AT_MOST_ONCE_STEPS', 'STEPS')
