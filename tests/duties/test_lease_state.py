"""When a process may claim and call, with times as arguments."""

from __future__ import annotations

import pytest

from burdockledge.duties import (
    CallOutcome,
    FenceNumber,
    StoreRecord,
    StoreSnapshot,
)
from burdockledge.duties._lease_state import ClaimCheck, LeaseState
from burdockledge.duties._lease_times import LeaseTimes
from burdockledge.duties._records import (
    HOLDER_KEY,
    HolderRecord,
    encode_record,
)
from tests.duties.site import make_duty_settings

OWN = HolderRecord(host='own', incarnation='now', era=0)
WAIT_SECONDS = {True: 3.5, False: 5.5}


def make_state(*, checks_numbers: bool = True) -> LeaseState:
    """Return the state of a process that has read nothing."""
    settings = make_duty_settings(checks_numbers=checks_numbers)
    return LeaseState('own', 'now', LeaseTimes.from_settings(settings))


def make_snapshot(
    holder: HolderRecord | None, end: int = 10, era: int = 0
) -> StoreSnapshot:
    """Return a topic whose newest holder record is at offset 4."""
    records = {}
    if holder is not None:
        records[HOLDER_KEY] = StoreRecord(4, encode_record(holder))
    return StoreSnapshot(era, end, records)


def other(**fields: object) -> HolderRecord:
    """Return a record of another host."""
    return OWN.model_copy(
        update={'host': 'other', 'incarnation': 'else', **fields}
    )


@pytest.mark.parametrize('checks_numbers', [True, False])
@pytest.mark.parametrize(
    ('snapshot', 'is_open', 'is_open_unchecked'),
    [
        pytest.param(make_snapshot(None, 0), True, True, id='new topic'),
        pytest.param(make_snapshot(None, 0, 1), False, False, id='lost topic'),
        pytest.param(make_snapshot(None), False, False, id='unreadable claim'),
        pytest.param(make_snapshot(other()), False, False, id='other host'),
        pytest.param(
            make_snapshot(OWN.model_copy(update={'incarnation': 'before'})),
            True,
            False,
            id='earlier process',
        ),
        pytest.param(make_snapshot(OWN), False, False, id='this process'),
        pytest.param(
            make_snapshot(other(is_released=True, is_open=True)),
            True,
            True,
            id='release',
        ),
        pytest.param(
            make_snapshot(other(is_released=True)),
            False,
            False,
            id='release with late calls',
        ),
        pytest.param(
            make_snapshot(
                other(
                    is_released=True,
                    is_open=True,
                    former_hosts=frozenset(('own',)),
                )
            ),
            False,
            False,
            id='release soon after this host',
        ),
        pytest.param(
            make_snapshot(other(is_released=True, is_open=True), era=1),
            False,
            False,
            id='release of an earlier era',
        ),
    ],
)
def test_a_claim_at_once_follows_no_holder(
    snapshot: StoreSnapshot,
    is_open: bool,
    is_open_unchecked: bool,
    checks_numbers: bool,
) -> None:
    """Guards against a claim while another host may hold the duties."""
    state = make_state(checks_numbers=checks_numbers)
    state.note_read(snapshot, 0.9, 1)
    may_claim = is_open if checks_numbers else is_open_unchecked
    wait_seconds = 0 if may_claim else WAIT_SECONDS[checks_numbers]
    assert state.seconds_until_claim(1, 0) == wait_seconds


@pytest.mark.parametrize(
    ('reads', 'seconds'),
    [
        pytest.param(((0, 10), (1, 10), (2, 10), (3, 10)), 0.5, id='still'),
        pytest.param(((0, 10), (1, 11), (2, 11), (3, 11)), 1.5, id='renewed'),
        pytest.param(((0, 10), (1, 10), (3.6, 10)), 3.5, id='gap'),
        pytest.param(((0, 10), (2, 9), (3, 10)), 3.5, id='outdated read'),
    ],
)
def test_a_claim_waits_while_the_topic_is_watched(
    reads: tuple[tuple[float, int], ...], seconds: float
) -> None:
    """Guards against a claim before the holder could renew its own."""
    state = make_state()
    for at, end in reads:
        state.note_read(make_snapshot(other(), end), at, at)
    assert state.seconds_until_claim(reads[-1][0], 0) == pytest.approx(seconds)


def make_holder(*, checks_numbers: bool = True) -> LeaseState:
    """Return the state of a process that has claimed at 10 s."""
    state = make_state(checks_numbers=checks_numbers)
    state.note_read(make_snapshot(other()), 0, 0)
    claim = StoreRecord(10, state.encode_claim())
    assert state.note_claimed(StoreSnapshot(0, 11, {HOLDER_KEY: claim}), 10)
    return state


def test_a_lease_counts_from_the_send_of_the_last_append() -> None:
    """Guards against calls of a holder whose answer came late."""
    state = make_holder()
    number = FenceNumber(0, 10)
    assert state.is_valid(number, 12.9)
    assert not state.is_valid(number, 13)
    assert state.note_appended(StoreSnapshot(0, 12, {}), 12)
    assert state.is_valid(number, 14.9)
    assert not state.note_appended(StoreSnapshot(1, 13, {}), 14)
    assert not state.is_valid(number, 15)


@pytest.mark.parametrize(
    ('snapshot', 'check'),
    [
        (make_snapshot(other(), 20, 1), ClaimCheck.lost),
        (make_snapshot(other(era=1), 20, 1), ClaimCheck.superseded),
        (
            StoreSnapshot(
                0, 20, {HOLDER_KEY: StoreRecord(15, encode_record(other()))}
            ),
            ClaimCheck.superseded,
        ),
    ],
)
def test_only_a_claim_of_the_era_supersedes(
    snapshot: StoreSnapshot, check: ClaimCheck
) -> None:
    """Guards against a copy's claim that ends the duties of the holder."""
    state = make_holder()
    assert state.check_claim() == ClaimCheck.holds
    assert state.note_read(snapshot, 11, 11)
    assert state.check_claim() == check


@pytest.mark.parametrize(('checks_numbers', 'late'), [(True, 0), (False, 2)])
def test_a_new_number_waits_for_late_calls_of_the_old_one(
    checks_numbers: bool, late: float
) -> None:
    """Guards against a lower number after a higher one."""
    state = make_holder(checks_numbers=checks_numbers)
    state.note_outcome(FenceNumber(0, 10), CallOutcome.unknown, 11)
    assert state.is_valid(FenceNumber(0, 10), 11)
    state.note_read(make_snapshot(other(), 6, 1), 11, 11)
    claim = StoreRecord(6, state.encode_claim())
    assert state.note_claimed(StoreSnapshot(1, 7, {HOLDER_KEY: claim}), 11)
    assert state.is_valid(FenceNumber(1, 6), 11 + late)
    if late:
        assert not state.is_valid(FenceNumber(1, 6), 10.9 + late)


def test_a_fenced_claim_is_not_taken_up_again() -> None:
    """Guards against a number that is used after a 409."""
    state = make_holder()
    state.note_outcome(FenceNumber(0, 10), CallOutcome.fenced, 11)
    assert state.claim is None
    state.note_read(
        StoreSnapshot(0, 11, {HOLDER_KEY: StoreRecord(10, encode_record(OWN))}),
        11,
        11,
    )
    assert state.own_claim() is None
    # Two leases without a claim.
    assert state.seconds_until_claim(11, 0) == 6
    assert state.is_paused(16.9)


def test_an_unanswered_write_that_was_carried_out_renews_the_lease() -> None:
    """Guards against a duty that writes again what is in the store."""
    state = make_holder()
    snapshot = state.snapshot
    assert snapshot is not None
    records = {**snapshot.records, 'usage/1': StoreRecord(11, b'counts')}
    state.note_read(StoreSnapshot(0, 12, records), 12.5, 12.5)
    assert not state.note_found('usage/1', b'others', 11, 12)
    assert not state.note_found('usage/1', b'counts', 12, 12)
    assert state.note_found('usage/1', b'counts', 11, 12)
    assert state.is_valid(FenceNumber(0, 10), 14.9)


def test_a_write_of_a_former_holder_after_a_restore_renews_nothing() -> None:
    """Guards against a lease of a claim that the store no longer shows."""
    state = make_holder()
    snapshot = state.snapshot
    assert snapshot is not None
    records = {**snapshot.records, 'usage/1': StoreRecord(11, b'counts')}
    state.note_read(StoreSnapshot(1, 12, records), 15, 15)
    assert not state.note_found('usage/1', b'counts', 11, 14.9)
    assert not state.has_lease(15)


def test_a_write_before_a_newer_claim_renews_nothing() -> None:
    """Guards against a lease that overlaps with that of the next holder."""
    state = make_holder()
    newer = StoreRecord(12, encode_record(other()))
    records = {HOLDER_KEY: newer, 'usage/1': StoreRecord(11, b'counts')}
    state.note_read(StoreSnapshot(0, 13, records), 17, 17)
    assert state.note_found('usage/1', b'counts', 11, 16.9)
    assert not state.has_lease(17)


@pytest.mark.parametrize('checks_numbers', [True, False])
def test_a_release_after_a_restore_opens_nothing_to_the_holder_before(
    checks_numbers: bool,
) -> None:
    """
    Guards against holders that alternate within a lease.

    The next holder claimed on top of a copy of the store that did not name
    this host, and thus does not name it in its release.
    """
    state = make_state(checks_numbers=checks_numbers)
    state.note_read(make_snapshot(None, 0), 0.9, 1)
    assert state.note_claimed(make_snapshot(OWN, 5), 2)
    state.end(5.1, must_pause=False)
    release = other(is_released=True, is_open=True, era=1)
    state.note_read(make_snapshot(release, era=1), 5.9, 6)
    # The lease ended at 5, and the margin counts from then.
    wait_seconds = 5 + WAIT_SECONDS[checks_numbers] - 6
    assert state.seconds_until_claim(6, 0) == wait_seconds
    assert state.seconds_until_claim(6 + wait_seconds, 0) == 0
