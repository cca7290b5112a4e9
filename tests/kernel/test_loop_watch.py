"""What operators learn of an event loop that stood still."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from structlog.testing import capture_logs

from burdockledge.clock import Clock
from burdockledge.kernel import LoopWatch
from burdockledge.telemetry import Metrics

PERIOD_SECONDS = 0.1


@dataclass
class FakeTime(Clock):
    """The time and the processor time that a test gives."""

    now: float = 0.0
    used: float = 0.0

    def monotonic(self) -> float:
        """Return the time that the test gives."""
        return self.now

    def wall_ms(self) -> int:
        """Return the same time."""
        return int(self.now * 1000)

    def processor_seconds(self) -> float:
        """Return the processor time that the test gives."""
        return self.used


@pytest.mark.parametrize(
    ('delays', 'causes', 'lines'),
    [
        ([(0.04, 0.04)], [], 0),
        ([(7.0, 7.0)], ['own_work'], 1),
        ([(7.0, 0.1)], ['machine'], 1),
        ([(0.06, 0.06)] * 20, ['own_work'] * 20, 3),
    ],
    ids=['in time', 'long callback', 'stopped process', 'many'],
)
def test_a_late_loop_is_measured_with_its_cause(
    delays: list[tuple[float, float]],
    causes: list[str],
    lines: int,
) -> None:
    """Guards against a host that stands still without a trace of why."""
    time = FakeTime()
    metrics = Metrics()
    watch = LoopWatch(metrics, time, time.processor_seconds)
    watch.begin()
    with capture_logs() as written:
        for delay_seconds, used_seconds in delays:
            time.now += PERIOD_SECONDS + delay_seconds
            time.used += used_seconds
            watch.check()
    text = metrics.render()
    for cause in ('own_work', 'machine'):
        series = f'burdockledge_loop_delay_seconds_count{{cause="{cause}"}}'
        count = causes.count(cause)
        assert (f'{series} {count}\n' in text) == bool(count)
    assert len(written) == lines
