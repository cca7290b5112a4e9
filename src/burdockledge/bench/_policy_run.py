"""Runs every placement policy on a scenario in virtual time."""

from __future__ import annotations

import asyncio
import statistics
from dataclasses import asdict, dataclass
from functools import partial
from typing import Any, Final

from burdockledge.bench._policies import POLICIES, Policy
from burdockledge.bench._traffic import (
    SCENARIOS,
    SLOTS_PER_ENGINE,
    TIERS,
    TOKEN_MS,
    make_document,
    make_workload,
)
from burdockledge.fakes import Site, run_virtual
from burdockledge.loadgen import Arrival, plan_arrivals
from burdockledge.standins import EngineSettings

_SETTLE_SECONDS: Final = 4
_ANSWER_TIMEOUT_SECONDS: Final = 45
_PREFILL_TOKENS_PER_MS: Final = 1000
_SLOWDOWN_SECONDS_RANGE: Final = (1.0, 5.0)
_SLOWDOWN_FACTOR: Final = 5
_MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class SiteSize:
    """The number of entry hosts and engines of a site."""

    hosts: int
    engines: int


SIZES: Final = {
    'blackthorn-vale': SiteSize(7, 5),
    'fraser-reach': SiteSize(9, 9),
}


@dataclass(slots=True)
class _RequestRecord:
    arrival: Arrival
    time_to_first_token_ms: float | None = None
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class TierMetrics:
    """
    The results of one tier in one run.

    ``attained`` is the share of requests whose first token met the target.
    The percentiles are of the time to first token, in milliseconds, and
    ``answered`` counts the requests whose answers were complete.
    """

    sent: int
    attained: float
    p50_ms: float
    p99_ms: float
    answered: int


@dataclass(frozen=True, slots=True)
class RunMetrics:
    """
    The results of one run of a policy.

    ``goodput_tokens`` counts the tokens of requests that met their target.
    """

    policy: str
    scenario: str
    size: str
    seed: int
    goodput_tokens: int
    generated_tokens: int
    frame_bytes_a_request: float
    tiers: dict[str, TierMetrics]

    def as_dict(self) -> dict[str, Any]:
        """Return the results as a dictionary that can be written as JSON."""
        return asdict(self)


def run_policies(
    scenario: str,
    size_name: str,
    seed: int,
) -> list[RunMetrics]:
    """Run every policy on the same arrivals; the seed determines them."""
    return [
        run_virtual(partial(_run_policy, policy, scenario, size_name, seed))
        for policy in POLICIES
    ]


async def _run_policy(
    policy_class: type[Policy],
    scenario: str,
    size_name: str,
    seed: int,
) -> RunMetrics:
    size = SIZES[size_name]
    site = await _make_site(size, seed)
    policy = policy_class(site)
    arrivals = plan_arrivals(make_workload(scenario, size.engines, seed))
    if scenario == 'straggler':
        site.loop.create_task(_slow_random_engines(site))
    records = await _send_arrivals(site, policy, arrivals)
    generated = sum(
        engine.model.generated_tokens for engine in site.engines.values()
    )
    return RunMetrics(
        policy=policy.name,
        scenario=scenario,
        size=size_name,
        seed=seed,
        goodput_tokens=sum(
            record.tokens for record in records if _met_target(record)
        ),
        generated_tokens=generated,
        frame_bytes_a_request=site.network.frame_bytes / len(arrivals),
        tiers={
            tier.name: _summarize_tier(
                [
                    record
                    for record in records
                    if _class_name(record) == tier.name
                ],
            )
            for tier in TIERS
        },
    )


async def _make_site(size: SiteSize, seed: int) -> Site:
    site = Site(seed=seed)
    urls = tuple(f'http://e{number}' for number in range(size.engines))
    for number, url in enumerate(urls):
        settings = EngineSettings(
            address='127.0.0.1:1',
            seed=seed * 100 + number,
            slots=SLOTS_PER_ENGINE,
            token_ms=TOKEN_MS,
            prefill_tokens_per_ms=_PREFILL_TOKENS_PER_MS,
        )
        site.add_engine(url, settings)
    site.publish_patch(0, make_document(urls))
    for number in range(size.hosts):
        await site.start_host(f'h{number}', 'dc1')
    await site.settle(_SETTLE_SECONDS)
    return site


async def _send_arrivals(
    site: Site,
    policy: Policy,
    arrivals: list[Arrival],
) -> list[_RequestRecord]:
    started_at = site.loop.time()
    records: list[_RequestRecord] = []
    tasks: list[asyncio.Task[None]] = []
    hosts = tuple(site.hosts)
    for arrival in arrivals:
        await asyncio.sleep(started_at + arrival.at - site.loop.time())
        record = _RequestRecord(arrival)
        records.append(record)
        host = site.random.choice(hosts)
        tasks.append(
            site.run_on(
                host,
                partial(_record_answer, site, policy, record, host),
            ),
        )
    await asyncio.wait(tasks, timeout=_ANSWER_TIMEOUT_SECONDS)
    return records


async def _record_answer(
    site: Site, policy: Policy, record: _RequestRecord, host: str
) -> None:
    sent_at = site.loop.time()
    async for tokens in policy.answer(record.arrival, host):
        if record.time_to_first_token_ms is None:
            record.time_to_first_token_ms = (
                site.loop.time() - sent_at
            ) * _MS_PER_SECOND
        record.tokens += tokens


async def _slow_random_engines(site: Site) -> None:
    """Slow down one random engine after another, each for a random time."""
    while True:
        engine = site.random.choice(tuple(site.engines.values()))
        seconds = site.random.uniform(*_SLOWDOWN_SECONDS_RANGE)
        engine.slow(_SLOWDOWN_FACTOR, seconds)
        await asyncio.sleep(seconds)


def _class_name(record: _RequestRecord) -> str:
    return record.arrival.stream.class_name


def _met_target(record: _RequestRecord) -> bool:
    targets_ms = {tier.name: tier.first_token_ms for tier in TIERS}
    return (
        record.time_to_first_token_ms is not None
        and record.time_to_first_token_ms <= targets_ms[_class_name(record)]
    )


def _summarize_tier(records: list[_RequestRecord]) -> TierMetrics:
    delays_ms = sorted(
        record.time_to_first_token_ms
        for record in records
        if record.time_to_first_token_ms is not None
    )
    return TierMetrics(
        sent=len(records),
        attained=sum(_met_target(record) for record in records)
        / max(len(records), 1),
        p50_ms=statistics.median(delays_ms) if delays_ms else 0,
        p99_ms=delays_ms[int(len(delays_ms) * 0.99)] if delays_ms else 0,
        answered=sum(
            record.tokens >= record.arrival.tokens for record in records
        ),
    )


__all__ = ('SCENARIOS', 'SIZES', 'RunMetrics', 'TierMetrics', 'run_policies')
