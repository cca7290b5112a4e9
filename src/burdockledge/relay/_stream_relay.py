"""Relays event streams of servers to the callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from burdockledge.calls import ResponseProgress
from burdockledge.relay._event_buffer import MAX_EVENT_BYTES
from burdockledge.relay._ports import IncompleteResponseError
from burdockledge.relay._silence_watch import SilenceWatch
from burdockledge.scheduling import CallResult

if TYPE_CHECKING:
    from burdockledge.clock import Clock
    from burdockledge.relay._answer_memory import HeldAnswer
    from burdockledge.relay._ports import ServerResponse
    from burdockledge.relay._routing_state import (
        Placement,
        RoutingState,
        SendOutcome,
    )
    from burdockledge.relay._served_call import ServedCall
    from burdockledge.relay._silence_watch import SilenceListener
    from burdockledge.relay._usage_meter import UsageMeter
    from burdockledge.telemetry import Metrics

# A resumable event stream without a complete event for this long, or for this
# multiple of its pause target if that is longer, is resumed at another server.
_RESUME_STALL_SECONDS: Final = 1.5
_RESUME_STALL_PAUSE_TARGETS: Final = 2.0
# Callers give up on a stream after the longest of this gap and these multiples
# of its route's targets (the platform's pages).
_ABANDON_SECONDS: Final = 2.0
_ABANDON_LATENCY_TARGETS: Final = 4.0
_ABANDON_PAUSE_TARGETS: Final = 8.0


class StreamRelay:
    """Relays streams, and learns from their pauses."""

    def __init__(
        self,
        routing_state: RoutingState,
        clock: Clock,
        metrics: Metrics,
        usage: UsageMeter,
    ) -> None:
        """Create a relay that tells a routing state what it learns."""
        self._usage = usage
        self._state = routing_state
        self._clock = clock
        self._metrics = metrics

    def may_continue(
        self, served: ServedCall, response: ServerResponse
    ) -> bool:
        """
        Return whether a response can go on with the stream of a call.

        The text of an error, which servers send with a success status too, is
        no part of a stream that has begun.
        """
        return not served.has_response_started or (
            _media_type(response) == served.media_type
        )

    async def relay(
        self,
        served: ServedCall,
        placement: Placement,
        outcome: SendOutcome,
        response: ServerResponse,
        held: HeldAnswer,
        *,
        may_resume: bool,
        silence_listener: SilenceListener,
    ) -> None:
        """
        Relay events as they arrive, each only once it is complete.

        Only a complete event counts as progress, so that a server that sends
        a byte now and then is recognised as stalled. The silence of a server
        is no reason to end the stream, as long as no other server takes it.

        :param may_resume: whether another server may be able to go on.
        :param silence_listener: decides on the stream when it stalls.
        :raises IncompleteResponseError: if the stream is left or cut off.
        """
        writes = 0
        watch = SilenceWatch(
            _stall_timeout_seconds(served, may_resume=may_resume),
            silence_listener,
        )
        chunks = response.chunks()
        while True:
            chunk = await watch.wait(anext(chunks, None))
            if chunk is None:
                break
            read_at = self._clock.monotonic()
            events = served.event_buffer.feed(chunk)
            if not events:
                await held.grow(served.event_buffer.size, MAX_EVENT_BYTES)
                continue
            held.shrink(0)
            outcome.progress = ResponseProgress.content
            outcome.result = CallResult.abandoned
            self._usage.note_event(served, read_at)
            if not served.has_response_started:
                await self._start_stream(served, response)
            self._note_write(served, placement, is_first=not writes)
            writes += 1
            await served.caller.write(events)
            watch.note_progress()
        await self._finish_stream(served, placement, response, writes)

    async def _finish_stream(
        self,
        served: ServedCall,
        placement: Placement,
        response: ServerResponse,
        writes: int,
    ) -> None:
        """
        End a stream whose body has ended.

        :param writes: how often events of this response were written.
        :raises IncompleteResponseError: if the body is not complete.
        """
        if not served.event_buffer.is_at_event_boundary:
            raise IncompleteResponseError
        if not writes and not response.is_delimited:
            # The server may have crashed as its answer began.
            raise IncompleteResponseError
        if not served.has_response_started:
            await self._start_stream(served, response)
        if served.sends == 1:
            self._state.note_stream_end(
                placement, served.call.prompt.max_output_tokens, writes
            )
        await served.caller.finish()

    def _note_write(
        self, served: ServedCall, placement: Placement, *, is_first: bool
    ) -> None:
        """Learn from the pause before a write, unless a prefill caused it."""
        pause_seconds = served.note_write(self._clock.monotonic())
        if pause_seconds is not None and not is_first:
            self._state.note_pause(placement, pause_seconds)

    async def _start_stream(
        self, served: ServedCall, response: ServerResponse
    ) -> None:
        served.has_response_started = True
        served.media_type = _media_type(response)
        self._metrics.observe(
            'first_event_seconds',
            self._clock.monotonic() - served.arrived_at,
            route=served.route.name,
        )
        await served.caller.start_response(response.status, response.headers)


def _media_type(response: ServerResponse) -> str | None:
    """Return the media type of a body without its parameters, if it has one."""
    for name, text in response.headers:
        if name.lower() == 'content-type':
            return text.partition(';')[0].strip().lower()
    return None


def _stall_timeout_seconds(served: ServedCall, *, may_resume: bool) -> float:
    pause_target_seconds = served.route.pause_target_seconds or 0
    if may_resume:
        return max(
            _RESUME_STALL_SECONDS,
            _RESUME_STALL_PAUSE_TARGETS * pause_target_seconds,
        )
    return max(
        _ABANDON_SECONDS,
        _ABANDON_LATENCY_TARGETS * served.route.latency_target_seconds,
        _ABANDON_PAUSE_TARGETS * pause_target_seconds,
    )


__all__ = ('StreamRelay',)
