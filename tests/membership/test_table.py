"""Tests of the member table: precedence of updates, suspicion, refutation."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from burdockledge.membership import SUSPICION_TIMEOUT_SECONDS, MemberTable
from burdockledge.wire import MemberStatus, MemberUpdate

OWN = MemberUpdate('own', 'a:1', 'http://a', 'dc1', 1, 0, MemberStatus.alive)
PEER = replace(OWN, host='peer', peer_address='b:1')


def make_table() -> MemberTable:
    """Return the table of host ``own`` with an alive host ``peer``."""
    table = MemberTable(OWN, 0)
    table.apply(PEER, 0)
    return table


@pytest.mark.parametrize(
    ('changes', 'is_newer'),
    [
        ({'status': MemberStatus.suspect}, True),
        ({'status': MemberStatus.dead}, True),
        ({'incarnation': 1}, True),
        ({'boot': 2}, True),
        ({}, False),
        ({'boot': 0, 'incarnation': 9}, False),
    ],
)
def test_update_precedence(changes: dict, is_newer: bool) -> None:
    """Updates are ordered by boot, then incarnation, then status."""
    assert make_table().apply(replace(PEER, **changes), 1) is is_newer


def test_suspect_host_is_declared_dead() -> None:
    """A suspect that does not refute is dead, until a newer incarnation."""
    table = make_table()
    table.mark_unresponsive('peer', 0)
    assert table.expire(SUSPICION_TIMEOUT_SECONDS) == []
    assert table.expire(SUSPICION_TIMEOUT_SECONDS + 0.1) == ['peer']
    assert [update.host for update in table.alive_or_suspect()] == ['own']
    table.apply(replace(PEER, incarnation=1), 10)
    assert len(table.alive_or_suspect()) == 2


@pytest.mark.parametrize('status', [MemberStatus.suspect, MemberStatus.dead])
def test_false_status_is_refuted(status: MemberStatus) -> None:
    """A host refutes a false status of itself with a newer incarnation."""
    table = make_table()
    assert table.apply(replace(OWN, status=status), 1)
    assert table.own_member.incarnation == 1
    assert table.own_member.status == MemberStatus.alive


def test_gossip_is_bounded_per_datagram() -> None:
    """Each datagram carries 6 updates, also after all were sent often."""
    table = make_table()
    for number in range(50):
        table.apply(replace(PEER, host=f'p{number}'), 0)
    random = Random(1)
    sizes = {len(table.take_gossip_updates(random)) for _ in range(200)}
    assert sizes == {6}


def test_caller_url_change_is_a_newer_incarnation() -> None:
    """A changed URL for callers is gossiped under a new incarnation."""
    table = make_table()
    table.advertise('10.0.0.1:80', 1)
    assert table.own_member.caller_url == '10.0.0.1:80'
    assert table.own_member.incarnation == 1


def test_restart_with_earlier_clock_raises_boot() -> None:
    """
    A process restarted after its clock was set back replaces its predecessor.

    It starts with a lower boot number, so that the predecessor's entry has
    precedence. It learns that boot number by gossip and exceeds it.
    """
    peer_view = make_table()
    peer_view.apply(replace(PEER, boot=9, status=MemberStatus.leaving), 1)
    restarted = MemberTable(replace(PEER, boot=3), 2)
    assert not peer_view.apply(restarted.own_member, 3)
    gossiped = [
        update
        for update in peer_view.take_gossip_updates(Random(1))
        if update.host == restarted.own_member.host
    ]
    assert restarted.apply(gossiped[0], 4)
    assert peer_view.apply(restarted.own_member, 5)
    assert peer_view.get('peer') == restarted.own_member
    assert restarted.own_member.status == MemberStatus.alive
