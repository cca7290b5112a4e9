"""
Finds the prompt parts that crash engines from the calls that they cut.

All calls at an engine break when it crashes, so that a part which many
prompts share is on most of the broken calls. A part is blamed only for
crashes of engines that had got it after the crash before, as engines also
crash in groups for other reasons. The part that explains most crashes is
blocked first, and the crashes that it explains count for no other part.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

# Points of a crash for the parts of a call whose response had begun without
# content, and for those of a call that still waited.
_STARTING_POINTS: Final = 2
_WAITING_POINTS: Final = 1
# Two crashes of the first kind, or four of the second, block a part. Twice as
# many are needed for a part that was answered before.
_BLOCK_POINTS: Final = 4
_SUSPICION_POINTS: Final = 2
_ANSWERED_FACTOR: Final = 2


@dataclass(frozen=True, slots=True)
class CrashedCall:
    """
    A call without content of its response when its engine crashed.

    ``parts`` are keys of the parts that its prompt shares with others;
    ``had_head`` tells whether the head of its response had arrived.
    """

    call_id: int
    parts: tuple[int, ...]
    had_head: bool
    sent_at: float


@dataclass(slots=True)
class Crash:
    """The crash of one engine instance, in seconds of the monotonic clock."""

    server: int
    at: float
    calls: dict[int, CrashedCall] = field(default_factory=dict)

    @property
    def parts(self) -> frozenset[int]:
        """The parts of all its calls."""
        return frozenset(
            part for call in self.calls.values() for part in call.parts
        )

    @property
    def suspects(self) -> list[CrashedCall]:
        """The calls whose answers had begun, all calls if there are none."""
        starting = [call for call in self.calls.values() if call.had_head]
        return starting or list(self.calls.values())


@dataclass(slots=True)
class PartCase:
    """
    The evidence against a part.

    ``crash_times`` holds the times of the crashes that count, in order, and
    ``servers`` the engines that crashed; ``blocking_index`` is the index of the
    crash that was enough to block the part. ``was_answered`` tells whether the
    part was ever answered, ``depth`` its place in the prompt.
    """

    part: int
    was_answered: bool = False
    points: int = 0
    depth: int = 0
    crash_times: list[float] = field(default_factory=list)
    servers: list[int] = field(default_factory=list)
    blocking_index: int = 0

    @property
    def is_enough(self) -> bool:
        """Whether the part is to be blocked."""
        return self.points >= _BLOCK_POINTS * self._factor

    @property
    def is_suspicious(self) -> bool:
        """Whether calls with the part are to be sent one at a time."""
        return self.points >= _SUSPICION_POINTS * self._factor

    @property
    def last_crash_at(self) -> float:
        """The time of the last crash that counts."""
        return self.crash_times[-1]

    @property
    def crashes_since_block(self) -> int:
        """How many more engines crashed once the part was blocked."""
        return len(self.crash_times) - 1 - self.blocking_index

    @property
    def _factor(self) -> int:
        return _ANSWERED_FACTOR if self.was_answered else 1

    def add(self, crash: Crash, call: CrashedCall, depth: int) -> None:
        """Count a crash if its engine got the call after the one before."""
        if self.crash_times and call.sent_at < self.last_crash_at:
            return
        was_enough = self.is_enough
        self.points += _STARTING_POINTS if call.had_head else _WAITING_POINTS
        self.depth = max(self.depth, depth)
        self.crash_times.append(crash.at)
        self.servers.append(crash.server)
        if not was_enough:
            self.blocking_index = len(self.crash_times) - 1


@dataclass(frozen=True, slots=True)
class Assessment:
    """The parts that are blocked and those that are suspected, by key."""

    blocked: dict[int, PartCase] = field(default_factory=dict)
    suspected: dict[int, PartCase] = field(default_factory=dict)


def assess(
    crashes: Iterable[Crash],
    is_void: Callable[[int, float], bool],
    was_answered: Callable[[int], bool],
) -> Assessment:
    """
    Return the parts to block and those to suspect.

    :param is_void: whether evidence against a part at a time counts no more,
        as the part was answered later.
    :param was_answered: whether a part was ever answered to its end.
    """
    unexplained = sorted(crashes, key=_crash_order)
    blocked: dict[int, PartCase] = {}
    while True:
        cases = _build_cases(unexplained, is_void, was_answered)
        worst = max(
            (case for case in cases.values() if case.is_enough),
            key=_case_order,
            default=None,
        )
        if worst is None:
            break
        blocked[worst.part] = worst
        unexplained = [
            crash for crash in unexplained if worst.part not in crash.parts
        ]
    suspected = {
        part: case for part, case in cases.items() if case.is_suspicious
    }
    return Assessment(blocked, suspected)


def _build_cases(
    crashes: Iterable[Crash],
    is_void: Callable[[int, float], bool],
    was_answered: Callable[[int], bool],
) -> dict[int, PartCase]:
    cases: dict[int, PartCase] = {}
    for crash in crashes:
        for part, (call, depth) in _blamed_parts(crash).items():
            if is_void(part, crash.at):
                continue
            case = cases.get(part)
            if case is None:
                case = PartCase(part, was_answered=was_answered(part))
                cases[part] = case
            case.add(crash, call, depth)
    return cases


def _blamed_parts(crash: Crash) -> dict[int, tuple[CrashedCall, int]]:
    """Return the parts of the suspects, each with its latest call."""
    blamed: dict[int, tuple[CrashedCall, int]] = {}
    for call in crash.suspects:
        for depth, part in enumerate(call.parts):
            known = blamed.get(part)
            if known is None or known[0].sent_at < call.sent_at:
                blamed[part] = (call, depth)
    return blamed


def _crash_order(crash: Crash) -> tuple[float, int]:
    return crash.at, crash.server


def _case_order(case: PartCase) -> tuple[bool, int, int, int]:
    """Rank parts that were never answered first, then by the evidence."""
    return not case.was_answered, case.points, case.depth, case.part


__all__ = ('Assessment', 'PartCase', 'Crash', 'CrashedCall', 'assess')
