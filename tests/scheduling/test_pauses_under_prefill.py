"""What prompts do to the pauses of streams, and where they go for it."""

from __future__ import annotations

import pytest

from burdockledge.calls import Prompt
from burdockledge.scheduling import CallStart, PlacementRequest
from tests.scheduling.pressure_fleet import (
    PAUSE_TOKENS,
    PressureFleet,
    chat,
    draft,
)


@pytest.mark.parametrize('bound', [4000, 16_000])
def test_the_bound_of_a_pause_is_learnt_from_enough_pending_tokens(
    bound: int,
) -> None:
    """Guards against one extra pause for prompts of all sizes."""
    fleet = PressureFleet(server_count=1)
    load = fleet.load(0)
    assert load.pressure is not None
    rate = load.prefill_tokens_per_second
    usual = load.pause_seconds(1)
    for number in range(400):
        fleet.now += 10
        tokens = (1000, 1000, 1000, 40_000)[number % 4]
        load.start(
            CallStart(
                number, fleet.instances[0].instance_id, 0, tokens, Prompt()
            ),
            fleet.now,
        )
        seconds = usual + min(tokens, bound) / rate
        load.note_pause(seconds, fleet.now + seconds)
        load.note_first_event(number, fleet.now + 2)
        load.end(number)
    learnt = load.pressure.service.pause_tokens
    assert learnt == pytest.approx(bound, rel=0.25)


def test_a_long_uncached_prompt_avoids_servers_with_chats() -> None:
    """A long uncached prompt among servers with chats: it goes elsewhere."""
    fleet = PressureFleet(server_count=6)
    for number in range(4):
        fleet.run_chats(number, 3)
    for number in (4, 5):
        # The others are busier, but no stream there minds.
        fleet.start(number, draft(70 + number, 80), 3700)
    assert fleet.place(draft(1, 2)) in {4, 5}
    assert fleet.place(draft(3, 4)) in {4, 5}


def test_back_to_back_prompts_count_as_one_long_prompt() -> None:
    """Short prompts one after another: chats don't meet the whole queue."""
    fleet = PressureFleet(server_count=2)
    fleet.run_chats(0, 6)
    for index in range(4):
        fleet.start(1, draft(70, 80 + index), 3700, has_first_event=True)
    places = [
        fleet.place(draft(70 + index, 90 + index, 3700, 1000))
        for index in range(8)
    ]
    assert places.count(0) <= 2


def test_a_chat_avoids_long_prompts_that_are_pending() -> None:
    """A chat is placed before less urgent prompts: its pauses meet them."""
    fleet = PressureFleet(server_count=3)
    fleet.start(0, draft(1, 2), 17_000)
    fleet.start(1, draft(3, 4), 17_000)
    fleet.run_chats(2, 5)
    assert fleet.place(chat(9)) == 2


@pytest.mark.parametrize('busy', [0, 1])
@pytest.mark.parametrize('request_', [chat(9), draft(9, 10)])
def test_pending_prompts_count_beyond_the_recent_ones(
    busy: int, request_: PlacementRequest
) -> None:
    """Equal servers but for one whose prompt is still in prefill."""
    fleet = PressureFleet(server_count=2)
    for number in (0, 1):
        is_done = number != busy
        fleet.start(number, draft(number, 20), 17_000, has_first_event=is_done)
    assert fleet.place(request_) != busy


def test_a_chat_is_placed_while_all_servers_prefill() -> None:
    """All servers prefill long prompts: the chat goes to the shortest queue."""
    fleet = PressureFleet(server_count=4)
    for number, tokens in enumerate((60_000, 60_000, 4000, 60_000)):
        fleet.start(number, draft(number, 20 + number), tokens)
    assert fleet.place(chat(9)) == 2


def test_chats_and_long_prompts_use_other_servers_of_a_large_fleet() -> None:
    """A mixed load on a large fleet: few servers have both kinds."""
    fleet = PressureFleet(server_count=45)
    chats: set[int] = set()
    drafts: set[int] = set()
    for index in range(120):
        fleet.now += 0.02
        chats.add(fleet.place(chat(5000 + index), has_first_event=True))
        if index % 3 == 0:
            number = fleet.place(draft(index, 6000 + index))
            drafts.add(number)
    assert len(chats) <= 25
    assert not chats & drafts


def test_kinds_mix_where_one_server_is_left() -> None:
    """A small fleet: no kind is left without a server."""
    fleet = PressureFleet(server_count=1)
    fleet.run_chats(0, 40)
    assert fleet.place(draft(1, 2)) == 0
    assert fleet.place(chat(3)) == 0


def test_what_is_pending_shrinks_as_it_is_prefilled() -> None:
    """Guards against a belief in prompts that are prefilled since long."""
    fleet = PressureFleet(server_count=1)
    load = fleet.load(0)
    assert load.pressure is not None
    rate = load.prefill_tokens_per_second
    call = fleet.start(0, draft(1, 2), 17_000)
    assert load.pressure.pending_tokens(fleet.now, rate) == 17_000
    later = fleet.now + PAUSE_TOKENS / rate
    assert load.pressure.pending_tokens(later, rate) < 1000
    load.note_first_event(call, fleet.now + 0.001)
    assert load.pressure.pending_tokens(fleet.now + 0.001, rate) == 0
