"""The benchmark of news measures a host that hears what the others tell."""

from __future__ import annotations

import pytest

from burdockledge.bench import NewsCosts, measure_news, render_news


@pytest.fixture(scope='module')
def costs() -> NewsCosts:
    """Return the costs of a host among so many that groups are formed."""
    return measure_news(14)


def test_every_event_of_the_others_is_heard(costs: NewsCosts) -> None:
    """Guards against figures of a host that is told only a part."""
    events_sent = 3 * 13 * 340 / 71
    assert costs.events == pytest.approx(events_sent, rel=0.2)
    assert costs.notes > costs.datagrams


def test_each_part_is_measured(costs: NewsCosts) -> None:
    """Guards against parts that are left out, such as events of no server."""
    assert all(spent_us > 0 for spent_us in costs.spent_us.values())
    assert costs.total_us == sum(costs.spent_us.values())


def test_table_has_the_cost_of_one_message(costs: NewsCosts) -> None:
    """The table has times and microseconds each, for each number of hosts."""
    table = render_news([costs, costs])
    assert '| a host, a second | 14 hosts | 14 hosts |' in table
    assert f'{costs.notes:,.0f} x ' in table
