"""The two lists of the fault matrix: faults, and steps at which they strike."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockledge.platform_api import HostState
from tests.proofs.world import ENGINES, RETENTION_SECONDS, SERVICES

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.proofs.world import World

SPELL_SECONDS = 8
BURST = 30

# The kind of time-line event that marks each step.
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
ONCE_STEPS = (
    'accept',
    'claim',
    'settled',
    'grant',
    'dispatch',
    'result recorded',
    'answer delivered',
)


def burst(world: World, host: str) -> None:
    """Send many requests at once."""
    if not world.takes_requests(host):
        return
    for _ in range(BURST):
        world.pay(world.new_key(), host)
        world.chat(host, 5)


def slow(world: World, host: str) -> None:
    """Slow every backend server down."""
    for engine in world.site.engines.values():
        engine.slow(10, SPELL_SECONDS)
    for service in world.site.services.values():
        service.work_seconds = 2
    _later(world, lambda: _work_again(world))


def crash(world: World, host: str) -> None:
    """Crash one engine and one service."""
    world.site.engines[ENGINES[0]].crash()
    world.site.services[SERVICES[0]].is_down = True


def crash_all(world: World, host: str) -> None:
    """Crash every engine and every service for a while."""
    for engine in world.site.engines.values():
        engine.crash()
    for service in world.site.services.values():
        service.is_down = True
    _later(world, lambda: _restore(world))


def lose_answers(world: World, host: str) -> None:
    """Let services break off after they executed."""
    for service in world.site.services.values():
        service.loses_answers = True


def freeze_and_wake(world: World, host: str) -> None:
    """Pause the host for a while."""
    world.site.freeze(host)
    _later(world, lambda: _thaw(world, host))


def host_kill(world: World, host: str) -> None:
    """End the host at once."""
    world.site.kill(host)


def log_down(world: World, host: str) -> None:
    """Take the log down for a while."""
    world.site.log.is_down = True
    _later(world, lambda: setattr(world.site.log, 'is_down', False))


def log_slow(world: World, host: str) -> None:
    """Slow the log down for a while."""
    world.site.log.delay_factor = 300
    _later(world, lambda: setattr(world.site.log, 'delay_factor', 1))


def append_answer_lost(world: World, host: str) -> None:
    """Let appends land without their answers."""
    world.site.log.lost_answer_probability = 1
    _later(world, lambda: setattr(world.site.log, 'lost_answer_probability', 0))


def append_lands_late(world: World, host: str) -> None:
    """Let appends land seconds after their callers gave up."""
    world.site.log.late_append_probability = 1
    _later(world, lambda: setattr(world.site.log, 'late_append_probability', 0))


def records_expired(world: World, host: str) -> None:
    """Let the log drop all that it holds, by its clock."""
    world.site.clock.jump((RETENTION_SECONDS + 1) * 1000)


def operator_race(world: World, host: str) -> None:
    """Publish two patches against one version."""
    base = world.newest_version
    world.patch(base, 5)
    world.patch(base, 6)


def silent_connection(world: World, host: str) -> None:
    """Let services and the host's links fall silent."""
    for service in world.site.services.values():
        service.is_silent = True
    for engine in world.site.engines.values():
        engine.stall(SPELL_SECONDS)
    for other in world.site.hosts:
        world.site.network.block(host, other)
        world.site.network.block(other, host)
    _later(world, world.site.network.heal)


def one_way_cut(world: World, host: str) -> None:
    """Lose what the host sends to the others."""
    for other in world.site.hosts:
        world.site.network.block(host, other)


def server_leaving(world: World, host: str) -> None:
    """Let one service leave, by the platform's list alone."""
    world.listed_leaving[SERVICES[1]] = world.site.loop.time()
    world.site.host_list.put('s1', 'service', HostState.leaving)


def crossed_answer(world: World, host: str) -> None:
    """Let one engine send another request's answer."""
    world.site.engines[ENGINES[1]].sends_wrong_request_id = True


def clock_jump(world: World, host: str) -> None:
    """Let the host's wall clock jump an hour ahead."""
    world.site.hosts[host].clock.jump(3_600_000)


FAULTS: dict[str, Callable[[World, str], None]] = {
    'burst': burst,
    'slow': slow,
    'crash': crash,
    'crash of all': crash_all,
    'answers lost': lose_answers,
    'freeze and wake': freeze_and_wake,
    'host kill': host_kill,
    'log down': log_down,
    'log slow': log_slow,
    'append answer lost': append_answer_lost,
    'append lands late': append_lands_late,
    'log records expired': records_expired,
    'operator race': operator_race,
    'silent connection': silent_connection,
    'one-way cut': one_way_cut,
    'server leaving': server_leaving,
    'crossed answer': crossed_answer,
    'clock jump': clock_jump,
}


def _later(world: World, work: Callable[[], object]) -> None:
    loop = world.site.loop
    context = world.outside
    loop.call_later(SPELL_SECONDS, work, context=context)


def _work_again(world: World) -> None:
    for service in world.site.services.values():
        service.work_seconds = 0.005


def _restore(world: World) -> None:
    for engine in world.site.engines.values():
        engine.is_down = False
    for service in world.site.services.values():
        service.is_down = False


def _thaw(world: World, host: str) -> None:
    if not world.site.hosts[host].is_killed:
        world.site.thaw(host)


__all__ = ('FAULTS', 'ONCE_STEPS', 'STEPS')
