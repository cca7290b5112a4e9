"""Keeps prompt parts that crash engines away from them, on all hosts."""

from __future__ import annotations

from collections.abc import Callable
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


class PartGuard:
    """
    The quarantine of this host, fed with the calls of all hosts.

    ``on_event`` is called with each change, after it was logged.
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

    def verdict(self, service: str, prompt: Prompt) -> Verdict:
        """Return whether a call may be sent to an engine now."""
        return self.quarantine.verdict(
            part_keys(service, prompt), self._clock.monotonic()
        )

    def may_repeat(self, service: str, prompt: Prompt) -> bool:
        """Return whether a call that may have run may be sent again."""
        return not self.quarantine.is_suspected(part_keys(service, prompt))

    def blocked_seconds(self, service: str, prompt: Prompt) -> float | None:
        """Return the time until a blocked call may be tried, None if never."""
        return self.quarantine.blocked_seconds(
            part_keys(service, prompt), self._clock.monotonic()
        )

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
            part_keys(service, prompt),
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
        first = part_key(service, 0)
        self.quarantine.note_start(
            started.call,
            started.server,
            tuple(first | part for part in started.parts[:-1]),
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

    def _handle_event(self, event: QuarantineEvent) -> None:
        evidence = event.evidence
        name = PartName.from_key(event.part)
        fields = {'part': str(name), 'service_hash': name.service_hash}
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


__all__ = ('PartGuard',)
