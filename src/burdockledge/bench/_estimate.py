"""Extrapolates the load of each role to a large fleet from fitted lines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from pydantic import BaseModel, ConfigDict

from burdockledge.bench._fit import LinearFit
from burdockledge.bench._news import NewsCosts

_US_PER_SECOND: Final = 1_000_000
_SECONDS_PER_DAY: Final = 86_400
_MB: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Fleet:
    """
    The deployment that the users expect within two years.

    ``keyed_share`` is the share of requests that carry an idempotency key,
    ``queued_share`` the share of a second's requests that wait for a slot.
    """

    hosts: int = 320
    data_centres: int = 7
    servers: int = 3000
    requests_per_second: float = 7000
    tokens_per_second: float = 2_200_000
    teams: int = 9500
    patches_per_day: int = 3200
    restarts_per_day: int = 170
    keyed_share: float = 0.02
    queued_share: float = 0.1
    key_lifetime_seconds: float = 3600
    offers_per_request: float = 2


@dataclass(frozen=True, slots=True)
class Budget:
    """The resources that one host may use for coordination."""

    core_share: float = 0.028
    memory_bytes: float = 128_000_000
    bytes_per_second: float = 22_000
    appends_per_second: float = 300


FLEET: Final = Fleet()
BUDGET: Final = Budget()


class CapacityData(BaseModel):
    """
    The recorded measurements.

    ``calibration_us`` is the processor time of the calibration loop in
    microseconds; ``lines`` are the fitted lines by name; ``news`` is what a
    host spends among growing numbers of hosts.
    """

    model_config = ConfigDict(frozen=True)

    calibration_us: float
    lines: dict[str, LinearFit]
    news: tuple[NewsCosts, ...] = ()


@dataclass(frozen=True, slots=True)
class RoleEstimate:
    """
    The estimated load of a role on one host of the fleet.

    Log appends and log bytes read are totals of the whole fleet. ``state`` is
    what the role holds, ``breaks_first`` what limits its growth first.
    """

    role: str
    state: str
    messages_per_second: float
    core_share: float
    memory_bytes: float
    bytes_per_second: float
    appends_per_second: float
    log_bytes_read_per_second: float
    mechanism: str
    breaks_first: str


def estimate_roles(
    capacity: CapacityData,
    fleet: Fleet = FLEET,
) -> tuple[RoleEstimate, ...]:
    """Return the load of each role, with the built and planned mechanisms."""
    rows = [
        _estimate_accepting_host(capacity, fleet),
        _estimate_leader(capacity, fleet),
        _estimate_membership(capacity, fleet),
        _estimate_configuration(capacity, fleet),
        _estimate_unpartitioned_claims(capacity, fleet),
        _estimate_partitioned_claims(capacity, fleet),
        _estimate_directory(fleet),
        _estimate_time_line(),
    ]
    return tuple(rows)


def sum_built_roles(
    rows: tuple[RoleEstimate, ...],
) -> tuple[float, float, float]:
    """
    Return the totals of the built roles for one host.

    They are the core share, the memory in bytes and the bytes per second.
    """
    built_roles = [row for row in rows if not row.role.startswith('planned')]
    return (
        sum(row.core_share for row in built_roles),
        sum(row.memory_bytes for row in built_roles),
        sum(row.bytes_per_second for row in built_roles),
    )


def _processor_seconds(capacity: CapacityData, calibrations: float) -> float:
    return calibrations * capacity.calibration_us / _US_PER_SECOND


def _estimate_accepting_host(
    capacity: CapacityData, fleet: Fleet
) -> RoleEstimate:
    request_rate = fleet.requests_per_second / fleet.hosts
    frame_calibrations = capacity.lines['frame_calibrations_by_triple']
    frame_bytes = capacity.lines['frame_bytes_by_triple'].slope
    message_rate = request_rate * fleet.offers_per_request * 2
    core_share = (
        _processor_seconds(capacity, frame_calibrations.at(1))
        * request_rate
        * fleet.offers_per_request
    )
    sent_bytes = request_rate * fleet.offers_per_request * frame_bytes
    return RoleEstimate(
        'accepting host',
        f'{request_rate:.0f} requests a second, their offers',
        message_rate,
        core_share,
        capacity.lines['host_memory_bytes_by_host'].intercept,
        sent_bytes,
        0,
        0,
        'late binding: an offer to 2 leads, messages of a moment in a frame',
        'bytes: 4 leads a request would double them',
    )


def _estimate_leader(capacity: CapacityData, fleet: Fleet) -> RoleEstimate:
    request_rate = (
        fleet.requests_per_second * fleet.offers_per_request / fleet.hosts
    )
    turn_calibrations = capacity.lines['lead_calibrations_a_turn_by_offer']
    frame_calibrations = capacity.lines['frame_calibrations_by_triple']
    offers = fleet.requests_per_second * fleet.queued_share / fleet.hosts
    offer_memory_bytes = capacity.lines['lead_memory_bytes_by_offer'].slope
    core_share = (
        _processor_seconds(
            capacity, max(turn_calibrations.measured) + frame_calibrations.at(1)
        )
        * request_rate
    )
    return RoleEstimate(
        'lead',
        f'{fleet.servers / fleet.hosts:.0f} servers, {offers:.0f} offers',
        request_rate * 2,
        core_share,
        offer_memory_bytes * offers
        + _idle_leader_memory_bytes(capacity, fleet),
        request_rate * capacity.lines['frame_bytes_by_triple'].slope,
        0,
        0,
        'rendezvous hashing by data centre; heaps by team and tier',
        'the turn itself: it does not grow with the queue',
    )


def _idle_leader_memory_bytes(capacity: CapacityData, fleet: Fleet) -> float:
    line = capacity.lines['lead_memory_bytes_by_server']
    return line.slope * fleet.servers / fleet.hosts


def _estimate_membership(capacity: CapacityData, fleet: Fleet) -> RoleEstimate:
    lines = capacity.lines
    return RoleEstimate(
        'membership',
        f'{fleet.hosts} members',
        lines['host_datagrams_by_host'].at(fleet.hosts),
        lines['host_core_share_by_host'].at(fleet.hosts),
        max(0, lines['host_memory_bytes_by_host'].slope * fleet.hosts),
        lines['host_datagram_bytes_by_host'].at(fleet.hosts),
        0,
        0,
        'SWIM: one probe a period whatever the size, updates piggybacked',
        'time to tell all: grows with the logarithm of the hosts',
    )


def _estimate_configuration(
    capacity: CapacityData, fleet: Fleet
) -> RoleEstimate:
    lines = capacity.lines
    patch_rate = fleet.patches_per_day / _SECONDS_PER_DAY
    snapshot_bytes = lines['start_bytes_by_team'].at(fleet.teams)
    restart_rate = fleet.restarts_per_day / _SECONDS_PER_DAY / fleet.hosts
    fold_seconds = _processor_seconds(
        capacity, lines['patch_calibrations_by_team'].at(fleet.teams)
    )
    return RoleEstimate(
        'configuration holder',
        f'{fleet.teams} teams, {snapshot_bytes / _MB:.1f} MB as JSON',
        patch_rate,
        fold_seconds * patch_rate,
        lines['configuration_memory_bytes_by_team'].at(fleet.teams),
        snapshot_bytes * restart_rate,
        patch_rate,
        patch_rate * fleet.hosts,
        'every host folds the stream; peers fill gaps; snapshots',
        f'a fold takes {fold_seconds * 1000:.0f} ms of the one loop: '
        'patch by part',
    )


def _estimate_unpartitioned_claims(
    capacity: CapacityData, fleet: Fleet
) -> RoleEstimate:
    """Estimate the built mechanism: every host reads every claim."""
    claim_rate = fleet.requests_per_second * fleet.keyed_share
    return _estimate_claims(
        capacity,
        fleet,
        'claims, every host reads all',
        claim_rate,
        fleet.hosts * min(20.0, claim_rate / fleet.hosts * 2),
        'one stream that all hosts follow',
        'memory, bytes read and appends: does not reach the size',
    )


def _estimate_partitioned_claims(
    capacity: CapacityData, fleet: Fleet
) -> RoleEstimate:
    """Estimate the planned mechanism: relays that batch each partition."""
    claim_rate = fleet.requests_per_second * fleet.keyed_share / fleet.hosts
    relay_count = 2 * fleet.data_centres
    return _estimate_claims(
        capacity,
        fleet,
        'planned: claims by partition',
        claim_rate,
        relay_count * 10.0,
        '2 relays a data centre batch; a partition is read by its home host',
        'appends: batches of 100 ms keep them under the budget',
    )


def _estimate_claims(
    capacity: CapacityData,
    fleet: Fleet,
    role: str,
    claim_read_rate: float,
    append_rate: float,
    mechanism: str,
    breaks_first: str,
) -> RoleEstimate:
    lines = capacity.lines
    entry_bytes = lines['ledger_memory_bytes_by_claim'].slope
    kept_keys = claim_read_rate * fleet.key_lifetime_seconds
    fold_seconds = _processor_seconds(
        capacity, lines['ledger_calibrations_by_claim'].slope
    )
    claim_log_bytes = lines['log_bytes_by_claim'].slope
    return RoleEstimate(
        role,
        f'{kept_keys:,.0f} keys of an hour',
        claim_read_rate,
        fold_seconds * claim_read_rate,
        entry_bytes * kept_keys,
        claim_log_bytes * claim_read_rate,
        append_rate,
        claim_log_bytes * claim_read_rate * fleet.hosts,
        mechanism,
        breaks_first,
    )


def _estimate_directory(fleet: Fleet) -> RoleEstimate:
    return RoleEstimate(
        'directory',
        f'{fleet.hosts} members, read from the member table',
        0,
        0,
        0,
        0,
        0,
        0,
        'no state or message of its own; callers keep the list',
        'the length of the answer: list a data centre only',
    )


def _estimate_time_line() -> RoleEstimate:
    event_bytes = 400
    event_count = 50_000
    return RoleEstimate(
        'time line',
        f'the newest {event_count} events, in memory',
        0,
        0,
        float(event_bytes * event_count),
        0,
        0,
        0,
        'a bounded list on each host, merged when it is asked for',
        'the time that the list covers, not its cost',
    )


__all__ = (
    'BUDGET',
    'FLEET',
    'Budget',
    'CapacityData',
    'Fleet',
    'RoleEstimate',
    'estimate_roles',
    'sum_built_roles',
)
