"""
The claim of one process on the duties, as far as it knows.

It does no I/O. Times are passed in, in seconds of a clock that goes on while
the process is frozen.
"""

from __future__ import annotations

import enum
import math
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from burdockledge.duties._ports import (
    CallOutcome,
    FenceNumber,
    StoreRecord,
    StoreSnapshot,
)
from burdockledge.duties._records import (
    HOLDER_KEY,
    HolderRecord,
    decode_holder,
    encode_record,
)

if TYPE_CHECKING:
    from burdockledge.duties._lease_times import LeaseTimes

# Watchers read once per second; two reads in a row may fail or be slow.
_MAX_GAP_SECONDS: Final = 2.5
# Leases for which a host claims nothing after it could not do the duties.
_PAUSE_LEASES: Final = 2


class ClaimCheck(enum.Enum):
    """What a read of the topic says about the claim of this process."""

    holds = 'no newer claim'
    superseded = 'another process has claimed'
    # The store came back from a copy, or a record of an earlier era was
    # appended late: nobody holds a claim that others can see.
    lost = 'the store has lost the claim'


class LeaseState:
    """
    What a process knows of the topic, and its own claim.

    ``claim`` is the number of the claim, None without one. It outlasts the
    lease: if nobody else claims, the next append renews it.
    """

    def __init__(
        self, own_host: str, incarnation: str, times: LeaseTimes
    ) -> None:
        """Create the state of a process that has read nothing yet."""
        self._own_host = own_host
        self._incarnation = incarnation
        self._times = times
        self.claim: FenceNumber | None = None
        self.snapshot: StoreSnapshot | None = None
        # When the topic was first seen as it is; ``_watched_since`` without
        # regard to what was before a gap between the reads.
        self._unchanged_since = math.inf
        self._watched_since = math.inf
        self._read_at = -math.inf
        # Offset of the claim that an earlier process may have left.
        self._first_holder: FenceNumber | None = None
        self._claimed_at = -math.inf
        self._renewed_at = -math.inf
        self._former_hosts: frozenset[str] = frozenset()
        self._paused_until = -math.inf
        # The end of the last lease of this process.
        self._held_until = -math.inf
        self._fenced: FenceNumber | None = None
        # The last call without an answer.
        self._unknown_at = -math.inf
        self._unknown_number: FenceNumber | None = None
        self._is_releasing = False

    @property
    def holder_record(self) -> HolderRecord | None:
        """The newest claim or release, None if there is no readable one."""
        record = self._holder_entry()
        return None if record is None else decode_holder(record.content)

    @property
    def holder_host(self) -> str | None:
        """The host that seems to hold the duties."""
        record = self.holder_record
        return None if record is None or record.is_released else record.host

    @property
    def unchanged_seconds(self) -> float:
        """For how long the topic was the same in the reads so far."""
        return max(0.0, self._read_at - self._unchanged_since)

    @property
    def renewed_at(self) -> float:
        """When the last append that succeeded was sent."""
        return self._renewed_at

    def note_read(
        self, snapshot: StoreSnapshot, sent_at: float, received_at: float
    ) -> bool:
        """
        Take in a read of the topic.

        :return: False for an answer that is older than what is known.
        """
        known = self.snapshot
        position = (snapshot.era, snapshot.end)
        known_position = (-1, -1) if known is None else (known.era, known.end)
        if position < known_position:
            return False
        if position != known_position:
            self._unchanged_since = received_at
        if (
            position != known_position
            or sent_at - self._read_at > _MAX_GAP_SECONDS
        ):
            self._watched_since = received_at
        self.snapshot = snapshot
        if known is None:
            self._first_holder = self._holder_number()
        self._read_at = received_at
        return True

    def check_claim(self) -> ClaimCheck:
        """Compare the own claim with what was read last."""
        newest = self._holder_number()
        if self.claim is None or newest is None:
            return ClaimCheck.lost
        if newest == self.claim:
            return ClaimCheck.holds
        record = self.holder_record
        if newest > self.claim and (record is None or record.era == newest.era):
            return ClaimCheck.superseded
        return ClaimCheck.lost

    def seconds_until_claim(self, now: float, turn_seconds: float) -> float:
        """
        Return the seconds until this host may claim, 0 or less for at once.

        :param turn_seconds: how much longer than others it waits.
        """
        if self.snapshot is None:
            return math.inf
        pause = max(0.0, self._paused_until - now)
        if self._is_open():
            return max(pause, self._seconds_until_return(now))
        return max(
            pause, self._watched_since + self._times.wait + turn_seconds - now
        )

    def own_claim(self) -> FenceNumber | None:
        """Return a claim of this process that it does not know to hold."""
        newest = self._holder_number()
        record = self.holder_record
        if newest is None or record is None or record.is_released:
            return None
        is_own = (record.host, record.incarnation, record.era) == (
            self._own_host,
            self._incarnation,
            newest.era,
        )
        is_fenced = self._fenced is not None and newest <= self._fenced
        return newest if is_own and not is_fenced else None

    def encode_claim(self) -> bytes:
        """Return the record of a claim on top of what was read last."""
        former = self._hosts_before()
        return self._encode_holder(former_hosts=former)

    def encode_release(self, now: float) -> bytes:
        """Return the record by which this host gives the duties up."""
        was_short = now - self._claimed_at < self._times.wait
        return self._encode_holder(
            former_hosts=self._former_hosts if was_short else frozenset(),
            is_released=True,
            is_open=now >= self._unknown_at + self._times.late,
        )

    def note_claimed(self, snapshot: StoreSnapshot, sent_at: float) -> bool:
        """
        Take in the answer to a claim.

        :return: False if the store was restored before it got the claim.
        """
        former = self._hosts_before()
        if not self._add(snapshot, sent_at):
            return False
        self._begin(former, sent_at)
        self._renewed_at = sent_at
        return True

    def take_up(self, now: float) -> None:
        """Hold a claim that was carried out late; it has to be renewed."""
        record = self.holder_record
        if record is not None:
            self._begin(record.former_hosts, now)
            self._renewed_at = -math.inf

    def note_appended(self, snapshot: StoreSnapshot, sent_at: float) -> bool:
        """
        Take in the answer to an append under the claim.

        :return: False if the store was restored before it got the record.
        """
        if not self._add(snapshot, sent_at):
            return False
        self._renewed_at = max(self._renewed_at, sent_at)
        return True

    def note_found(
        self, key: str, content: bytes, expected_end: int, sent_at: float
    ) -> bool:
        """
        Look for an append without an answer in what was read since.

        It renews the lease only of a claim that the store still shows: after
        a restore, a former holder may append at an end that it has known.

        :return: whether it was carried out.
        """
        if self.snapshot is None or self.claim is None:
            return False
        if self.snapshot.era != self.claim.era:
            return False
        found = self.snapshot.records.get(key)
        is_found = (
            found is not None
            and found.content == content
            and found.offset >= expected_end
        )
        if is_found and self.check_claim() == ClaimCheck.holds:
            self._renewed_at = max(self._renewed_at, sent_at)
        return is_found

    def has_lease(self, now: float) -> bool:
        """Return whether no other host can have claimed yet."""
        return now - self._renewed_at < self._times.lease

    def is_valid(self, number: FenceNumber, now: float) -> bool:
        """Return whether a call with a number may be sent."""
        return (
            number == self.claim
            and not self._is_releasing
            and self.has_lease(now)
            and now >= self._unknown_at + self._late_seconds(number)
        )

    def note_outcome(
        self, number: FenceNumber, outcome: CallOutcome, now: float
    ) -> None:
        """Take in how a call ended; an outdated token ends its claim."""
        if outcome == CallOutcome.unknown:
            self._unknown_at = max(self._unknown_at, now)
            self._unknown_number = number
        if outcome == CallOutcome.fenced:
            self._fenced = max(self._fenced or number, number)
            if self.claim is not None and self.claim <= number:
                self.end(now, must_pause=True)

    def stop_calls(self) -> None:
        """Keep the claim, but send no more calls."""
        self._is_releasing = True

    def end(self, now: float, *, must_pause: bool) -> None:
        """Hold no claim any more."""
        lease_end = self._renewed_at + self._times.lease
        self._held_until = max(self._held_until, min(now, lease_end))
        self.claim = None
        self._renewed_at = -math.inf
        self._is_releasing = False
        if must_pause:
            self._paused_until = now + _PAUSE_LEASES * self._times.lease

    def is_paused(self, now: float) -> bool:
        """Return whether this host leaves the duties to others for a while."""
        return now < self._paused_until

    def _begin(self, former_hosts: frozenset[str], claimed_at: float) -> None:
        self.claim = self._holder_number()
        self._former_hosts = former_hosts
        self._claimed_at = claimed_at
        self._is_releasing = False

    def _late_seconds(self, number: FenceNumber) -> float:
        """Return how long after a call without answer a number must wait."""
        return 0.0 if number == self._unknown_number else self._times.late

    def _is_open(self) -> bool:
        """Return whether nobody else may hold the duties."""
        snapshot = self.snapshot
        if snapshot is None:
            return False
        if snapshot.end == 0:
            # A later era may have lost claims that still hold.
            return snapshot.era == 0
        record = self.holder_record
        if record is None or record.era != snapshot.era:
            return False
        if record.is_released:
            return record.is_open and self._own_host not in record.former_hosts
        # A call of the earlier process may be late where tokens are not
        # checked. A claim that came after the start is of another machine with
        # the same name.
        return (
            record.host == self._own_host
            and record.incarnation != self._incarnation
            and self._first_holder == self._holder_number()
            and not self._times.late
        )

    def _seconds_until_return(self, now: float) -> float:
        """
        Return how long the release of another host leaves this one to wait.

        After a restore of the store, a release may not name this host though
        it has held the duties just before.
        """
        record = self.holder_record
        if record is None or record.host == self._own_host:
            return 0
        return max(0, self._held_until + self._times.wait - now)

    def _hosts_before(self) -> frozenset[str]:
        """Return the other hosts that a claim now may closely follow."""
        record = self.holder_record
        if self.claim is not None:
            return self._former_hosts
        if record is None:
            return frozenset()
        # Hosts before the last one are a lease away after a whole wait.
        earlier = record.former_hosts if self._is_open() else frozenset()
        return (earlier | {record.host}) - {self._own_host}

    def _encode_holder(
        self,
        former_hosts: frozenset[str],
        *,
        is_released: bool = False,
        is_open: bool = False,
    ) -> bytes:
        return encode_record(
            HolderRecord(
                host=self._own_host,
                incarnation=self._incarnation,
                era=0 if self.snapshot is None else self.snapshot.era,
                former_hosts=former_hosts,
                is_released=is_released,
                is_open=is_open,
            )
        )

    def _add(self, appended: StoreSnapshot, sent_at: float) -> bool:
        known = self.snapshot
        if known is None or appended.era != known.era:
            return False
        self.snapshot = replace(
            appended, records={**known.records, **appended.records}
        )
        self._unchanged_since = sent_at
        # The next read begins a new watch.
        self._read_at = -math.inf
        return True

    def _holder_entry(self) -> StoreRecord | None:
        if self.snapshot is None:
            return None
        return self.snapshot.records.get(HOLDER_KEY)

    def _holder_number(self) -> FenceNumber | None:
        record = self._holder_entry()
        if record is None or self.snapshot is None:
            return None
        return FenceNumber(self.snapshot.era, record.offset)


__all__ = ('ClaimCheck', 'LeaseState')
