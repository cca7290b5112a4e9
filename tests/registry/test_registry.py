"""Registration, draining, removal and return of backend servers."""

from __future__ import annotations

import pytest

from burdockledge.calls import ServerInstance
from burdockledge.registry import (
    EXPIRY_GRACE_SECONDS,
    Registration,
    ServerRegistry,
    ServerState,
)


def registration(
    state: ServerState = ServerState.ready, started_ms: int = 1
) -> Registration:
    """Return a registration of server ``s`` of the service ``book``."""
    instance = ServerInstance('s', started_ms, 'book', '10.0.0.1:80', 'a', 6)
    return Registration(instance, state)


@pytest.mark.parametrize(
    ('state', 'ready_count'),
    [(ServerState.ready, 1), (ServerState.draining, 0)],
)
def test_only_ready_servers_get_work(
    state: ServerState, ready_count: int
) -> None:
    """A draining server stays registered, but gets no new calls."""
    registry = ServerRegistry()
    assert registry.register(registration(state))
    assert not registry.register(registration(state))
    assert len(registry.ready_instances('book', 0)) == ready_count
    assert len(registry.all_instances(0)) == 1


def test_a_restarted_server_is_a_new_instance() -> None:
    """A later start under the same server id replaces the old instance."""
    registry = ServerRegistry()
    registry.register(registration())
    old_instance = registry.ready_instances('book', 0)[0]
    registry.register(registration(started_ms=2))
    new_instance = registry.ready_instances('book', 0)[0]
    assert old_instance.instance_id != new_instance.instance_id
    assert registry.ready_instances('book', 0) == [new_instance]
    assert registry.service_of(new_instance.instance_id) == 'book'


@pytest.mark.parametrize(
    ('gap_seconds', 'at_once'),
    [(0.7, True), (8.0, False)],
    ids=['no outage', 'outage'],
)
def test_a_removal_after_an_outage_is_delayed(
    gap_seconds: float, at_once: bool
) -> None:
    """A server whose entry expired in an outage has time to return."""
    registry = ServerRegistry()
    registry.note_store_read(100)
    registry.register(registration())
    now = 100 + gap_seconds
    registry.note_store_read(now)
    assert registry.remove('s', now)
    assert len(registry.ready_instances('book', now + 1)) == (
        0 if at_once else 1
    )
    after_grace = now + EXPIRY_GRACE_SECONDS + 0.1
    assert registry.ready_instances('book', after_grace) == []


def test_registering_again_cancels_a_delayed_removal() -> None:
    """A server that returns within the grace period stays available."""
    registry = ServerRegistry()
    registry.note_store_read(100)
    registry.register(registration())
    registry.note_store_read(110)
    registry.remove('s', 110)
    registry.register(registration())
    assert len(registry.ready_instances('book', 120)) == 1


@pytest.mark.parametrize(
    ('seconds', 'is_available'),
    [(1.5, True), (EXPIRY_GRACE_SECONDS + 0.5, False)],
    ids=['within the grace', 'after the grace'],
)
def test_a_second_restore_gives_a_server_its_time_again(
    seconds: float, is_available: bool
) -> None:
    """Guards against a server that is dropped before it writes again."""
    registry = ServerRegistry()
    registry.register(registration())
    registry.note_restore(100)
    registry.remove('s', 100)
    second_at = 100 + seconds
    registry.note_restore(second_at)
    assert len(registry.ready_instances('book', second_at + 2)) == is_available
    after_grace = second_at + EXPIRY_GRACE_SECONDS + 0.1
    assert registry.ready_instances('book', after_grace) == []
