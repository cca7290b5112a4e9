"""Converts the starts of calls to and from the messages of the hosts."""

from __future__ import annotations

from typing import Final

from burdockledge.calls import Prompt, PromptPart
from burdockledge.scheduling import CallStart
from burdockledge.wire import CallStarted, hash_server_key

_MS_PER_SECOND: Final = 1000


def encode_call_start(start: CallStart) -> CallStarted:
    """Return the message that tells other hosts of a call."""
    parts = start.prompt.parts
    return CallStarted(
        start.call_id,
        hash_server_key(start.instance_id),
        start.urgency,
        start.prefill_tokens,
        [part.part_id for part in parts],
        [part.tokens for part in parts],
        start.max_output_tokens,
        pause_target_ms=round(
            (start.pause_target_seconds or 0) * _MS_PER_SECOND
        ),
    )


def decode_call_start(started: CallStarted, instance_id: str) -> CallStart:
    """
    Return the call of another host at a known instance.

    Negative numbers, which no host sends, count as 0.
    """
    part_tokens = started.part_tokens
    if min(part_tokens, default=0) < 0:
        part_tokens = [max(0, tokens) for tokens in part_tokens]
    return CallStart(
        started.call,
        instance_id,
        max(0, started.tier),
        max(0, started.unread_tokens),
        Prompt(tuple(map(PromptPart, started.parts, part_tokens))),
        max(0, started.output_tokens),
        started.pause_target_ms / _MS_PER_SECOND
        if started.pause_target_ms > 0
        else None,
    )


__all__ = ('decode_call_start', 'encode_call_start')
