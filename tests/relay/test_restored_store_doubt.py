"""How long servers stay in doubt after a restore of the store."""

from __future__ import annotations

import asyncio

import pytest

from burdockledge.relay import CONFIGURATION_STREAM, SERVERS_STREAM
from burdockledge.wire import StreamEntry
from tests.relay.test_restored_store import (
    AFTER_DOUBT,
    AFTER_GRACE,
    make_host,
)


@pytest.mark.parametrize('left', [b'draining 1', None], ids=['drains', 'gone'])
def test_doubt_lasts_until_the_servers_are_read_again(
    left: bytes | None,
) -> None:
    """Guards against DRAIN: time alone makes the copy's entry believable."""
    host = make_host()
    host.read(SERVERS_STREAM, 1, StreamEntry('e', 5, b'ready 1'), is_whole=True)
    host.read(SERVERS_STREAM, 1, StreamEntry('e', 6, left), is_whole=False)
    copy = StreamEntry('e', 2, b'ready 1')
    host.read(SERVERS_STREAM, 2, copy, is_whole=True)
    assert host.ready_servers() == []
    # The partition of the servers is away; that of the configuration is not.
    host.loop.run_until_complete(asyncio.sleep(AFTER_DOUBT))
    configuration = StreamEntry('config', 1, b'1')
    host.read(CONFIGURATION_STREAM, 2, configuration, is_whole=True)
    assert host.ready_servers() == []


def test_a_server_that_only_the_copy_lacked_is_used_when_it_returns() -> None:
    """Guards against a live server in doubt as the restore removed it."""
    host = make_host()
    entry = StreamEntry('e', 5, b'ready 1')
    host.read(SERVERS_STREAM, 1, entry, is_whole=True)
    host.read(SERVERS_STREAM, 2, is_whole=True)
    host.wait(AFTER_GRACE)
    assert host.ready_servers() == []
    again = StreamEntry('e', 1, b'ready 1')
    host.read(SERVERS_STREAM, 2, again, is_whole=False)
    assert host.ready_servers() == ['e/1']


def test_a_host_that_starts_after_a_restore_takes_the_version_in_force() -> (
    None
):
    """Guards against CONFIG: its peers tell it only of the copy's version."""
    peer = make_host()
    known = StreamEntry('config', 9, b'13')
    peer.read(CONFIGURATION_STREAM, 1, known, is_whole=True)
    copy = StreamEntry('config', 0, b'10')
    peer.read(CONFIGURATION_STREAM, 2, copy, is_whole=True)
    assert peer.state.configuration_version() == 13
    update = peer.exchange.state(CONFIGURATION_STREAM).update_since(
        -1, peer.loop.time()
    )
    host = make_host()
    host.read(CONFIGURATION_STREAM, update.era, *update.entries, is_whole=True)
    assert host.state.configuration_version() == 13
