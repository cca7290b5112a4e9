"""
Explicit-state model check of two hosts that claim one key.

The product code folds the log. A state holds the log records, what each host
has read, appended and dispatched, and the appends not yet completed.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from burdockledge.claims import ClaimBatch, ClaimEntry, ClaimTable, KeyWindow
from burdockledge.configuration import INITIAL_STATE, PatchRecord, apply_record
from burdockledge.platform_api import LogRecord

if TYPE_CHECKING:
    from collections.abc import Iterator

KEY_CREATED_MS = 1_000_000
KEY_LIFETIME_MS = 100_000
KEY_WINDOW = KeyWindow(KEY_LIFETIME_MS)
AFTER_EXPIRY_MS = KEY_CREATED_MS + KEY_LIFETIME_MS + 1
HOSTS = (0, 1)


@dataclass(frozen=True)
class Host:
    """State of one host; offsets are positions in the log.

    ``has_abandoned`` is set once the host stops waiting for its claim.
    """

    has_appended: bool = False
    has_abandoned: bool = False
    next_offset: int = 0
    has_run: bool = False
    first_offset: int = 0


@dataclass(frozen=True)
class State:
    """Log and hosts; records are (nonce, at_ms), some already deleted.

    The first ``dropped_count`` records are deleted from the log.
    """

    now_ms: int = KEY_CREATED_MS
    records: tuple[tuple[int, int], ...] = ()
    dropped_count: int = 0
    pending_appends: tuple[int, ...] = ()
    hosts: tuple[Host, Host] = (Host(), Host())


def claim_holder(state: State, host: Host) -> int | None:
    """Return the nonce of the claim that a host regards as the first.

    Returns None if the host has no claim or an incomplete history.
    """
    table = ClaimTable(KEY_WINDOW)
    start = host.first_offset
    table.update_log_bounds(start, KEY_CREATED_MS)
    for offset in range(start, host.next_offset):
        nonce, at_ms = state.records[offset]
        entry = ClaimEntry(
            key='k', made_ms=KEY_CREATED_MS, body='b', nonce=str(nonce)
        )
        batch = ClaimBatch(host=str(nonce), boot=1, entries=(entry,))
        table.apply(
            LogRecord(offset=offset, at_ms=at_ms, body=batch.model_dump_json())
        )
    entry_of_key = table.entry('k')
    if entry_of_key is None or not table.has_complete_history(KEY_CREATED_MS):
        return None
    return int(entry_of_key.nonce)


def next_states(state: State) -> Iterator[State]:
    """Yield every successor of a state."""
    for host_index in HOSTS:
        yield from next_host_states(state, host_index)
    for nonce in set(state.pending_appends):
        remaining = list(state.pending_appends)
        remaining.remove(nonce)
        # An append whose response is lost completes at any later time or never.
        yield replace(
            state,
            pending_appends=tuple(remaining),
            records=(*state.records, (nonce, state.now_ms)),
        )
        yield replace(state, pending_appends=tuple(remaining))
    if state.now_ms == KEY_CREATED_MS:
        yield replace(state, now_ms=AFTER_EXPIRY_MS)
        return
    # Retention deletes the oldest records once the key lifetime has passed.
    retained = state.records[state.dropped_count :]
    if retained and retained[0][1] == KEY_CREATED_MS:
        yield replace(state, dropped_count=state.dropped_count + 1)


def next_host_states(state: State, host_index: int) -> Iterator[State]:
    """Yield the successors by one step of a host."""
    host = state.hosts[host_index]
    if not host.has_appended:
        yield with_host(
            replace(
                state, pending_appends=(*state.pending_appends, host_index)
            ),
            host_index,
            replace(host, has_appended=True),
        )
    if state.dropped_count <= host.next_offset < len(state.records):
        yield with_host(
            state, host_index, replace(host, next_offset=host.next_offset + 1)
        )
    if host.next_offset == 0 and state.dropped_count:
        # A host that starts late begins at the earliest retained record.
        yield with_host(
            state,
            host_index,
            replace(
                host,
                next_offset=state.dropped_count,
                first_offset=state.dropped_count,
            ),
        )
    if host.has_appended and not host.has_abandoned and not host.has_run:
        yield with_host(state, host_index, replace(host, has_abandoned=True))
        if claim_holder(state, host) == host_index:
            yield with_host(state, host_index, replace(host, has_run=True))


def with_host(state: State, host_index: int, host: Host) -> State:
    """Return a state with one host replaced."""
    hosts = list(state.hosts)
    hosts[host_index] = host
    return replace(state, hosts=(hosts[0], hosts[1]))


def explore(start: State) -> set[State]:
    """Return every reachable state."""
    seen = {start}
    frontier = [start]
    while frontier:
        for state in next_states(frontier.pop()):
            if state not in seen:
                seen.add(state)
                frontier.append(state)
    return seen


def test_key_runs_at_most_once() -> None:
    """At most one host has run the key in every reachable state."""
    states = explore(State())
    assert len(states) > 500
    assert any(host.has_run for state in states for host in state.hosts)
    for state in states:
        assert sum(host.has_run for host in state.hosts) <= 1, state


def test_missing_claim_order_is_detected() -> None:
    """Both hosts run the key if the first claim does not win."""

    def states_without_claim_order(state: State) -> Iterator[State]:
        yield from next_states(state)
        for host_index in HOSTS:
            host = state.hosts[host_index]
            if any(
                nonce == host_index
                for nonce, _ in state.records[: host.next_offset]
            ):
                yield with_host(state, host_index, replace(host, has_run=True))

    seen = {State()}
    frontier = [State()]
    while frontier:
        for state in states_without_claim_order(frontier.pop()):
            if state not in seen:
                seen.add(state)
                frontier.append(state)
    assert any(sum(host.has_run for host in one.hosts) == 2 for one in seen)


def interleavings(left: list[int], right: list[int]) -> Iterator[list[int]]:
    """Yield every merge of two lists that keeps the order of each."""
    if not left or not right:
        yield left + right
        return
    for remaining in interleavings(left[1:], right):
        yield [left[0], *remaining]
    for remaining in interleavings(left, right[1:]):
        yield [right[0], *remaining]


def patch(operator: int, base: int) -> str:
    """Return the record of an operator's patch, based on a version."""
    record = PatchRecord(
        id=str(operator),
        base=base,
        patch={'policy': {'offers': operator + 1}},
    )
    return record.model_dump_json()


def test_one_patch_wins_per_version() -> None:
    """One patch per version wins in any order, with repeated records."""
    bodies = [patch(0, 0), patch(0, 0), patch(1, 1), patch(2, 0), patch(3, 1)]
    orders = list(interleavings([0, 1, 2], [3, 4]))
    assert len(orders) == 10
    for order in orders:
        state = INITIAL_STATE
        accepted: dict[int, str] = {}
        for offset, index in enumerate(order):
            record = LogRecord(offset=offset, at_ms=0, body=bodies[index])
            before = state.version
            state, outcome = apply_record(state, record)
            assert outcome is not None
            assert state.version - before in {0, 1}
            if state.version > before:
                assert outcome.base == before
                accepted[state.version] = outcome.patch_id
        assert len(accepted) == state.version
        assert len(set(accepted.values())) == len(accepted)
