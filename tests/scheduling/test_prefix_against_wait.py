"""What a cached prefix is worth against the wait for it, one load in each."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from burdockledge.calls import Prompt, PromptPart
from burdockledge.scheduling import HealthTracker, PressurePolicy
from burdockledge.scheduling._prefix_cache import PrefixCacheEstimate
from tests.scheduling.pressure_fleet import PressureFleet, chat, draft

FULL_SLOTS = 8
KV_TOKENS = 120_000


def hold(fleet: PressureFleet, number: int, shared: int = 1) -> None:
    """Let a server hold the shared part of drafts."""
    call = fleet.start(number, draft(shared, 10_000 + shared), 17_000, True)
    fleet.load(number).end(call)
    fleet.now += 3


def test_calls_stay_at_the_holder_of_a_hot_prefix_with_room() -> None:
    """A hot prefix at a server with room: no second copy is made."""
    fleet = PressureFleet(server_count=5)
    hold(fleet, 2)
    for index in range(6):
        fleet.now += 0.3
        assert fleet.place(draft(1, 20 + index), has_first_event=True) == 2


def test_a_hot_prefix_at_a_full_server_gets_a_second_copy() -> None:
    """A hot prefix at a server with a full batch: waiting costs more."""
    fleet = PressureFleet(server_count=5, slots=FULL_SLOTS)
    hold(fleet, 2)
    for index in range(FULL_SLOTS + 4):
        fleet.start(2, draft(1, 20 + index), 3700, has_first_event=True)
    fleet.now += 2
    choice = fleet.choose(draft(1, 99))
    assert choice.instance != fleet.instances[2]


def test_a_hot_prefix_behind_a_long_queue_gets_a_second_copy() -> None:
    """Many prompts queue at the holder: reading it again is sooner."""
    fleet = PressureFleet(server_count=5)
    hold(fleet, 2)
    for index in range(30):
        fleet.start(2, draft(1, 20 + index), 3700)
    assert fleet.place(draft(1, 99)) != 2


def test_memory_full_of_running_streams_counts_as_a_wait() -> None:
    """KV memory is full though slots are free: streams are not preempted."""
    fleet = PressureFleet(server_count=3)
    for instance in fleet.instances:
        fleet.loads.set_cache_size(instance.instance_id, KV_TOKENS)
    hold(fleet, 1)
    for index in range(7):
        fleet.start(1, draft(1, 20 + index), 3700, has_first_event=True)
    fleet.now += 3
    assert fleet.place(draft(1, 99)) != 1
    for call in range(1, fleet.call_count):
        fleet.load(1).end(call)
    assert fleet.place(draft(1, 98)) == 1


@pytest.mark.parametrize('is_late', [False, True])
def test_a_late_first_event_refutes_what_was_used_before(
    is_late: bool,
) -> None:
    """A prefix is believed to be cached but is evicted: others are, too."""
    fleet = PressureFleet(server_count=1)
    hold(fleet, 0, shared=1)
    hold(fleet, 0, shared=2)
    load = fleet.load(0)
    older = draft(1, 5).prompt
    assert load.cache.cached_tokens(older) == 13_300
    rate = load.prefill_tokens_per_second
    call = fleet.start(0, draft(2, 6), 3700)
    usual = load.timing.first_event_seconds
    seconds = usual + (17_000 if is_late else 3700) / rate
    load.note_first_event(call, fleet.now + seconds, seconds)
    assert load.cache.cached_tokens(older) == (0 if is_late else 13_300)
    assert load.cache.cached_tokens(draft(2, 7).prompt) == 13_300
    assert load.prefill_tokens_per_second == pytest.approx(rate, rel=0.1)


def test_the_chance_that_parts_are_held_falls_as_others_are_added() -> None:
    """Guards against trust in a part that is about to be evicted."""
    cache = PrefixCacheEstimate(100_000)
    old = Prompt((PromptPart(1, 5000),))
    cache.add(old)
    cache.mark_prefilled(old)
    chances = []
    for part in range(2, 20):
        cache.add(Prompt((PromptPart(part, 5000),)))
        chances.append(cache.chance_held(old))
    assert chances[0] == 1
    assert chances == sorted(chances, reverse=True)
    assert 0.5 <= chances[-1] < 0.7


def test_a_leaving_server_is_no_reason_to_wait_or_to_read_twice() -> None:
    """The holder leaves: the rest choose one new reader."""
    fleet = PressureFleet(server_count=6)
    hold(fleet, 2)
    leaving = fleet.instances.pop(2)
    choices = [fleet.choose(draft(1, 20))]
    assert choices[0].cache_source is None
    places = {fleet.place(draft(1, 30 + index)) for index in range(4)}
    assert len(places) == 1
    assert leaving not in fleet.instances


def test_slow_servers_get_fewer_prompts() -> None:
    """A third of the servers is slower: long prompts go to the others."""
    fleet = PressureFleet(server_count=6)
    slow = {0, 3}
    for number in slow:
        fleet.load(number).speed_ratio = 0.4
    places = Counter(
        fleet.place(draft(100 + index, 500 + index)) for index in range(24)
    )
    assert sum(places[number] for number in slow) < 6


def test_follow_ups_of_one_session_wait_for_its_first_reader() -> None:
    """A burst of one session: its prefix is read once within the burst."""
    fleet = PressureFleet(server_count=12)
    reader = fleet.place(draft(1, 20))
    for index in range(3):
        fleet.now += 0.02
        assert fleet.place(draft(1, 30 + index, 1000)) == reader


def test_follow_ups_leave_a_reader_with_a_longer_queue() -> None:
    """The queue at the reader takes longer than reading the prefix again."""
    fleet = PressureFleet(server_count=12)
    reader = fleet.place(draft(1, 20))
    for index in range(12):
        fleet.start(reader, draft(1, 40 + index), 8000)
    assert fleet.place(draft(1, 99)) != reader


def test_hosts_agree_on_the_first_reader_of_a_prefix() -> None:
    """Several hosts decide at once, before they hear of each other."""
    fleet = PressureFleet(server_count=12)
    for shared in range(20):
        choices = set()
        for seed in range(6):
            policy = PressurePolicy(
                fleet.loads, HealthTracker('own'), Random(seed)
            )
            choice = policy.choose(
                fleet.instances, draft(shared, 100 + seed), fleet.now
            )
            assert choice is not None
            choices.add(choice.instance.instance_id)
        assert len(choices) == 1


def test_hosts_spread_chats_that_they_place_at_once() -> None:
    """Many hosts decide by the same state: not all choose one server."""
    fleet = PressureFleet(server_count=45)
    choices = Counter(
        fleet.choose(chat(index)).instance.instance_id for index in range(60)
    )
    assert len(choices) >= 2


@pytest.mark.parametrize(
    'zero', ['latency_target_seconds', 'pause_target_seconds']
)
def test_targets_of_zero_are_borne(zero: str) -> None:
    """Guards against a division by a target that a configuration sets to 0."""
    fleet = PressureFleet(server_count=2)
    assert fleet.place(replace(chat(1), **{zero: 0.0})) in {0, 1}
