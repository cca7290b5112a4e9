"""Stateful fuzzing of several entry hosts, checked by the oracle."""

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
from tests.proofs.simulation import ENGINES, HOSTS, SERVICES, Simulation

STEPS_PER_RUN = 50
DEFAULT_RUNS = 60
# Shrinking takes minutes, so it runs only when FUZZ_SHRINK is set.
SHRINK_PHASES = (Phase.shrink,) if os.environ.get('FUZZ_SHRINK') else ()
hosts = st.sampled_from(HOSTS)
services = st.sampled_from(SERVICES)
engines = st.sampled_from(ENGINES)
probabilities = st.sampled_from((0, 0, 0.3, 1))
indexes = st.integers(0, 30)


class SiteMachine(RuleBasedStateMachine):
    """Runs callers, operators and faults in random order."""

    step_count = 0

    def __init__(self) -> None:
        """Start a site on its own virtual-time event loop."""
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.simulation = self.run(self.create_simulation())
        self.frozen: set[str] = set()

    async def create_simulation(self) -> Simulation:
        """Return a started simulation."""
        simulation = Simulation()
        await simulation.start()
        return simulation

    def run(self, work):
        """Run a coroutine on the virtual-time event loop."""
        return self.loop.run_until_complete(work)

    def accepts_requests(self, name: str) -> bool:
        """Return whether a host accepts requests."""
        return self.simulation.accepts_requests(name)

    @initialize()
    def send_initial_payment(self) -> None:
        """Send one payment, so that other rules have a key to use."""
        self.simulation.send_attempt(self.simulation.new_key(), 'h0')

    @rule(name=hosts)
    def pay(self, name: str) -> None:
        """Send a payment under a new key."""
        if self.accepts_requests(name):
            self.simulation.send_attempt(self.simulation.new_key(), name)

    @rule(name=hosts)
    def generate_once(self, name: str) -> None:
        """Send an at-most-once generation."""
        if self.accepts_requests(name):
            self.simulation.send_attempt(
                self.simulation.new_key(is_generation=True), name
            )

    @rule(name=hosts, index=indexes)
    def retry(self, name: str, index: int) -> None:
        """Retry a key that was not reported as not-run."""
        key = self.simulation.keys[index % len(self.simulation.keys)]
        if self.accepts_requests(name) and Outcome.not_run not in key.outcomes:
            self.simulation.send_attempt(key, name)

    @rule(name=hosts, index=indexes)
    def reuse(self, name: str, index: int) -> None:
        """Send a different body under a key that has an answer."""
        key = self.simulation.keys[index % len(self.simulation.keys)]
        is_answered = bool(key.outcomes) and key.attempt is None
        if not self.accepts_requests(name) or Outcome.not_run in key.outcomes:
            return
        if is_answered:
            self.simulation.send_attempt(key, name, b'another body')

    @rule(name=hosts, tokens=st.integers(1, 200))
    def chat(self, name: str, tokens: int) -> None:
        """Send a generation."""
        if self.accepts_requests(name):
            self.simulation.send_chat(name, tokens)

    @rule(name=hosts)
    def freeze(self, name: str) -> None:
        """Pause a host."""
        if not self.simulation.site.hosts[name].is_killed:
            self.simulation.site.freeze(name)
            self.frozen.add(name)

    @precondition(lambda self: self.frozen)
    @rule()
    def thaw(self) -> None:
        """Resume the paused hosts."""
        for name in sorted(self.frozen):
            if not self.simulation.site.hosts[name].is_killed:
                self.simulation.site.thaw(name)
        self.frozen.clear()

    @rule(name=hosts)
    def kill(self, name: str) -> None:
        """Kill a host."""
        if not self.simulation.site.hosts[name].is_killed:
            self.simulation.site.kill(name)
            self.frozen.discard(name)

    @rule(name=hosts)
    def restart(self, name: str) -> None:
        """Start a killed host again."""
        if self.simulation.site.hosts[name].is_killed:
            self.run(self.simulation.site.start_host(name, 'dc1'))

    @rule(name=hosts)
    def drain(self, name: str) -> None:
        """Drain a host."""
        is_stopping = self.simulation.site.hosts[name].drain_task is not None
        if (
            self.accepts_requests(name)
            and name not in self.frozen
            and not is_stopping
        ):
            self.simulation.site.drain(name)

    @rule(is_down=st.booleans())
    def log_outage(self, is_down: bool) -> None:
        """Take the log down or bring it back."""
        self.simulation.site.log.is_down = is_down

    @rule(lost=probabilities, dropped=probabilities, late=probabilities)
    def log_faults(self, lost: float, dropped: float, late: float) -> None:
        """Lose appends or their responses, or delay appends."""
        self.simulation.site.log.lost_answer_probability = lost
        self.simulation.site.log.lost_append_probability = dropped
        self.simulation.site.log.late_append_probability = late

    @rule(factor=st.sampled_from((1, 100)))
    def log_slow(self, factor: float) -> None:
        """Set the latency factor of the log."""
        self.simulation.site.log.delay_factor = factor

    @rule(source=hosts, sink=hosts)
    def cut(self, source: str, sink: str) -> None:
        """Drop the messages from one host to another."""
        if source != sink:
            self.simulation.site.network.block(source, sink)

    @rule(name=hosts, url=services)
    def cut_service(self, name: str, url: str) -> None:
        """Drop the responses of a service to a host."""
        self.simulation.site.network.block(url, name)

    @rule()
    def heal(self) -> None:
        """Restore all links."""
        self.simulation.site.network.heal()

    @rule(url=services, down=st.booleans(), silent=st.booleans())
    def service_fault(self, url: str, down: bool, silent: bool) -> None:
        """Crash a service, or stop its responses after execution."""
        self.simulation.site.services[url].is_down = down
        self.simulation.site.services[url].is_silent = silent

    @rule(url=services, loses=st.booleans(), leaving=st.booleans())
    def service_answers(self, url: str, loses: bool, leaving: bool) -> None:
        """Lose responses, or refuse requests as a leaving server."""
        self.simulation.site.services[url].loses_answers = loses
        self.simulation.site.services[url].is_leaving = leaving

    @rule(url=engines, fault=st.sampled_from(('crash', 'slow', 'silent')))
    def engine_fault(self, url: str, fault: str) -> None:
        """Crash an engine, slow it down or stop its output."""
        engine = self.simulation.site.engines[url]
        if fault == 'crash':
            engine.crash()
        elif fault == 'slow':
            engine.slow(10, 3)
        else:
            engine.stall(5)

    @rule(url=engines)
    def engine_back(self, url: str) -> None:
        """Restart an engine."""
        self.simulation.site.engines[url].is_down = False

    @rule(url=engines, crossed=st.booleans())
    def engine_crossed(self, url: str, crossed: bool) -> None:
        """Let an engine answer with the output of another request."""
        self.simulation.site.engines[url].sends_wrong_request_id = crossed

    @rule(index=st.integers(0, 1), leaving=st.booleans())
    def list_leaving(self, index: int, leaving: bool) -> None:
        """Let the platform list a service as leaving."""
        state = HostState.leaving if leaving else HostState.live
        self.simulation.site.host_list.put(f's{index}', 'service', state)

    @rule(stale=st.booleans(), slots=st.integers(1, 9))
    def patch(self, stale: bool, slots: int) -> None:
        """Publish a patch based on the newest or on a stale version."""
        self.simulation.publish_patch(
            self.simulation.newest_version - stale, slots
        )

    @rule(name=hosts, seconds=st.sampled_from((-3600, -30, 30, 3600)))
    def jump(self, name: str, seconds: int) -> None:
        """Move a host's wall clock forward or back."""
        self.simulation.site.hosts[name].clock.jump(seconds * 1000)

    @rule(seconds=st.sampled_from((0.001, 0.01, 0.1, 1, 5, 30)))
    def wait(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.run(self.simulation.site.settle(seconds))

    @rule()
    def wait_for_retention(self) -> None:
        """Wait 300 s, longer than the retention of the log."""
        self.run(self.simulation.site.settle(300))

    @invariant()
    def invariants_hold(self) -> None:
        """Check the invariants after each step."""
        SiteMachine.step_count += 1
        self.simulation.check()

    def teardown(self) -> None:
        """Undo all faults and check the end state."""
        try:
            self.run(self.simulation.heal_and_check())
        finally:
            self.loop.shut_down()


def test_random_operations_violate_no_invariant() -> None:
    """Random operations and faults break no invariant.

    FUZZ_SEED and FUZZ_RUNS set the seed and the number of runs.
    """
    runs = int(os.environ.get('FUZZ_RUNS', str(DEFAULT_RUNS)))
    fuzz_seed = int(os.environ.get('FUZZ_SEED', '1'))

    class Machine(SiteMachine):
        pass

    SiteMachine.step_count = 0
    run_state_machine_as_test(
        seed(fuzz_seed)(Machine),
        settings=settings(
            max_examples=runs,
            stateful_step_count=STEPS_PER_RUN,
            deadline=None,
            database=None,
            print_blob=True,
            phases=(Phase.generate, *SHRINK_PHASES),
            suppress_health_check=list(HealthCheck),
        ),
    )
    SiteMachine.step_count = 0
    print(f'seed {fuzz_seed}: {runs} runs, {SiteMachine.step_count} steps')
