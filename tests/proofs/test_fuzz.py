"""Stateful fuzzing of several entry hosts against the oracle."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from burdockledge.claims import Outcome
from burdockledge.clock import VirtualTimeLoop
from burdockledge.platform_api import HostState
from tests.proofs.world import ENGINES, HOSTS, SERVICES, World

STEPS = 50
DEFAULT_RUNS = 60
# Shrinking takes minutes; it is for people who look for a cause.
SHRINK = (Phase.shrink,) if os.environ.get('FUZZ_SHRINK') else ()
hosts = st.sampled_from(HOSTS)
services = st.sampled_from(SERVICES)
engines = st.sampled_from(ENGINES)
chances = st.sampled_from((0, 0, 0.3, 1))
indexes = st.integers(0, 30)


class SiteMachine(RuleBasedStateMachine):
    """Callers, operators and faults in any order."""

    steps = 0

    def __init__(self) -> None:
        """Start a site on a virtual loop of its own."""
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.world = self.run(self.make())
        self.frozen: set[str] = set()

    async def make(self) -> World:
        """Return a started world."""
        world = World()
        await world.start()
        return world

    def run(self, work):
        """Run a coroutine on the virtual loop."""
        return self.loop.run_until_complete(work)

    def usable(self, name: str) -> bool:
        """Tell whether callers can reach a host."""
        return self.world.takes_requests(name)

    @initialize()
    def begin(self) -> None:
        """Let every run begin with one payment in the books."""
        self.world.pay(self.world.new_key(), 'h0')

    @rule(name=hosts)
    def pay(self, name: str) -> None:
        """Send a payment under a new key."""
        if self.usable(name):
            self.world.pay(self.world.new_key(), name)

    @rule(name=hosts)
    def generate_once(self, name: str) -> None:
        """Send a generation that may not be repeated."""
        if self.usable(name):
            self.world.pay(self.world.new_key(is_generation=True), name)

    @rule(name=hosts, index=indexes)
    def retry(self, name: str, index: int) -> None:
        """Ask again under a key whose outcome is not a clear not-run."""
        key = self.world.keys[index % len(self.world.keys)]
        if self.usable(name) and Outcome.not_run not in key.outcomes:
            self.world.pay(key, name)

    @rule(name=hosts, index=indexes)
    def reuse(self, name: str, index: int) -> None:
        """Send another body under a used key that has an answer."""
        key = self.world.keys[index % len(self.world.keys)]
        is_told = bool(key.outcomes) and key.attempt is None
        if not self.usable(name) or Outcome.not_run in key.outcomes:
            return
        if is_told:
            self.world.pay(key, name, b'another body')

    @rule(name=hosts, tokens=st.integers(1, 200))
    def chat(self, name: str, tokens: int) -> None:
        """Send a generation."""
        if self.usable(name):
            self.world.chat(name, tokens)

    @rule(name=hosts)
    def freeze(self, name: str) -> None:
        """Pause a host."""
        if not self.world.site.hosts[name].is_killed:
            self.world.site.freeze(name)
            self.frozen.add(name)

    @precondition(lambda self: self.frozen)
    @rule()
    def thaw(self) -> None:
        """Wake the paused hosts."""
        for name in sorted(self.frozen):
            if not self.world.site.hosts[name].is_killed:
                self.world.site.thaw(name)
        self.frozen.clear()

    @rule(name=hosts)
    def kill(self, name: str) -> None:
        """End a host at once."""
        if not self.world.site.hosts[name].is_killed:
            self.world.site.kill(name)
            self.frozen.discard(name)

    @rule(name=hosts)
    def restart(self, name: str) -> None:
        """Start a killed host again."""
        if self.world.site.hosts[name].is_killed:
            self.run(self.world.site.start_host(name, 'dc1'))

    @rule(name=hosts)
    def drain(self, name: str) -> None:
        """Stop a host as planned."""
        is_stopping = self.world.site.hosts[name].drain_task is not None
        if self.usable(name) and name not in self.frozen and not is_stopping:
            self.world.site.drain(name)

    @rule(is_down=st.booleans())
    def log_outage(self, is_down: bool) -> None:
        """Take the log down or bring it back."""
        self.world.site.log.is_down = is_down

    @rule(lost=chances, dropped=chances, late=chances)
    def log_faults(self, lost: float, dropped: float, late: float) -> None:
        """Lose appends or their answers, or let them land late."""
        self.world.site.log.lost_answer_probability = lost
        self.world.site.log.lost_append_probability = dropped
        self.world.site.log.late_append_probability = late

    @rule(factor=st.sampled_from((1, 100)))
    def log_slow(self, factor: float) -> None:
        """Slow the log down."""
        self.world.site.log.delay_factor = factor

    @rule(source=hosts, sink=hosts)
    def cut(self, source: str, sink: str) -> None:
        """Cut one direction between two hosts."""
        if source != sink:
            self.world.site.network.block(source, sink)

    @rule(name=hosts, url=services)
    def cut_service(self, name: str, url: str) -> None:
        """Cut the answers of a service to a host."""
        self.world.site.network.block(url, name)

    @rule()
    def heal(self) -> None:
        """Undo the cuts."""
        self.world.site.network.heal()

    @rule(url=services, down=st.booleans(), silent=st.booleans())
    def service_fault(self, url: str, down: bool, silent: bool) -> None:
        """Crash a service, or let it fall silent after it executed."""
        self.world.site.services[url].is_down = down
        self.world.site.services[url].is_silent = silent

    @rule(url=services, loses=st.booleans(), leaving=st.booleans())
    def service_answers(self, url: str, loses: bool, leaving: bool) -> None:
        """Lose answers, or refuse work while leaving."""
        self.world.site.services[url].loses_answers = loses
        self.world.site.services[url].is_leaving = leaving

    @rule(url=engines, fault=st.sampled_from(('crash', 'slow', 'silent')))
    def engine_fault(self, url: str, fault: str) -> None:
        """Crash an engine, slow it down or silence it."""
        engine = self.world.site.engines[url]
        if fault == 'crash':
            engine.crash()
        elif fault == 'slow':
            engine.slow(10, 3)
        else:
            engine.stall(5)

    @rule(url=engines)
    def engine_back(self, url: str) -> None:
        """Bring an engine back."""
        self.world.site.engines[url].is_down = False

    @rule(url=engines, crossed=st.booleans())
    def engine_crossed(self, url: str, crossed: bool) -> None:
        """Let an engine send another request's answer."""
        self.world.site.engines[url].sends_wrong_request_id = crossed

    @rule(index=st.integers(0, 1), leaving=st.booleans())
    def list_leaving(self, index: int, leaving: bool) -> None:
        """Let the platform list a service as leaving."""
        state = HostState.leaving if leaving else HostState.live
        self.world.site.host_list.put(f's{index}', 'service', state)

    @rule(stale=st.booleans(), slots=st.integers(1, 9))
    def patch(self, stale: bool, slots: int) -> None:
        """Publish a patch, or one written against an old version."""
        self.world.patch(self.world.newest_version - stale, slots)

    @rule(name=hosts, seconds=st.sampled_from((-3600, -30, 30, 3600)))
    def jump(self, name: str, seconds: int) -> None:
        """Let a host's wall clock jump."""
        self.world.site.hosts[name].clock.jump(seconds * 1000)

    @rule(seconds=st.sampled_from((0.001, 0.01, 0.1, 1, 5, 30)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.run(self.world.site.settle(seconds))

    @rule()
    def wait_for_retention(self) -> None:
        """Let the log drop its records."""
        self.run(self.world.site.settle(300))

    @invariant()
    def holds(self) -> None:
        """Check what must always hold."""
        SiteMachine.steps += 1
        self.world.check()

    def teardown(self) -> None:
        """Undo every fault and check the end."""
        try:
            self.run(self.world.finish())
        finally:
            self.loop.shut_down()


def test_nothing_is_violated() -> None:
    """Run the machine; the seed and the runs come from the environment."""
    runs = int(os.environ.get('FUZZ_RUNS', str(DEFAULT_RUNS)))
    number = int(os.environ.get('FUZZ_SEED', '1'))

    class Machine(SiteMachine):
        pass

    SiteMachine.steps = 0
    run_state_machine_as_test(
        seed(number)(Machine),
        settings=settings(
            max_examples=runs,
            stateful_step_count=STEPS,
            deadline=None,
            database=None,
            print_blob=True,
            phases=(Phase.generate, *SHRINK),
            suppress_health_check=list(HealthCheck),
        ),
    )
    SiteMachine.steps = 0
    print(f'seed {number}: {runs} runs, {SiteMachine.steps} steps')
