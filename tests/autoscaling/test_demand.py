"""The demand of a service from the calls of all hosts."""

from __future__ import annotations

import pytest

from burdockledge.autoscaling import Pool, ServerKind, ServerRates
from burdockledge.autoscaling._demand import estimate_demand
from burdockledge.autoscaling._fleet import KnownFleet
from burdockledge.autoscaling._rate import OrderRate
from burdockledge.autoscaling._records import (
    OrderRecord,
    decode_records,
    encode_record,
    record_key,
)
from burdockledge.autoscaling._sizing import distribute
from burdockledge.calls import (
    AutoscaleConfiguration,
    CallerLimits,
    Prompt,
    RoutingDocument,
    ServerInstance,
    ServiceConfiguration,
)
from burdockledge.duties import StoreRecord
from burdockledge.registry import Registration, ServerRegistry, ServerState
from burdockledge.relay import RouteIndex
from burdockledge.scheduling import (
    CallStart,
    LoadTracker,
    ServiceDemand,
    ServiceTiming,
)

RATES = ServerRates(1 / 50_000, 1 / 10_000, 48)


def call(number: int, tokens: int, urgency: int = 0) -> CallStart:
    """Return a call without output."""
    return CallStart(number, 's/1', urgency, tokens, Prompt())


def test_a_burst_counts_in_the_peak_and_less_in_the_mean() -> None:
    """Guards against a size that follows each burst, or forgets it."""
    history = ServiceDemand()
    for tick in range(240):
        now = tick / 4
        # Half of a server's prefill, and three times that for 3 s.
        factor = 3 if 20 <= now < 23 else 1
        history.add(call(tick, 6250 * factor, urgency=tick % 4), now)
    demand = estimate_demand(history, RATES, 24, 60.0)
    assert demand.mean == pytest.approx(0.5, abs=0.05)
    assert demand.urgent == pytest.approx(0.25, abs=0.05)
    assert demand.latest == pytest.approx(0.5, abs=0.1)
    assert demand.peak == pytest.approx(1.5, abs=0.1)
    assert demand.running == 0.5
    later = estimate_demand(history, RATES, 0, 200.0)
    assert later.mean == later.peak == 0


def test_the_first_second_is_not_taken_for_a_lull() -> None:
    """Guards against a mean over a time before the first call."""
    history = ServiceDemand()
    assert estimate_demand(history, RATES, 0, 5.0).traffic_seconds is None
    for tick in range(48):
        history.add(call(tick, 12_500), 100 + tick / 4)
    demand = estimate_demand(history, RATES, 0, 112.0)
    assert demand.mean == pytest.approx(1, abs=0.1)


def test_prefill_into_empty_caches_orders_nothing() -> None:
    """
    Guards against servers for the prompts of the first seconds.

    A load test ordered 45 servers more, which booted as caches were warm.
    """
    history = ServiceDemand()
    for tick in range(64):
        tokens = 125_000 if tick < 32 else 12_500
        history.add(call(tick, tokens), 100 + tick / 4)
    first = estimate_demand(history, RATES, 36, 106.0)
    assert first.mean == first.peak == first.latest == 0
    assert first.running == 0.75
    warm = estimate_demand(history, RATES, 0, 116.0)
    assert warm.mean == pytest.approx(1, abs=0.1)
    assert warm.peak == pytest.approx(1, abs=0.2)


def test_slower_servers_raise_the_demand() -> None:
    """Guards against rates that are not learnt: a third slower by 1.3."""
    fast, mixed = ServiceTiming(), ServiceTiming()
    for number in range(300):
        slow_ratio = 1.3 if number % 3 == 0 else 1.0
        for timing, ratio in ((fast, 1.0), (mixed, slow_ratio)):
            tokens = 1000 + 200 * (number % 50)
            timing.note_first_event(tokens, (0.03 + tokens / 50_000) * ratio)
            running = number % 20
            timing.note_pause(running, (0.024 + running * 0.0002) * ratio)
    demands = []
    for timing in (fast, mixed):
        history = ServiceDemand()
        for tick in range(80):
            start = CallStart(tick, 's/1', 0, 4000, Prompt(), 400)
            history.add(start, tick / 4)
        rates = ServerRates.learnt(timing, 48)
        demands.append(estimate_demand(history, rates, 0, 20.0).mean)
    assert 1.04 < demands[1] / demands[0] < 1.3


def test_more_calls_at_once_raise_the_work_of_a_token() -> None:
    """Guards against slots that count as if pauses did not grow."""
    steep, flat = ServiceTiming(), ServiceTiming()
    for number in range(400):
        running = number % 30
        steep.note_pause(running, 0.024 + running * 0.002)
        flat.note_pause(running, 0.024)
    rates = [ServerRates.learnt(timing, 48) for timing in (steep, flat)]
    assert rates[0].output_seconds > 2 * rates[1].output_seconds


def test_only_services_with_orders_are_counted_and_shown() -> None:
    """Guards against work for services whose servers nobody orders."""
    registry, loads = ServerRegistry(), LoadTracker()
    servers = [
        (ServerInstance('n', 1, 'model', '10.0.0.1:1', 'a', 8), 'ready'),
        (ServerInstance('s', 1, 'model', '10.0.0.1:2', 'a', 8, True), 'ready'),
        (ServerInstance('d', 1, 'model', '10.0.0.1:3', 'a', 8), 'draining'),
        (ServerInstance('p', 1, 'plain', '10.0.0.1:4', 'a', 8), 'ready'),
    ]
    for instance, state in servers:
        registry.register(Registration(instance, ServerState(state)))
    loads.retain([instance for instance, _ in servers])
    autoscale = AutoscaleConfiguration(1, 5, 4, 0.18, {'a': 1.0})
    services = {
        'model': ServiceConfiguration('model', None, autoscale),
        'plain': ServiceConfiguration('plain', None),
    }
    document = RoutingDocument(1, (), services, {}, CallerLimits(), False)
    loads.count_demand(['model'])
    for number in range(4):
        loads.start(CallStart(number, 's/1', 0, 100, Prompt(), 10), 1.0)
        loads.start(CallStart(number, 'p/1', 0, 100, Prompt(), 10), 1.0)
    loads.start(CallStart(4, 's/1', 0, 100, Prompt(), 10), 11.0)
    loads.end('s/1', 4)
    ages_ms = [0]
    fleet = KnownFleet(
        lambda: RouteIndex(document), registry, loads, lambda: ages_ms[0]
    )
    (view,) = fleet.views(12.0)
    assert view.ready == {
        Pool('a', ServerKind.normal): 1,
        Pool('a', ServerKind.spot): 1,
    }
    assert view.demand.running == 0.5
    assert view.demand.mean > 0
    assert view.is_current
    assert loads.demand_of('plain') is None
    ages_ms[0] = 3500
    assert not fleet.views(2.0)[0].is_current


@pytest.mark.parametrize(
    ('key', 'content'),
    [
        ('orders/m/a', b'{"count":1,"before":1,"size":1}'),
        ('orders/m/a/cheap', b'{"count":1,"before":1,"size":1}'),
        ('orders/m/a/spot', b'{"count":-1,"before":1,"size":1}'),
        ('orders/m/a/spot', b'{"count":"1","before":1,"size":1}'),
        ('orders/m/a/spot', b'[' * 2000),
        ('usage/3', b'{"count":1,"before":1,"size":1}'),
    ],
)
def test_other_records_are_left_out(key: str, content: bytes) -> None:
    """Guards against a holder that stops at an odd record."""
    own = record_key('m/1', Pool('a', ServerKind.spot))
    records = {
        key: StoreRecord(0, content),
        own: StoreRecord(1, encode_record(OrderRecord(7, 8, 9))),
    }
    orders = decode_records(records)
    assert list(orders) == ['m/1']
    pool = Pool('a', ServerKind.spot)
    assert orders['m/1'][pool] == OrderRecord(7, 8, 9)


@pytest.mark.parametrize(
    ('size', 'lowest', 'highest', 'expected'),
    [
        (30, 1, 20, {'a': 10, 'b': 11, 'c': 9}),
        (30, 1, 10, {'a': 10, 'b': 10, 'c': 10}),
        (40, 1, 10, {'a': 10, 'b': 10, 'c': 10}),
        (3, 2, 10, {'a': 2, 'b': 2, 'c': 2}),
        (0, 0, 10, {'a': 0, 'b': 0, 'c': 0}),
    ],
)
def test_servers_are_distributed_within_the_bounds(
    size: int, lowest: int, highest: int, expected: dict[str, int]
) -> None:
    """Guards against a data centre outside of the bounds."""
    shares = {'a': 0.33, 'b': 0.37, 'c': 0.3}
    least = dict.fromkeys(shares, lowest)
    assert distribute(size, shares, least, highest) == expected


def test_a_refused_call_halves_the_rate_for_a_while() -> None:
    """Guards against a rate that stays high, or never recovers."""
    rate = OrderRate(20, 0.0)
    assert sum(rate.take(0.0) for _ in range(20)) == 10
    rate.note_limited(1.0)
    assert sum(rate.take(1 + tick / 100) for tick in range(500)) == 24
    assert sum(rate.take(20 + tick / 100) for tick in range(500)) >= 45
