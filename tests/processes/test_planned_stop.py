"""
Test the planned stop of a real host process under calls of all kinds.

Run with ``make processes``; it waits in real time, so it is not part of the
suite.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import pytest

from tests.processes.stop_trial import (
    KINDS,
    ROUTE_SECONDS,
    WORK_SECONDS,
    Sent,
    StopTrial,
    send_and_keep,
)
from tests.soak._oracle import SHUTDOWN_GRACE_SECONDS
from tests.soak._store import DOWN, SILENT

SHORT_SECONDS = 1.0
# Calls are sent in each tenth of the grace, and before the stop.
TENTHS = range(-1, 10)
# The users' loss_slack_ms, and how late this busy machine may see a close.
SLACK_SECONDS = 0.2 + 0.3
# Calls of this time after the stop may be broken off (the users' pages).
EXCUSED_SECONDS = 3.0
# Time before the stop, in which callers open the connections that they keep.
LEAD_SECONDS = 3.0
NOT_RUN = ('408', '421', '429', '503')


def describe(trial: StopTrial, sent: Sent) -> str:
    """Return what the caller of one call saw."""
    return (
        f'{sent.request} sent {sent.sent_at - trial.stopped_at:.2f} s after '
        f'the stop, ended after {sent.seconds:.2f} s, status {sent.status!r}, '
        f'ran {trial.runs()[sent.request]} times'
    )


def violations(trial: StopTrial) -> list[str]:
    """Return what callers saw against the rules LOST, REFUSED and TWICE."""
    runs = trial.runs()
    found = []
    for sent in trial.calls:
        count = runs[sent.request]
        if sent.status in NOT_RUN and count:
            found.append(f'REFUSED: {describe(trial, sent)}')
        if sent.kind in {'unsafe', 'stream'} and count > 1:
            found.append(f'TWICE: {describe(trial, sent)}')
        if not sent.is_connected or sent.is_complete:
            continue
        may_be_cut = (
            sent.seconds > sent.limit_seconds - 0.1
            or sent.sent_at <= trial.stopped_at + EXCUSED_SECONDS
        )
        if sent.status == '200' and may_be_cut:
            # A stream that has begun can not get another answer.
            continue
        if count or sent.seconds > SLACK_SECONDS:
            found.append(f'LOST: {describe(trial, sent)}')
    return found


def refused_early(trial: StopTrial) -> list[str]:
    """Return the calls that would have ended in time and were not served."""
    last_arrival = SHUTDOWN_GRACE_SECONDS - 0.6 - SHORT_SECONDS - 0.3
    found = []
    for sent in trial.calls:
        is_short = sent.limit_seconds == SHORT_SECONDS
        must_be_served = (
            sent.is_connected
            and sent.server == 'quick'
            and sent.sent_at - trial.stopped_at
            < (last_arrival if is_short else 2.2)
        )
        # On a busy machine a call may reach its time limit.
        is_over = sent.seconds > sent.limit_seconds - 0.1
        if must_be_served and sent.status != '200' and not is_over:
            found.append(describe(trial, sent))
    return found


async def send_around_stop(trial: StopTrial) -> None:
    """Send calls of all kinds in each tenth of the grace."""

    async def send_at(at: float, sent: Sent, body_delay: float) -> None:
        connection = None
        if sent.is_kept:
            await asyncio.sleep(random.uniform(0, LEAD_SECONDS - 1))
            first = Sent(f'{sent.request}-0', 'safe', 'quick', 5, is_kept=True)
            connection = await trial.connect()
            await send_and_keep(connection, first)
        await asyncio.sleep(max(0.0, starts_at + at - time.monotonic()))
        await trial.send(sent, connection, body_delay)

    tasks = []
    random = Random(1)
    starts_at = time.monotonic() + LEAD_SECONDS
    for tenth in TENTHS:
        for kind in KINDS:
            for speed in WORK_SECONDS:
                for limit in (SHORT_SECONDS, ROUTE_SECONDS):
                    for is_kept, body_delay in (
                        (False, 0.0), (True, 0.0), (False, 0.4),
                    ):  # fmt: skip
                        name = (
                            f'{kind}-{speed}-{limit:g}-{is_kept}-{body_delay}'
                        )
                        sent = Sent(
                            f'{tenth}-{name}', kind, speed, limit, is_kept
                        )
                        trial.calls.append(sent)
                        at = 0.1 * tenth * SHUTDOWN_GRACE_SECONDS
                        tasks.append(
                            asyncio.create_task(send_at(at, sent, body_delay))
                        )
    await asyncio.sleep(starts_at - time.monotonic())
    stop = asyncio.create_task(trial.stop())
    trial_tasks = asyncio.gather(*tasks)
    await stop
    async with asyncio.timeout(5):
        await trial_tasks


Disturbance = Callable[[StopTrial], Coroutine[Any, Any, None]]


async def signal_twice(trial: StopTrial) -> None:
    """Send SIGTERM again a second after the first one, and in the close."""
    for seconds in (4.0, 6.3):
        await asyncio.sleep(seconds)
        os.kill(trial.host.pid, signal.SIGTERM)


async def reload_beside(trial: StopTrial) -> None:
    """Send SIGHUP right before and after SIGTERM."""
    for seconds in (2.9, 0.2, 1.0):
        await asyncio.sleep(seconds)
        os.kill(trial.host.pid, signal.SIGHUP)


async def break_store(trial: StopTrial) -> None:
    """Turn the host away at the store from before the stop on."""
    await asyncio.sleep(2.0)
    trial.store.faults['h'] = DOWN


async def silence_store(trial: StopTrial) -> None:
    """Leave the calls of the host to the store without an answer."""
    await asyncio.sleep(2.0)
    trial.store.faults['h'] = SILENT


async def do_nothing(_: StopTrial) -> None:
    """Let the stop happen in calm."""


DISTURBANCES = (
    do_nothing,
    signal_twice,
    reload_beside,
    break_store,
    silence_store,
)


@pytest.mark.parametrize(('number', 'disturb'), list(enumerate(DISTURBANCES)))
def test_a_planned_stop_loses_no_call(
    number: int, disturb: Disturbance, tmp_path: Path
) -> None:
    """Guards against LOST: calls taken in the grace and cut at its end."""
    trial = StopTrial(tmp_path, f'127.{80 + number}.{os.getpid() % 250}')

    async def run() -> None:
        await trial.start()
        await trial.wait_until_ready()
        beside = asyncio.create_task(disturb(trial))
        await send_around_stop(trial)
        beside.cancel()
        await trial.close()

    asyncio.run(run())
    statuses = Counter(
        sent.status or ('closed' if sent.is_connected else 'not connected')
        for sent in trial.calls
    )
    pid = trial.host.pid
    seconds = trial.record.ends[pid] - trial.stopped_at
    print(f'{number}: {dict(statuses)}, exit after {seconds:.2f} s')
    assert violations(trial) == []
    assert refused_early(trial) == []
    assert seconds <= SHUTDOWN_GRACE_SECONDS


@pytest.mark.parametrize('delay', [0.3, 0.6, 0.9, 1.2])
def test_a_stop_right_after_the_start_loses_no_call(
    delay: float, tmp_path: Path
) -> None:
    """Guards against LOST: SIGTERM before the first configuration."""
    trial = StopTrial(tmp_path, f'127.90.{os.getpid() % 250}')

    async def run() -> None:
        await trial.start()
        started_at = time.monotonic()

        async def send_on(number: int) -> None:
            while time.monotonic() < started_at + delay + 3:
                sent = Sent(
                    f'{number}-{len(trial.calls)}', 'unsafe', 'quick',
                    ROUTE_SECONDS, is_kept=False,
                )  # fmt: skip
                trial.calls.append(sent)
                await trial.send(sent)
                await asyncio.sleep(0.05)

        callers = [asyncio.create_task(send_on(number)) for number in range(5)]
        await asyncio.sleep(delay)
        await trial.host.shut_down()
        await asyncio.gather(*callers)
        await trial.close()

    asyncio.run(run())
    assert violations(trial) == []
