"""The causes for which callers get no complete answer."""

from __future__ import annotations

import enum


class CutCause(enum.Enum):
    """
    Why a request that a host has read ends without a complete answer.

    Metrics use the names, log lines the names and the texts.
    """

    caller_left = 'the caller left'
    host_stopped = 'the stop of this host cut the answer'
    host_failed = 'a fault of this host'
    time_limit = 'the time limit cut the answer'
    server_broke = 'the answer broke off'
    server_stalled = 'the answer stalled'
    answer_too_large = 'the answer is too large'
    connection_closed = 'an answer before it closed the connection'


__all__ = ('CutCause',)
