"""Keeps prompt parts that crash engines away from them, on all hosts."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.calls import ResponseProgress
from burdockledge.quarantine import (
    PartName,
    Quarantine,
    QuarantineEvent,
    Verdict,
    part_key,
    part_keys,
)
from burdockledge.scheduling import CallResult
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from random import Random

    from burdockledge.calls import Prompt
    from burdockledge.clock import Clock
    from burdockledge.relay._routing_state import SendOutcome
    from burdockledge.replication import GossipExchange
    from burdockledge.wire import CallEnded, CallHeard, CallStarted

_log = make_logger('quarantine')

_RELEASE_ID_BITS: Final = 31


@dataclass(frozen=True, slots=True)
class GuardedPart:
    """
    A prompt part that is blocked or suspected, for operators.

    ``service`` is empty if no service of the configuration has the hash.
    """

    service: str
    part: str
    state: str
    crashes: int
    last_crash_seconds: float


class PartOperations(ABC):
    """What operators can see and do about guarded prompt parts."""

    @abstractmethod
    def guarded_parts(self) -> list[GuardedPart]:
        """Return the blocked and suspected parts."""

    @abstractmethod
    def release(self, service: str, part_id: int) -> bool:
        """
        Release a part on all hosts.

        :return: whether there was evidence against it.
        """


class PartGuard(PartOperations):
    """
    The quarantine of this host, fed with the calls of all hosts.

    ``on_event`` is called with each change, after it was logged;
    ``services`` returns the names of the services in use.
    """

    def __init__(
        self, exchange: GossipExchange, clock: Clock, random: Random
    ) -> None:
        """Create a guard whose evidence is exchanged with the other hosts."""
        self._exchange = exchange
        self._clock = clock
        self._random = random
        self.quarantine = Quarantine()
        self.quarantine.on_event = self._handle_event
        exchange.quarantine = self.quarantine
        self.on_event: Callable[[QuarantineEvent], None] | None = None
        self.services: Callable[[], Iterable[str]] = tuple

    def verdict(self, service: str, prompt: Prompt) -> Verdict:
        """Return whether a call may be sent to an engine now."""
        return self.quarantine.verdict(
            _keys_of(service, prompt), self._clock.monotonic()
        )

    def preview(
        self, service: str, prompt: Prompt
    ) -> tuple[Verdict, float | None]:
        """
        Return the verdict on a call that is not sent, without any change.

        :return: also the seconds until a blocked call may be tried.
        """
        now = self._clock.monotonic()
        keys = _keys_of(service, prompt)
        quarantine = self.quarantine.snapshot()
        verdict = quarantine.verdict(keys, now)
        return verdict, quarantine.blocked_seconds(keys, now)

    def may_repeat(self, service: str, prompt: Prompt) -> bool:
        """Return whether a call that may have run may be sent again."""
        return not self.quarantine.is_suspected(_keys_of(service, prompt))

    def blocked_seconds(self, service: str, prompt: Prompt) -> float | None:
        """Return the time until a blocked call may be tried, None if never."""
        return self.quarantine.blocked_seconds(
            _keys_of(service, prompt), self._clock.monotonic()
        )

    def guarded_parts(self) -> list[GuardedPart]:
        """Return the blocked and suspected parts."""
        states = (
            ('blocked', self.quarantine.blocked),
            ('suspected', self.quarantine.suspected),
        )
        now = self._clock.monotonic()
        return [
            GuardedPart(
                self._service_of(part),
                str(PartName.from_key(part)),
                state,
                len(block.crash_times),
                round(now - block.last_crash_at, 1),
            )
            for state, blocks in states
            for part, block in blocks.items()
        ]

    def release(self, service: str, part_id: int) -> bool:
        """
        Release a part on all hosts.

        :return: whether there was evidence against it.
        """
        return self.quarantine.release(
            part_key(service, part_id),
            self._random.getrandbits(_RELEASE_ID_BITS),
            self._clock.monotonic(),
        )

    def note_start(
        self, call_id: int, server: int, service: str, prompt: Prompt
    ) -> None:
        """Follow a call of this host."""
        self.quarantine.note_start(
            call_id,
            server,
            _keys_of(service, prompt),
            self._clock.monotonic(),
            is_own=True,
        )

    def note_head(self, call_id: int) -> None:
        """Record the head of a response to a call of this host."""
        self.quarantine.note_head(call_id, self._clock.monotonic())

    def note_end(self, call_id: int, outcome: SendOutcome) -> None:
        """Record how a call of this host ended, and tell of a crash."""
        now = self._clock.monotonic()
        if outcome.result is CallResult.answered:
            self.quarantine.note_answer(call_id, now)
        elif (
            outcome.has_broken
            and outcome.progress is not ResponseProgress.content
        ):
            suspect = self.quarantine.note_break(
                call_id,
                now,
                had_head=outcome.progress is ResponseProgress.head,
            )
            if suspect is not None:
                self._exchange.announce_suspect(suspect)
        else:
            self.quarantine.note_end(call_id)

    def apply_start(self, started: CallStarted, service: str) -> None:
        """Follow a call of another host."""
        self.quarantine.note_start(
            started.call,
            started.server,
            part_keys(service, started.parts),
            self._clock.monotonic(),
            is_own=False,
        )

    def apply_head(self, heard: CallHeard) -> None:
        """Record the head of a response to a call of another host."""
        self.note_head(heard.call)

    def apply_end(self, ended: CallEnded) -> None:
        """Record how a call of another host ended."""
        if ended.result == CallResult.answered:
            self.quarantine.note_answer(ended.call, self._clock.monotonic())
        else:
            self.quarantine.note_end(ended.call)

    def _service_of(self, part: int) -> str:
        part_id = PartName.from_key(part).part_id
        for service in self.services():
            if part_key(service, part_id) == part:
                return service
        return ''

    def _handle_event(self, event: QuarantineEvent) -> None:
        evidence = event.evidence
        fields = {
            'part': str(PartName.from_key(event.part)),
            'service': self._service_of(event.part),
        }
        if evidence is None:
            _log.warning('Prompt part is released.', **fields)
        else:
            _log.warning(
                f'Prompt part is {event.event}.',
                crashes=len(evidence.crash_times),
                servers=evidence.servers,
                points=evidence.points,
                last_crash_age_seconds=round(
                    self._clock.monotonic() - evidence.last_crash_at, 1
                ),
                **fields,
            )
        if self.on_event is not None:
            self.on_event(event)


def _keys_of(service: str, prompt: Prompt) -> tuple[int, ...]:
    return part_keys(service, [part.part_id for part in prompt.parts])


__all__ = ('GuardedPart', 'PartGuard', 'PartOperations')
