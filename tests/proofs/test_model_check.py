"""
All interleavings of two hosts and one key, by explicit states.

The folds are the real ones. A state is the log's records, what each host
has read, appended and dispatched, and the appends still on their way.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from burdockledge.claims import ClaimBatch, ClaimEntry, ClaimTable, KeyWindow
from burdockledge.configuration import INITIAL_STATE, PatchRecord, apply_record
from burdockledge.platform_api import LogRecord

if TYPE_CHECKING:
    from collections.abc import Iterator

MADE_MS = 1_000_000
LIFETIME_MS = 100_000
WINDOW = KeyWindow(LIFETIME_MS)
LATE_MS = MADE_MS + LIFETIME_MS + 1
HOSTS = (0, 1)


@dataclass(frozen=True)
class Host:
    """What one host did; ``read`` is the offset that it reads next."""

    is_appended: bool = False
    is_abandoned: bool = False
    read: int = 0
    ran: bool = False
    starts: int = 0


@dataclass(frozen=True)
class State:
    """One state; records are (nonce, at_ms), the earliest ones may be gone."""

    now_ms: int = MADE_MS
    records: tuple[tuple[int, int], ...] = ()
    dropped: int = 0
    on_their_way: tuple[int, ...] = ()
    hosts: tuple[Host, Host] = (Host(), Host())


def holder(state: State, host: Host) -> int | None:
    """Return the holder's nonce as a host sees it, None without coverage."""
    table = ClaimTable(WINDOW)
    start = host.starts
    table.update_log_bounds(start, MADE_MS)
    for offset in range(start, host.read):
        nonce, at_ms = state.records[offset]
        entry = ClaimEntry(key='k', made_ms=MADE_MS, body='b', nonce=str(nonce))
        batch = ClaimBatch(host=str(nonce), boot=1, entries=(entry,))
        table.apply(
            LogRecord(offset=offset, at_ms=at_ms, body=batch.model_dump_json())
        )
    known = table.entry('k')
    if known is None or not table.has_complete_history(MADE_MS):
        return None
    return int(known.nonce)


def steps(state: State) -> Iterator[State]:
    """Yield every next state."""
    for number in HOSTS:
        yield from host_steps(state, number)
    for nonce in set(state.on_their_way):
        rest = list(state.on_their_way)
        rest.remove(nonce)
        # A lost answer is an append that lands whenever it likes, or never.
        yield replace(
            state,
            on_their_way=tuple(rest),
            records=(*state.records, (nonce, state.now_ms)),
        )
        yield replace(state, on_their_way=tuple(rest))
    if state.now_ms == MADE_MS:
        yield replace(state, now_ms=LATE_MS)
        return
    # Retention drops the oldest records once the window has passed.
    kept = state.records[state.dropped :]
    if kept and kept[0][1] == MADE_MS:
        yield replace(state, dropped=state.dropped + 1)


def host_steps(state: State, number: int) -> Iterator[State]:
    """Yield the steps of one host; not stepping is a pause."""
    host = state.hosts[number]
    if not host.is_appended:
        yield changed(
            replace(state, on_their_way=(*state.on_their_way, number)),
            number,
            replace(host, is_appended=True),
        )
    if state.dropped <= host.read < len(state.records):
        yield changed(state, number, replace(host, read=host.read + 1))
    if host.read == 0 and state.dropped:
        # A host that starts late begins at the earliest kept record.
        yield changed(
            state,
            number,
            replace(host, read=state.dropped, starts=state.dropped),
        )
    if host.is_appended and not host.is_abandoned and not host.ran:
        yield changed(state, number, replace(host, is_abandoned=True))
        if holder(state, host) == number:
            yield changed(state, number, replace(host, ran=True))


def changed(state: State, number: int, host: Host) -> State:
    """Return a state with one host replaced."""
    hosts = list(state.hosts)
    hosts[number] = host
    return replace(state, hosts=(hosts[0], hosts[1]))


def explore(start: State) -> set[State]:
    """Return every reachable state."""
    seen = {start}
    waiting = [start]
    while waiting:
        for state in steps(waiting.pop()):
            if state not in seen:
                seen.add(state)
                waiting.append(state)
    return seen


def test_a_key_runs_at_most_once() -> None:
    """In no reachable state has more than one host run the key."""
    states = explore(State())
    assert len(states) > 500
    assert any(host.ran for state in states for host in state.hosts)
    for state in states:
        assert sum(host.ran for host in state.hosts) <= 1, state


def test_a_broken_claim_is_found() -> None:
    """Without the rule that the first claim wins, both hosts run the key."""

    def claims_of_own(state: State) -> Iterator[State]:
        yield from steps(state)
        for number in HOSTS:
            host = state.hosts[number]
            if any(nonce == number for nonce, _ in state.records[: host.read]):
                yield changed(state, number, replace(host, ran=True))

    seen = {State()}
    waiting = [State()]
    while waiting:
        for state in claims_of_own(waiting.pop()):
            if state not in seen:
                seen.add(state)
                waiting.append(state)
    assert any(sum(host.ran for host in one.hosts) == 2 for one in seen)


def interleavings(left: list[int], right: list[int]) -> Iterator[list[int]]:
    """Yield every order of two lists that keeps each one's own order."""
    if not left or not right:
        yield left + right
        return
    for rest in interleavings(left[1:], right):
        yield [left[0], *rest]
    for rest in interleavings(left, right[1:]):
        yield [right[0], *rest]


def patch(number: int, base: int) -> str:
    """Return a patch of operator ``number`` against a version."""
    record = PatchRecord(
        id=str(number),
        base=base,
        patch={'policy': {'offers': number + 1}},
    )
    return record.model_dump_json()


def test_operators_race() -> None:
    """Whatever the order and the repeats, one patch a version wins."""
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
