"""Where streams of server-sent events are split."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.relay.fakes import FakeResponse, call, serve

LINE_ENDS = [b'\n', b'\r\n']
MIXED_EVENT = b'id: 1\r\ndata: x\r\n\n'


def stream(line_end: bytes) -> bytes:
    """Return three events whose lines end in one way."""
    return b''.join(
        b'id: %d\ndata: x\n\n'.replace(b'\n', line_end) % number
        for number in (1, 2, 3)
    )


@pytest.mark.parametrize('line_end', LINE_ENDS)
@pytest.mark.parametrize('path', ['/stream/x', '/resumed/x'])
def test_events_are_passed_on_whatever_their_line_ends(
    path: str, line_end: bytes
) -> None:
    """Guards against streams with CRLF of which callers get no event."""
    whole = stream(line_end)
    run = serve(call(path), FakeResponse(200, (whole[:20], whole[20:])))
    assert (run.caller.status, run.caller.body) == (200, whole)
    assert run.caller.end == 'whole'


def test_events_with_mixed_line_ends_are_passed_on() -> None:
    """Guards against a look at the first line of an event only."""
    run = serve(call('/stream/x'), FakeResponse(200, (MIXED_EVENT * 2,)))
    assert (run.caller.body, run.caller.end) == (MIXED_EVENT * 2, 'whole')


@pytest.mark.parametrize('line_end', LINE_ENDS)
@settings(max_examples=50, derandomize=True, deadline=None)
@given(offsets=st.lists(st.integers(0, 69), max_size=8))
def test_events_do_not_depend_on_the_ends_of_chunks(
    line_end: bytes, offsets: list[int]
) -> None:
    """Guards against an event end that is split between two chunks."""
    whole = stream(line_end)
    bounds = sorted({0, len(whole), *(min(o, len(whole)) for o in offsets)})
    chunks = tuple(
        whole[start:end] for start, end in zip(bounds, bounds[1:], strict=False)
    )
    run = serve(call('/stream/x'), FakeResponse(200, chunks))
    assert (run.caller.body, run.caller.end) == (whole, 'whole')


@pytest.mark.parametrize('line_end', LINE_ENDS)
def test_a_cut_stream_goes_on_after_its_last_whole_event(
    line_end: bytes,
) -> None:
    """Guards against parts of events, whatever their line ends."""
    whole = stream(line_end)
    size = len(whole) // 3
    # All of the second event but the last byte of its end.
    cut = FakeResponse(200, (whole[: 2 * size - 1],), is_cut_off=True)
    run = serve(call('/resumed/x'), cut, FakeResponse(200, (whole[size:],)))
    assert run.client.sent[1].last_event_id == '1'
    assert (run.caller.body, run.caller.end) == (whole, 'whole')
