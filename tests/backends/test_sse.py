"""Tests of the server-sent event splitter."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockledge.backends import SseSplitter

EVENTS = [b'data: {"id":"r1","n":%d}\n\n' % number for number in range(5)]
STREAM = b': keep-alive\n\n' + b''.join(EVENTS) + b'data: [DONE]\n\n'


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_do_not_depend_on_chunk_boundaries(
    split_offsets: list[int],
) -> None:
    """Token events come out whole; comments and the end marker are dropped."""
    splitter = SseSplitter('r1')
    boundaries = [0, *sorted(split_offsets), len(STREAM)]
    outputs = [
        splitter.feed(STREAM[start:end])
        for start, end in zip(boundaries, boundaries[1:], strict=False)
    ]
    assert b''.join(events for events, _ in outputs) == b''.join(EVENTS)
    assert sum(count for _, count in outputs) == len(EVENTS)
    assert splitter.is_done
    assert not splitter.is_corrupt


def test_event_of_another_request_marks_stream_corrupt() -> None:
    """Events before it are returned; it and the events after it are not."""
    splitter = SseSplitter('r1')
    foreign_event = b'data: {"id":"r2"}\n\n'
    events, count = splitter.feed(EVENTS[0] + foreign_event + EVENTS[1])
    assert (events, count) == (EVENTS[0], 1)
    assert splitter.is_corrupt
