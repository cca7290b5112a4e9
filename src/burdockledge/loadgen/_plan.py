"""Generates the arrivals of a workload, a Poisson process per stream."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockledge.loadgen._workload import Stream, Workload

# Sigma of the log-normal distribution of the output lengths.
_LENGTH_SIGMA: Final = 0.5


@dataclass(frozen=True, slots=True)
class Arrival:
    """
    A request to send.

    ``at`` is when it is due, in seconds from the start of the run, and
    ``tokens`` is the number of tokens in its answer.
    """

    at: float
    serial: int
    stream: Stream
    tokens: int


def plan_arrivals(workload: Workload) -> list[Arrival]:
    """Return all arrivals in order of time; equal seeds give equal arrivals."""
    random = Random(workload.seed)
    drawn = [
        (at, index, tokens)
        for index, stream in enumerate(workload.streams)
        for at, tokens in _draw_arrivals(workload, stream, random)
    ]
    drawn.sort()
    return [
        Arrival(at, serial, workload.streams[index], tokens)
        for serial, (at, index, tokens) in enumerate(drawn)
    ]


def _draw_arrivals(
    workload: Workload,
    stream: Stream,
    random: Random,
) -> Iterator[tuple[float, int]]:
    start = 0.0
    for phase in workload.phases:
        end = start + phase.seconds
        rate = stream.rate * phase.factor
        at = start
        while rate > 0:
            at += random.expovariate(rate)
            if at >= end:
                break
            yield at, _draw_length(stream, random)
        start = end


def _draw_length(stream: Stream, random: Random) -> int:
    tokens = stream.tokens * random.lognormvariate(0, _LENGTH_SIGMA)
    if random.random() < stream.long_share:
        tokens *= stream.long_factor
    return max(1, round(tokens))


__all__ = ('Arrival', 'plan_arrivals')
