"""Which messages and counts there are with and without the duty."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import aiohttp
import pytest

from burdockledge.duties import StoreRecord
from burdockledge.host import RelayHost
from burdockledge.peers import PeerKeys
from burdockledge.platform import PlatformUsageReport
from burdockledge.wire import Note, decode_note
from tests.platform_adapter.front_harness import make_settings
from tests.replication.hosts import KEYS, SimulatedCluster
from tests.usage.fleet import SETTINGS, UsageFleet


@pytest.mark.parametrize('reports_usage', [True, False])
def test_calls_count_only_with_the_duty(reports_usage: bool) -> None:
    """Guards against new fields and work where no settings ask for them."""

    async def run() -> None:
        duties = replace(
            SETTINGS, reports_usage=reports_usage, api_address='127.0.0.1:9'
        )
        settings = replace(make_settings(), duties=duties)
        async with aiohttp.ClientSession() as session:
            host = RelayHost(settings, PeerKeys(('k' * 16,), None), session)
            assert host.exchange.sends_time is reports_usage
            assert (host.relay.usage.on_run is not None) is reports_usage
            assert (host.usage_gossip is not None) is reports_usage
            await host.server_client.close()

    asyncio.run(run())


def _notes_of(cluster: SimulatedCluster | UsageFleet) -> list[Note]:
    """Return a list that gets each note that reaches the host h1."""
    socket = cluster.network.sockets['h1']
    notes: list[Note] = []
    receive = socket.receive

    def record(datagram: bytes, source: str) -> None:
        encoded = KEYS.verify_datagram(b'note', datagram)
        assert encoded is not None
        notes.append(decode_note(encoded))
        receive(datagram, source)

    vars(socket)['receive'] = record
    return notes


def test_notes_without_the_duty_have_no_new_field() -> None:
    """Guards against traffic of deployments without usage reports."""
    cluster = SimulatedCluster(3)

    async def scenario() -> None:
        notes = _notes_of(cluster)
        await asyncio.sleep(5)
        assert any(note.pulls for note in notes)
        for note in notes:
            assert note.sent_at_ms is None
            assert note.usage_pull is None
            assert not note.usage_totals

    cluster.run(scenario)


def test_only_two_hosts_ask_and_answers_stay_small() -> None:
    """Guards against traffic that grows with the square of the hosts."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.hold('h0')
        await asyncio.sleep(6)
        notes = _notes_of(fleet)
        await asyncio.sleep(20)
        askers = {note.host for note in notes if note.usage_pull is not None}
        assert len(askers) == 2
        assert sum(note.usage_pull is not None for note in notes) < 60
        windows = [
            len(totals.windows)
            for note in notes
            for totals in note.usage_totals
        ]
        assert max(windows, default=0) <= 2

    UsageFleet(8).run(scenario)


@pytest.mark.parametrize(
    'report',
    [
        b'',
        b'{}',
        b'[]',
        b'{"window_id":"7","counts":{}}',
        b'\xff',
        b'{"window_id":-1,"counts":{}}',
        b'{"window_id":1%b,"counts":{}}' % (b'0' * 400),
    ],
)
def test_an_unreadable_record_names_no_window(report: bytes) -> None:
    """Guards against bytes that nobody expected among the records."""
    assert PlatformUsageReport().window_of(report) is None


def test_a_report_has_the_platform_form() -> None:
    """Guards against other names of the fields, or another order."""
    report = PlatformUsageReport().encode(7, {'b': 2, 'a': 1})
    assert report == b'{"window_id":7,"counts":{"a":1,"b":2}}'
    assert PlatformUsageReport().window_of(report) == 7


def test_a_record_with_a_huge_window_ends_no_run() -> None:
    """Guards against a window whose end is no finite number of seconds."""
    content = b'{"window_id":1%b,"counts":{}}' % (b'0' * 400)

    async def scenario(fleet: UsageFleet) -> None:
        fleet.store.records['usage/0'] = StoreRecord(0, content)
        fleet.hold('h0')
        await asyncio.sleep(32)
        assert fleet.missed(0, 4) == []

    UsageFleet().run(scenario)
