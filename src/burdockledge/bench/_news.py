"""
Measures what a host spends on the news of the other hosts' calls.

The datagrams that one host gets from many are recorded in virtual time, and
then played to a host alone, whose processor time is measured by what it is
spent on. HTTP, of callers and of servers, is not part of it.
"""

from __future__ import annotations

import asyncio
import gc
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pydantic import BaseModel, ConfigDict

from burdockledge.bench._news_host import MeasuredHost, Meter, Spending
from burdockledge.bench._news_traffic import (
    Heard,
    OwnCall,
    count_notes,
    engine_count,
    make_calls,
    record_news,
)
from burdockledge.clock import VirtualTimeLoop

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

HOST_COUNTS: Final = (9, 71, 195)
_SECONDS: Final = 5.0
# Calls begin and end as often as in the time that is measured only later.
_WARM_UP_SECONDS: Final = 3.0
_REPEATS: Final = 6
_NS_PER_US: Final = 1000
_US_PER_SECOND: Final = 1_000_000


class NewsCosts(BaseModel):
    """
    What one of ``hosts`` hosts hears and spends in a second.

    ``spent_us`` holds, by what it is spent on, the microseconds of processor
    time in a second; ``times`` how often that happens.
    """

    model_config = ConfigDict(frozen=True)

    hosts: int
    engines: int
    datagrams: float
    bytes: float
    notes: float
    events: float
    spent_us: dict[Spending, float]
    times: dict[Spending, float]

    @property
    def total_us(self) -> float:
        """The microseconds of processor time in a second."""
        return sum(self.spent_us.values())


@dataclass(frozen=True, slots=True)
class _Load:
    """What a host gets from the beginning of the warm-up on."""

    news: list[Heard]
    calls: list[OwnCall]

    @property
    def measured_news(self) -> list[Heard]:
        """What it hears after the warm-up."""
        return [one for one in self.news if one.at >= _WARM_UP_SECONDS]


def measure_news(host_count: int) -> NewsCosts:
    """Measure a host among some hosts, the least of several runs."""
    calls = make_calls(host_count, _WARM_UP_SECONDS + _SECONDS)
    news = record_news(host_count, calls, _WARM_UP_SECONDS + _SECONDS)
    load = _Load(news, calls[0])
    runs = [_play(host_count, load) for _ in range(_REPEATS)]
    least = min(runs, key=lambda run: run.playing_ns)
    spent = {
        kind: least.spent_ns[kind] / _NS_PER_US / _SECONDS for kind in Spending
    }
    measured = load.measured_news
    counts = count_notes(measured)
    return NewsCosts(
        hosts=host_count,
        engines=engine_count(host_count),
        datagrams=len(measured) / _SECONDS,
        bytes=sum(len(one.datagram) for one in measured) / _SECONDS,
        notes=counts.notes / _SECONDS,
        events=counts.events / _SECONDS,
        spent_us=spent,
        times={kind: least.times[kind] / _SECONDS for kind in Spending},
    )


def render_news(rows: Sequence[NewsCosts]) -> str:
    """Return the costs as tables, one column for each number of hosts."""
    head = ' | '.join(f'{row.hosts} hosts' for row in rows)
    lines = [
        f'| a host, a second | {head} |',
        f'|---|{"---|" * len(rows)}',
        _line('engines', [f'{row.engines}' for row in rows]),
        _line('datagrams heard', [f'{row.datagrams:,.0f}' for row in rows]),
        _line('KB heard', [f'{row.bytes / 1000:,.1f}' for row in rows]),
        _line('notes in them', [f'{row.notes:,.0f}' for row in rows]),
        _line('events of calls', [f'{row.events:,.0f}' for row in rows]),
        '',
        f'| ms of processor time a second (times x us) | {head} |',
        f'|---|{"---|" * len(rows)}',
    ]
    lines += [
        _line(kind.value, [_cell(row, kind) for row in rows])
        for kind in Spending
    ]
    lines.append(
        _line('all', [f'**{row.total_us / 1000:,.1f}**' for row in rows])
    )
    return '\n'.join(lines)


def _cell(row: NewsCosts, kind: Spending) -> str:
    spent_us, times = row.spent_us[kind], row.times[kind]
    each = f' ({times:,.0f} x {spent_us / times:,.1f})' if times else ''
    return f'{spent_us / 1000:,.1f}{each}'


def _line(name: str, cells: list[str]) -> str:
    return f'| {name} | {" | ".join(cells)} |'


def _play(host_count: int, load: _Load) -> Meter:
    """Play a load to a host, and return what it spent."""
    loop = VirtualTimeLoop()
    try:
        meter = loop.run_until_complete(_play_to_host(host_count, load))
        idle_ns = loop.run_until_complete(_play_to_none(load))
    finally:
        loop.shut_down()
        gc.unfreeze()
    known_ns = sum(meter.spent_ns.values()) + idle_ns
    meter.spent_ns[Spending.timers] = meter.playing_ns - known_ns
    meter.split_receiving(load.measured_news)
    return meter


async def _play_to_host(host_count: int, load: _Load) -> Meter:
    host = MeasuredHost(host_count)
    await host.start()
    _schedule(load, host.hear, host.step)
    await asyncio.sleep(_WARM_UP_SECONDS)
    host.meter.reset()
    host.meter.playing_ns = await _run_measured()
    await host.stop()
    return host.meter


async def _play_to_none(load: _Load) -> int:
    """Return what the loop itself takes to call so many callbacks."""
    _schedule(load, _ignore, _ignore)
    await asyncio.sleep(_WARM_UP_SECONDS)
    return await _run_measured()


async def _run_measured() -> int:
    # What the benchmark itself holds is no work for the garbage collector.
    gc.collect()
    gc.freeze()
    began_ns = time.thread_time_ns()
    await asyncio.sleep(_SECONDS)
    return time.thread_time_ns() - began_ns


def _schedule(
    load: _Load,
    hear: Callable[[Heard], None],
    step: Callable[[OwnCall, int], None],
) -> None:
    loop = asyncio.get_running_loop()
    start = loop.time()
    for heard in load.news:
        loop.call_at(start + heard.at, hear, heard)
    for call in load.calls:
        for number, at in enumerate(call.step_times):
            loop.call_at(start + at, step, call, number)


def _ignore(*_: object) -> None:
    """Do nothing."""


__all__ = ('HOST_COUNTS', 'NewsCosts', 'measure_news', 'render_news')
