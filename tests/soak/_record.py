"""Observations by callers and backend servers during one soak."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TypeAlias

# Kinds of requests that callers send; stream events are numbered from 1.
ORDER = 'order'
LOOKUP = 'lookup'
DRAFT = 'draft'
CHECK = 'check'
KINDS = (ORDER, LOOKUP, DRAFT, CHECK)
AT_MOST_ONCE_KINDS = frozenset((ORDER, DRAFT))
STREAM_KINDS = frozenset((DRAFT, CHECK))
EVENT_COUNT = 8
# The id of a request, and the number of the attempt, from 1: a caller may use
# an id once more after an answer that promises that the request has not run.
Attempt: TypeAlias = tuple[str, int]


@dataclass
class Arrival:
    """A request at a server.

    ``ran`` means that it was executed, ``spoilt`` that a server fault may have
    damaged its response.
    """

    request: str
    service: str
    server: str
    at: float
    ran: bool
    team: str | None
    spoilt: bool = False
    # Start of the server in Unix milliseconds.
    boot: int = 0
    # Parts of the prompt that other requests share.
    parts: tuple[str, ...] = ()
    number: int = 1

    @property
    def attempt(self) -> Attempt:
        """The attempt that the server got, as its caller numbered it."""
        return self.request, self.number


@dataclass
class Outcome:
    """What a caller received for one attempt; times in seconds.

    ``status`` is None without a response, ``patience`` is the timeout, and
    ``was_sent`` is set once the response headers arrived, at ``answered_at``.
    ``route`` names an added route, and is empty for those of the start;
    ``number`` counts the attempts with one id. ``gave_up`` means that the
    caller closed the connection.
    """

    request: str
    kind: str
    key: str
    host: str
    pid: int
    sent_at: float
    ended_at: float = 0.0
    patience: float = 0.0
    status: int | None = None
    body: bytes = b''
    signature: str = ''
    events: list[int] = field(default_factory=list)
    is_cut: bool = False
    was_sent: bool = False
    answered_at: float = 0.0
    route: str = ''
    number: int = 1
    prompt: str = ''
    gave_up: bool = False

    @property
    def attempt(self) -> Attempt:
        """The attempt that the outcome is of."""
        return self.request, self.number


@dataclass
class Span:
    """The interval of a fault, in seconds of the monotonic clock."""

    began: float
    ended: float
    # The server whose link it affects, if it is a fault of a link.
    server: str = ''

    def touches(self, began: float, ended: float, slack: float = 0) -> bool:
        """Return whether an interval overlaps this one, within a slack."""
        return began <= self.ended + slack and ended >= self.began - slack


@dataclass
class Restore:
    """
    A return of the store from a copy; times in monotonic seconds.

    What it confirmed since ``copied_at`` is gone, and while it was ``away`` it
    took nothing. The operator's newest configuration was written again at
    ``configured_at``; ``left_at`` tells when the store said again of a server
    that it leaves or is gone.
    """

    copied_at: float
    away: Span
    configured_at: float = math.inf
    left_at: dict[str, float] = field(default_factory=dict)

    def takes_back(self, confirmed_at: float) -> bool:
        """Return whether what the store confirmed at a time is gone."""
        return self.copied_at < confirmed_at <= self.away.ended


@dataclass
class Notice:
    """A server's answer that says that it leaves, or that asks for a pause.

    ``request`` is the answered request, ``pause_seconds`` None for leaving.
    """

    server: str
    boot: int
    request: str
    at: float
    pause_seconds: float | None = None
    number: int = 1

    @property
    def attempt(self) -> Attempt:
        """The attempt that was answered."""
        return self.request, self.number


@dataclass
class Copy:
    """A refusal that a server wrote once more, at a monotonic time in s.

    ``request`` was refused; ``under_way`` is the request that the server had
    on the connection as it wrote the copy, if any. ``moment`` is one of
    ``MOMENTS``, and ``count`` says how often it was written.
    """

    server: str
    request: str
    under_way: str | None
    at: float
    moment: str
    count: int


@dataclass
class NamedLimit:
    """Calls a second that a server took; times in monotonic seconds."""

    server: str
    calls_per_second: float
    span: Span


@dataclass
class Usage:
    """Resident memory in MiB and open file descriptors of a host."""

    host: str
    at: float
    megabytes: float
    descriptors: int


@dataclass
class DutyCall:
    """
    A call to the platform's API for duties; times in monotonic seconds.

    ``subject`` is that of its fencing token; ``ran_at`` and ``fenced_at`` are
    infinite if it was not carried out, or not answered with 409 for its token.
    """

    subject: str
    host: str
    token: int
    at: float
    window: int | None
    content: str
    ran_at: float = math.inf
    fenced_at: float = math.inf


@dataclass
class Record:
    """All input of the oracle; times in seconds of the monotonic clock."""

    arrivals: list[Arrival] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    teams: dict[str, str] = field(default_factory=dict)
    # When the store confirmed the revocation of each key, and the removal of
    # each route.
    revoked: dict[str, float] = field(default_factory=dict)
    # When the store confirmed each key and route that was added.
    added: dict[str, float] = field(default_factory=dict)
    # A part under which servers end as their answers begin, if there is one,
    # and the times at which servers ended under each part.
    fatal_part: str | None = None
    ends_under_part: dict[str, list[float]] = field(default_factory=dict)
    # Limits that servers named: server, calls a second, from and until when.
    limits: list[NamedLimit] = field(default_factory=list)
    # When each server announced that it is draining.
    drained: dict[str, float] = field(default_factory=dict)
    notices: list[Notice] = field(default_factory=list)
    copies: list[Copy] = field(default_factory=list)
    # Faults of the store for all hosts, and hosts that it turned away.
    store_faults: list[Span] = field(default_factory=list)
    rejections: dict[str, list[Span]] = field(default_factory=dict)
    restores: list[Restore] = field(default_factory=list)
    duty_calls: list[DutyCall] = field(default_factory=list)
    link_faults: list[Span] = field(default_factory=list)
    host_faults: dict[str, list[Span]] = field(default_factory=dict)
    # When each host stood still, among its other faults.
    pauses: dict[str, list[Span]] = field(default_factory=dict)
    # Shutdowns by process id, and processes that were also killed or paused.
    stops: dict[int, Span] = field(default_factory=dict)
    killed: set[int] = field(default_factory=set)
    # When each process was started, and when it exited.
    starts: dict[int, float] = field(default_factory=dict)
    ends: dict[int, float] = field(default_factory=dict)
    ended_alone: list[str] = field(default_factory=list)
    usages: list[Usage] = field(default_factory=list)
    # Longest event loop lag of this process.
    lag: float = 0.0
    started_at: float = 0.0
    ended_at: float = 0.0

    def outcomes_by_attempt(self) -> dict[Attempt, Outcome]:
        """Return the outcome of each attempt."""
        return {outcome.attempt: outcome for outcome in self.outcomes}

    def limit_of(self, server: str, now: float) -> float | None:
        """Return the calls a second that a server names now, if any."""
        return next(
            (
                limit.calls_per_second
                for limit in self.limits
                if limit.server == server
                and limit.span.began <= now < limit.span.ended
            ),
            None,
        )
